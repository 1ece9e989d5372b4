package report

import (
	"bytes"
	"encoding/xml"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/load"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

const secondUS = int64(time.Second / time.Microsecond)

func newResult(id, key string, at int64, outcome load.Outcome) load.Result {
	return load.Result{
		RequestID: id, Service: "katalog", Class: "search", Client: "um", Key: key,
		IntendedUnixUS: secondUS + at, LatencyUS: 1000, Status: 200, Outcome: outcome,
	}
}

// A class's latencies must not include its stragglers, and an answer after the
// deadline must not count as in time.
func TestStragglersFormTheirOwnClass(t *testing.T) {
	quick, late, straggler := newResult("1", "", 0, load.Ran), newResult("2", "", 0, load.Ran), newResult("3", "", 0, load.Ran)
	quick.DeadlineMS, late.DeadlineMS = 10, 10
	late.LatencyUS = 11_000
	straggler.Straggler, straggler.LatencyUS = true, 900_000
	classes := summariseService("katalog", []load.Result{quick, late, straggler}).Classes
	assert.Equal(t, len(classes), 2)
	assert.Equal(t, classes[0].Class, "search")
	assert.Equal(t, classes[0].Served, 2)
	assert.Equal(t, classes[0].InTime, 1)
	assert.Assert(t, classes[0].Latency.Max < 12)
	assert.Equal(t, classes[1].Class, "search stragglers")
	assert.Equal(t, classes[1].InTime, 1)
}

func TestUnservedGapEndsAtNextAnswer(t *testing.T) {
	results := []load.Result{
		newResult("1", "a", 0, load.Ran),
		newResult("2", "a", 100_000, load.NotRun),
		newResult("3", "a", 200_000, load.NoAnswer),
		newResult("4", "a", 300_000, load.Ran),
		newResult("5", "b", 350_000, load.NotRun),
		newResult("6", "c", 399_000, load.Ran),
		newResult("7", "d", 0, load.NotSent),
	}
	got := unservedOf(results)
	assert.DeepEqual(t, got, Unserved{Keys: 2, TotalMS: 201 + 50, LongestMS: 201, LongestKey: "a", NotServedAgain: 1})
}

func TestImbalanceCountsIdleTargets(t *testing.T) {
	runs := []judge.Run{{Target: "t1", Service: "s", Start: 1, End: 3}, {Target: "t1", Service: "s", Start: 5, End: 6}}
	loads := targetLoads(runs, []Target{{"t1", "s"}, {"t2", "s"}})
	assert.DeepEqual(t, serviceImbalances(loads), []Imbalance{{Service: "s", Targets: 2, Runs: 2, Busy: 2}})
	assert.Equal(t, maxOverMean([]float64{0, 0}), 0.0)
}

// TestSpanImbalanceShowsMovingLoad: a load that moves from one target to the other
// is balanced over the whole run, but not in any span.
func TestSpanImbalanceShowsMovingLoad(t *testing.T) {
	s := Summary{
		Targets:   []TargetLoad{{Target: "a", Service: "s"}, {Target: "b", Service: "s"}},
		Imbalance: []Imbalance{{Service: "s", Targets: 2, Runs: 1}, {Service: "idle", Targets: 1}},
	}
	var runs []judge.Run
	for i := range 20 {
		at := int64(i/10) * int64(imbalanceSpan)
		runs = append(runs, judge.Run{Service: "s", Target: []string{"a", "b"}[i/10], Start: at})
	}
	s.setSpans(runs)
	assert.Equal(t, s.Imbalance[0].Spans, 2.0)
	assert.Equal(t, s.Imbalance[1].Spans, 0.0)
}

func TestHottestKeyImbalance(t *testing.T) {
	runs := []judge.Run{{Service: "s", Key: "a"}, {Service: "s", Key: "a"}, {Service: "s", Key: "b"}, {Service: "s"}}
	summary := Summary{Imbalance: []Imbalance{{Service: "s", Targets: 4}, {Service: "idle", Targets: 1}}}
	summary.setHottest(runs)
	assert.Equal(t, summary.Imbalance[0].Hottest, 2.0)
	assert.Equal(t, summary.Imbalance[1].Hottest, 0.0)
}

func TestBrokenPromisesHaveExamples(t *testing.T) {
	notRun := newResult("r-1", "a", 0, load.NotRun)
	doubled := newResult("r-2", "b", 0, load.Ran)
	doubled.IdempotencyKey = "k-2"
	wrong := newResult("r-3", "c", 0, load.Ran)
	wrong.EchoedID, wrong.WrongAnswer = "r-9", true
	results := []load.Result{notRun, doubled, wrong}
	newRun := func(n uint64, id, key, idempotencyKey, target string, start, end int64) judge.Run {
		return judge.Run{Number: n, RequestID: id, Key: key, IdempotencyKey: idempotencyKey, Client: "um", Service: "katalog", OwnerEpoch: 1, Target: target, Start: start, End: end}
	}
	runs := []judge.Run{
		newRun(1, "r-1", "a", "", "t1", 10, 20),
		newRun(2, "r-2", "b", "k-2", "t1", 10, 20),
		newRun(1, "r-2.1", "b", "k-2", "t2", 15, 30),
		newRun(3, "r-3", "c", "", "t1", 10, 20),
	}
	s := Summarise("r", results, time.Second)
	s.AddRuns(results, runs, nil, time.Second)
	var all strings.Builder
	for _, b := range s.Broken {
		all.WriteString(b.Promise + ": " + b.Example + "\n")
	}
	for _, want := range []string{"at most once: k-2 of katalog at t1", "one owner: b of katalog", "was not run: r-1 was reported as", "own request: r-3"} {
		assert.Assert(t, strings.Contains(all.String(), want), "%q in\n%s", want, all.String())
	}
}

func TestTimelineCountsEachAttemptOnce(t *testing.T) {
	results := []load.Result{
		newResult("1", "a", 0, load.Ran),
		newResult("2", "a", 10, load.NotRun),
		newResult("3", "a", 600_000, load.Unknown),
	}
	line := intervalsOf(results, 250*time.Millisecond)
	assert.Equal(t, len(line), 3)
	assert.Equal(t, line[0].Rate, 8.0)
	assert.Equal(t, line[0].Served, 4.0)
	assert.Equal(t, line[0].Unserved, 0)
	assert.Equal(t, line[1].Rate, 0.0)
	assert.Equal(t, line[2].Unserved, 1)
}

func TestHTMLPageIsSelfContainedAndWellFormed(t *testing.T) {
	results := []load.Result{newResult("<1>", "a", 0, load.Ran), newResult("2", "a", 600_000, load.NotRun)}
	results[1].Reason = "<script>"
	s := Summarise("r&1", results, 250*time.Millisecond)
	var buf bytes.Buffer
	assert.NilError(t, WriteHTML(&buf, s))
	page := buf.String()
	assert.Assert(t, !strings.Contains(page, "http"))
	assert.Assert(t, !strings.Contains(page, "<script"))
	for _, c := range chartsOf(s.Timeline) {
		times := make([]float64, len(s.Timeline))
		assert.NilError(t, xml.Unmarshal([]byte(c.svg(times)), new(struct{})))
	}
}

func TestNiceCeiling(t *testing.T) {
	for v, want := range map[float64]float64{0: 1, 0.03: 0.05, 1: 1, 7: 10, 11: 20, 200: 200, 512: 1000} {
		assert.Assert(t, math.Abs(niceCeiling(v)-want) < 1e-9, "%v", v)
	}
}
