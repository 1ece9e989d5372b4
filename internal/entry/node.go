// Package entry is the process of an entry host on the users' platform: it takes
// callers' requests and sends each to a target in one hop. One of the hosts,
// the coordinator, also plans who owns which keys and grants them.
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
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	maxKey = keyrange.MaxKey
	// assumedHosts is the number of hosts that share limits until the coordinator
	// has told it: the largest of today's sites.
	assumedHosts = 12
	// retryShare is the part of the common ratio of retries that the hosts use, so
	// that the calls of targets stay within it.
	retryShare = 0.75
	// slackShare is the part of the retries beside the ratio that the hosts use: how
	// many hosts share them is known late.
	slackShare = 0.5
	// connectionShare is the part of a target's connections that the hosts use.
	connectionShare = 0.85
)

// owners is a map of owners as it was read from the store.
type owners struct {
	keys    *keyrange.Map
	version uint64
}

// Node is one entry process.
type Node struct {
	settings atomic.Pointer[platform.Settings]
	hangups  <-chan os.Signal
	metrics  netip.AddrPort
	log      *kernel.EventLog
	store    *platform.Store
	conns    *connPool
	counters *counters
	ordinary sampler

	table    atomic.Pointer[routing.Table]
	numbers  atomic.Uint64
	inFlight atomic.Int64
	stopping atomic.Bool

	reportFailed atomic.Bool  // the last report got no answer from a coordinator
	hosts        atomic.Int64 // that report to the coordinator
	heard        atomic.Int64 // last answer of the store, by steady

	gate storeGate

	mu        sync.Mutex
	services  map[string]*service
	splitter  *routing.Splitter
	directory *directory.Directory
	owners    map[string]owners
	history   ownersHistory

	candidate *candidate
	feeds     []*feed
}

// New returns a process that is not running yet. hangups tells when the settings
// have changed.
func New(s *platform.Settings, metricsPort uint16, hangups <-chan os.Signal, logger hclog.Logger) *Node {
	n := &Node{
		hangups:  hangups,
		metrics:  netip.AddrPortFrom(s.IP, metricsPort),
		log:      kernel.NewEventLog(logger),
		store:    platform.NewStore(s.Store.String()),
		conns:    newConnPool(),
		services: make(map[string]*service),
		splitter: routing.NewSplitter(),
		owners:   make(map[string]owners),
		history:  make(ownersHistory),
		directory: directory.New(directory.Timing{
			Away:   2 * s.Heartbeat,
			Return: storeReturn,
		}),
	}
	n.settings.Store(s)
	n.hosts.Store(assumedHosts)
	n.candidate = newCandidate(n)
	n.feeds = newFeeds(n)
	n.counters = newCounters(n)
	return n
}

// storeReturn is how long after the store's return the entries that lapsed
// meanwhile are back: a bound of the platform.
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
	// What a host knows is kept up while it answers the last callers.
	drained, end := context.WithCancel(context.Background())
	untilDrained := func(run func(context.Context) error) func(context.Context) error {
		return func(context.Context) error { return run(drained) }
	}
	duties := []kernel.Duty{
		{Name: "callers", Run: func(ctx context.Context) error {
			defer end()
			return n.serveCallers(ctx)
		}},
		{Name: "readiness", Run: n.serveReadiness},
		{Name: "peers", Run: untilDrained(n.servePeers)},
		{Name: "metrics", Run: n.serveMetrics},
		{Name: "settings", Run: n.watchSettings},
		{Name: "coordinator", Run: n.candidate.run},
		{Name: "reports", Run: untilDrained(n.report)},
		{Name: "housekeeping", Run: untilDrained(n.keepHouse)},
	}
	for _, f := range n.feeds {
		duties = append(duties, kernel.Duty{Name: "feed " + f.prefix, Run: untilDrained(f.follow)})
	}
	return duties
}

// housekeeping is how often idle connections and lapsed entries are looked at.
const housekeeping = 500 * time.Millisecond

func (n *Node) keepHouse(ctx context.Context) error {
	ready := false
	for sleep(ctx, housekeeping) {
		n.conns.sweep()
		n.mu.Lock()
		if n.directory.Tick(steady()) {
			n.targetsChanged()
		}
		n.mu.Unlock()
		if now := n.ready(); now != ready {
			ready = now
			n.log.Emit(evReady, "ready", ready)
		}
	}
	return nil
}

// sleep waits and reports false when ctx ended.
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

// ready reports whether this host can serve: it knows a configuration, targets,
// and the owners of the keys of each keyed service.
func (n *Node) ready() bool {
	table := n.table.Load()
	if table == nil || n.stopping.Load() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.directory.Known() {
		return false
	}
	for name, s := range table.Services {
		if s.Keyed && n.owners[name].keys == nil {
			return false
		}
	}
	return true
}

func (n *Node) storeAge() time.Duration { return steady() - time.Duration(n.heard.Load()) }

func (n *Node) ownersVersion(service string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[service].version
}

// serviceOf returns the service of a route's next request.
func (n *Node) serviceOf(r *routing.Route) *service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.services[n.splitter.Next(r)]
}

// configure brings a configuration into force, if it is newer than the one that
// is. A configuration never reverts.
func (n *Node) configure(t *routing.Table) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.table.Load(); old != nil && old.Version >= t.Version {
		return
	}
	for name, s := range t.Services {
		if old := n.services[name]; old == nil || old.keyed != s.Keyed {
			n.services[name] = newService(s, n.retryBudget(), place(n.settings.Load().Host))
		}
	}
	n.table.Store(t)
	n.log.Emit(evConfiguration, "configuration", platform.FormatVersion(t.Version), "services", len(t.Services))
	n.targetsChanged()
	for name, o := range n.owners {
		n.ownersChanged(name, o)
	}
}

// retryBudget returns this host's share of the common retry budget.
func (n *Node) retryBudget() *routing.SlidingBudget {
	b := n.settings.Load().Bounds
	return routing.NewSlidingBudget(routing.BudgetConfig{Ratio: retryShare * b.RetryRatio, Burst: n.retryBurst()}, b.RetryWindow)
}

// retryBurst returns this host's share of the retries beside the ratio.
func (n *Node) retryBurst() float64 {
	return max(1, slackShare*n.settings.Load().Bounds.RetrySlack/float64(n.hosts.Load()))
}

// targetsChanged passes what is believed of targets on to the pools. mu is held.
func (n *Node) targetsChanged() {
	table := n.table.Load()
	if table == nil {
		return
	}
	for name, s := range table.Services {
		targets := n.targetsOf(name, s.MaxConnections)
		n.services[name].change(func(p *pool.Pool) { p.SetTargets(steady(), targets) })
	}
}

func (n *Node) targetsOf(service string, connections int) []pool.Target {
	limit := 0
	if connections > 0 {
		limit = max(1, int(connectionShare*float64(connections)/float64(n.hosts.Load())))
	}
	var out []pool.Target
	for _, e := range n.directory.Of(service) {
		out = append(out, pool.Target{
			Owner:    ownerOf(e),
			Distance: n.distance(e.DataCentre),
			Slots:    e.Slots,
			Leaving:  e.Leaving,
			ColdFor:  e.ColdFor,
			Limit:    limit,
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

// setOwners takes in a map of owners that was read from the store, if it is newer
// than the one that is known.
func (n *Node) setOwners(service string, o owners) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if o.version <= n.owners[service].version {
		return
	}
	n.owners[service] = o
	if n.candidate.holds() {
		n.history.add(service, o)
	}
	moving := slices.ContainsFunc(o.keys.Ranges, func(r keyrange.Range) bool { return len(r.Prev) > 0 })
	n.log.Emit(evOwners, "service", service, "version", o.version, "ranges", len(o.keys.Ranges), "fence", o.keys.Fence, "moving", moving)
	n.ownersChanged(service, o)
}

// setSettled passes moves that are complete on to a service's pool.
func (n *Node) setSettled(service string, ids []keyrange.ID) {
	n.mu.Lock()
	s := n.services[service]
	n.mu.Unlock()
	if s != nil && s.keyed {
		s.change(func(p *pool.Pool) { p.Settle(ids) })
	}
}

// ownersChanged passes a map on to its pool. mu is held.
func (n *Node) ownersChanged(service string, o owners) {
	if s := n.services[service]; s != nil && s.keyed {
		s.change(func(p *pool.Pool) { p.SetOwners(o.keys) })
	}
}

// slots returns the slots of a service's targets.
func (n *Node) slots(service string) map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]int)
	for _, e := range n.directory.Of(service) {
		out[e.Name] = e.Slots
	}
	return out
}
