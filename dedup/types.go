// Package dedup remembers the idempotency keys of the requests that a gateway
// started, so that a repeat receives the first answer instead of running again.
// A Table is bounded in bytes and records, for each shard, since when it is
// complete: a request first sent before that may have run without the table's
// knowledge, so it gets the verdict Unknown and is not run. The package does no
// I/O and reads no clock.
//
// Times are wall-clock readings of the gateway. Callers' clocks may differ from
// them by Config.Skew either way.
package dedup

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

// Config bounds a table.
type Config struct {
	// Bytes is the maximum memory for keys and answers.
	Bytes int64
	// Horizon is how long after first sending a request a caller may repeat it.
	// It is also the assumed age of a request without a first-sent time.
	Horizon time.Duration
	// Skew is the maximum error of a caller's clock relative to the gateway's.
	Skew time.Duration
	// AnswerShare is the fraction of Bytes that the newest answers keep while
	// old keys are dropped. Zero means DefaultAnswerShare. If it is negative,
	// every answer is dropped before any key.
	AnswerShare float64
}

// DefaultAnswerShare keeps enough answers for repeats that follow soon after the
// first sending.
const DefaultAnswerShare = 0.5

// Request is a request that is about to start.
type Request struct {
	Shard       ownership.ShardRef
	Client      string
	Key         string    // idempotency key; an empty one is always a new request and is not remembered
	FirstSent   time.Time // by the caller's clock; zero if unknown
	Fingerprint uint64    // hash of the request's contents
}

// Kind is the decision about a request.
type Kind uint8

const (
	// Run means that the caller must run the request and then call Finish with
	// the verdict's ticket.
	Run Kind = iota
	// Replay means that the caller must return the answer that the verdict holds.
	Replay
	// Join means that the same request is already running; the caller must wait
	// for it to finish.
	Join
	// Unknown means that the request may have run before and must not run.
	Unknown
	// Mismatch means that the key belongs to a different request; this one must
	// not run.
	Mismatch
	// Full means that the table has no room for the key. The request has not
	// run before and must not run now.
	Full
)

// String returns the name of the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case Run:
		return "run"
	case Replay:
		return "replay"
	case Join:
		return "join"
	case Unknown:
		return "unknown"
	case Mismatch:
		return "mismatch"
	case Full:
		return "full"
	default:
		return "invalid"
	}
}

// Reason says why a verdict is Unknown.
type Reason uint8

const (
	// ReasonNone accompanies every kind other than Unknown.
	ReasonNone Reason = iota
	// ReasonBeforeTable means that the request was first sent before the time
	// since which the table is complete.
	ReasonBeforeTable
	// ReasonNotOpen means that the gateway does not serve the shard.
	ReasonNotOpen
	// ReasonOutcome means that the first run ended with an unknown outcome.
	ReasonOutcome
	// ReasonAnswerDropped means that the request ran, but its answer was not
	// kept or was dropped to save memory.
	ReasonAnswerDropped
)

// String returns the reason in the form that is sent to callers.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return ""
	case ReasonBeforeTable:
		return "first-sent-before-record"
	case ReasonNotOpen:
		return "not-served-here"
	case ReasonOutcome:
		return "first-try-unknown"
	case ReasonAnswerDropped:
		return "answer-dropped"
	default:
		return "invalid"
	}
}

// Header is one header field of an answer.
type Header struct {
	Name, Value string
}

// Answer is a target's complete answer. It is not modified after Finish.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

func (a *Answer) bytes() int64 {
	if a == nil {
		return 0
	}
	size := answerOverheadBytes + len(a.Body)
	for _, h := range a.Headers {
		size += headerOverheadBytes + len(h.Name) + len(h.Value)
	}
	return int64(size)
}

// Ticket identifies one run of a request. A request without a key has the zero
// Ticket, for which Finish does nothing.
type Ticket struct {
	id  entryID
	run uint64
}

// Verdict is the decision of Begin about a request.
type Verdict struct {
	Kind   Kind
	Reason Reason  // set if Kind is Unknown
	Answer *Answer // set if Kind is Replay
	Ticket Ticket  // set if Kind is Run or Join; with Join it identifies the run to wait for
}

// Result is how a run ended.
type Result struct {
	Outcome routing.Outcome
	Answer  *Answer // set with OutcomeRan; nil if the answer was too long to keep
}

// Stats holds the statistics of a table.
type Stats struct {
	Entries        int
	Running        int
	Bytes          int64 // keys and answers
	AnswerBytes    int64
	DroppedAnswers uint64
	DroppedKeys    uint64 // keys dropped before their horizon had passed
}
