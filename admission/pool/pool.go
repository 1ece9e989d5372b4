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
	"math"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
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
