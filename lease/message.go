// Package lease implements the quorum leases under which a gateway host may send to a
// target. A Voter answers for one host of a cell; a Holder asks for one gateway. Both
// are pure state machines: they take messages and clock readings and return messages.
// Clock readings are monotonic times since the process started and are never compared
// between processes.
package lease

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// Timing holds the time constants of one cell. All voters and holders of a cell use the
// same values.
type Timing struct {
	Heartbeat time.Duration // interval between two vote requests of a holder
	Suspicion time.Duration // silence after which a peer counts as lost
	Lease     time.Duration // how long a vote is valid, from when its request was sent
	Drift     float64       // largest relative error of any one clock's rate
}

// DefaultTiming lets a key be served again within one second of the loss of its gateway
// or target, while the store is 30 ms away.
var DefaultTiming = Timing{
	Heartbeat: 100 * time.Millisecond,
	Suspicion: 300 * time.Millisecond,
	Lease:     400 * time.Millisecond,
	Drift:     0.05,
}

// StoreLease is how long a cell may serve the shards of services that move when a data
// centre is cut off. It counts from when the cell sent its last update of the store.
const StoreLease = 12 * time.Second

// StoreWait returns how long another cell must observe an unchanged version of a cell's
// store lease before it may take it: one store lease, with a margin for the other
// cell's slow clocks and its own fast one.
func (t Timing) StoreWait() time.Duration {
	return time.Duration(float64(StoreLease) * (1 + t.Drift) / (1 - t.Drift))
}

// Wait returns how long a new holder waits after a majority stopped the old one: one
// lease, with a margin for an old holder whose clock is slow by Drift and a new one
// whose clock is fast by Drift.
func (t Timing) Wait() time.Duration {
	return time.Duration(float64(t.Lease) * (1 + t.Drift) / (1 - t.Drift))
}

// Incarnation identifies one run of a process on a host. A restarted host is a new
// incarnation, whatever its address.
type Incarnation struct {
	Host string `json:"host"`
	Run  uint64 `json:"run"`
}

// GatewayEpoch orders the gateways of a target. It never decreases.
type GatewayEpoch uint64

// Claim is a gateway's claim to a target.
type Claim struct {
	Target string
	Epoch  GatewayEpoch
	Alive  bool // the gateway reaches the target; a hint for placement
	// Load is the number of requests that were running when the list was last sent in
	// full; a hint for placement.
	Load uint32
	// Drained reports that nothing runs at the target and that its gateway sends it
	// nothing new.
	Drained bool
}

// GatewayStop forbids every gateway epoch of a target up to Epoch. Released means that
// nothing is sent under them any more, so that no wait is needed.
type GatewayStop struct {
	Target   string
	Epoch    GatewayEpoch
	Released bool
	// Under is, if Released is set, the first epoch of the line of rights that was
	// released; 0 if unknown.
	Under GatewayEpoch
}

// ShardStop forbids every owner epoch of a shard up to Epoch. Released means that none
// of them runs anything any more, so that no wait is needed.
type ShardStop struct {
	Shard    ownership.ShardRef
	Epoch    ownership.Epoch
	Released bool
	// Under and To are set with Released. Under is the line of rights to the old
	// owner's target that released the shard. To is the line of rights to the next
	// owner's target whose holder received the shard's dedup state; 0 if none did.
	Under, To GatewayEpoch
}

// ShardEpoch is a shard at one owner epoch.
type ShardEpoch struct {
	Shard ownership.ShardRef
	Epoch ownership.Epoch
}

// Vacancy is a target without a working gateway, as one voter sees it.
type Vacancy struct {
	Target string
	Epoch  GatewayEpoch // highest epoch that claimed the target, 0 for none
	// Silent means that no request arrives from the gateway. Otherwise the gateway
	// reports that it cannot reach the target.
	Silent bool
}

// Stops is a set of promises that a voter keeps until its process ends.
type Stops struct {
	Gateways []GatewayStop
	Shards   []ShardStop
}

// VoteRequest asks a voter to vote for all claims of a holder. Seq rises with each
// request; a vote is valid from the holder's reading when it sent Seq.
type VoteRequest struct {
	Cell      string
	Record    uint64 // version of the cell's record that the holder has
	Holder    Incarnation
	Seq       uint64
	Claims    []Claim
	StopsSeen uint64 // the voter's StopsSeq up to which the holder has applied stops
	// ClaimsVersion identifies the list of claims within the holder's run; 0 for a list
	// without a version.
	ClaimsVersion uint64
	// Unchanged means that Claims are omitted: they are those of ClaimsVersion, which
	// the voter reported to hold.
	Unchanged bool
	// Serving lists the shards that the holder serves although their page does not show
	// it yet: a move to be completed or a takeover by the agreed next owner to be
	// recorded.
	Serving []ShardEpoch
	// Vacant lists the targets that a majority of the voters reports to have no working
	// gateway.
	Vacant []Vacancy
	// Stopped lists the shards that the holder should serve according to their page but
	// whose epoch it knows to be stopped. Unless the agreed next owner serves them,
	// they need a move to a higher epoch.
	Stopped []ShardEpoch
	// Unreleased lists the shards in planned moves that the holder's targets must give
	// up but that the holder cannot release, because its right was interrupted. Only a
	// forced move resolves this.
	Unreleased []ShardEpoch
	// Leaving reports that the holder's router shuts down.
	Leaving bool
}

// VoteReply carries a voter's votes. Stops contains every stop that the holder has not
// seen; the votes apply to everything that is not stopped.
type VoteReply struct {
	Cell    string
	Record  uint64 // version of the cell's record that the voter answers under
	Voter   Incarnation
	Holder  Incarnation // sender of the request; a later run of its host must not count the reply
	Seq     uint64
	Granted []Claim
	// GrantedAll means that every claim of the request with the same Seq is granted;
	// Granted is empty then.
	GrantedAll bool
	// ClaimsHeld is the version of the holder's claims that the voter holds, 0 for
	// none. Only that list may be omitted from a request.
	ClaimsHeld uint64
	Stops      Stops
	StopsSeq   uint64
	Vacant     []Vacancy // all targets without a working gateway
	// StoreLeft is the remaining time of the cell's store lease by the voter's reading,
	// 0 if the cell does not hold it. It is valid only together with Stops of the same
	// reply.
	StoreLeft time.Duration
}

// StopRequest asks a voter to promise Stops. With IfReleased the voter promises nothing
// and only reports whether everything in Stops was released.
type StopRequest struct {
	Cell       string
	Record     uint64
	From       Incarnation
	Seq        uint64
	Stops      Stops
	IfReleased bool
}

// StopReply confirms the promises of the request with the same Seq if Done is set.
// Released and ReleasedGateways list what of the request was released.
type StopReply struct {
	Cell     string
	Record   uint64
	Voter    Incarnation
	Holder   Incarnation // sender of the request
	Seq      uint64
	Done     bool
	Released []ShardStop

	ReleasedGateways []GatewayStop
}

// JoinRequest asks an old voter to answer under no record older than Record, which
// replaces the voter or some of its peers.
type JoinRequest struct {
	Cell   string
	Record uint64
	From   Incarnation
}

// JoinReply carries the promise and everything that the voter has stopped. Ready is the
// newest record under which the voter answered, 0 for none: only a voter that answered
// under the preceding record has stops to hand over.
type JoinReply struct {
	Cell   string
	Record uint64
	Voter  Incarnation
	Done   bool
	Stops  Stops
	Ready  uint64
}

// Message is one of the six messages of this package.
type Message interface{ leaseMessage() }

func (VoteRequest) leaseMessage() {}
func (VoteReply) leaseMessage()   {}
func (StopRequest) leaseMessage() {}
func (StopReply) leaseMessage()   {}
func (JoinRequest) leaseMessage() {}
func (JoinReply) leaseMessage()   {}

// Envelope is a message to be sent. It is delivered to the host To.Host, whichever
// incarnation runs there; an answer from another incarnation than To tells the sender
// that To is gone.
type Envelope struct {
	To  Incarnation
	Msg Message
}
