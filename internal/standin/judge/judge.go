// Package judge compares the runs that targets recorded with the responses that
// callers received. It uses these records only, not how a request was routed.
package judge

import (
	"cmp"
	"slices"
)

// RunOutcome is how a run ended.
type RunOutcome string

const (
	// RunComplete is a run that completed.
	RunComplete RunOutcome = "complete"
	// RunCancelled is a run that stopped when its connection closed or its
	// deadline passed.
	RunCancelled RunOutcome = "cancelled"
	// RunCrashed is a run during which its target crashed.
	RunCrashed RunOutcome = "crashed"
	// RunLapsed is a run that stopped because its grant expired.
	RunLapsed RunOutcome = "lapsed"
	// RunOpen is a run that hasn't ended.
	RunOpen RunOutcome = "open"
)

// Run is one run of a request at a target. Times are in Unix nanoseconds; End is
// zero while the run is open. The End of a lapsed run is the last time at which it
// made progress.
type Run struct {
	Number         uint64     `json:"number"` // increases within a target
	RequestID      string     `json:"request_id"`
	IdempotencyKey string     `json:"idempotency_key,omitempty"`
	Client         string     `json:"client"`
	Service        string     `json:"service"`
	Method         string     `json:"method"`
	Path           string     `json:"path"`
	Key            string     `json:"key,omitempty"`
	Shard          uint32     `json:"shard"`
	Target         string     `json:"target"`
	OwnerEpoch     uint64     `json:"owner_epoch"`
	GatewayEpoch   uint64     `json:"gateway_epoch"`
	Start          int64      `json:"start_ns"`
	End            int64      `json:"end_ns"`
	Outcome        RunOutcome `json:"outcome"`
}

// Outcome is the value of the Mangopost-Outcome header that a caller received.
type Outcome string

const (
	// OutcomeRan means that the request ran and the answer is its own.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the request certainly did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNone means that the connection broke before the caller received an
	// outcome.
	OutcomeNone Outcome = ""
)

// Response records the response to one attempt of a caller. Times are in Unix
// nanoseconds by the caller's clock.
type Response struct {
	RequestID      string  `json:"request_id"`
	IdempotencyKey string  `json:"idempotency_key,omitempty"`
	Client         string  `json:"client"`
	Service        string  `json:"service"`
	Idempotent     bool    `json:"idempotent"`
	Outcome        Outcome `json:"outcome"`
	Replayed       bool    `json:"replayed,omitempty"`
	EchoedID       string  `json:"echoed_id,omitempty"` // request ID in the response body; empty if it has none
	Sent           int64   `json:"sent_ns"`
	Answered       int64   `json:"answered_ns"`
}

// DuplicateRuns holds the runs of a request that is not idempotent and ran more than
// once.
type DuplicateRuns struct {
	Client         string `json:"client"`
	Service        string `json:"service"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Runs           []Run  `json:"runs"`
}

// Overlap is a pair of runs of one key at two targets, the second of which started
// before the first ended, or under an older owner epoch of the same shard, or in a
// shard that the key had left at that epoch or a later one.
type Overlap struct {
	First  Run `json:"first"`
	Second Run `json:"second"`
}

// Contradiction is a response that doesn't agree with a run. Run is empty when the
// request never ran.
type Contradiction struct {
	Response Response `json:"told"`
	Run      Run      `json:"run"`
}

// Report is the result of comparing runs and responses. Each entry of the first five
// lists violates a guarantee.
type Report struct {
	Runs      int `json:"runs"`
	Responses int `json:"told"`
	Ran       int `json:"told_ran"`
	NotRun    int `json:"told_not_run"`
	Unknown   int `json:"told_unknown"`

	DuplicateRuns []DuplicateRuns `json:"doubled"`
	Overlaps      []Overlap       `json:"overlaps"`
	NotRunButRan  []Contradiction `json:"not_run_but_ran"`
	WrongAnswers  []Contradiction `json:"wrong_answers"`
	RanWithoutRun []Contradiction `json:"ran_but_never"`

	// RefusedRepeats lists repeats that were answered not-run and did not run, but
	// whose idempotency key an earlier attempt had run. That is no violation.
	RefusedRepeats []Contradiction `json:"repeat_refused"`
}

// Violations returns the number of violated guarantees.
func (r Report) Violations() int {
	return len(r.DuplicateRuns) + len(r.Overlaps) + len(r.NotRunButRan) + len(r.WrongAnswers) + len(r.RanWithoutRun)
}

// requestKey identifies a request over several attempts.
type requestKey struct {
	client, service, idempotencyKey string
}

func runRequestKey(r Run) requestKey { return requestKey{r.Client, r.Service, r.IdempotencyKey} }
func responseRequestKey(resp Response) requestKey {
	return requestKey{resp.Client, resp.Service, resp.IdempotencyKey}
}

// Check compares the runs of all targets with the responses of all callers. Requests
// without an entry in responses are checked for duplicate and overlapping runs only.
func Check(runs []Run, responses []Response) Report {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Number, b.Number))
	})
	report := Report{Runs: len(runs), Responses: len(responses)}
	report.countOutcomes(responses)
	report.findDuplicateRuns(runs, responses)
	report.findOverlaps(runs)
	report.findContradictions(runs, responses)
	return report
}

func (r *Report) countOutcomes(responses []Response) {
	for _, resp := range responses {
		switch resp.Outcome {
		case OutcomeRan:
			r.Ran++
		case OutcomeNotRun:
			r.NotRun++
		case OutcomeUnknown:
			r.Unknown++
		}
	}
}
