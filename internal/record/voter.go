package record

import (
	"time"

	"github.com/mangopost/mangopost/lease"
)

// Voter is a lease.Voter that records its events. The methods that it does not
// override do not affect what is sent.
type Voter struct {
	*lease.Voter
	recorder *Recorder
}

// NewVoter returns a voter in its initial state. With a nil recorder nothing is
// recorded.
func NewVoter(cfg lease.VoterConfig, recorder *Recorder) *Voter {
	recorder.recordUntimed(KindVoterStart, Start{Cell: cfg.Cell, Self: cfg.Self, Timing: cfg.Timing})
	return &Voter{Voter: lease.NewVoter(cfg), recorder: recorder}
}

// SetElectorate records and calls lease.Voter.SetElectorate.
func (v *Voter) SetElectorate(now time.Duration, e lease.Electorate) {
	v.recorder.recordAt(now, KindVoterElectorate, Electorate{At{now}, e}, nil)
	v.Voter.SetElectorate(now, e)
}

// SetTargets records and calls lease.Voter.SetTargets.
func (v *Voter) SetTargets(now time.Duration, targets []string) {
	v.recorder.recordAt(now, KindVoterTargets, Targets{At{now}, targets}, nil)
	v.Voter.SetTargets(now, targets)
}

// SetFloor records and calls lease.Voter.SetFloor.
func (v *Voter) SetFloor(now time.Duration, record uint64, floor lease.Stops) {
	v.recorder.recordAt(now, KindVoterFloor, Floor{At{now}, record, floor}, nil)
	v.Voter.SetFloor(now, record, floor)
}

// SetGone records and calls lease.Voter.SetGone.
func (v *Voter) SetGone(at time.Duration, holder lease.Incarnation) bool {
	v.recorder.recordAt(at, KindVoterGone, Gone{At{at}, holder}, nil)
	return v.Voter.SetGone(at, holder)
}

// Tick calls lease.Voter.Tick and records it with the sent envelopes.
func (v *Voter) Tick(now time.Duration) []lease.Envelope {
	sent := v.Voter.Tick(now)
	v.recorder.recordAt(now, KindVoterTick, At{now}, sent)
	return sent
}

// Step calls lease.Voter.Step and records it with the sent envelopes.
func (v *Voter) Step(now time.Duration, from lease.Incarnation, m lease.Message) []lease.Envelope {
	sent := v.Voter.Step(now, from, m)
	v.recorder.recordAt(now, KindVoterStep, Step{At{now}, from, NewMessage(m)}, sent)
	return sent
}
