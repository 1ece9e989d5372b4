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

func (s *routingClassify) apply(*world, moment) (any, error) {
	return routing.Classify(routing.Reply(*s)).String(), nil
}

type routingRetry struct {
	Outcome    string  `json:"outcome"`
	Idempotent bool    `json:"idempotent"`
	DeadlineMS int64   `json:"deadline_ms"` // since the trace began
	ExpectedMS int64   `json:"expected_ms"`
	Tries      int     `json:"tries"`
	Poisoned   bool    `json:"poisoned"`
	Tokens     float64 `json:"tokens"` // retries that are left
}

func (s *routingRetry) apply(_ *world, at moment) (any, error) {
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
	return routing.MayRetry(at.mono(), attempt, budget).String(), nil
}

// poisonTable is one host's quarantine.
type poisonTable struct{ *routing.Poison }

type poisonNew struct {
	Host string `json:"host"`
}

func (s *poisonNew) apply(w *world, _ moment) (any, error) {
	w.poison[s.Host] = &poisonTable{routing.NewPoison(routing.DefaultPoison)}
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

// recorded is the outcome of poison.crashed.
type recorded struct {
	Crashes int  `json:"crashes"`
	Changed bool `json:"changed"`
}

func (s *poisonCrashed) apply(w *world, at moment) (any, error) {
	p, err := machine(w.poison, "host", s.Host)
	if err != nil {
		return nil, err
	}
	crash := routing.Crash{Target: s.Target, Run: s.Run, AtMS: at.wall().UnixMilli()}
	suspect, changed := p.Crashed(routing.Fingerprint(s.Fingerprint), s.Service, s.Client, crash)
	return recorded{Crashes: len(suspect.Crashes), Changed: changed}, nil
}

type poisonAsk struct {
	Host        string `json:"host"`
	Fingerprint uint64 `json:"fingerprint"`
}

// quarantined is the outcome of poison.ask.
type quarantined struct {
	Quarantined bool `json:"quarantined"`
}

func (s *poisonAsk) apply(w *world, at moment) (any, error) {
	p, err := machine(w.poison, "host", s.Host)
	if err != nil {
		return nil, err
	}
	return quarantined{p.Quarantined(at.wall(), routing.Fingerprint(s.Fingerprint))}, nil
}

// poisonShare merges one host's records into another's.
type poisonShare struct {
	From string `json:"from"`
	To   string `json:"to"`
}

func (s *poisonShare) apply(w *world, _ moment) (any, error) {
	from, err := machine(w.poison, "host", s.From)
	if err != nil {
		return nil, err
	}
	to, err := machine(w.poison, "host", s.To)
	if err != nil {
		return nil, err
	}
	changed := 0
	for _, suspect := range from.Export() {
		if _, grew := to.Merge(suspect); grew {
			changed++
		}
	}
	return changed, nil
}
