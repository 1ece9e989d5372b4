// Package pool decides which target of a service runs a request now, which
// requests wait at this host, and which are refused at once. It is a pure state
// machine: events and the current time go in, actions come out. It is not safe
// for concurrent use.
//
// It handles these load patterns:
//   - a peak above the targets' capacity: requests that cannot be answered
//     within their latency goal are refused on arrival, with the time at which
//     there will be room; more urgent requests start first;
//   - targets of different speeds, slow or cold ones: the target is chosen by
//     the expected time to an answer, which is learned from answers;
//   - targets that shed, hang or fail: their window shrinks at once, they get no
//     request for a while, or they are chosen less often; each good answer makes
//     the window grow again;
//   - targets that shed at random: their window is kept, because they have room;
//   - targets that ask for a pause: they get no request from this host until its
//     end, and callers that only such a target could serve return after it;
//   - cold targets of a service that limits the requests to them: they get only what
//     admission/coldstart lets this host send, and what only they could serve is refused
//     with the time at which they take it (cold.go);
//   - routes that only some regions may run: full regions do not hold back requests that
//     may use others (regions.go);
//   - bursts of long, less urgent requests beside short, urgent ones: targets are reserved
//     before the urgent ones come, by what arrives (urgent.go, routecost.go);
//   - targets that report their load, and many hosts that hear of each seldom: reports
//     count by their age, and hosts do not all choose the same target (reported.go);
//   - a data centre with too few targets: what cannot be answered in time there leaves it,
//     if that pays (crossing.go);
//   - callers that return after a refusal, past their goal: they give way while others
//     lack room (repeats.go);
//   - keys whose owner is full: only the requests of that owner wait.
package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// Config holds the parameters of a pool.
type Config struct {
	Keyed              bool
	DistancePenalty    [3]time.Duration // added to the expected time, by distance
	BacklogFraction    float64          // requests that may wait at a target, as a fraction of its slots
	InitialServiceTime time.Duration    // expected service time before any was observed
	MaxWaiting         int              // maximum number of waiting requests
	OwnerWait          time.Duration    // how long requests wait for an owner of their key, unless the key is moving to a new owner
	OwnerLossDuration  time.Duration    // how long keys have no owner after their owner was lost
	Cooldown           time.Duration    // time without new requests after a target shed one
	Crossing           CrossingConfig   // when requests leave the data centre
	ReserveUrgent      bool             // learn the work of each route, and reserve capacity for more urgent requests
	AdmitPhase         float64          // initial admitCredit of the targets, 0 to 1; differs between hosts so that they do not admit in step
}

// DefaultConfig is the configuration for an unkeyed service.
var DefaultConfig = Config{
	DistancePenalty:    [3]time.Duration{0, 5 * time.Millisecond, 150 * time.Millisecond},
	BacklogFraction:    0.34,
	InitialServiceTime: 150 * time.Millisecond,
	MaxWaiting:         512,
	OwnerWait:          400 * time.Millisecond,
	OwnerLossDuration:  4500 * time.Millisecond, // length of a grant
	Cooldown:           60 * time.Millisecond,
}

// Pool is the state of one service at one host.
type Pool struct {
	cfg            Config
	targets        map[string]*target
	owners         *keyrange.Map
	completedMoves map[keyrange.ID]bool // completed moves that the owners map may not show yet
	waiting        []Request            // by priority, then arrival
	serviceTime    smoothedDuration     // over all targets
	retrySchedule  retrySchedule        // of an unkeyed service
	urgency        *urgency             // nil without Config.ReserveUrgent
	crossings      *crossings           // nil without Config.Crossing.Learned
	lastReport     time.Duration        // time of the last load report of a target; 0: none

	hostCount      int     // hosts that have requests for the targets; 0: not known
	sheddingRate   float64 // smoothed fraction of requests shed although a slot seemed free, over all targets
	draining       bool
	now            time.Duration
	pauses         map[string]pause         // by target; kept while a target has no entry
	notHeldUntil   map[uint64]time.Duration // by fence of keys that their owner did not hold: no request is sent before this time
	ownerlessSince map[int]time.Duration    // by first key of a range: when it was first found without an owner
	cold           coldTargets
	refusedInTime  map[string]time.Duration // by allowed regions: when a request was last refused whose goal could have been met

	emptySince      map[string]time.Duration  // by region: when it was first found without a target that accepts work
	regionSchedules map[string]*retrySchedule // of an unkeyed service, by allowed regions
}

// New returns a pool without targets.
func New(cfg Config) *Pool {
	if cfg.Crossing.Learned {
		cfg.DistancePenalty = [3]time.Duration{}
	}
	p := &Pool{
		cfg: cfg, targets: make(map[string]*target),
		completedMoves: make(map[keyrange.ID]bool), notHeldUntil: make(map[uint64]time.Duration),
		ownerlessSince: make(map[int]time.Duration), pauses: make(map[string]pause), urgency: newUrgency(cfg),
		crossings:  newCrossings(cfg),
		emptySince: make(map[string]time.Duration), regionSchedules: make(map[string]*retrySchedule),
		refusedInTime: make(map[string]time.Duration),
		cold:          coldTargets{runs: make(map[coldRun]*coldRunState)},
	}
	p.serviceTime.reset(cfg.InitialServiceTime)
	return p
}

// SetTargets replaces the targets. The learned state of targets that stay is
// kept; a new incarnation of a target starts with fresh state.
func (p *Pool) SetTargets(now time.Duration, targets []Target) {
	seen := make(map[string]bool, len(targets))
	for _, t := range targets {
		seen[t.Owner.Target] = true
		old := p.targets[t.Owner.Target]
		if old == nil || !old.Owner.SameRun(t.Owner) {
			old = newTarget(t, p.serviceTime.value)
			old.pausedUntil = p.pausedUntil(t.Owner)
			p.targets[t.Owner.Target] = old
		}
		old.update(now, t)
		p.observeCold(now, old)
	}
	p.cold.markSeen(now, len(targets))
	for name, t := range p.targets {
		if !seen[name] {
			t.Leaving = true
			if t.running == 0 {
				delete(p.targets, name)
			}
		}
	}
	p.forgetAbsences()
	p.observePlaces(now)
}

// SetOtherHostsLoad sets the number of requests that all other hosts run at
// each busy target, as last reported, and this host's share of the concurrent
// requests of each overloaded target. A share may be below one: then one
// request runs for that fraction of the time.
func (p *Pool) SetOtherHostsLoad(running, shares map[string]float64) {
	for name, t := range p.targets {
		t.recordOthers(running[name])
		t.hostShare = shares[name]
	}
	p.recordPriorityLoads(running)
	p.recordPart()
	p.observeReport()
}

// SetAdmitFractions sets the fraction of the requests for the keys of each
// overloaded owner that may be sent.
func (p *Pool) SetAdmitFractions(fractions map[string]float64) {
	for name, t := range p.targets {
		t.admitFraction = fractions[name]
	}
}

// SetHostCount sets the number of hosts that have requests for the targets.
func (p *Pool) SetHostCount(hostCount int) { p.hostCount = hostCount }

// Running returns the number of requests that this host runs at each target.
func (p *Pool) Running() map[string]int {
	out := make(map[string]int, len(p.targets))
	for name, t := range p.targets {
		if t.running > 0 {
			out[name] = t.running
		}
	}
	return out
}

// Demand returns the number of requests that this host runs or would run at
// each target. For a keyed service it includes the requests that wait for the
// owner of their key, and those refused because the owner was full, counted by
// the service time that they would have taken as a fraction of the interval
// since the last call.
func (p *Pool) Demand(interval time.Duration) map[string]int {
	out := p.Running()
	if !p.cfg.Keyed {
		return out
	}
	for name, t := range p.targets {
		if t.refusedFull > 0 {
			out[name] += int(math.Ceil(float64(t.refusedFull) * p.serviceTimeAt(t).Seconds() / interval.Seconds()))
			t.refusedFull = 0
		}
	}
	for _, r := range p.waiting {
		if t, _ := p.ownerFor(r); t != nil {
			out[t.Owner.Target]++
		}
	}
	return out
}

// ServiceTimeSeconds returns the learned service time, in seconds, of a request
// that finds a free slot, for each target at which one was observed.
func (p *Pool) ServiceTimeSeconds() map[string]float64 {
	out := make(map[string]float64, len(p.targets))
	for name, t := range p.targets {
		if t.unloadedServiceTime.samples > 0 {
			out[name] = t.unloadedServiceTime.value.Seconds()
		}
	}
	return out
}

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Drain refuses every waiting request, and from now on every request that would
// have to wait, because the host is shutting down.
func (p *Pool) Drain(now time.Duration) []Action {
	p.draining = true
	var actions []Action
	for _, r := range p.waiting {
		actions = append(actions, p.refuse(now, r, Stopping, minRetryAfter))
	}
	p.waiting = nil
	return actions
}

// Arrive decides on a request. If no action is returned for its ID, the request
// waits.
func (p *Pool) Arrive(now time.Duration, r Request) []Action {
	p.now = now
	p.cold.hasServed = true
	p.recordArrival(now, r)
	if a, refused := p.refuseThinned(now, r); refused {
		return []Action{a}
	}
	if a, refused := p.refuseRepeat(now, r); refused {
		return []Action{a}
	}
	p.countCrossingArrival(now, r)
	if now >= r.NotBefore {
		if t, fence, ok := p.pickTarget(now, r, p.reservedFor(r)); ok {
			return []Action{p.start(now, t, fence, r)}
		}
	}
	if p.draining {
		return []Action{p.refuse(now, r, Stopping, minRetryAfter)}
	}
	if a, refused := p.refuseIfTooLate(now, r); refused {
		return []Action{a}
	}
	r.wantsAway = p.crossings.takeWants()
	i, _ := slices.BinarySearchFunc(p.waiting, r, compareRequests)
	p.waiting = slices.Insert(p.waiting, i, r)
	if len(p.waiting) <= p.cfg.MaxWaiting {
		return nil
	}
	last := p.waiting[len(p.waiting)-1]
	p.waiting = p.waiting[:len(p.waiting)-1]
	return []Action{p.refuse(now, last, Displaced, p.expectedWait(last))}
}

func compareRequests(a, b Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), compareGoals(a, b), cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
}

// reservedFor returns the regions whose targets are left to waiting requests that must
// start before r.
func (p *Pool) reservedFor(r Request) regionSet {
	if p.cfg.Keyed {
		// pickTarget checks the key's owner; Tick starts requests in order.
		return regionSet{all: p.hasEarlierForColdOwner(r)}
	}
	return p.claimedBefore(r)
}

func (p *Pool) start(now time.Duration, t *target, fence uint64, r Request) Action {
	if _, wasNotHeld := p.notHeldUntil[fence]; wasNotHeld {
		p.notHeldUntil[fence] = now + notHeldPause
	}
	t.running++
	t.recordStart(now, p.serviceTimeAt(t))
	p.recordCrossingStart(now, t, r)
	return Action{
		ID: r.ID, Start: true, Target: t.Owner, Fence: fence, Waited: now - r.Arrived, Cold: t.recordColdSend(now), Route: r.Route,
		Distance: t.Distance, CrossReason: p.crossReason(t, r),
	}
}

// serviceTimeAt returns the expected service time at a target that has a free
// slot.
func (p *Pool) serviceTimeAt(t *target) time.Duration {
	if t.unloadedServiceTime.samples == 0 {
		return p.serviceTime.value
	}
	return t.unloadedServiceTime.value
}

// pickTarget returns the target on which the request can start now, and for a
// keyed service the fence of its keys. Targets in reserved regions are left out.
func (p *Pool) pickTarget(now time.Duration, r Request, reserved regionSet) (*target, uint64, bool) {
	if p.cfg.Keyed {
		t, fence := p.ownerFor(r)
		if t == nil || reserved.has(t) || !t.hasRoom(now, p.cfg.BacklogFraction, p.hostCount) || !p.mayUse(now, t, r) {
			return nil, 0, false
		}
		return t, fence, true
	}
	if p.exceedsPart(now, r) {
		return nil, 0, false
	}
	if p.crossings != nil {
		return p.pickByPlace(now, r, reserved)
	}
	var best *target
	bestCost := math.Inf(1)
	for _, t := range p.targets {
		if !r.mayUse(t) || reserved.has(t) {
			continue
		}
		if t.Leaving || !t.hasRoom(now, p.cfg.BacklogFraction, 0) || slices.Contains(r.TriedTargets, t.Owner.Target) || !p.mayUse(now, t, r) {
			continue
		}
		cost := p.costAt(now, t, r)
		if cost < bestCost || cost == bestCost && t.Owner.Target < best.Owner.Target {
			best, bestCost = t, cost
		}
	}
	return best, 0, best != nil
}

// Tick starts the waiting requests that can start and refuses those that waited
// too long. Call it after each event, and at least once per cooldown period
// while requests wait.
func (p *Pool) Tick(now time.Duration) []Action {
	p.now = now
	p.crossings.beginTick()
	var actions []Action
	kept := p.waiting[:0]
	fullOwners := make(map[*target]bool)
	var full regionSet
	for _, r := range p.waiting {
		if a, done := p.tryWaiting(now, r, fullOwners, &full); done {
			actions = append(actions, a)
			continue
		}
		r.wantsAway |= p.crossings.takeWants()
		kept = append(kept, r)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return append(actions, p.refuseWaitingCold(now)...)
}

func (p *Pool) tryWaiting(now time.Duration, r Request, fullOwners map[*target]bool, full *regionSet) (Action, bool) {
	if now+minUsefulTime >= r.Deadline {
		return p.refuse(now, r, Late, p.expectedWait(r)), true
	}
	if _, runnable := p.isRunnable(r); !runnable {
		return p.refuseIfTooLate(now, r)
	}
	var owner *target
	if p.cfg.Keyed {
		owner, _ = p.ownerFor(r)
	}
	if now < r.NotBefore || full.covers(r) && !p.isPressed(now, r) || fullOwners[owner] {
		if a, refused := p.refuseOvertaken(now, r); refused {
			return a, true
		}
		return p.refuseHopeless(now, r)
	}
	t, fence, ok := p.pickTarget(now, r, regionSet{})
	switch {
	case ok:
		return p.start(now, t, fence, r), true
	case p.cfg.Keyed:
		fullOwners[owner] = true
	case len(r.TriedTargets) == 0:
		full.add(r)
	}
	if a, refused := p.refuseOvertaken(now, r); refused {
		return a, true
	}
	if a, refused := p.refuseHopeless(now, r); refused {
		return a, true
	}
	return p.refuseIfPaused(now, r)
}

// minUsefulTime is the minimum time left until the deadline for which a request
// is still sent.
const minUsefulTime = 30 * time.Millisecond

// Cancel removes a waiting request. It reports whether the request was waiting.
func (p *Pool) Cancel(id uint64) bool {
	i := slices.IndexFunc(p.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// Finish records how a request that was started at a target ended.
func (p *Pool) Finish(now time.Duration, owner keyrange.Owner, took time.Duration, result Result) {
	t := p.targets[owner.Target]
	if t == nil || !t.Owner.SameRun(owner) {
		return
	}
	t.running = max(0, t.running-1)
	arbitrary := false
	if shed := result == Shed; t.hasFreeSlot() && (shed || result == Answered) {
		arbitrary = shed && max(p.sheddingRate, t.sheddingRate) >= arbitrarySheddingThreshold
		t.recordShedding(shed)
		p.sheddingRate *= 1 - smoothingFactor
		if shed {
			p.sheddingRate += smoothingFactor
		}
	}
	t.recordResult(now, took, result, arbitrary, p.cfg)
	if result == Answered {
		p.serviceTime.add(took)
	}
}
