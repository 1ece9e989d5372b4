package record

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// Kinds of recorded events. The comment of a kind names the type of its input. The
// outcome of a tick or step is a list of Sent.
const (
	KindGap = "record.gap" // Gap

	KindHolderStart      = "holder.start"      // Start
	KindHolderElectorate = "holder.electorate" // Electorate
	KindHolderTargets    = "holder.targets"    // TargetClaims
	KindHolderShards     = "holder.shards"     // ShardClaims
	KindHolderAlive      = "holder.alive"      // Alive
	KindHolderDrained    = "holder.drained"    // Drained
	KindHolderStore      = "holder.store"      // Store
	KindHolderTick       = "holder.tick"       // At
	KindHolderStep       = "holder.step"       // Step
	KindHolderRelease    = "holder.release"    // Release; the outcome is Refusal
	KindHolderHandover   = "holder.handover"   // Handover; the outcome is Refusal
	KindHolderLeaving    = "holder.leaving"    // At

	KindVoterStart      = "voter.start"      // Start
	KindVoterElectorate = "voter.electorate" // Electorate
	KindVoterTargets    = "voter.targets"    // Targets
	KindVoterFloor      = "voter.floor"      // Floor
	KindVoterGone       = "voter.gone"       // Gone
	KindVoterTick       = "voter.tick"       // At
	KindVoterStep       = "voter.step"       // Step
)

// At is the reading of the state machine's clock at an event, in nanoseconds.
type At struct {
	Now time.Duration `json:"now_ns"`
}

// Gap replaces events that were lost because the recorder's queue was full. No
// later event can be replayed.
type Gap struct {
	Lost uint64 `json:"lost"` // number of lost events
}

// Start creates a state machine in its initial state.
type Start struct {
	Cell   string            `json:"cell"`
	Self   lease.Incarnation `json:"self"`
	Timing lease.Timing      `json:"timing"`
}

// Electorate is a call of Holder.SetElectorate or Voter.SetElectorate.
type Electorate struct {
	At
	Electorate lease.Electorate `json:"electorate"`
}

// TargetClaims is a call of Holder.SetTargets.
type TargetClaims struct {
	At
	Claims []lease.TargetClaim `json:"claims"`
}

// ShardClaims is a call of Holder.SetShards.
type ShardClaims struct {
	At
	Claims []lease.ShardClaim `json:"claims"`
}

// Alive is a call of Holder.SetAlive.
type Alive struct {
	Target string `json:"target"`
	Alive  bool   `json:"alive"`
	Load   uint32 `json:"load"` // number of requests in the last second
}

// Drained is a call of Holder.SetDrained.
type Drained struct {
	Target  string `json:"target"`
	Drained bool   `json:"drained"`
}

// Store is a call of Holder.SetStoreDown.
type Store struct {
	Down bool `json:"down"`
}

// Release is a call of Holder.Release.
type Release struct {
	At
	Shard ownership.ShardRef `json:"shard"`
	Epoch ownership.Epoch    `json:"epoch"`
	To    lease.GatewayEpoch `json:"to,omitempty"`
}

// Handover is a call of Holder.ReleaseTarget.
type Handover struct {
	At
	Target string `json:"target"`
}

// Refusal is the outcome of an event that may be refused.
type Refusal struct {
	Refused string `json:"refused,omitempty"`
}

// NewRefusal returns the recorded form of an error, which may be nil.
func NewRefusal(err error) Refusal {
	if err == nil {
		return Refusal{}
	}
	return Refusal{Refused: err.Error()}
}

// Targets is a call of Voter.SetTargets.
type Targets struct {
	At
	Targets []string `json:"targets"`
}

// Gone is a call of Voter.SetGone. At is the clock reading when the holder was
// found to be gone.
type Gone struct {
	At
	Holder lease.Incarnation `json:"holder"`
}

// Floor is a call of Voter.SetFloor.
type Floor struct {
	At
	Record uint64      `json:"record"`
	Floor  lease.Stops `json:"floor"`
}

// Step is a call of Holder.Step or Voter.Step.
type Step struct {
	At
	From lease.Incarnation `json:"from"`
	Message
}

// Sent is an envelope sent by a state machine.
type Sent struct {
	To lease.Incarnation `json:"to"`
	Message
}

// NewSentList returns the recorded form of the envelopes sent by a tick or
// step. It is never nil.
func NewSentList(envelopes []lease.Envelope) []Sent {
	sent := make([]Sent, 0, len(envelopes))
	for _, e := range envelopes {
		sent = append(sent, Sent{To: e.To, Message: NewMessage(e.Msg)})
	}
	return sent
}

// Message is the recorded form of a lease message. Exactly one field is set.
type Message struct {
	VoteRequest *lease.VoteRequest `json:"vote_request,omitempty"`
	VoteReply   *lease.VoteReply   `json:"vote_reply,omitempty"`
	StopRequest *lease.StopRequest `json:"stop_request,omitempty"`
	StopReply   *lease.StopReply   `json:"stop_reply,omitempty"`
	JoinRequest *lease.JoinRequest `json:"join_request,omitempty"`
	JoinReply   *lease.JoinReply   `json:"join_reply,omitempty"`
}

// NewMessage returns the recorded form of a lease message.
func NewMessage(m lease.Message) Message {
	switch m := m.(type) {
	case lease.VoteRequest:
		return Message{VoteRequest: &m}
	case lease.VoteReply:
		return Message{VoteReply: &m}
	case lease.StopRequest:
		return Message{StopRequest: &m}
	case lease.StopReply:
		return Message{StopReply: &m}
	case lease.JoinRequest:
		return Message{JoinRequest: &m}
	case lease.JoinReply:
		return Message{JoinReply: &m}
	default:
		return Message{}
	}
}

// LeaseMessage returns the lease message, or an error if no field is set.
func (m Message) LeaseMessage() (lease.Message, error) {
	switch {
	case m.VoteRequest != nil:
		return *m.VoteRequest, nil
	case m.VoteReply != nil:
		return *m.VoteReply, nil
	case m.StopRequest != nil:
		return *m.StopRequest, nil
	case m.StopReply != nil:
		return *m.StopReply, nil
	case m.JoinRequest != nil:
		return *m.JoinRequest, nil
	case m.JoinReply != nil:
		return *m.JoinReply, nil
	default:
		return nil, errors.New("recorded message has no field set")
	}
}
