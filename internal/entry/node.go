// Package entry implements the process of an entry host on the users' platform. It
// accepts callers' requests and sends each to a target in one hop. One of the
// hosts, the coordinator, also plans which targets own which keys and grants the
// keys to them.
package entry

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/membership/evacuation"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
	"github.com/mangopost/mangopost/routing/crossing"
)

const (
	maxKey = keyrange.MaxKey
	// assumedHosts is the number of hosts assumed to share limits until the
	// coordinator reports it: that of the largest known site.
	assumedHosts = 12
	// retryShare is the part of the common retry ratio that the hosts use, so that
	// the calls that targets receive stay within it.
	retryShare = 0.75
	// slackShare is the part of the retries beyond the ratio that the hosts use:
	// the number of hosts that share them is learnt late.
	slackShare = 0.5
	// connectionShare is the part of a target's connection limit that the hosts
	// use.
	connectionShare = 0.85
)

// owners is an owner map as read from the store.
type owners struct {
	keys    *keyrange.Map
	version uint64
}

// Node is one entry process.
type Node struct {
	settings      atomic.Pointer[platform.Settings]
	hangups       <-chan os.Signal
	metricsAddr   netip.AddrPort
	log           *kernel.EventLog
	store         *platform.Store
	conns         *connPool
	memory        *memlimit.Limit
	heldLog       memlimit.Refusals
	counters      *counters
	answerSampler sampler

	table             atomic.Pointer[routing.Table]
	lastRequestNumber atomic.Uint64
	inFlight          atomic.Int64
	stopping          atomic.Bool
	stopPhases        atomic.Pointer[stopPhases] // nil before the stop

	mayUseHint      atomic.Bool   // the store may still tell this host its aggregator
	reportNow       chan struct{} // requests a report before the next one is due
	reportFailed    atomic.Bool   // the coordinator did not answer the last report
	hostCount       atomic.Int64  // hosts that report to the coordinator
	crossing        Crossing      // set before the node runs
	link            crossing.Link // to the other region
	coldHosts       coldHosts     // hosts that may send to cold targets
	lastStoreAnswer atomic.Int64  // time of the store's last answer, on steadyClock

	quarantine *quarantine
	repeats    *repeats
	gate       storeGate
	badObjects badObjects

	reports     reportRoute
	aggregation *aggregation

	mu        sync.Mutex
	slots     map[string]map[string]int // slots of the targets, by service; the maps are not changed
	services  map[string]*service
	splitter  *routing.Splitter
	directory *directory.Directory
	// evacuations is used only where hasPlaces is set.
	evacuations *evacuation.State
	owners      map[string]owners
	history     ownersHistory

	candidate *candidate
	feeds     []*feed
	hasPlaces bool // the terms on data centres were in force when the process started
}

// New returns a node that is not running yet. A signal on hangups requests a
// reload of the settings.
func New(s *platform.Settings, metricsPort uint16, hangups <-chan os.Signal, logger hclog.Logger) *Node {
	n := &Node{
		hangups:     hangups,
		metricsAddr: netip.AddrPortFrom(s.IP, metricsPort),
		log:         kernel.NewEventLog(logger),
		store:       platform.NewStore(s.Store.String()),
		conns:       newConnPool(),
		aggregation: newAggregation(),
		reportNow:   make(chan struct{}, 1),

		quarantine: newQuarantine(),
		repeats:    newRepeats(),
		services:   make(map[string]*service),
		splitter:   routing.NewSplitter(),
		owners:     make(map[string]owners),
		history:    make(ownersHistory),
		directory: directory.New(directory.Timing{
			OutageAfter:  2 * s.Heartbeat,
			ReturnPeriod: storeReturn,
		}),
		evacuations: evacuation.New(evacuationSettleBeats * s.Heartbeat),
		hasPlaces:   s.HasContract(platform.ContractPlaces),
	}
	n.memory = memlimit.New(s.Memory, n.recordHeldRefusal)
	n.settings.Store(s)
	n.hostCount.Store(assumedHosts)
	n.mayUseHint.Store(true)
	n.candidate = newCandidate(n)
	n.feeds = newFeeds(n)
	n.counters = newCounters(n)
	n.store.OnCall(n.counters.countStoreCall)
	return n
}

// storeReturn is the platform's bound on how long after a store outage the entries
// that lapsed during it take to reappear.
const storeReturn = 2 * time.Second

// Run serves until ctx ends, then drains.
func (n *Node) Run(ctx context.Context) error {
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logEnded := make(chan error, 1)
	go func() { logEnded <- n.log.Run(logCtx) }()
	s := n.settings.Load()
	n.log.Emit(evStarted, "host", s.Host, "data_centre", s.DataCentre, "region", s.Region,
		"callers", s.Callers.String(), "readiness", s.Readiness.String(), "peers", s.Peers.String(), "store", s.Store.String())
	err := kernel.Run(ctx, n.duties()...)
	n.log.Emit(evEnded, "in_flight", n.inFlight.Load())
	stopLog()
	<-logEnded
	return err
}

func (n *Node) duties() []kernel.Duty {
	// The host keeps its state up to date while it answers the last callers.
	drainCtx, endDrain := context.WithCancel(context.Background())
	untilDrained := func(run func(context.Context) error) func(context.Context) error {
		return func(context.Context) error { return run(drainCtx) }
	}
	duties := []kernel.Duty{
		{Name: "callers", Run: func(ctx context.Context) error {
			defer endDrain()
			return n.serveCallers(ctx)
		}},
		{Name: "readiness", Run: untilDrained(n.serveReadiness)},
		{Name: "peers", Run: untilDrained(n.servePeers)},
		{Name: "metrics", Run: untilDrained(n.serveMetrics)},
		{Name: "settings", Run: n.watchSettings},
		{Name: "coordinator", Run: n.candidate.run},
		{Name: "reports", Run: untilDrained(n.sendReports)},
		{Name: "housekeeping", Run: untilDrained(n.runHousekeeping)},
	}
	for _, f := range n.feeds {
		duties = append(duties, kernel.Duty{Name: "feed " + f.prefix, Run: untilDrained(f.follow)})
	}
	return duties
}

// housekeepingInterval is the time between two checks for idle connections, lapsed
// entries and changes of readiness.
const housekeepingInterval = 500 * time.Millisecond

func (n *Node) runHousekeeping(ctx context.Context) error {
	ready := false
	for sleep(ctx, housekeepingInterval) {
		n.guard("housekeeping", func() {
			n.conns.closeExpired()
			n.tickDirectory()
			n.quarantine.forgetOld()
			n.updateCold()
			n.logReserves()
			n.updateCrossing()
			if now := n.isReady(); now != ready {
				ready = now
				n.log.Emit(evReady, "ready", ready)
			}
		})
	}
	return nil
}

func (n *Node) tickDirectory() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.directory.Tick(steadyClock()) {
		n.updateTargets()
	}
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// isReady reports whether this host can serve: it has a configuration, targets,
// an owner map for each keyed service, and knows which data centres are evacuated.
func (n *Node) isReady() bool {
	table := n.table.Load()
	if table == nil || n.stopping.Load() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.directory.HasAnswer() || !n.knowsEvacuations() {
		return false
	}
	for name, s := range table.Services {
		if s.Keyed && n.owners[name].keys == nil {
			return false
		}
	}
	return true
}

func (n *Node) storeAge() time.Duration {
	return steadyClock() - time.Duration(n.lastStoreAnswer.Load())
}

func (n *Node) ownersVersion(service string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[service].version
}

// nextService returns the service that handles a route's next request.
func (n *Node) nextService(r *routing.Route) *service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.services[n.splitter.Next(r)]
}

// configure brings a configuration into force if it is newer than the current one.
// A configuration never reverts.
func (n *Node) configure(t *routing.Table) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.table.Load(); old != nil && old.Version >= t.Version {
		return
	}
	for name, s := range t.Services {
		if old := n.services[name]; old == nil || old.keyed != s.Keyed {
			n.services[name] = newService(s, n.newRetryBudget(), hashFraction(n.settings.Load().Host), n.reservesUrgent(), n.crossingConfig(), n.guard)
		}
	}
	for name, s := range t.Services {
		n.setColdLimits(n.services[name], s)
	}
	n.repeats.keepOnly(t.RouteNames())
	n.table.Store(t)
	n.log.Emit(evConfiguration, "configuration", platform.FormatVersion(t.Version), "services", len(t.Services))
	n.updateTargets()
	for name, o := range n.owners {
		n.updateOwners(name, o)
	}
}

// reservesUrgent reports whether capacity is reserved for urgent requests: where callers
// compete for too little of it.
func (n *Node) reservesUrgent() bool {
	s := n.settings.Load()
	return s.HasContract(platform.ContractPlaces) || s.HasContract(platform.ContractPressure)
}

// logReserves logs where capacity begins or ends to be reserved for more urgent requests.
func (n *Node) logReserves() {
	for name, s := range n.allServices() {
		if slots, changed := s.reserveChange(); changed {
			n.log.Emit(evReserve, "service", name, "active", slots > 0, "slots", int(slots))
		}
	}
}

// newRetryBudget returns this host's share of the common retry budget.
func (n *Node) newRetryBudget() *routing.SlidingBudget {
	b := n.settings.Load().Bounds
	return routing.NewSlidingBudget(routing.BudgetConfig{Ratio: retryShare * b.RetryRatio, Burst: n.retryBurst()}, b.RetryWindow)
}

// retryBurst returns this host's share of the retries beyond the ratio.
func (n *Node) retryBurst() float64 {
	return max(1, slackShare*n.settings.Load().Bounds.RetrySlack/float64(n.hostCount.Load()))
}

// updateTargets passes the directory's targets to the pools. mu is held.
func (n *Node) updateTargets() {
	table := n.table.Load()
	if table == nil {
		return
	}
	n.slots = make(map[string]map[string]int, len(table.Services))
	for name, s := range table.Services {
		entries := n.directory.TargetsOf(name)
		n.slots[name] = slotsOf(entries)
		targets := n.poolTargets(entries, s)
		n.services[name].updatePool(func(p *pool.Pool) { p.SetTargets(steadyClock(), targets) })
	}
}

func slotsOf(entries []directory.Entry) map[string]int {
	slots := make(map[string]int, len(entries))
	for _, e := range entries {
		slots[e.Name] = e.Slots
	}
	return slots
}

// poolTargets returns the targets of a service for its pool. mu is held.
func (n *Node) poolTargets(entries []directory.Entry, s routing.Service) []pool.Target {
	limit := 0
	if s.MaxConnections > 0 {
		limit = max(1, int(connectionShare*float64(s.MaxConnections)/float64(n.hostCount.Load())))
	}
	out := make([]pool.Target, 0, len(entries))
	for _, e := range entries {
		isEvacuated := n.evacuations.IsEvacuated(e.DataCentre)
		out = append(out, pool.Target{
			Owner:     ownerOf(e),
			Distance:  n.distance(e.DataCentre),
			Region:    n.regionOf(e.DataCentre),
			Slots:     e.Slots,
			Leaving:   e.Leaving || isEvacuated,
			Evacuated: isEvacuated,
			ColdFor:   n.coldFor(s, e),
			Limit:     limit,

			Heartbeat:  e.Heartbeat,
			DataCentre: e.DataCentre,
		})
	}
	return out
}

func ownerOf(e directory.Entry) keyrange.Owner {
	return keyrange.Owner{Target: e.Name, Run: e.Run, Addr: e.Addr}
}

func (n *Node) distance(dataCentre string) pool.Distance {
	s := n.settings.Load()
	switch {
	case dataCentre == s.DataCentre:
		return pool.SameZone
	case s.Regions[dataCentre] == s.Region:
		return pool.SameRegion
	default:
		return pool.Far
	}
}

// regionOf returns the region of a data centre, or "" if it is not known.
func (n *Node) regionOf(dataCentre string) string {
	s := n.settings.Load()
	if dataCentre == s.DataCentre {
		return s.Region
	}
	return s.Regions[dataCentre]
}

// setOwners brings an owner map that is in the store into force, if it is newer
// than the current one.
func (n *Node) setOwners(service string, o owners) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o.version <= n.owners[service].version {
		return
	}
	n.owners[service] = o
	if n.candidate.holdsLease() || n.aggregation.isActive() {
		n.history.add(service, o)
	}
	moving := slices.ContainsFunc(o.keys.Ranges, func(r keyrange.Range) bool { return len(r.Prev) > 0 })
	n.log.Emit(evOwners, "service", service, "version", era.Revision(o.version), "ranges", len(o.keys.Ranges), "fence", o.keys.Fence, "moving", moving)
	n.updateOwners(service, o)
}

// settleMoves passes completed moves to a service's pool.
func (n *Node) settleMoves(service string, ids []keyrange.ID) {
	n.mu.Lock()
	s := n.services[service]
	n.mu.Unlock()
	if s != nil && s.keyed {
		s.updatePool(func(p *pool.Pool) { p.Settle(ids) })
	}
}

// updateOwners passes an owner map to its service's pool. mu is held.
func (n *Node) updateOwners(service string, o owners) {
	if s := n.services[service]; s != nil && s.keyed {
		s.updatePool(func(p *pool.Pool) { p.SetOwners(o.keys) })
	}
}

// slotsByTarget returns the number of slots of each target, by service. The maps must
// not be changed.
func (n *Node) slotsByTarget() map[string]map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slots
}
