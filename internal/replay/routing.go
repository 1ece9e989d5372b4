package replay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/routing"
)

func init() {
	register("routing.classify", func() step { return new(routingClassify) })
	register("routing.retry", func() step { return new(routingRetry) })
	register("poison.new", func() step { return new(poisonNew) })
	register("poison.crashed", func() step { return new(poisonCrashed) })
	register("poison.ask", func() step { return new(poisonAsk) })
	register("poison.share", func() step { return new(poisonShare) })
}

func parseOutcome(s string) (routing.Outcome, error) {
	for _, o := range []routing.Outcome{routing.OutcomeRan, routing.OutcomeNotRun, routing.OutcomeUnknown} {
		if o.String() == s {
			return o, nil
		}
	}
	return 0, errors.Newf("unknown outcome %q", s)
}

type routingClassify struct {
	Sent         bool            `json:"sent"`
	Failed       bool            `json:"failed"`
	Status       int             `json:"status"`
	Refused      routing.Refused `json:"refused"`
	IDMatches    bool            `json:"id_matches"`
	SaysNotRun   bool            `json:"says_not_run,omitempty"`
	RefusesFirst bool            `json:"refuses_first"`
}

func (s *routingClassify) apply(*replayState, traceTime) (any, error) {
	return routing.Classify(routing.Reply(*s)).String(), nil
}

type routingRetry struct {
	Outcome    string  `json:"outcome"`
	Idempotent bool    `json:"idempotent"`
	DeadlineMS int64   `json:"deadline_ms"` // since the start of the trace
	ExpectedMS int64   `json:"expected_ms"`
	Tries      int     `json:"tries"`
	Poisoned   bool    `json:"poisoned"`
	Tokens     float64 `json:"tokens"` // remaining retries in the budget
}

func (s *routingRetry) apply(_ *replayState, at traceTime) (any, error) {
	outcome, err := parseOutcome(s.Outcome)
	if err != nil {
		return nil, err
	}
	budget := routing.NewBudget(routing.BudgetConfig{Burst: s.Tokens})
	attempt := routing.Attempt{
		Outcome:    outcome,
		Idempotent: s.Idempotent,
		Deadline:   time.Duration(s.DeadlineMS) * time.Millisecond,
		Expected:   time.Duration(s.ExpectedMS) * time.Millisecond,
		Tries:      s.Tries,
		Poisoned:   s.Poisoned,
	}
	return routing.MayRetry(at.monotonic(), attempt, budget).String(), nil
}

// poisonTable is one host's quarantine.
type poisonTable struct{ *routing.Poison }

type poisonNew struct {
	Host string `json:"host"`
}

func (s *poisonNew) apply(rs *replayState, _ traceTime) (any, error) {
	rs.poisonTables[s.Host] = &poisonTable{routing.NewPoison(routing.DefaultPoison)}
	return nil, nil
}

type poisonCrashed struct {
	Host        string `json:"host"`
	Fingerprint uint64 `json:"fingerprint"`
	Service     string `json:"service"`
	Client      string `json:"client"`
	Target      string `json:"target"`
	Run         uint64 `json:"run"`
}

// poisonCrashedResult is the outcome of poison.crashed.
type poisonCrashedResult struct {
	Crashes int  `json:"crashes"`
	Changed bool `json:"changed"`
}

func (s *poisonCrashed) apply(rs *replayState, at traceTime) (any, error) {
	p, err := findByName(rs.poisonTables, "host", s.Host)
	if err != nil {
		return nil, err
	}
	crash := routing.Crash{Target: s.Target, Run: s.Run, AtMS: at.wallClock().UnixMilli()}
	suspect, changed := p.RecordCrash(routing.Fingerprint(s.Fingerprint), s.Service, s.Client, crash)
	return poisonCrashedResult{Crashes: len(suspect.Crashes), Changed: changed}, nil
}

type poisonAsk struct {
	Host        string `json:"host"`
	Fingerprint uint64 `json:"fingerprint"`
}

// poisonAskResult is the outcome of poison.ask.
type poisonAskResult struct {
	Quarantined bool `json:"quarantined"`
}

func (s *poisonAsk) apply(rs *replayState, at traceTime) (any, error) {
	p, err := findByName(rs.poisonTables, "host", s.Host)
	if err != nil {
		return nil, err
	}
	return poisonAskResult{p.Quarantined(at.wallClock(), routing.Fingerprint(s.Fingerprint))}, nil
}

// poisonShare merges the crash records of one host into those of another.
type poisonShare struct {
	From string `json:"from"`
	To   string `json:"to"`
}

func (s *poisonShare) apply(rs *replayState, _ traceTime) (any, error) {
	from, err := findByName(rs.poisonTables, "host", s.From)
	if err != nil {
		return nil, err
	}
	to, err := findByName(rs.poisonTables, "host", s.To)
	if err != nil {
		return nil, err
	}
	changed := 0
	for _, suspect := range from.Export() {
		if _, recordChanged := to.Merge(suspect); recordChanged {
			changed++
		}
	}
	return changed, nil
}
