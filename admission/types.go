// Package admission decides when the requests of one target start and which of
// them are refused. A target has exactly one gateway, which keeps its Queue, so
// the slot counts are exact. Queue is a pure state machine: events and the
// current time go in, actions come out. It holds no lock, goroutine or clock,
// and its memory is bounded by the limits of its Config.
//
// All times are readings of one monotonic clock, as durations since an origin
// that the caller chooses.
package admission

import "time"

// RouteID identifies a route of the service's template.
type RouteID uint32

// Request is a request that arrives at the gateway.
type Request struct {
	ID         uint64 // unique among waiting and running requests
	Client     string
	Weight     int // the client's fair-share weight under overload; values below 1 count as 1
	Route      RouteID
	Deadline   time.Duration // time at which the caller gives up; 0: never
	Idempotent bool
}

// ResultKind describes how a started request ended.
type ResultKind uint8

const (
	// Completed means that the target answered.
	Completed ResultKind = iota
	// Shed means that the target refused the request before running it.
	Shed
	// Failed means that the connection failed or the answer was truncated.
	Failed
	// Cancelled means that the gateway cancelled the request.
	Cancelled
)

// Result describes the end of a started request.
type Result struct {
	Took       time.Duration // from start to end
	Kind       ResultKind
	RetryAfter time.Duration // with Shed: the delay that the target asked for, 0 if none
}

// ActionKind is the type of an Action.
type ActionKind uint8

const (
	// Start sends the request to the target. Each Start occupies a slot until
	// Done is called with the same ID.
	Start ActionKind = iota
	// Refuse answers the caller with a refusal. The request holds no slot.
	Refuse
	// Preempt cancels a running idempotent request to free its slot. The
	// gateway calls Done with Cancelled once the target has released the
	// request; the queue then either queues it again as a long request or
	// refuses it with ReasonPreempted. Only a Queue with Config.Preempt returns
	// this action.
	Preempt
)

// Reason is the reason why a request was refused.
type Reason uint8

const (
	// ReasonNone is the reason of an action that is not a refusal.
	ReasonNone Reason = iota
	// ReasonQueueFull means that the queue has reached its limit, or that it is
	// overloaded and the request would wait too long.
	ReasonQueueFull
	// ReasonOverShare means that the queue is full and the client exceeds its
	// fair share of it.
	ReasonOverShare
	// ReasonDeadline means that the answer would come after the deadline.
	ReasonDeadline
	// ReasonDraining means that the target accepts no new work, or that its
	// gateway hands it over to another one.
	ReasonDraining
	// ReasonPreempted means that the request was started, ran too long and was
	// cancelled. It is the only reason whose outcome is not "not run".
	ReasonPreempted
)

// String returns the reason as it is reported to callers.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return ""
	case ReasonQueueFull:
		return "queue-full"
	case ReasonOverShare:
		return "over-share"
	case ReasonDeadline:
		return "deadline-unreachable"
	case ReasonDraining:
		return "draining"
	case ReasonPreempted:
		return "preempted"
	default:
		return "invalid"
	}
}

// Action is an instruction that the gateway must carry out immediately.
type Action struct {
	Kind       ActionKind
	ID         uint64
	Reason     Reason
	RetryAfter time.Duration // with Refuse: when a retry may be accepted
}

// Special values of Config.ShortReserve.
const (
	// LearnedReserve reserves as many slots for short requests as their arrival
	// rate requires. A fifth of the slots always stays open to long requests.
	LearnedReserve = 0
	// NoReserve lets long requests use every slot.
	NoReserve = -1
)

// Config describes one target and the behaviour of its queue.
type Config struct {
	Slots       int // requests that the target runs concurrently, at least 1
	Connections int // connections to the target; 0: as many as slots
	Limit       int // maximum number of waiting requests
	Order       Order

	// ShortReserve is the number of slots in which long requests and stragglers
	// must not start.
	ShortReserve int
	// Preempt enables Preempt actions.
	Preempt bool
	// NoEarlyRefusal lets a request wait although it is expected to miss its
	// deadline. A request whose deadline has passed is still refused.
	NoEarlyRefusal bool
	// NoFairShare refuses the newest request when the queue is full, regardless
	// of the client.
	NoFairShare bool
	// FixedConcurrency uses all slots at all times: there is no slow start, and
	// failures and shedding do not reduce the concurrency.
	FixedConcurrency bool
}

// Stats is a snapshot of a queue.
type Stats struct {
	Running     int // requests that hold a slot
	Waiting     int
	Long        int // running requests of class Long
	Stragglers  int // running short requests that exceeded the straggler bound
	Concurrency int // slots that may be used now
	Slots       int
	Clients     int // clients with waiting requests
	Draining    bool
}
