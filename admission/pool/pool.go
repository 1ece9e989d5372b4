// Package pool decides which target of a service runs a request now, which
// requests wait at this host, and which are refused at once. It is a pure state
// machine: events and the current time go in, actions come out. It is not safe
// for concurrent use.
//
// Patterns of load that it answers to:
//   - a peak above what the targets can run: requests that cannot be answered
//     within their latency goal are refused on arrival, with the time at which
//     there will be room; urgent ones wait before others;
//   - targets of different speeds, slow and cold ones: the expected time to an
//     answer decides, learned from the answers;
//   - targets that shed, hang or fail: their window closes at once and opens
//     again with each good answer;
//   - targets that shed at random: their window stays, as they have room;
//   - keys whose owner is full: only the requests of that owner wait.
package pool

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// Distance is how far a target is from this host.
type Distance uint8

const (
	// SameZone is the host's data centre.
	SameZone Distance = iota
	// SameRegion is another data centre of the region.
	SameRegion
	// Far is another region.
	Far
)

// Config tunes a pool.
type Config struct {
	Keyed   bool
	Penalty [3]time.Duration // added to the expected time, by distance
	Backlog float64          // share of a target's slots that may wait there
	Service time.Duration    // expected time of a request before any was seen
	MaxWait int              // requests that may wait
	NoOwner time.Duration    // how long requests wait for an owner of their key, unless one is about to get it
	Lost    time.Duration    // how long keys have no owner after theirs was lost
	Cooling time.Duration    // without new work after a target shed
	Phase   float64          // 0 to 1, another for each host: when it sends of what only a part may be sent
}

// DefaultConfig holds for a service without keys.
var DefaultConfig = Config{
	Penalty: [3]time.Duration{0, 5 * time.Millisecond, 150 * time.Millisecond},
	Backlog: 0.34,
	Service: 150 * time.Millisecond,
	MaxWait: 512,
	NoOwner: 400 * time.Millisecond,
	Lost:    4500 * time.Millisecond, // a grant's length
	Cooling: 60 * time.Millisecond,
}

// Target is what is believed of one start of a target.
type Target struct {
	Owner    keyrange.Owner
	Distance Distance
	Slots    int
	Leaving  bool          // takes no new work
	ColdFor  time.Duration // how much longer it is slow
	Limit    int           // requests of this host that it may run: its share of connections; 0: no limit
}

// Request is a request that waits for a target.
type Request struct {
	ID       uint64
	Key      int // of a keyed service
	Priority int // 0 is the most urgent
	Arrived  time.Duration
	Goal     time.Duration // moment by which the answer has its full value
	Deadline time.Duration // moment from which no answer is of use
	Tried    []string      // targets that it was sent to
	NotUntil time.Duration // is not sent before
}

// Reason says why a request was refused.
type Reason string

const (
	// NoTarget: no target of the service may take work.
	NoTarget Reason = "no-target"
	// NoOwner: the key has no owner that may take work.
	NoOwner Reason = "no-owner"
	// Full: the request would wait for longer than is of use.
	Full Reason = "full"
	// Thinned: there are more requests for the owner's keys than it gets through, over
	// all hosts, and this one is not of the part that is sent.
	Thinned Reason = "thinned"
	// Late: its time ran out while it waited.
	Late Reason = "late"
	// Stopping: this host is about to end.
	Stopping Reason = "stopping"
	// Urgent: a more urgent request took its place.
	Urgent Reason = "displaced"
)

// Action is a decision on one request.
type Action struct {
	ID         uint64
	Start      bool
	Target     keyrange.Owner // of a start
	Fence      uint64         // of a start, for the log
	Waited     time.Duration
	Reason     Reason        // of a refusal
	RetryAfter time.Duration // of a refusal: when there will be room
}

// Result is what became of a request at a target.
type Result uint8

const (
	// Answered: a whole answer came that is not a failure of the target.
	Answered Result = iota
	// Failed: the target answered with a failure of its own.
	Failed
	// Shed: the target refused for lack of room, without running it.
	Shed
	// NotOwner: the target does not hold the key.
	NotOwner
	// Unreachable: no connection could be made.
	Unreachable
	// Broken: the connection ended or the answer was damaged.
	Broken
	// Silent: no answer came in time.
	Silent
	// Abandoned: the caller left.
	Abandoned
)

// Pool is the state of one service at one host.
type Pool struct {
	cfg     Config
	targets map[string]*target
	owners  *keyrange.Map
	settled map[keyrange.ID]bool // moves that are complete, beyond what owners says
	waiting []Request            // by priority, then arrival
	service estimate             // time of a request over all targets
	returns returns              // of an unkeyed service

	hosts    int     // that have requests for the targets; 0: not known
	shedding float64 // as that of a target, over all of them
	draining bool
	now      time.Duration
	unheld   map[uint64]time.Duration // by fence: the owner did not hold its keys; not asked before
	unowned  map[int]time.Duration    // by first key of a range: when it was first found without an owner
}

// New returns a pool without targets.
func New(cfg Config) *Pool {
	p := &Pool{
		cfg: cfg, targets: make(map[string]*target),
		settled: make(map[keyrange.ID]bool), unheld: make(map[uint64]time.Duration),
		unowned: make(map[int]time.Duration),
	}
	p.service.reset(cfg.Service)
	return p
}

// SetTargets replaces the targets. What was learned of those that stay is kept;
// another start of a target begins anew.
func (p *Pool) SetTargets(now time.Duration, targets []Target) {
	seen := make(map[string]bool, len(targets))
	for _, t := range targets {
		seen[t.Owner.Target] = true
		old := p.targets[t.Owner.Target]
		if old == nil || !old.Owner.Same(t.Owner) {
			old = newTarget(t, p.service.value)
			p.targets[t.Owner.Target] = old
		}
		old.update(now, t)
	}
	for name, t := range p.targets {
		if !seen[name] {
			t.Leaving = true
			if t.running == 0 {
				delete(p.targets, name)
			}
		}
	}
}

// SetOwners replaces the map of a keyed service.
func (p *Pool) SetOwners(m *keyrange.Map) {
	p.owners = m
	maps.DeleteFunc(p.settled, func(id keyrange.ID, _ bool) bool { return m == nil || !m.Moving(id) })
}

// Settle notes that moves of the map are complete: the store need not have them
// as such yet, or may be away.
func (p *Pool) Settle(ids []keyrange.ID) {
	for _, id := range ids {
		p.settled[id] = true
	}
}

// unheldPause is how long after an answer that the owner does not hold its keys
// no further request for them is sent: each costs a retry.
const unheldPause = 120 * time.Millisecond

// unheldKeep is how long after that one request at a time asks whether it does.
const unheldKeep = time.Second

// NotHeld notes that the owner of the keys under a fence did not hold them: its
// grant is late, or has ended. Until it is asked again they have no owner.
func (p *Pool) NotHeld(now time.Duration, fence uint64) {
	p.now = now
	for f, until := range p.unheld {
		if until+unheldKeep <= now {
			delete(p.unheld, f)
		}
	}
	p.unheld[fence] = now + unheldPause
}

// Held notes that the owner of the keys under a fence took a request for them.
func (p *Pool) Held(fence uint64) { delete(p.unheld, fence) }

// SetOthers takes in how many requests all other hosts run at each busy target,
// as they last reported, and this host's share of the requests that a target
// runs at once where more are asked for than it can run. A share may be less
// than one: then one request runs for that part of the time.
func (p *Pool) SetOthers(running, shares map[string]float64) {
	for name, t := range p.targets {
		t.others = running[name]
		t.share = shares[name]
	}
}

// SetAdmission takes in which part of the requests for the keys of each owner may
// be sent, where there are more than it gets through.
func (p *Pool) SetAdmission(parts map[string]float64) {
	for name, t := range p.targets {
		t.admit = parts[name]
	}
}

// SetHosts takes in how many hosts have requests for the targets.
func (p *Pool) SetHosts(count int) { p.hosts = count }

// Running returns the requests that this host runs at each target.
func (p *Pool) Running() map[string]int {
	out := make(map[string]int, len(p.targets))
	for name, t := range p.targets {
		if t.running > 0 {
			out[name] = t.running
		}
	}
	return out
}

// Wanted returns the requests that this host runs or would run at each target: of
// a keyed service, also those that wait for the owner of their key, and those
// that were refused as it was full, by the time that they would have taken of
// the interval since the last call.
func (p *Pool) Wanted(interval time.Duration) map[string]int {
	out := p.Running()
	if !p.cfg.Keyed {
		return out
	}
	for name, t := range p.targets {
		if t.refused > 0 {
			out[name] += int(math.Ceil(float64(t.refused) * p.serviceAt(t).Seconds() / interval.Seconds()))
			t.refused = 0
		}
	}
	for _, r := range p.waiting {
		if t, _ := p.owner(r.Key); t != nil {
			out[t.Owner.Target]++
		}
	}
	return out
}

// Speeds returns the learned time of a request at each target that is not full,
// in seconds.
func (p *Pool) Speeds() map[string]float64 {
	out := make(map[string]float64, len(p.targets))
	for name, t := range p.targets {
		if t.unloaded.samples > 0 {
			out[name] = t.unloaded.value.Seconds()
		}
	}
	return out
}

// Waiting returns the number of requests that wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Drain refuses every request that waits, and from now on those that would wait:
// the host is about to end.
func (p *Pool) Drain(now time.Duration) []Action {
	p.draining = true
	var actions []Action
	for _, r := range p.waiting {
		actions = append(actions, p.refuse(now, r, Stopping, minRetryAfter))
	}
	p.waiting = nil
	return actions
}

// Arrive decides on a request. No action for its ID means that it waits.
func (p *Pool) Arrive(now time.Duration, r Request) []Action {
	p.now = now
	if a, refused := p.thin(now, r); refused {
		return []Action{a}
	}
	if now >= r.NotUntil {
		if t, fence, ok := p.pick(now, r); ok && !p.blocked(r) {
			return []Action{p.start(now, t, fence, r)}
		}
	}
	if p.draining {
		return []Action{p.refuse(now, r, Stopping, minRetryAfter)}
	}
	if a, refused := p.refuseOnArrival(now, r); refused {
		return []Action{a}
	}
	i, _ := slices.BinarySearchFunc(p.waiting, r, order)
	p.waiting = slices.Insert(p.waiting, i, r)
	if len(p.waiting) <= p.cfg.MaxWait {
		return nil
	}
	last := p.waiting[len(p.waiting)-1]
	p.waiting = p.waiting[:len(p.waiting)-1]
	return []Action{p.refuse(now, last, Urgent, p.expectedWait(last))}
}

// thin refuses a part of the requests for keys of which there are more than their
// owner gets through, also while they are on their way to it: what waits comes all
// at once.
func (p *Pool) thin(now time.Duration, r Request) (Action, bool) {
	keys, ok := p.rangeOf(r.Key)
	if !ok || len(r.Tried) > 0 || r.NotUntil > 0 {
		return Action{}, false
	}
	t := p.targets[keys.Owner.Target]
	if t == nil || t.admits(p.cfg.Phase) {
		return Action{}, false
	}
	t.refused++
	part := float64(max(1, t.Slots)) / p.serviceAt(t).Seconds() / float64(max(1, p.hosts))
	return p.refuse(now, r, Thinned, t.returns.next(now, p.serviceAt(t), part)), true
}

func order(a, b Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
}

// blocked reports whether a request waits that is to run before r at the same
// place.
func (p *Pool) blocked(r Request) bool {
	if p.cfg.Keyed {
		return false // pick looked at the key's owner; Tick starts in order
	}
	return len(p.waiting) > 0 && order(p.waiting[0], r) < 0
}

func (p *Pool) start(now time.Duration, t *target, fence uint64, r Request) Action {
	if _, asked := p.unheld[fence]; asked {
		p.unheld[fence] = now + unheldPause
	}
	t.running++
	t.started(now, p.serviceAt(t))
	return Action{ID: r.ID, Start: true, Target: t.Owner, Fence: fence, Waited: now - r.Arrived}
}

// serviceAt returns the time of a request at a target that has a free slot.
func (p *Pool) serviceAt(t *target) time.Duration {
	if t.unloaded.samples == 0 {
		return p.service.value
	}
	return t.unloaded.value
}

func (p *Pool) refuse(now time.Duration, r Request, why Reason, wait time.Duration) Action {
	return Action{ID: r.ID, Reason: why, RetryAfter: max(wait, minRetryAfter), Waited: now - r.Arrived}
}

// minRetryAfter spares the hosts callers that come back at once.
const minRetryAfter = 50 * time.Millisecond

// refuseOnArrival decides whether a request that cannot start now waits.
func (p *Pool) refuseOnArrival(now time.Duration, r Request) (Action, bool) {
	reason, known := p.placed(r)
	if !known {
		limit := r.Arrived + p.cfg.NoOwner
		if p.moving(r.Key) {
			limit = max(limit, r.Goal-p.service.value)
		}
		if now >= min(limit, r.Deadline) {
			return p.refuse(now, r, reason, p.untilOwned(now, r.Key)), true
		}
		return Action{}, false
	}
	wait := p.expectedWait(r)
	latest := max(r.Goal, r.Arrived+(r.Deadline-r.Arrived)/3)
	if now+wait+p.service.value > min(latest, r.Deadline) && now-r.Arrived < p.cfg.Cooling {
		if p.cfg.Keyed {
			t, _ := p.owner(r.Key)
			t.refused++
			return p.refuse(now, r, Full, t.returns.next(now, wait, t.rate(p.cfg.Backlog))), true
		}
		return p.refuse(now, r, Full, p.returns.next(now, wait, p.rate())), true
	}
	return Action{}, false
}

// placed reports whether some target may run the request at all, now or later.
func (p *Pool) placed(r Request) (Reason, bool) {
	if p.cfg.Keyed {
		t, _ := p.owner(r.Key)
		return NoOwner, t != nil
	}
	for _, t := range p.targets {
		if !t.Leaving {
			return "", true
		}
	}
	return NoTarget, false
}

// expectedWait estimates how long the request waits for those before it.
func (p *Pool) expectedWait(r Request) time.Duration {
	if p.cfg.Keyed {
		t, _ := p.owner(r.Key)
		if t == nil {
			return p.cfg.NoOwner
		}
		ahead := 1
		for _, w := range p.waiting {
			if o, _ := p.owner(w.Key); o == t && order(w, r) < 0 {
				ahead++
			}
		}
		return time.Duration(float64(ahead) / t.rate(p.cfg.Backlog) * float64(time.Second))
	}
	ahead := 1
	for _, w := range p.waiting {
		if order(w, r) < 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / p.rate() * float64(time.Second))
}

// rate is the number of requests a second that this host may get through at near
// targets.
func (p *Pool) rate() float64 {
	rate := 0.0
	for _, t := range p.targets {
		if !t.Leaving && t.Distance != Far {
			rate += t.rate(p.cfg.Backlog)
		}
	}
	return max(rate, 1)
}

// moving reports whether the key is on its way to an owner that may take work: it
// is worth waiting for.
func (p *Pool) moving(key int) bool {
	r, ok := p.rangeOf(key)
	if !ok || len(r.Prev) == 0 {
		return false
	}
	t := p.targets[r.Owner.Target]
	return t != nil && !t.Leaving
}

// untilOwned estimates how long the key will have no owner that may take work: an
// owner that was lost keeps it until its grants have ended.
func (p *Pool) untilOwned(now time.Duration, key int) time.Duration {
	r, ok := p.rangeOf(key)
	if !ok {
		return p.cfg.NoOwner
	}
	since, ok := p.unowned[r.From]
	if !ok || now > since+2*p.cfg.Lost {
		since = now
		p.unowned[r.From] = since
	}
	return max(p.cfg.NoOwner, since+p.cfg.Lost-now)
}

// rangeOf returns the range of the key, if owners are known.
func (p *Pool) rangeOf(key int) (keyrange.Range, bool) {
	if !p.cfg.Keyed || p.owners == nil {
		return keyrange.Range{}, false
	}
	i := p.owners.At(key)
	if i < 0 {
		return keyrange.Range{}, false
	}
	return p.owners.Ranges[i], true
}

// owner returns the target that owns the key and may take work, and its fence.
func (p *Pool) owner(key int) (*target, uint64) {
	r, ok := p.rangeOf(key)
	if !ok {
		return nil, 0
	}
	if len(r.Prev) > 0 && !p.settled[r.ID()] {
		return nil, 0
	}
	t := p.targets[r.Owner.Target]
	if t == nil || t.Leaving || !t.Owner.Same(r.Owner) || p.now < p.unheld[r.Fence] {
		return nil, 0
	}
	delete(p.unowned, r.From)
	return t, r.Fence
}

// pick returns the target that runs the request now.
func (p *Pool) pick(now time.Duration, r Request) (*target, uint64, bool) {
	if p.cfg.Keyed {
		t, fence := p.owner(r.Key)
		if t == nil || !t.room(now, p.cfg.Backlog, p.hosts) {
			return nil, 0, false
		}
		return t, fence, true
	}
	var best *target
	bestCost := math.Inf(1)
	for _, t := range p.targets {
		if t.Leaving || !t.room(now, p.cfg.Backlog, 0) || slices.Contains(r.Tried, t.Owner.Target) {
			continue
		}
		c := t.cost(now, p.cfg)
		if c < bestCost || c == bestCost && t.Owner.Target < best.Owner.Target {
			best, bestCost = t, c
		}
	}
	return best, 0, best != nil
}

// Tick starts what may start and refuses what waited too long. It is to be
// called after each event and at least every Cooling while requests wait.
func (p *Pool) Tick(now time.Duration) []Action {
	p.now = now
	var actions []Action
	kept := p.waiting[:0]
	full := make(map[*target]bool)
	stuck := false
	for _, r := range p.waiting {
		if a, done := p.tryWaiting(now, r, full, &stuck); done {
			actions = append(actions, a)
			continue
		}
		kept = append(kept, r)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return actions
}

func (p *Pool) tryWaiting(now time.Duration, r Request, full map[*target]bool, stuck *bool) (Action, bool) {
	if now+minUseful >= r.Deadline {
		return p.refuse(now, r, Late, p.expectedWait(r)), true
	}
	if _, known := p.placed(r); !known {
		return p.refuseOnArrival(now, r)
	}
	var owner *target
	if p.cfg.Keyed {
		owner, _ = p.owner(r.Key)
	}
	if now < r.NotUntil || *stuck || full[owner] {
		return Action{}, false
	}
	t, fence, ok := p.pick(now, r)
	switch {
	case ok:
		return p.start(now, t, fence, r), true
	case p.cfg.Keyed:
		full[owner] = true
	case len(r.Tried) == 0:
		*stuck = true
	}
	return Action{}, false
}

// minUseful is the least time left with which a request is worth sending.
const minUseful = 30 * time.Millisecond

// Cancel removes a waiting request. It reports whether it waited.
func (p *Pool) Cancel(id uint64) bool {
	i := slices.IndexFunc(p.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// Finish takes in what became of a request that was started at a target.
func (p *Pool) Finish(now time.Duration, owner keyrange.Owner, took time.Duration, result Result) {
	t := p.targets[owner.Target]
	if t == nil || !t.Owner.Same(owner) {
		return
	}
	t.running = max(0, t.running-1)
	arbitrary := false
	if shed := result == Shed; t.free() && (shed || result == Answered) {
		arbitrary = shed && max(p.shedding, t.shedding) >= arbitraryShare
		t.noteShedding(shed)
		p.shedding *= 1 - smoothing
		if shed {
			p.shedding += smoothing
		}
	}
	t.finish(now, took, result, arbitrary, p.cfg)
	if result == Answered {
		p.service.add(took)
	}
}

// String names the result in logs and metrics.
func (r Result) String() string {
	names := [...]string{"answered", "failed", "shed", "not-owner", "unreachable", "broken", "silent", "abandoned"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unspecified"
}
