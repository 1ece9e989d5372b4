package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
)

const (
	// planInterval is the time between two planning rounds: a hot spot is handled
	// within a second or two.
	planInterval = 200 * time.Millisecond
	// firstPlanDelay replaces planInterval at the beginning of a term, when grants
	// may be about to end.
	firstPlanDelay = time.Millisecond
	// renewCheckInterval is the time between two checks for grants that are due
	// for renewal.
	renewCheckInterval = 100 * time.Millisecond
	// renewInterval is the time between two renewals of a grant: two may fail
	// within grantHold.
	renewInterval = 1400 * time.Millisecond
	// grantHold is how long a grant lasts. It outlasts the time in which another
	// host becomes coordinator: lease, margin, and a round of renewals.
	grantHold = 4500 * time.Millisecond
	// longGrantHold is how long a grant lasts that should outlast a store outage.
	// The last such grants are sent about two seconds into the outage, so owners
	// keep their keys for nine. It is no longer than that because a new
	// coordinator must assume that such grants exist.
	longGrantHold = 7200 * time.Millisecond
	// writeRetryInterval is the pause after a map write that was not acknowledged.
	writeRetryInterval = 100 * time.Millisecond
	// moveCooldown is how long a range stays with its owner after a move before it
	// may move for balance again: the window over which loads are smoothed.
	moveCooldown = 1500 * time.Millisecond
	// maxMovingShare is the part of a service's targets that may be receiving a
	// range for balance at the same time; minMoving is the smallest value of that
	// limit.
	maxMovingShare = 0.5
	minMoving      = 8
	// targetCountStableTime is how long the number of targets of a new service must
	// stay the same before its keys are distributed: about two heartbeats.
	targetCountStableTime = 1500 * time.Millisecond
	// minRefusals is how many connections in a row a target must refuse before it
	// is suspected to have ended.
	minRefusals = 3
)

// term is the work of the coordinator during one holding of the lease.
type term struct {
	candidate *candidate
	node      *Node
	orders    orders
	era       uint64          // of the store: the term ends with it
	restored  bool            // the store may have come back from an older copy before the term
	ctx       context.Context // ends with the term, and with it all work of the term
	cancel    context.CancelFunc

	saving sync.Mutex // one write of a map at a time; taken before mu

	mu          sync.Mutex
	ledger      *grants.Ledger
	maps        map[string]*ownedMap // by service
	refusals    map[keyrange.Owner]refusal
	rangeStates map[rangeKey]*rangeState
	closed      bool // no further order is sent

	// keptMaps holds the maps of the term before by service until they are written in this
	// era, if this host goes on from it.
	keptMaps map[string]*keyrange.Map

	// highestFences holds the highest fence of each service in the maps that this term read
	// or tried to write. None of them is given out again.
	highestFences map[string]uint64

	sentMaps map[string]*keyrange.Map // last map of each service that this term tried to write
	// listingFloors holds for each service the version of the map that another
	// coordinator wrote: an older listing of targets does not go with it.
	listingFloors map[string]uint64

	targetCounts map[string]targetCount // by service; used by run alone

	savedAggregators   string // as last written or read; used by run alone
	aggregatorsVersion uint64
	aggregatorsSavedAt time.Duration
}

// refusal counts the connections that a target refused in a row, and says how long the
// target is suspected to have ended.
type refusal struct {
	count        int
	suspectUntil time.Duration // until when the target gets no further keys
}

// orders sends orders to targets. It is implemented by *platform.Orders.
type orders interface {
	Grant(ctx context.Context, order platform.Order) (leaving bool, err error)
	Release(ctx context.Context, order platform.Order) (handover string, err error)
	Identity(ctx context.Context, addr, healthCheck string) (target string, err error)
}

type rangeKey struct {
	service string
	from    int
	fence   uint64
}

// rangeState is the state of one range in a term that the map does not hold.
type rangeState struct {
	renewed  time.Duration // when its last grant was sent
	settled  time.Duration // when its owner received it
	busy     bool          // an order for it is in flight
	handover string
}

// newTerm returns a term that starts now. c.mu is held.
func newTerm(ctx context.Context, c *candidate) *term {
	ctx, cancel := context.WithCancel(ctx)
	kept := c.takeKept()
	t := &term{
		candidate: c, node: c.node, ctx: ctx, cancel: cancel,
		era: c.election.Era(), restored: c.election.WasRestored(),
		aggregatorsVersion: era.Version(c.election.Era(), 0),
		orders:             platform.NewOrders(grantTimeout),
		ledger:             newLedgerOf(kept, c.election),
		maps:               make(map[string]*ownedMap),
		refusals:           make(map[keyrange.Owner]refusal),
		rangeStates:        make(map[rangeKey]*rangeState),

		highestFences: make(map[string]uint64),
		sentMaps:      make(map[string]*keyrange.Map),
		listingFloors: make(map[string]uint64),

		targetCounts: make(map[string]targetCount),
	}
	if kept != nil {
		t.keptMaps = kept.maps
	}
	return t
}

// newLedger returns the ledger of a coordinator whose predecessor left the given
// lease record, first observed at seenAt.
func newLedger(before coordinator.Record, seenAt time.Duration) *grants.Ledger {
	if !before.Resigned {
		// Also where the store's copy does not show the predecessor: its lease has ended by
		// the margin.
		return grants.NewLedger(leaseClock(), grantTimeout-coordinator.DefaultTiming.Margin, longGrantHold)
	}
	recordedEnd := func(ms int64) time.Duration {
		return seenAt + time.Duration(ms)*time.Millisecond + grants.Margin
	}
	return grants.NewLedgerWithFloor(grants.Floor{
		End: recordedEnd(before.EndMs), UnansweredEnd: recordedEnd(before.UnclearMs), ArrivedBy: seenAt + grantTimeout + grants.Margin,
	})
}

// quiesce stops the sending of orders, waits until those in flight are settled,
// and returns until when they may still count.
func (t *term) quiesce() grants.Floor {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	for until := leaseClock() + grantTimeout + inFlightCheckInterval; ; {
		t.mu.Lock()
		floor, ok := t.ledger.Floor()
		t.mu.Unlock()
		now := leaseClock()
		if ok {
			return floor
		}
		if now >= until || !sleep(t.ctx, inFlightCheckInterval) {
			end := grants.End(now+grantTimeout, longGrantHold)
			return grants.Floor{End: end, UnansweredEnd: end, ArrivedBy: now + grantTimeout + grants.Margin}
		}
	}
}

// grantTimeout limits the wait for the answer to a grant: a target answers at
// once, over at most two round trips between regions.
const grantTimeout = 600 * time.Millisecond

// run plans until the term ends.
func (t *term) run() {
	go t.renewAll()
	for pause := firstPlanDelay; sleep(t.ctx, pause); pause = planInterval {
		for _, name := range t.keyedServices() {
			t.node.guard("plan", func() {
				if err := t.planService(name); err != nil {
					t.node.log.Emit(evWriteFailed, "service", name, "error", err.Error())
				}
			})
		}
		t.node.guard("aggregators", t.saveAggregators)
		t.mu.Lock()
		t.ledger.RemoveEnded(leaseClock())
		t.mu.Unlock()
	}
}

// renewAll renews grants until the term ends, independently of planning, which may
// wait for the store.
func (t *term) renewAll() {
	for sleep(t.ctx, renewCheckInterval) {
		for _, name := range t.keyedServices() {
			t.node.guard("renewals", func() { t.renew(name) })
		}
	}
}

func (t *term) keyedServices() []string {
	var names []string
	if table := t.node.table.Load(); table != nil {
		for name, s := range table.Services {
			if s.Keyed {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// startMoves starts the pending moves of a service that are not running yet.
// saving is held.
func (t *term) startMoves(service string) {
	owned := t.mapOf(service)
	for _, r := range owned.keys.Ranges {
		if len(r.Prev) == 0 {
			continue
		}
		if s, claimed := t.claimRange(service, r); claimed {
			go t.node.guard("move", func() { t.move(service, r, s) })
		}
	}
}

// claimRange claims a range for an order. claimed is false while another order for
// it is in flight.
func (t *term) claimRange(service string, r keyrange.Range) (s *rangeState, claimed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := rangeKey{service, r.From, r.Fence}
	s = t.rangeStates[k]
	if s == nil {
		s = &rangeState{}
		t.rangeStates[k] = s
	}
	if s.busy {
		return s, false
	}
	s.busy = true
	return s, true
}

func (t *term) unclaimRange(s *rangeState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.busy = false
}

// renew renews the grants of a service that are due.
func (t *term) renew(service string) {
	owned := t.mapOf(service)
	if owned == nil || owned.keys == nil {
		return
	}
	t.forgetRanges(service, owned.keys)
	long := t.candidate.needsLongGrants()
	now := leaseClock()
	for _, r := range owned.keys.Ranges {
		if len(r.Prev) > 0 || t.isSuperseded(r.Owner) {
			continue
		}
		t.mu.Lock()
		s := t.rangeStates[rangeKey{service, r.From, r.Fence}]
		due := s == nil || now >= s.renewed+renewInterval || long && now >= s.renewed+renewInterval/2
		t.mu.Unlock()
		if !due {
			continue
		}
		if s, claimed := t.claimRange(service, r); claimed {
			go t.node.guard("renewal", func() {
				defer t.unclaimRange(s)
				t.grant(service, r, s)
			})
		}
	}
}

// forgetRanges drops the state of ranges that are no longer in the map.
func (t *term) forgetRanges(service string, m *keyrange.Map) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.rangeStates, func(k rangeKey, s *rangeState) bool {
		if k.service != service || s.busy {
			return false
		}
		i := m.IndexOf(k.from)
		return i < 0 || m.Ranges[i].Fence != k.fence || m.Ranges[i].From != k.from
	})
}

// isSuperseded reports whether the directory has a later run of the owner's target. An
// entry of an earlier run is out of date.
func (t *term) isSuperseded(owner keyrange.Owner) bool {
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	e, ok := t.node.directory.Get(owner.Target)
	return ok && e.Run > owner.Run
}

// entryRun returns the run of a target in the directory, 0 if it has none, and the age
// of the store's last answer.
func (t *term) entryRun(target string) (run int64, age time.Duration) {
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	e, _ := t.node.directory.Get(target)
	return e.Run, t.node.storeAge()
}
