package pool

import (
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// Distance is the distance between a target and this host.
type Distance uint8

const (
	// SameZone means that the target is in the host's data centre.
	SameZone Distance = iota
	// SameRegion means another data centre of the same region.
	SameRegion
	// Far means another region.
	Far
)

// Target is the pool's information about one incarnation of a target.
type Target struct {
	Owner    keyrange.Owner
	Distance Distance
	Region   string // "" if not known
	Slots    int
	Leaving  bool // accepts no new work
	// Evacuated says that the target is Leaving because its data centre is evacuated, for
	// an unknown time. It is set only together with Leaving.
	Evacuated bool
	ColdFor   time.Duration // remaining time during which it is slow after its start, as written with the heartbeat
	Limit     int           // maximum number of concurrent requests of this host: its share of connections; 0: no limit

	Heartbeat  uint64 // number of the target's writes in this run
	DataCentre string // reserved targets are spread over the data centres
}

// Request is a request that waits for a target.
type Request struct {
	ID           uint64
	Key          int      // key of a request to a keyed service
	Priority     int      // 0 is the most urgent
	Route        string   // name of the route, whose requests are alike
	Regions      []string // regions whose targets may run the request; empty: all
	Arrived      time.Duration
	Goal         time.Duration // time by which the answer has its full value; before Arrived if the caller sends the request again
	Deadline     time.Duration // time from which an answer is of no use
	TriedTargets []string      // targets that the request was already sent to
	NotBefore    time.Duration // earliest time at which the request may be sent

	wantsAway uint8 // places for which the request was counted as one that should leave, as bits
}

// Reason is the reason why a request was refused.
type Reason string

const (
	// NoTarget means that no target of the service accepts work.
	NoTarget Reason = "no-target"
	// NoOwner means that the key has no owner that accepts work.
	NoOwner Reason = "no-owner"
	// Full means that the request would wait too long for a useful answer.
	Full Reason = "full"
	// Thinned means that all hosts together receive more requests for the
	// owner's keys than it can serve, and this request is not in the fraction
	// that is admitted.
	Thinned Reason = "thinned"
	// Late means that too little time was left while the request waited.
	Late Reason = "late"
	// Stopping means that this host is shutting down.
	Stopping Reason = "stopping"
	// Paused means that the targets that could run the request asked for a pause
	// that lasts too long for a useful answer.
	Paused Reason = "paused"
	// Cold means that only cold targets could run the request, and they would take it
	// too late for a useful answer.
	Cold Reason = "cold"
	// Reserved means that the request would wait too long for a useful answer
	// because capacity is reserved for more urgent requests.
	Reserved Reason = "reserved"
	// PastGoal means that the request's goal has passed, as its caller sends it again,
	// while others whose goal can be met lack room.
	PastGoal Reason = "past-goal"
	// Displaced means that a more urgent request took the place of this one.
	Displaced Reason = "displaced"
)

// Action is the decision on one request: a start or a refusal.
type Action struct {
	ID         uint64
	Start      bool
	Target     keyrange.Owner // with Start
	Fence      uint64         // with Start: fence of the key; 0 for an unkeyed service
	Waited     time.Duration
	Cold       bool          // with Start: the target is cold
	Reason     Reason        // of a refusal
	RetryAfter time.Duration // of a refusal: when there will be room
	Route      string        // with Start: route of the request

	Distance    Distance    // with Start: of the target
	CrossReason CrossReason // with Start: why the target is at that distance
}

// Result describes how a request at a target ended.
type Result uint8

const (
	// Answered means that a complete answer arrived that is not a failure of
	// the target.
	Answered Result = iota
	// Failed means that the target answered with an error of its own.
	Failed
	// Shed means that the target refused the request for lack of room, without
	// running it.
	Shed
	// NotOwner means that the target does not hold the key.
	NotOwner
	// Unreachable means that no connection could be established.
	Unreachable
	// Broken means that the connection was lost or the answer was damaged.
	Broken
	// Silent means that no answer came in time.
	Silent
	// Abandoned means that the caller disconnected.
	Abandoned
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	names := [...]string{"answered", "failed", "shed", "not-owner", "unreachable", "broken", "silent", "abandoned"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unspecified"
}
