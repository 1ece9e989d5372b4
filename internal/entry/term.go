package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
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

// orders are sent to targets. *platform.Orders implements it.
type orders interface {
	Grant(ctx context.Context, order wire.Order) error
	Release(ctx context.Context, order wire.Order) (handover string, err error)
	Identity(ctx context.Context, addr, healthCheck string) (target string, err error)
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
