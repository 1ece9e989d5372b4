package routing

import "time"

// BudgetConfig bounds retries by a share of the first tries.
type BudgetConfig struct {
	Ratio float64 // retries for each first try, e.g. 0.1
	Burst float64 // retries that may be saved up
}

// DefaultBudget lets a tenth of the requests be tried again.
var DefaultBudget = BudgetConfig{Ratio: 0.1, Burst: 10}

// Taker is a budget of retries.
type Taker interface {
	// Take uses up one retry and reports whether there was one.
	Take() bool
}

// Budget is a token bucket that first tries fill and retries empty. However
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

// First records a first try.
func (b *Budget) First() {
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Ratio)
}

// Take uses up one retry and reports whether there was one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the retries that are left.
func (b *Budget) Tokens() float64 { return b.tokens }

// Attempt is a request after a failed try.
type Attempt struct {
	Outcome    Outcome
	Idempotent bool
	Deadline   time.Duration // reading at which the caller gives up; 0: never
	Expected   time.Duration // usual service time
	Tries      int           // so far
	Poisoned   bool          // its fingerprint is quarantined
}

// MaxTries bounds the tries of one request.
const MaxTries = 3

// RetryReason says why a request is or is not tried again.
type RetryReason uint8

const (
	// RetryAllowed: try again.
	RetryAllowed RetryReason = iota
	// RetryRan: the request has its answer.
	RetryRan
	// RetryMayHaveRun: it may have run and is not idempotent.
	RetryMayHaveRun
	// RetryDeadline: the answer would come after the deadline.
	RetryDeadline
	// RetryTries: it was tried often enough.
	RetryTries
	// RetryPoison: it is quarantined.
	RetryPoison
	// RetryBudget: too many requests are being tried again.
	RetryBudget
)

// String names the reason in logs.
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

// MayRetry decides whether a request is tried again, and takes from the budget
// if it is.
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
