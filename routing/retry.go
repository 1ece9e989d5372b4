package routing

import "time"

// BudgetConfig limits retries to a fraction of the first tries.
type BudgetConfig struct {
	Ratio float64 // retries per first try, e.g. 0.1
	Burst float64 // maximum number of accumulated retries
}

// DefaultBudget allows retries for a tenth of the requests.
var DefaultBudget = BudgetConfig{Ratio: 0.1, Burst: 10}

// Taker is a retry budget.
type Taker interface {
	// Take uses one retry and reports whether one was available.
	Take() bool
}

// Budget is a token bucket that first tries fill and retries drain. However
// many requests fail, retries add at most Ratio to the load, after a burst. It
// is not safe for concurrent use.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// RecordFirstTry records a first try.
func (b *Budget) RecordFirstTry() {
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
}

// Take uses one retry and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 { return b.tokens }

// Attempt describes a request after a failed try.
type Attempt struct {
	Outcome    Outcome
	Idempotent bool
	Deadline   time.Duration // time at which the caller gives up; 0: never
	Expected   time.Duration // expected service time
	Tries      int           // number of tries so far
	Poisoned   bool          // its fingerprint is quarantined
}

// MaxTries is the maximum number of tries of one request.
const MaxTries = 3

// RetryReason says why a request is or is not retried.
type RetryReason uint8

const (
	// RetryAllowed means that the request may be retried.
	RetryAllowed RetryReason = iota
	// RetryRan means that the request already has its answer.
	RetryRan
	// RetryMayHaveRun means that the request may have run and is not
	// idempotent.
	RetryMayHaveRun
	// RetryDeadline means that the answer would come after the deadline.
	RetryDeadline
	// RetryTries means that the request has reached MaxTries.
	RetryTries
	// RetryPoison means that the request is quarantined.
	RetryPoison
	// RetryBudget means that the retry budget is exhausted.
	RetryBudget
)

// String returns the name of the reason in logs.
func (r RetryReason) String() string {
	switch r {
	case RetryAllowed:
		return "allowed"
	case RetryRan:
		return "ran"
	case RetryMayHaveRun:
		return "may-have-run"
	case RetryDeadline:
		return "deadline"
	case RetryTries:
		return "tries"
	case RetryPoison:
		return "poison"
	case RetryBudget:
		return "budget"
	default:
		return "invalid"
	}
}

// MayRetry decides whether a request is retried. If it is, one retry is taken
// from the budget.
func MayRetry(now time.Duration, a Attempt, budget Taker) RetryReason {
	switch {
	case a.Outcome == OutcomeRan:
		return RetryRan
	case a.Outcome != OutcomeNotRun && !a.Idempotent:
		return RetryMayHaveRun
	case a.Poisoned:
		return RetryPoison
	case a.Tries >= MaxTries:
		return RetryTries
	case a.Deadline > 0 && now+a.Expected >= a.Deadline:
		return RetryDeadline
	case !budget.Take():
		return RetryBudget
	default:
		return RetryAllowed
	}
}
