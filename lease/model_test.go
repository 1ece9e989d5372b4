package lease_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

// The model simulates single messages between three hosts of one cell, a target that
// checks grants and one that does not, and the store. Messages are delayed, lost,
// duplicated and reordered; clocks run at different rates from different start
// readings; processes and targets are paused, restarted and cut off.
const (
	cell           = "x"
	service        = "s"
	checkingTarget = "t1" // the target that checks grants
	plainTarget    = "t2" // the target that does not check grants

	hotKey    = "hot"
	farCell   = "y"
	farTarget = "t3" // the far cell's target, which does not check grants

	initialVoters = 3 // hosts of the near cell that vote from the start
)

type clock struct {
	offset time.Duration
	rate   float64
	base   time.Duration
}

func (c clock) read(now time.Duration) time.Duration {
	return c.offset + time.Duration(c.rate*float64(now-c.base))
}

type process struct {
	inc    lease.Incarnation
	clock  clock
	paused bool
	inbox  []func()
	voter  *lease.Voter
	holder *lease.Holder
	grants *lease.Grants
	view   holderView
}

type host struct {
	name                string
	cell                string
	placer              *process
	router              *process
	record              membership.Record
	otherRecord         membership.Record // record of the other cell, if there is one
	page                ownership.Page
	isStoreCutOff       bool
	isLagging           bool // receives no new objects of the store
	isTargetUnreachable bool // does not reach the plain target
	leases              placerLeases
	conditionSince      map[string]time.Duration // start of each condition that overdue checks, by name
}

type guardedTarget struct {
	clock  clock
	paused bool
	inbox  []func()
	guard  *lease.TargetGuard
}

type packet struct {
	at      time.Duration
	from    string
	to      string
	deliver func()
}

type run struct {
	at      time.Duration
	shard   uint32
	target  string
	owner   ownership.Epoch
	gateway lease.GatewayEpoch
	sender  lease.Incarnation
}

type store struct {
	record       membership.Record
	farRecord    membership.Record
	page         ownership.Page
	down         bool
	losesAnswers bool // answers are lost after the change took effect
	writes       uint64
}

type model struct {
	hasLongRuns       bool // work of shards that are given up continues for a while
	now               time.Duration
	rng               *rand.Rand
	faults            lease.Faults
	noFailures        bool
	scripted          bool // no placer acts on its own
	hosts             []*host
	target            guardedTarget
	plainTargetPaused bool
	store             store
	queue             []packet
	cutLinks          map[string]bool
	lastRun           map[string]run           // newest run by shard and by target
	lastStart         map[uint32]time.Duration // newest start of a run by shard
	lastLineByTarget  map[string]lease.Line    // newest line by target
	lastLineByShard   map[uint32]lease.Line    // newest line by shard
	handoverLines     map[shardHandover]lease.GatewayEpoch
	keyOrder          map[lease.ShardEpoch]uint64
	lastKeyRun        run // newest run that may include the hot key
	claims            sentClaims
	violation         string
	counts            map[string]int
	leases            map[string]*storeLease // by cell; nil if no shard needs them
	assumesSuccess    bool                   // a writer without an answer assumes that its change was made
	sendsGoneHints    bool                   // placers believe at times, rightly or wrongly, that a router's process ended
}

func newModel(seed uint64, faults lease.Faults, spares ...string) *model {
	w := &model{
		rng:              rand.New(rand.NewPCG(seed, 7)),
		faults:           faults,
		cutLinks:         make(map[string]bool),
		lastRun:          make(map[string]run),
		lastStart:        make(map[uint32]time.Duration),
		keyOrder:         make(map[lease.ShardEpoch]uint64),
		lastLineByTarget: make(map[string]lease.Line),
		lastLineByShard:  make(map[uint32]lease.Line),
		handoverLines:    make(map[shardHandover]lease.GatewayEpoch),
		counts:           make(map[string]int),
	}
	w.target = guardedTarget{clock: w.newClock(), guard: w.newGuard()}
	for _, name := range append([]string{"a", "b", "c"}, spares...) {
		w.hosts = append(w.hosts, &host{name: name, cell: cell, conditionSince: make(map[string]time.Duration)})
	}
	w.setUp()
	return w
}

func (w *model) newClock() clock {
	drift := lease.DefaultTiming.Drift
	return clock{
		offset: time.Duration(w.rng.Int64N(int64(time.Hour))),
		rate:   1 - drift + 2*drift*w.rng.Float64(),
		base:   w.now,
	}
}

func (w *model) newGuard() *lease.TargetGuard {
	guard := &lease.TargetGuard{}
	guard.SetFaults(w.faults)
	return guard
}

// setUp writes the first objects and lets every host vote from the start.
func (w *model) setUp() {
	r := membership.Record{Cell: cell, Number: 1, Settled: true}
	var routers []lease.Incarnation
	for _, h := range w.hosts {
		h.placer = &process{inc: lease.Incarnation{Host: h.name, Run: 1}}
		h.router = &process{inc: lease.Incarnation{Host: h.name, Run: 1}}
		if len(r.Hosts) == initialVoters {
			continue
		}
		r.Hosts = append(r.Hosts, membership.Host{Name: h.name, PlacerRun: 1, RouterRun: 1})
		routers = append(routers, h.router.inc)
	}
	for i, target := range []string{checkingTarget, plainTarget} {
		candidates := slices.Concat(routers[i:], routers[:i])
		r, _ = membership.AddGateway(r, membership.Gateway{Target: target, Service: service, Candidates: candidates}, ownership.Stamp{})
	}
	places := []ownership.Place{{Cell: cell, Target: checkingTarget}, {Cell: cell, Target: plainTarget}}
	w.store.record = r
	w.store.page, _ = ownership.NewPage(service, 2, places, ownership.Change{})
	for n, place := range slices.Backward(places) {
		w.store.page, _ = ownership.SetNext(w.store.page, uint32(1-n), place, ownership.Change{})
	}
	w.recordKeyOrder(w.store.page)
	for _, h := range w.hosts {
		w.startPlacer(h)
		w.startRouter(h)
		w.sync(h, w.store.record, w.store.page)
	}
}

// addFarCell gives the model a second cell with one target.
func (w *model) addFarCell() {
	r := membership.Record{Cell: farCell, Number: 1, Settled: true}
	var routers []lease.Incarnation
	for _, name := range []string{"d", "e", "f"} {
		first := lease.Incarnation{Host: name, Run: 1}
		h := &host{name: name, cell: farCell, conditionSince: make(map[string]time.Duration)}
		h.placer, h.router = &process{inc: first}, &process{inc: first}
		w.hosts = append(w.hosts, h)
		r.Hosts = append(r.Hosts, membership.Host{Name: name, PlacerRun: 1, RouterRun: 1})
		routers = append(routers, first)
	}
	r, _ = membership.AddGateway(r, membership.Gateway{Target: farTarget, Service: service, Candidates: routers}, ownership.Stamp{})
	w.store.farRecord = r
	for _, h := range w.hosts[initialVoters:] {
		w.startPlacer(h)
		w.startRouter(h)
	}
	for _, h := range w.hosts {
		w.syncAll(h, w.store.record, w.store.farRecord, w.store.page)
	}
}

// recordOf returns the store's record of a host's cell.
func (w *model) recordOf(h *host) *membership.Record {
	if h.cell == farCell {
		return &w.store.farRecord
	}
	return &w.store.record
}

// syncAll gives a host the objects of which it has no newer version.
func (w *model) syncAll(h *host, near, far membership.Record, page ownership.Page) {
	if h.cell == farCell {
		near, far = far, near
	}
	if far.Number > 0 && far.Stamp.Write >= h.otherRecord.Stamp.Write {
		h.otherRecord = far
	}
	w.sync(h, near, page)
}

// records returns the host's records of the near and the far cell.
func (h *host) records() (near, far membership.Record) {
	if h.cell == farCell {
		return h.otherRecord, h.record
	}
	return h.record, h.otherRecord
}

func (w *model) startPlacer(h *host) {
	p := &process{inc: h.placer.inc, clock: w.newClock()}
	p.voter = lease.NewVoter(lease.VoterConfig{Cell: h.cell, Self: p.inc, Timing: lease.DefaultTiming})
	p.voter.SetFaults(w.faults)
	h.placer = p
	h.leases = placerLeases{}
	w.sync(h, h.record, h.page)
}

func (w *model) startRouter(h *host) {
	p := &process{inc: h.router.inc, clock: w.newClock(), grants: &lease.Grants{}}
	p.holder = lease.NewHolder(lease.HolderConfig{Cell: h.cell, Self: p.inc, Timing: lease.DefaultTiming})
	p.holder.SetFaults(w.faults)
	p.grants.SetFaults(w.faults)
	h.router = p
	w.sync(h, h.record, h.page)
}

// sync gives a host objects that are not older than those it has.
func (w *model) sync(h *host, record membership.Record, page ownership.Page) {
	if record.Number == 0 {
		return
	}
	if record.Stamp.Write >= h.record.Stamp.Write {
		h.record = record
	}
	if page.Stamp.Write >= h.page.Stamp.Write {
		h.page = page
	}
	if p := h.placer; p.voter != nil && !p.paused {
		p.voter.SetElectorate(p.clock.read(w.now), h.record.Electorate())
		p.voter.SetTargets(p.clock.read(w.now), h.record.Targets())
	}
	if p := h.router; p.holder != nil && !p.paused {
		now := p.clock.read(w.now)
		p.holder.SetElectorate(now, h.record.Electorate())
		if h.otherRecord.Number > 0 {
			p.holder.SetElectorate(now, h.otherRecord.Electorate())
		}
		p.holder.SetTargets(now, h.record.Claims())
		p.holder.SetShards(now, w.shardClaims(h.page))
	}
}

func (w *model) shardClaims(page ownership.Page) []lease.ShardClaim {
	var claims []lease.ShardClaim
	for n, s := range allShards(page) {
		claims = append(claims, lease.ShardClaim{Ref: ref(uint32(n)), Shard: s, NeedsStore: w.leases != nil})
	}
	return claims
}

// allShards returns the shards of a page by number, including pinned ones.
func allShards(page ownership.Page) []ownership.Shard {
	return slices.Concat(page.Shards, page.Pins)
}

func ref(n uint32) ownership.ShardRef { return ownership.ShardRef{Service: service, Shard: n} }
