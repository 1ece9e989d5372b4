package pool

import (
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// pause is the pause that one run of a target asked for.
type pause struct {
	run   int64
	until time.Duration
}

// Pause records that a target refused a request and wants no other from this host for
// the duration. Only the target's next run ends the pause sooner.
func (p *Pool) Pause(now time.Duration, owner keyrange.Owner, duration time.Duration) {
	if duration <= 0 {
		return
	}
	p.now = now
	for name, old := range p.pauses {
		if now >= old.until {
			delete(p.pauses, name)
		}
	}
	until := max(now+duration, p.pausedUntil(owner))
	p.pauses[owner.Target] = pause{run: owner.Run, until: until}
	if t := p.targets[owner.Target]; t != nil && t.Owner.SameRun(owner) {
		t.pausedUntil = until
	}
}

// pausedUntil returns the end of the pause that a run of a target asked for, or 0.
func (p *Pool) pausedUntil(owner keyrange.Owner) time.Duration {
	if old, ok := p.pauses[owner.Target]; ok && old.run == owner.Run {
		return old.until
	}
	return 0
}

// MarkLeaving records that a run of a target is leaving before SetTargets shows it.
func (p *Pool) MarkLeaving(owner keyrange.Owner) {
	if t := p.targets[owner.Target]; t != nil && t.Owner.SameRun(owner) {
		t.Leaving = true
	}
}

// pausedFor returns how much longer the target wants no request from this host.
func (t *target) pausedFor(now time.Duration) time.Duration { return max(0, t.pausedUntil-now) }

// allPausedFor returns the time until the first target that the request may use, except
// for those in the given regions, is not paused.
func (p *Pool) allPausedFor(now time.Duration, r Request, except regionSet) time.Duration {
	least, found := time.Duration(0), false
	for _, t := range p.targets {
		if t.Leaving || !r.mayUse(t) || except.has(t) {
			continue
		}
		if left := t.pausedFor(now); !found || left < least {
			least, found = left, true
		}
	}
	return least
}

// PausedFor returns how much longer no request for the key can be sent because the
// targets that could run it asked for a pause. If regions are given, only targets in
// these may run it.
func (p *Pool) PausedFor(now time.Duration, key int, regions ...string) time.Duration {
	p.now = now
	r := Request{Key: key, Regions: regions}
	if !p.cfg.Keyed {
		return p.allPausedFor(now, r, regionSet{})
	}
	if t, _ := p.ownerFor(r); t != nil {
		return t.pausedFor(now)
	}
	return 0
}

// refuseIfPaused refuses a request whose targets are paused until after an answer
// would be of use.
func (p *Pool) refuseIfPaused(now time.Duration, r Request) (Action, bool) {
	left := p.PausedFor(now, r.Key, r.Regions...)
	if left == 0 || now+left+p.serviceTime.value <= r.latestAnswer() {
		return Action{}, false
	}
	if !p.cfg.Keyed {
		return p.refuse(now, r, Paused, p.retryScheduleOf(r).nextRetry(now, left, p.serviceRate(r, regionSet{}))), true
	}
	t, _ := p.ownerFor(r)
	t.refusedFull++
	return p.refuse(now, r, Paused, t.retrySchedule.nextRetry(now, left, t.serviceRate(p.cfg.BacklogFraction))), true
}

// PausedTargets returns the targets that want no request from this host for at least
// the given time.
func (p *Pool) PausedTargets(now, atLeast time.Duration) []string {
	var out []string
	for name, t := range p.targets {
		if left := t.pausedFor(now); left > 0 && left >= atLeast {
			out = append(out, name)
		}
	}
	return out
}
