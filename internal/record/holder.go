package record

import (
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// Holder is a lease.Holder that records its events. The methods that it does not
// override change no state.
type Holder struct {
	*lease.Holder
	recorder *Recorder
}

// NewHolder returns a holder without leases. With a nil recorder nothing is
// recorded.
func NewHolder(cfg lease.HolderConfig, recorder *Recorder) *Holder {
	recorder.recordUntimed(KindHolderStart, Start{Cell: cfg.Cell, Self: cfg.Self, Timing: cfg.Timing})
	return &Holder{Holder: lease.NewHolder(cfg), recorder: recorder}
}

// SetElectorate records and calls lease.Holder.SetElectorate.
func (h *Holder) SetElectorate(now time.Duration, e lease.Electorate) {
	h.recorder.recordAt(now, KindHolderElectorate, Electorate{At{now}, e}, nil)
	h.Holder.SetElectorate(now, e)
}

// SetTargets records and calls lease.Holder.SetTargets.
func (h *Holder) SetTargets(now time.Duration, claims []lease.TargetClaim) {
	h.recorder.recordAt(now, KindHolderTargets, TargetClaims{At{now}, claims}, nil)
	h.Holder.SetTargets(now, claims)
}

// SetShards records and calls lease.Holder.SetShards.
func (h *Holder) SetShards(now time.Duration, claims []lease.ShardClaim) {
	h.recorder.recordAt(now, KindHolderShards, ShardClaims{At{now}, claims}, nil)
	h.Holder.SetShards(now, claims)
}

// SetAlive records and calls lease.Holder.SetAlive.
func (h *Holder) SetAlive(target string, alive bool, load uint32) {
	h.recorder.recordUntimed(KindHolderAlive, Alive{target, alive, load})
	h.Holder.SetAlive(target, alive, load)
}

// SetDrained records and calls lease.Holder.SetDrained.
func (h *Holder) SetDrained(target string, drained bool) {
	h.recorder.recordUntimed(KindHolderDrained, Drained{target, drained})
	h.Holder.SetDrained(target, drained)
}

// SetStoreDown records and calls lease.Holder.SetStoreDown.
func (h *Holder) SetStoreDown(down bool) {
	h.recorder.recordUntimed(KindHolderStore, Store{down})
	h.Holder.SetStoreDown(down)
}

// Tick calls lease.Holder.Tick and records it with the sent envelopes.
func (h *Holder) Tick(now time.Duration) []lease.Envelope {
	sent := h.Holder.Tick(now)
	h.recorder.recordAt(now, KindHolderTick, At{now}, sent)
	return sent
}

// Step calls lease.Holder.Step and records it with the sent envelopes.
func (h *Holder) Step(now time.Duration, from lease.Incarnation, m lease.Message) []lease.Envelope {
	sent := h.Holder.Step(now, from, m)
	h.recorder.recordAt(now, KindHolderStep, Step{At{now}, from, NewMessage(m)}, sent)
	return sent
}

// Release calls lease.Holder.Release and records it with its outcome.
func (h *Holder) Release(now time.Duration, ref ownership.ShardRef, epoch ownership.Epoch, to lease.GatewayEpoch) error {
	err := h.Holder.Release(now, ref, epoch, to)
	h.recorder.recordAt(now, KindHolderRelease, Release{At{now}, ref, epoch, to}, NewRefusal(err))
	return err
}

// ReleaseTarget calls lease.Holder.ReleaseTarget and records it with its outcome.
func (h *Holder) ReleaseTarget(now time.Duration, target string) error {
	err := h.Holder.ReleaseTarget(now, target)
	h.recorder.recordAt(now, KindHolderHandover, Handover{At{now}, target}, NewRefusal(err))
	return err
}

// SetLeaving records and calls lease.Holder.SetLeaving.
func (h *Holder) SetLeaving(now time.Duration) {
	h.recorder.recordAt(now, KindHolderLeaving, At{now}, nil)
	h.Holder.SetLeaving()
}
