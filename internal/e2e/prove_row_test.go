package e2e_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// row holds the result of one proof, which is one row of the results table.
type row struct {
	guarantee, failure string
	losses             int
	figures            []time.Duration
	limit              time.Duration
	violations         int
	unknownOutcomes    int
	problems           []string
	claimed            bool
}

func (r *row) holds() bool {
	return len(r.problems) == 0 && r.violations == 0 && r.quantile(1) <= r.limit
}

func (r *row) quantile(q float64) time.Duration {
	if len(r.figures) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.figures))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (r *row) String() string {
	verdict := "holds"
	if !r.holds() {
		verdict = "FAILS"
	}
	if !r.claimed {
		verdict += " (not claimed)"
	}
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	return fmt.Sprintf("| %s | %s | %d | %d | %s | %s | %s | %s | %d | %s |",
		r.guarantee, r.failure, r.losses, len(r.figures), ms(r.quantile(0.5)), ms(r.quantile(0.99)), ms(r.quantile(1)),
		ms(r.limit), r.violations, verdict)
}

const tableHeader = `| promise | failure | losses | figures | p50 ms | p99 ms | max ms | limit ms | broken promises | verdict |
|---|---|---|---|---|---|---|---|---|---|`

func (r *row) report(t *testing.T) {
	t.Log(r)
	if r.claimed && !r.holds() {
		t.Errorf("%s, %s: %v", r.guarantee, r.failure, r.problems)
	}
}

func (r *row) addFigures(c *e2e.Cluster, traffic *e2e.Traffic, p proof, keys []string, failure e2e.Failure, healed int64) {
	runs, err := c.Runs()
	if err != nil {
		r.problems = append(r.problems, err.Error())
		return
	}
	figures, err := p.measure(traffic.MeasuredRuns(runs, failure), keys, failure, healed)
	r.figures = append(r.figures, figures...)
	if err != nil {
		r.problems = append(r.problems, err.Error())
	}
}

func (r *row) checkRecords(c *e2e.Cluster, results []judge.Response) {
	runs, err := c.Runs()
	if err != nil {
		r.problems = append(r.problems, err.Error())
		return
	}
	report := judge.Check(runs, results)
	r.violations = report.Violations()
	r.unknownOutcomes = report.Unknown
	r.problems = append(r.problems, describeViolations(report)...)
}

// describeViolations returns the count and the first example of each kind of
// violation.
func describeViolations(r judge.Report) []string {
	var list []string
	if len(r.DuplicateRuns) > 0 {
		list = append(list, fmt.Sprintf("duplicate runs %d: %+v", len(r.DuplicateRuns), r.DuplicateRuns[0]))
	}
	if len(r.Overlaps) > 0 {
		list = append(list, fmt.Sprintf("overlaps %d: %+v", len(r.Overlaps), r.Overlaps[0]))
	}
	if len(r.NotRunButRan) > 0 {
		list = append(list, fmt.Sprintf("answered not-run but ran %d: %+v", len(r.NotRunButRan), r.NotRunButRan[0]))
	}
	if len(r.WrongAnswers) > 0 {
		list = append(list, fmt.Sprintf("wrong answers %d: %+v", len(r.WrongAnswers), r.WrongAnswers[0]))
	}
	if len(r.RanWithoutRun) > 0 {
		list = append(list, fmt.Sprintf("answered ran but never ran %d: %+v", len(r.RanWithoutRun), r.RanWithoutRun[0]))
	}
	return list
}
