package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/record"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

// voting connects the lease state machine of a voter to the network.
type voting struct {
	placer      *Placer
	mu          sync.Mutex
	voter       *record.Voter
	links       *wire.Links   // to other voters
	wake        chan struct{} // signals that the voter has a new record
	readyRecord uint64        // number of the record for which readiness was logged
}

func newVoting(p *Placer) *voting {
	cfg := lease.VoterConfig{Cell: p.cfg.Cell, Self: p.cfg.Self, Timing: p.cfg.Timing}
	v := &voting{
		placer: p,
		voter:  record.NewVoter(cfg, p.recorder),
		wake:   make(chan struct{}, 1),
	}
	v.links = wire.NewLinks(p.dialer, v.deliver)
	return v
}

// setRecord passes the cell's record to the voter.
func (v *voting) setRecord(r membership.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.placer.now()
	v.voter.SetElectorate(now, r.Electorate())
	var targets []string
	for _, g := range r.Gateways {
		targets = append(targets, g.Target)
	}
	v.voter.SetTargets(now, targets)
	addrs := make(map[string]string)
	for _, h := range slices.Concat(r.Old, r.Hosts) {
		addrs[h.Name] = h.PlacerAddr
	}
	v.links.SetAddrs(addrs)
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// serve drives the voter until ctx ends.
func (v *voting) serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-v.wake:
		case <-ctx.Done():
			return nil
		}
		v.links.Post(ctx, v.tick())
		v.logReady()
		timer.Reset(v.untilNextTick())
	}
}

// untilNextTick returns the time until the voter's next tick is due.
func (v *voting) untilNextTick() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.placer.now()
	return v.voter.NextTick(now) - now
}

func (v *voting) tick() []lease.Envelope {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Tick(v.placer.now())
}

func (v *voting) step(from lease.Incarnation, m lease.Message) []lease.Envelope {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Step(v.placer.now(), from, m)
}

func (v *voting) logReady() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.voter.Ready() || v.readyRecord == v.voter.Record() {
		return
	}
	v.readyRecord = v.voter.Record()
	v.placer.log.Emit(evVoterReady, "cell", v.placer.cfg.Cell, "record", v.readyRecord)
}

// setGone tells the voter that a router's process seemed to have ended at the given
// time. It reports whether the voter knows the router and has received no request from it
// since.
func (v *voting) setGone(at time.Duration, holder lease.Incarnation) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.SetGone(at, holder)
}

// isSettled reports whether a majority answers under the newest record.
func (v *voting) isSettled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Settled()
}

func (v *voting) needsFloor() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.NeedsFloor(v.placer.now())
}

func (v *voting) setFloor(record uint64, floor lease.Stops) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.voter.SetFloor(v.placer.now(), record, floor)
}

// gatewayStop returns the highest stopped gateway epoch of a target.
func (v *voting) gatewayStop(target string) lease.GatewayEpoch {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.GatewayStop(target)
}

// setStoreLease tells the voter until when the cell holds its store lease.
func (v *voting) setStoreLease(until time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.voter.SetStoreLease(until)
}

// stopShards makes the voter stop the shards that a page no longer assigns to the cell.
func (v *voting) stopShards(service string, stops []ownership.ShardStop) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.voter.StopShards(service, stops)
}

// silentTargets returns the targets whose gateway has not requested votes for the
// suspicion time.
func (v *voting) silentTargets() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	silent := make(map[string]bool)
	for _, vacancy := range v.voter.Vacant(v.placer.now()) {
		if vacancy.Silent {
			silent[vacancy.Target] = true
		}
	}
	return silent
}

// recentHolders returns the status of the cell's gateways whose last request arrived
// within the suspicion time.
func (v *voting) recentHolders() []lease.HolderStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.placer.now()
	return slices.DeleteFunc(v.voter.Holders(), func(h lease.HolderStatus) bool {
		return now-h.LastSeen > v.placer.cfg.Timing.Suspicion
	})
}

// holders returns the last known status of the cell's gateways.
func (v *voting) holders() []lease.HolderStatus {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Holders()
}

// serveStream answers one holder or joining voter.
func (v *voting) serveStream(ctx context.Context, s *wire.Stream) error {
	for {
		frame, err := s.Recv()
		if err != nil {
			go v.placer.checkRouter(ctx, v.placer.now(), s.From)
			return err
		}
		if activity := frame.GetActivity(); activity != nil {
			v.placer.loads.setReport(v.placer.now(), activity)
			continue
		}
		m, ok := wire.DecodeLeaseMessage(frame)
		if !ok {
			continue
		}
		v.placer.observeVote(m)
		for _, e := range v.step(s.From, m) {
			reply, err := wire.LeaseFrame(e.Msg)
			if err != nil {
				return err
			}
			if err := s.Send(reply); err != nil {
				return err
			}
		}
	}
}

func (v *voting) deliver(from lease.Incarnation, frame *pb.Frame) {
	if m, ok := wire.DecodeLeaseMessage(frame); ok {
		v.step(from, m)
	}
}

func (v *voting) isReady() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Ready()
}
