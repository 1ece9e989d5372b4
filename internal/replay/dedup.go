package replay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

func init() {
	register("dedup.new", func() step { return new(dedupNew) })
	register("dedup.open", func() step { return new(dedupOpen) })
	register("dedup.close", func() step { return new(dedupClose) })
	register("dedup.begin", func() step { return new(dedupBegin) })
	register("dedup.finish", func() step { return new(dedupFinish) })
}

// dedupTable is a gateway's table and the tickets of its runs, keyed by the run's
// name in the trace.
type dedupTable struct {
	table   *dedup.Table
	tickets map[string]dedup.Ticket
}

type dedupNew struct {
	Table     string `json:"table"`
	Bytes     int64  `json:"bytes"`
	HorizonMS int64  `json:"horizon_ms"`
	SkewMS    int64  `json:"skew_ms"`
}

func (s *dedupNew) apply(rs *replayState, _ traceTime) (any, error) {
	rs.dedupTables[s.Table] = &dedupTable{
		table: dedup.New(dedup.Config{
			Bytes:   s.Bytes,
			Horizon: time.Duration(s.HorizonMS) * time.Millisecond,
			Skew:    time.Duration(s.SkewMS) * time.Millisecond,
		}),
		tickets: make(map[string]dedup.Ticket),
	}
	return nil, nil
}

type dedupOpen struct {
	Table string             `json:"table"`
	Shard ownership.ShardRef `json:"shard"`
}

func (s *dedupOpen) apply(rs *replayState, at traceTime) (any, error) {
	t, err := findByName(rs.dedupTables, "dedup table", s.Table)
	if err != nil {
		return nil, err
	}
	t.table.Open(at.wallClock(), s.Shard)
	return nil, nil
}

type dedupClose struct {
	Table string             `json:"table"`
	Shard ownership.ShardRef `json:"shard"`
}

func (s *dedupClose) apply(rs *replayState, _ traceTime) (any, error) {
	t, err := findByName(rs.dedupTables, "dedup table", s.Table)
	if err != nil {
		return nil, err
	}
	t.table.Close(s.Shard)
	return nil, nil
}

type dedupBegin struct {
	Table       string             `json:"table"`
	Shard       ownership.ShardRef `json:"shard"`
	Client      string             `json:"client"`
	Key         string             `json:"key"`
	SentMS      *int64             `json:"sent_ms"` // by the caller's clock, since the start of the trace; nil if unknown
	Fingerprint uint64             `json:"fingerprint"`
	Run         string             `json:"run"` // name of the run that the verdict Run starts
}

// dedupVerdict is the JSON form of a dedup.Verdict.
type dedupVerdict struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason,omitempty"`
	Answer string `json:"answer,omitempty"`
}

func (s *dedupBegin) apply(rs *replayState, at traceTime) (any, error) {
	t, err := findByName(rs.dedupTables, "dedup table", s.Table)
	if err != nil {
		return nil, err
	}
	r := dedup.Request{Shard: s.Shard, Client: s.Client, Key: s.Key, Fingerprint: s.Fingerprint}
	if s.SentMS != nil {
		r.FirstSent = traceEpoch.Add(time.Duration(*s.SentMS) * time.Millisecond)
	}
	verdict := t.table.Begin(at.wallClock(), r)
	if verdict.Kind == dedup.Run {
		t.tickets[s.Run] = verdict.Ticket
	}
	result := dedupVerdict{Kind: verdict.Kind.String(), Reason: verdict.Reason.String()}
	if verdict.Answer != nil {
		result.Answer = string(verdict.Answer.Body)
	}
	return result, nil
}

type dedupFinish struct {
	Table   string `json:"table"`
	Run     string `json:"run"`
	Outcome string `json:"outcome"`
	Answer  string `json:"answer"`
}

// dedupFinishResult is the outcome of dedup.finish.
type dedupFinishResult struct {
	Remembered bool `json:"remembered"`
}

func (s *dedupFinish) apply(rs *replayState, at traceTime) (any, error) {
	t, err := findByName(rs.dedupTables, "dedup table", s.Table)
	if err != nil {
		return nil, err
	}
	ticket, begun := t.tickets[s.Run]
	if !begun {
		return nil, errors.Newf("run %q was not begun", s.Run)
	}
	outcome, err := parseOutcome(s.Outcome)
	if err != nil {
		return nil, err
	}
	result := dedup.Result{Outcome: outcome}
	if outcome == routing.OutcomeRan {
		result.Answer = &dedup.Answer{Status: 200, Body: []byte(s.Answer)}
	}
	return dedupFinishResult{t.table.Finish(at.wallClock(), ticket, result)}, nil
}
