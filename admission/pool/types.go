package pool

import (
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// Distance is how far a target is from this host.
type Distance uint8

const (
	// SameZone is the host's data centre.
	SameZone Distance = iota
	// SameRegion is another data centre of the region.
	SameRegion
	// Far is another region.
	Far
)

// Target is what is believed of one start of a target.
type Target struct {
	Owner    keyrange.Owner
	Distance Distance
	Slots    int
	Leaving  bool          // takes no new work
	ColdFor  time.Duration // how much longer it is slow
	Limit    int           // requests of this host that it may run: its share of connections; 0: no limit
}

// Request is a request that waits for a target.
type Request struct {
	ID       uint64
	Key      int // of a keyed service
	Priority int // 0 is the most urgent
	Arrived  time.Duration
	Goal     time.Duration // moment by which the answer has its full value
	Deadline time.Duration // moment from which no answer is of use
	Tried    []string      // targets that it was sent to
	NotUntil time.Duration // is not sent before
}

// Reason says why a request was refused.
type Reason string

const (
	// NoTarget: no target of the service may take work.
	NoTarget Reason = "no-target"
	// NoOwner: the key has no owner that may take work.
	NoOwner Reason = "no-owner"
	// Full: the request would wait for longer than is of use.
	Full Reason = "full"
	// Thinned: there are more requests for the owner's keys than it gets through, over
	// all hosts, and this one is not of the part that is sent.
	Thinned Reason = "thinned"
	// Late: its time ran out while it waited.
	Late Reason = "late"
	// Stopping: this host is about to end.
	Stopping Reason = "stopping"
	// Urgent: a more urgent request took its place.
	Urgent Reason = "displaced"
)

// Action is a decision on one request.
type Action struct {
	ID         uint64
	Start      bool
	Target     keyrange.Owner // of a start
	Fence      uint64         // of a start, for the log
	Waited     time.Duration
	Reason     Reason        // of a refusal
	RetryAfter time.Duration // of a refusal: when there will be room
}

// Result is what became of a request at a target.
type Result uint8

const (
	// Answered: a whole answer came that is not a failure of the target.
	Answered Result = iota
	// Failed: the target answered with a failure of its own.
	Failed
	// Shed: the target refused for lack of room, without running it.
	Shed
	// NotOwner: the target does not hold the key.
	NotOwner
	// Unreachable: no connection could be made.
	Unreachable
	// Broken: the connection ended or the answer was damaged.
	Broken
	// Silent: no answer came in time.
	Silent
	// Abandoned: the caller left.
	Abandoned
)

// String names the result in logs and metrics.
func (r Result) String() string {
	names := [...]string{"answered", "failed", "shed", "not-owner", "unreachable", "broken", "silent", "abandoned"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unspecified"
}
