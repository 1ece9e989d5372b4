// Package placement decides which target owns which shard, which hot keys are
// pinned, and which host is the gateway of which target. It is pure: a plan
// depends only on a snapshot. A plan takes effect when it is written to the
// platform's store by a conditional update.
package placement

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// TargetState is the state of a target as the planner knows it.
type TargetState string

const (
	// Live targets may be given shards.
	Live TargetState = "live"
	// Leaving targets are marked in the host list as ending soon.
	Leaving TargetState = "leaving"
	// Stopping targets are being drained by a planned stop.
	Stopping TargetState = "stopping"
	// Lost targets do not answer.
	Lost TargetState = "lost"
)

// Target is a target of the service that is planned.
type Target struct {
	Name     string
	Cell     string
	State    TargetState
	Capacity int // slots; below 1 counts as 1
}

// HotKey is a key that may need a shard of its own.
type HotKey struct {
	Key   string
	Shard uint32  // hash-range shard of the key
	Load  float64 // requests per second
}

// Limits bound the changes that a plan may make for better balance. Shards of
// targets that are lost, leaving or stopping move regardless of the limits.
type Limits struct {
	MovesPerMinute int           // shards that change their owner, are pinned or unpinned
	StartDeviation float64       // deviation from the mean load, as a share of it, above which balancing starts
	StopDeviation  float64       // deviation, as a share of the mean, at which balancing ends
	MinStay        time.Duration // least time after a shard's last change before it moves for balance
	PinShare       float64       // least load of a key to pin, as a share of a target's mean load
	UnpinShare     float64       // load below which a key is unpinned, as a share of a target's mean load
	MinPinGain     float64       // least reduction of the higher load of two targets by a pin, as a share of the mean
	MaxPins        int           // pins in use at the same time
	AcrossCells    bool          // shards may leave their cell for balance or after a loss
}

// DefaultLimits allow few moves, so that balancing does not disturb a service.
var DefaultLimits = Limits{
	MovesPerMinute: 12,
	StartDeviation: 0.10,
	StopDeviation:  0.05,
	MinStay:        30 * time.Second,
	PinShare:       0.15,
	UnpinShare:     0.03,
	MinPinGain:     0.05,
	MaxPins:        64,
}

// Snapshot is everything that a plan depends on.
type Snapshot struct {
	Now       time.Time
	Page      ownership.Page
	Targets   []Target
	ShardLoad []float64 // requests per second by shard number, pins included
	HotKeys   []HotKey
	Window    time.Duration // period over which requests were counted; 0 if loads are exact
	Limits    Limits
	// Cell, if set, restricts the plan to one cell. Only shards of this cell and
	// shards without a cell are changed, and only its changes count against the
	// limits, because the loads of other cells' shards are unknown here.
	Cell string
}

// Action says what a decision changes in the page.
type Action string

const (
	// ActionMove assigns a shard to another target.
	ActionMove Action = "move"
	// ActionNext changes only the successor agreed in advance.
	ActionNext Action = "next"
	// ActionPin gives a key a shard of its own.
	ActionPin Action = "pin"
	// ActionUnpin returns a key to its hash-range shard.
	ActionUnpin Action = "unpin"
)

// Reason says why a decision was made. It is written to the page and logged.
type Reason string

const (
	// ReasonInitial means that the service is new.
	ReasonInitial Reason = "initial"
	// ReasonUnassigned means that the shard has no owner.
	ReasonUnassigned Reason = "unassigned"
	// ReasonLost means that the owner does not answer.
	ReasonLost Reason = "owner-lost"
	// ReasonLeaving means that the host list marks the owner as leaving.
	ReasonLeaving Reason = "owner-leaving"
	// ReasonStopping means that the owner is being drained by a planned stop.
	ReasonStopping Reason = "owner-stopping"
	// ReasonGone means that the owner is not among the service's targets.
	ReasonGone Reason = "owner-gone"
	// ReasonBalance means that the move balances the load.
	ReasonBalance Reason = "balance"
	// ReasonHot means that the key causes a large part of a target's load.
	ReasonHot Reason = "hot-key"
	// ReasonCooled means that the pinned key is no longer hot.
	ReasonCooled Reason = "key-cooled"
	// ReasonSuccessor means that the shard had no live successor.
	ReasonSuccessor Reason = "successor"
)

// Decision is one change of the page.
type Decision struct {
	Action Action
	Shard  uint32 // with ActionPin: the hash-range shard that the key leaves
	Key    string // with ActionPin and ActionUnpin
	Cell   string // cell of Target
	Target string // new owner; with ActionNext the current owner
	Kind   ownership.MoveKind
	Next   string // agreed successor in the same cell, or empty
	Reason Reason
}
