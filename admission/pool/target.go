package pool

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of a new time in an estimate: about the last
	// ten answers count.
	smoothing = 0.1
	// firstSmoothing is that of the first answers, so that a wrong guess is
	// soon forgotten.
	firstSmoothing = 0.34
	// shrink is what a window keeps when a target shed or fell silent.
	shrink = 0.6
	// failureCost multiplies the expected time of a target that fails all it is
	// sent: a failed request is sent again or lost.
	failureCost = 8
	// arbitraryShare is the share of requests that are shed at targets with room from
	// which on this is not taken for a lack of room.
	arbitraryShare = 0.25
	// coldFactor is how much longer a target takes that started just now.
	coldFactor = 2
	// spread is how many times its even part of a target's requests a host may have
	// there while it does not know what others have.
	spread = 4
	// unreachablePause is how long a target that could not be connected to gets
	// nothing.
	unreachablePause = 300 * time.Millisecond
	// silentPause is the same after a request that was not answered in time.
	silentPause = 500 * time.Millisecond
)

// estimate is a smoothed duration.
type estimate struct {
	value   time.Duration
	samples int
}

func (e *estimate) reset(guess time.Duration) { *e = estimate{value: guess} }

func (e *estimate) add(d time.Duration) {
	w := max(smoothing, firstSmoothing/float64(1+e.samples/3))
	e.samples++
	e.value += time.Duration(w * float64(d-e.value))
}

// target is the state of one target at this host.
type target struct {
	Target
	running   int           // requests of this host
	others    float64       // requests of all other hosts, as last reported
	share     float64       // of the requests that it runs at once; 0: no limit
	notBefore time.Duration // gets the next request of a share below one
	admit     float64       // part of the requests for its keys that may be sent; 0: all
	credit    float64       // of that part, up to a request
	refused   int           // requests for its keys that were refused as it was full
	returns   returns       // of those
	window    float64       // requests of this host that it may run
	service   estimate
	unloaded  estimate      // of requests that found a free slot
	failures  float64       // smoothed share of requests that failed
	shedding  float64       // smoothed share of requests that were shed though there seemed to be room
	coolUntil time.Duration // gets nothing before
	coldUntil time.Duration
}

func newTarget(t Target, guess time.Duration) *target {
	n := &target{Target: t, window: float64(max(1, t.Slots))}
	n.service.reset(guess)
	n.unloaded.reset(guess)
	return n
}

func (t *target) update(now time.Duration, to Target) {
	t.Target = to
	t.coldUntil = now + to.ColdFor
}

// capacity is the number of requests that all hosts together may have there.
func (t *target) capacity(backlog float64) float64 {
	return float64(max(1, t.Slots)) * (1 + backlog)
}

// room reports whether one more request may be sent. One is always allowed, as
// what others run is known late.
func (t *target) room(now time.Duration, backlog float64, hosts int) bool {
	if now < t.coolUntil || t.Limit > 0 && t.running >= t.Limit {
		return false
	}
	if t.share > 0 {
		return t.running < max(1, int(t.share)) && now >= t.notBefore
	}
	if t.running == 0 {
		return true
	}
	n := float64(t.running + 1)
	if most := t.capacity(backlog); hosts > 1 && n > max(1, math.Ceil(spread*most/float64(hosts))) {
		return false
	}
	return n <= t.window && n+t.others <= t.capacity(backlog)
}

// admits reports whether one more request for the target's keys may be sent, of
// which there are more than it gets through: every so many-th one.
func (t *target) admits(phase float64) bool {
	if t.admit <= 0 || t.admit >= 1 {
		t.credit = phase
		return true
	}
	t.credit += t.admit
	if t.credit < 1 {
		return false
	}
	t.credit--
	return true
}

// started notes a start. With a share below one, the next one waits until this one
// has taken its part of the time.
func (t *target) started(now, service time.Duration) {
	if t.share > 0 && t.share < 1 {
		t.notBefore = now + time.Duration(float64(service)/t.share)
	}
}

// rate is the number of requests a second that this host may get through.
func (t *target) rate(backlog float64) float64 {
	share := max(1, min(t.window, t.capacity(backlog)-t.others))
	share = min(share, float64(max(1, t.Slots)))
	if t.share > 0 {
		share = t.share
	}
	return share / max(t.service.value.Seconds(), 0.001)
}

// cost is the expected time to an answer, in seconds, with what is risked.
func (t *target) cost(now time.Duration, cfg Config) float64 {
	slots := float64(max(1, t.Slots))
	load := (float64(t.running) + t.others) / slots
	service := t.service.value.Seconds()
	if now < t.coldUntil && t.service.samples < 3 {
		service *= coldFactor
	}
	c := service * (1 + 0.4*load)
	if load >= 1 {
		c += service * (load - 1 + 1/slots)
	}
	c *= 1 + failureCost*t.failures
	return c + cfg.Penalty[t.Distance].Seconds()
}

// free reports whether a slot seems to be free, as far as this host knows.
func (t *target) free() bool {
	return t.share == 0 && float64(t.running)+t.others < float64(max(1, t.Slots))
}

// noteShedding takes in whether a request that found a free slot was shed.
func (t *target) noteShedding(shed bool) {
	t.shedding *= 1 - smoothing
	if shed {
		t.shedding += smoothing
	}
}

// finish takes in what became of a request. arbitrary says that the target sheds
// whether or not it has room, so that fewer requests would not help it.
func (t *target) finish(now, took time.Duration, result Result, arbitrary bool, cfg Config) {
	switch result {
	case Answered:
		t.failures *= 1 - smoothing
		t.service.add(took)
		if float64(t.running)+t.others < float64(t.Slots) {
			t.unloaded.add(took)
		}
		t.window = min(t.window+1/max(t.window, 1), 2*float64(max(1, t.Slots)))
		return
	case Abandoned, NotOwner:
		return
	case Shed:
		if arbitrary {
			break
		}
		t.window = max(1, shrink*t.window)
		t.coolUntil = max(t.coolUntil, now+cfg.Cooling)
	case Unreachable:
		t.coolUntil = max(t.coolUntil, now+unreachablePause)
	case Silent:
		t.window = 1
		t.coolUntil = max(t.coolUntil, now+silentPause)
	case Failed, Broken:
	}
	t.failures += smoothing * (1 - t.failures)
}
