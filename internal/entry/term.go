package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/hotrange"
	wire "github.com/mangopost/mangopost/platform"
)

const (
	// planEvery is how often ownership is planned: a hot spot is answered within a
	// second or two.
	planEvery = 200 * time.Millisecond
	// firstPlan is the same at the beginning of a term: grants may be about to end.
	firstPlan = time.Millisecond
	// renewCheck is how often grants that are due are looked for.
	renewCheck = 100 * time.Millisecond
	// renewEvery is how often a grant is prolonged: two may fail in a hold.
	renewEvery = 1400 * time.Millisecond
	// hold is how long a grant lasts. It outlasts the time in which another host
	// becomes coordinator: lease, margin, and a round of renewals.
	hold = 4500 * time.Millisecond
	// longHold is how long a grant lasts that is to outlast an outage of the store.
	// The last ones are sent about two seconds into it, so owners last for nine. A
	// new coordinator has to assume them, so it is no longer than that.
	longHold = 7200 * time.Millisecond
	// writeRetry is the pause after a write of a map that was not acknowledged.
	writeRetry = 100 * time.Millisecond
	// settleFor is how long a range stays after it has moved, before it may move
	// for balance again: the window over which loads are smoothed.
	settleFor = 1500 * time.Millisecond
	// movingShare is the part of a service's targets that may be given a range at
	// once for balance, and minMoving the least number of them.
	movingShare = 0.5
	minMoving   = 8
	// gatherFor is how long the targets of a new service must be the same before
	// its keys are distributed: about two heartbeats.
	gatherFor = 1500 * time.Millisecond
	// refusals is how often in a row a target refuses connections before it may
	// count as down.
	refusals = 3
)

// term is the work of one coordinator while it holds the lease.
type term struct {
	candidate *candidate
	n         *Node
	orders    orders
	ctx       context.Context // ends with the term; nothing of the term outlives it
	end       context.CancelFunc

	saving sync.Mutex // one write of a map at a time; taken before mu

	mu     sync.Mutex
	ledger *grants.Ledger
	maps   map[string]*ownedMap // by service
	down   map[keyrange.Owner]refusal
	known  map[rangeKey]*rangeState
	closed bool // no order is sent any more

	gathering map[string]gathering // by service; used by run alone
}

// refusal is how often in a row a target refused connections.
type refusal struct {
	count int
	ended bool // it was proved to have ended
}

// gathering is how many targets of a new service there are, and since when.
type gathering struct {
	count int
	since time.Duration
}

// orders are sent to targets. *platform.Orders implements it.
type orders interface {
	Grant(ctx context.Context, order wire.Order) error
	Release(ctx context.Context, order wire.Order) (handover string, err error)
	Identity(ctx context.Context, addr, healthCheck string) (target string, err error)
}

// ownedMap is a map as the store acknowledged it, with the moves that are complete
// since.
type ownedMap struct {
	keys    *keyrange.Map
	version uint64
	settled []keyrange.ID // moves that the store does not have as complete
}

// settle returns the map with moves that are complete. Those that it does not
// have as moving are left out.
func (m *ownedMap) settle(ids []keyrange.ID) *ownedMap {
	next := &ownedMap{keys: m.keys.Clone(), version: m.version, settled: slices.Clone(m.settled)}
	for _, id := range ids {
		if next.keys.Settle(id) {
			next.settled = append(next.settled, id)
		}
	}
	return next
}

type rangeKey struct {
	service string
	from    int
	fence   uint64
}

// rangeState is what a term knows of one range beyond the map.
type rangeState struct {
	renewed  time.Duration // when its last grant was sent
	settled  time.Duration // when its owner got it
	busy     bool          // an order for it is under way
	handover string
}

// newTerm returns the work of a term that begins now. c.mu is held.
func newTerm(ctx context.Context, c *candidate) *term {
	ctx, end := context.WithCancel(ctx)
	return &term{
		candidate: c, n: c.n, ctx: ctx, end: end,
		orders: wire.NewOrders(grantTimeout),
		ledger: newLedger(c.election.Predecessor()),
		maps:   make(map[string]*ownedMap),
		down:   make(map[keyrange.Owner]refusal),
		known:  make(map[rangeKey]*rangeState),

		gathering: make(map[string]gathering),
	}
}

// newLedger returns the ledger of a coordinator that took over from the record that
// it first saw at seenAt.
func newLedger(before coordinator.Record, seenAt time.Duration) *grants.Ledger {
	if !before.Resigned {
		return grants.NewLedger(leaseClock(), grantTimeout-coordinator.DefaultTiming.Margin, longHold)
	}
	told := func(ms int64) time.Duration {
		return seenAt + time.Duration(ms)*time.Millisecond + grants.Margin
	}
	return grants.NewLedgerAfter(grants.Floor{End: told(before.EndMs), Unclear: told(before.UnclearMs)})
}

// quiesce ends the sending of orders, waits until those under way are settled, and
// returns until when they may count.
func (t *term) quiesce() grants.Floor {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	for until := leaseClock() + grantTimeout + underWayCheck; ; {
		t.mu.Lock()
		floor, ok := t.ledger.Floor()
		t.mu.Unlock()
		now := leaseClock()
		if ok {
			return floor
		}
		if now >= until || !sleep(t.ctx, underWayCheck) {
			end := grants.End(now+grantTimeout, longHold)
			return grants.Floor{End: end, Unclear: end}
		}
	}
}

// grantTimeout is for a grant's answer: a target answers at once, over at most
// two round trips between regions.
const grantTimeout = 600 * time.Millisecond

// run plans until the term ends.
func (t *term) run() {
	go t.renewAll()
	for pause := firstPlan; sleep(t.ctx, pause); pause = planEvery {
		for _, name := range t.keyedServices() {
			if err := t.planService(name); err != nil {
				t.n.log.Emit(evWriteFailed, "service", name, "error", err.Error())
			}
		}
		t.mu.Lock()
		t.ledger.Forget(leaseClock())
		t.mu.Unlock()
	}
}

// renewAll prolongs grants until the term ends, whether or not the store answers
// to a plan.
func (t *term) renewAll() {
	for sleep(t.ctx, renewCheck) {
		for _, name := range t.keyedServices() {
			t.renew(name)
		}
	}
}

// owned returns the map of a service as the store acknowledged it, or nil.
func (t *term) owned(service string) *ownedMap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maps[service]
}

// setOwned notes the map of a service; nil: it is to be read again.
func (t *term) setOwned(service string, m *ownedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maps[service] = m
}

func (t *term) keyedServices() []string {
	var names []string
	if table := t.n.table.Load(); table != nil {
		for name, s := range table.Services {
			if s.Keyed {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// load reads the map of a service directly from the store.
func (t *term) load(service string) error {
	obj, err := t.n.store.Get(t.ctx, ownersPrefix+service)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		t.setOwned(service, &ownedMap{})
		return nil
	case err != nil:
		return err
	}
	o, err := decodeOwners(obj)
	if err != nil {
		return err
	}
	t.setOwned(service, &ownedMap{keys: o.keys, version: o.version})
	t.n.setOwners(service, o)
	return nil
}

// planService reads the map of a service if it must, and writes the first one, moves
// or merges.
func (t *term) planService(service string) error {
	t.saving.Lock()
	defer t.saving.Unlock()
	if t.owned(service) == nil {
		if err := t.load(service); err != nil {
			return err
		}
	}
	owned := t.owned(service)
	targets := t.targets(service)
	switch {
	case len(targets) == 0:
		return nil
	case owned.keys == nil:
		return t.createMap(service, targets)
	}
	loads := t.candidate.loads(service)
	t.candidate.setOwned(service, hotrange.Owned(owned.keys, loads))
	moves := hotrange.Plan(hotrange.State{
		Map: owned.keys, Targets: targets, Loads: loads, Fixed: t.fixed(service),
	}, t.limits(owned.keys, len(targets)))
	if len(moves) == 0 {
		t.moveAll(service)
		return t.merge(service)
	}
	return t.assign(service, owned.keys, moves)
}

// createMap writes the first map of a service, once its targets have gathered.
func (t *term) createMap(service string, targets []hotrange.Target) error {
	if !t.gathered(service, len(targets)) {
		return nil
	}
	first := firstMap(service, targets)
	t.noteFresh(0, first)
	return t.save(service, first)
}

// assign writes the moves and sets them going. saving is held.
func (t *term) assign(service string, keys *keyrange.Map, moves []hotrange.Move) error {
	next := keys.Clone()
	for _, m := range moves {
		next.Assign(m.From, m.To, m.Owner)
	}
	if err := t.save(service, next); err != nil {
		return err
	}
	t.noteFresh(keys.Fence, next)
	for _, m := range moves {
		t.n.counters.moves(string(m.Reason))
		t.n.log.Emit(evMove, "service", service, "from", m.From, "to", m.To, "target", m.Owner.Target,
			"reason", string(m.Reason), "load", int64(m.Load), "version", t.owned(service).version)
	}
	t.moveAll(service)
	return nil
}

// noteFresh notes the fences above one: this term is the first to grant keys under
// them.
func (t *term) noteFresh(above uint64, m *keyrange.Map) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range m.Ranges {
		if r.Fence > above {
			t.ledger.Fresh(r.Owner, r.Fence)
		}
	}
}

// maxMerges is the number of runs of ranges that are merged in one write.
const maxMerges = 8

// merge joins neighbouring ranges of one owner, and grants them anew at once. It
// also writes moves that were completed.
func (t *term) merge(service string) error {
	owned := t.owned(service)
	next := owned.keys.Clone()
	merged := next.Merge(maxMerges, t.fixed(service))
	if len(merged)+len(owned.settled) == 0 {
		return nil
	}
	// Before the map is in force, so that no grant of the new range comes first.
	t.mu.Lock()
	for _, m := range merged {
		for _, before := range m.Before {
			t.ledger.Inherit(m.Owner, before, m.Fence)
		}
	}
	t.mu.Unlock()
	return t.save(service, next)
}

func (t *term) limits(m *keyrange.Map, targets int) hotrange.Limits {
	limits := hotrange.DefaultLimits
	moving := 0
	for _, r := range m.Ranges {
		if len(r.Prev) > 0 {
			moving++
		}
	}
	limits.Moves = max(0, max(minMoving, int(movingShare*float64(targets)))-moving)
	return limits
}

// fixed returns which ranges must stay: those that have just moved, and those of
// which a grant is unclear and could be applied after a release.
func (t *term) fixed(service string) func(keyrange.Range) bool {
	now := leaseClock()
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := make(map[uint64]time.Duration)
	for k, s := range t.known {
		if k.service == service {
			settled[k.fence] = max(settled[k.fence], s.settled)
		}
	}
	return func(r keyrange.Range) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		end, ok := t.ledger.EndOfUnclear(r.Owner, r.Fence)
		return !ok || end > now || settled[r.Fence] > 0 && now < settled[r.Fence]+settleFor
	}
}

// gathered reports whether the number of a new service's targets has not changed
// for a while, so that its keys are distributed among all of them.
func (t *term) gathered(service string, count int) bool {
	g := t.gathering[service]
	now := leaseClock()
	if g.count != count {
		t.gathering[service] = gathering{count: count, since: now}
		return false
	}
	return now >= g.since+gatherFor
}

func firstMap(service string, targets []hotrange.Target) *keyrange.Map {
	list := make([]keyrange.Owner, len(targets))
	weights := make([]float64, len(targets))
	for i, target := range targets {
		list[i], weights[i] = target.Owner, target.Capacity
	}
	return keyrange.New(service, list, weights)
}

// targets returns the targets of a service that may own keys.
func (t *term) targets(service string) []hotrange.Target {
	t.n.mu.Lock()
	entries := t.n.directory.Of(service)
	t.n.mu.Unlock()
	var out []hotrange.Target
	for _, e := range entries {
		owner := ownerOf(e)
		if e.Leaving || t.isDown(owner) {
			continue
		}
		out = append(out, hotrange.Target{Owner: owner, Capacity: t.candidate.capacity(service, owner.Target, e.Slots)})
	}
	return out
}

// save writes a map on the condition that it is as this term knows it, until a
// write is acknowledged or another writer was first. saving is held.
func (t *term) save(service string, next *keyrange.Map) error {
	if faults := keyrange.Check(next); len(faults) > 0 {
		return errors.Newf("plan is wrong: %v", faults)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "owners")
	}
	owned := t.owned(service)
	for {
		if !t.candidate.holds() {
			t.setOwned(service, nil)
			return errors.New("the lease has ended")
		}
		version, err := t.n.store.Put(t.ctx, ownersPrefix+service, owned.version, value)
		if err == nil {
			t.acknowledged(service, &ownedMap{keys: next, version: version})
			t.n.setOwners(service, owners{keys: next, version: version})
			t.n.wrote(ownersPrefix+service, version, value)
			return nil
		}
		if errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound, platform.ErrRejected) {
			// An update without an answer may have been done after all, or another
			// host wrote: what the store holds is read before anything is planned.
			t.setOwned(service, nil)
			return err
		}
		if !sleep(t.ctx, writeRetry) {
			t.setOwned(service, nil)
			return err
		}
	}
}

// acknowledged takes in a map that the store has. Moves that were completed while
// it was written are kept.
func (t *term) acknowledged(service string, m *ownedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if before := t.maps[service]; before != nil {
		m = m.settle(before.settled)
	}
	t.maps[service] = m
}

// settled returns the completed moves of which the store does not know, by service.
func (t *term) settled() map[string][]keyrange.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]keyrange.ID)
	for service, m := range t.maps {
		if m != nil && len(m.settled) > 0 {
			out[service] = m.settled
		}
	}
	return out
}

// moveAll sets the moves of a service going that are not. saving is held.
func (t *term) moveAll(service string) {
	owned := t.owned(service)
	for _, r := range owned.keys.Ranges {
		if len(r.Prev) == 0 {
			continue
		}
		if s, mine := t.begin(service, r); mine {
			go t.move(service, r, s)
		}
	}
}

// begin claims a range for an order. mine is false while one is under way.
func (t *term) begin(service string, r keyrange.Range) (s *rangeState, mine bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := rangeKey{service, r.From, r.Fence}
	s = t.known[k]
	if s == nil {
		s = &rangeState{}
		t.known[k] = s
	}
	if s.busy {
		return s, false
	}
	s.busy = true
	return s, true
}

func (t *term) done(s *rangeState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.busy = false
}

// renew prolongs the grants of a service that are due.
func (t *term) renew(service string) {
	owned := t.owned(service)
	if owned == nil || owned.keys == nil {
		return
	}
	t.forget(service, owned.keys)
	long := t.candidate.longGrants()
	now := leaseClock()
	for _, r := range owned.keys.Ranges {
		if len(r.Prev) > 0 || t.isGone(r.Owner) {
			continue
		}
		t.mu.Lock()
		s := t.known[rangeKey{service, r.From, r.Fence}]
		due := s == nil || now >= s.renewed+renewEvery || long && now >= s.renewed+renewEvery/2
		t.mu.Unlock()
		if !due {
			continue
		}
		if s, mine := t.begin(service, r); mine {
			go func() {
				defer t.done(s)
				t.grant(service, r, s)
			}()
		}
	}
}

// forget drops what is known of ranges that are no longer in the map.
func (t *term) forget(service string, m *keyrange.Map) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.known, func(k rangeKey, s *rangeState) bool {
		if k.service != service || s.busy {
			return false
		}
		i := m.At(k.from)
		return i < 0 || m.Ranges[i].Fence != k.fence || m.Ranges[i].From != k.from
	})
}

// isGone reports whether another start of the target, or another target, is
// known at the owner's place.
func (t *term) isGone(owner keyrange.Owner) bool {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	e, ok := t.n.directory.Get(owner.Target)
	return ok && e.Run != owner.Run
}

// entryOf returns the entry of an owner, if it is still in the store.
func (t *term) entryOf(owner keyrange.Owner) (e directory.Entry, silent time.Duration, ok bool) {
	t.n.mu.Lock()
	defer t.n.mu.Unlock()
	e, ok = t.n.directory.Get(owner.Target)
	return e, t.n.directory.Silent(owner.Target), ok && e.Run == owner.Run
}
