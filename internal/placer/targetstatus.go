package placer

import (
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

const (
	newTargetGracePeriod = 3 * time.Second
	// stoppedEpochTimeout is longer than a move takes.
	stoppedEpochTimeout = 900 * time.Millisecond
	// minSteadyTime is longer than a gateway needs from its first claim until it serves.
	minSteadyTime = 1500 * time.Millisecond
)

// stoppedShard identifies a shard whose epoch its gateway reports as stopped.
type stoppedShard struct {
	service string
	shard   uint32
	epoch   ownership.Epoch
}

// targetStatus is what gateways have reported about a target.
type targetStatus struct {
	firstClaimAt time.Duration // first claim by a gateway
	hasAnswered  bool          // the target has answered a gateway at least once
	alive        bool
	lostAt       time.Duration // when it was first reported as not alive
	drained      bool
	epoch        lease.GatewayEpoch // highest epoch that a gateway claimed
	epochSince   time.Duration      // first claim of that epoch
	epochSeenAt  time.Duration      // last claim of that epoch
}

// observeClaims records the claims of the gateways whose last request arrived within the
// suspicion time.
func (s *livenessTracker) observeClaims(now, suspicion time.Duration, holders []lease.HolderStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range holders {
		if now-h.LastSeen > suspicion {
			continue
		}
		for _, c := range h.Claims {
			t, ok := s.targets[c.Target]
			if !ok {
				t.firstClaimAt = now
			}
			if t.alive && !c.Alive {
				t.lostAt = now
			}
			t.alive = c.Alive
			t.drained = c.Drained
			t.observeEpoch(h.LastSeen, c.Epoch)
			t.hasAnswered = t.hasAnswered || c.Alive
			s.targets[c.Target] = t
		}
	}
}

// isDrained reports whether nothing runs on a target any more. That is so if its gateway
// reports it and has been its gateway for maxRequestTime, as a gateway does not know what
// an earlier one sent, or if the target has been lost for maxRequestTime.
func (s *livenessTracker) isDrained(target string, now, maxRequestTime time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[target]
	if !ok {
		return false
	}
	if t.alive {
		return t.drained && now-t.epochSince >= maxRequestTime
	}
	return now-max(t.lostAt, t.firstClaimAt) >= maxRequestTime
}

// lastingStops returns those of a service's stopped shards that have been reported for at
// least stoppedEpochTimeout.
func (s *livenessTracker) lastingStops(service string, stopped map[uint32]ownership.Epoch, now time.Duration) map[uint32]ownership.Epoch {
	s.mu.Lock()
	defer s.mu.Unlock()
	for known := range s.stoppedSince {
		if known.service == service && stopped[known.shard] != known.epoch {
			delete(s.stoppedSince, known)
		}
	}
	lasting := make(map[uint32]ownership.Epoch)
	for n, epoch := range stopped {
		key := stoppedShard{service: service, shard: n, epoch: epoch}
		since, known := s.stoppedSince[key]
		if !known {
			s.stoppedSince[key] = now
		}
		if known && now-since >= stoppedEpochTimeout {
			lasting[n] = epoch
		}
	}
	return lasting
}

// isLost reports whether a target's gateway reports that the target does not answer. A
// target that has never answered is not lost during newTargetGracePeriod, as its gateway
// may have only just started.
func (s *livenessTracker) isLost(target string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[target]
	if !ok || t.alive {
		return false
	}
	return t.hasAnswered || now-t.firstClaimAt > newTargetGracePeriod
}

func (t *targetStatus) observeEpoch(now time.Duration, epoch lease.GatewayEpoch) {
	if epoch > t.epoch {
		t.epoch = epoch
		t.epochSince = now
	}
	if epoch == t.epoch {
		t.epochSeenAt = now
	}
}

// claimedWithin reports whether a target's newest gateway first claimed it within the
// given time. The previous gateway can no longer release anything, and the new one never
// served what was moved before its claim.
func (s *livenessTracker) claimedWithin(target string, now, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[target]
	return ok && now-t.epochSince < age
}

// hasSteadyGateway reports whether a target has had the same gateway for minSteadyTime
// and still has it. Only such a gateway has served the target's shards and can release
// them.
func (s *livenessTracker) hasSteadyGateway(target string, now, suspicion time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[target]
	return ok && now-t.epochSeenAt <= suspicion && now-t.epochSince > minSteadyTime
}

// observeVote checks a gateway's claims as they arrive and wakes the shards duty if a
// target was lost, so that its shards are planned at once.
func (p *Placer) observeVote(m lease.Message) {
	vote, ok := m.(lease.VoteRequest)
	if !ok || !p.liveness.reportsLostTarget(vote.Claims) {
		return
	}
	p.liveness.observeClaims(p.now(), p.cfg.Timing.Suspicion, []lease.HolderStatus{{
		Holder:   vote.Holder,
		LastSeen: p.now(),
		Claims:   vote.Claims,
	}})
	select {
	case p.targetLost <- struct{}{}:
	default:
	}
}

// reportsLostTarget reports whether any of the claims says that a target that was alive
// no longer answers.
func (s *livenessTracker) reportsLostTarget(claims []lease.Claim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range claims {
		if !c.Alive && s.targets[c.Target].alive {
			return true
		}
	}
	return false
}
