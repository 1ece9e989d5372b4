package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/membership/aggregators"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/demand"
	"github.com/mangopost/mangopost/placement/hotrange"
)

const (
	// electionInterval is the time between two checks of the lease: an eighth of
	// the time between two renewals.
	electionInterval = 100 * time.Millisecond
	// longGrantLeaseAge is the age of the last acknowledged renewal of the lease
	// from which grants are made long enough to outlast a store outage: by then
	// one renewal has failed.
	longGrantLeaseAge = 1300 * time.Millisecond
)

// candidate runs this host's part in the coordinator election. It acts as
// coordinator only while it holds the lease in the store.
type candidate struct {
	node    *Node
	started int64 // start of this process, Unix nanoseconds

	mu            sync.Mutex
	election      *coordinator.Election
	term          *term              // nil while this host is not the coordinator
	kept          *keptTerm          // the last term, if the store's era ended it
	hosts         demand.HostSummary // as last reported by the coordinator
	termStart     time.Duration      // on leaseClock
	keepRoleUntil time.Duration      // on leaseClock; until then the role is not given to a faster host

	demandMu    sync.Mutex
	demand      *demand.Table
	aggregators *aggregators.Table
}

func newCandidate(n *Node) *candidate {
	s := n.settings.Load()
	self := coordinator.Record{Holder: s.Host, Run: time.Now().UnixNano(), Addr: s.Peers.String()}
	c := &candidate{
		node: n, started: self.Run, election: coordinator.New(self, coordinator.DefaultTiming), demand: demand.NewTable(reportValidity),
		aggregators: aggregators.NewTable(reportValidity),
	}
	c.election.SetStagger(stagger(s, demand.HostSummary{Count: assumedHosts}))
	return c
}

// setHosts updates the number and speed of all hosts, which the stagger depends
// on.
func (c *candidate) setHosts(hosts demand.HostSummary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	c.election.SetStagger(stagger(c.node.settings.Load(), hosts) + storeStaggerFactor*c.node.store.MinLatency())
}

// observeStoreAnswer tells the election that the store answered.
func (c *candidate) observeStoreAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.election.StoreAnswered(leaseClock())
}

// addReport records a report and returns the shares and host counts for the reply.
func (c *candidate) addReport(r demand.Report) (map[string]demand.Shares, demand.HostSummary) {
	slots := c.node.slotsByTarget()
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	return c.demand.AddReport(steadyClock(), r, func(service string) map[string]int { return slots[service] })
}

// assign records which host reported and returns what to tell it. The report of a host
// that is referred to an aggregator comes with that one's from then on.
func (c *candidate) assign(h aggregators.Host, unreachable string) aggregators.Assignment {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	a := c.aggregators.Report(steadyClock(), h, unreachable)
	if a.ReportTo != "" {
		c.demand.Remove(h.Name)
	}
	return a
}

// chosenAggregators returns the aggregators by data centre.
func (c *candidate) chosenAggregators() map[string]aggregators.Aggregator {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	return c.aggregators.Chosen()
}

// loads returns the loads of a service's keys.
func (c *candidate) loads(service string) *hotrange.Loads {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	return c.demand.Loads(steadyClock(), service)
}

// setOwnerLoads records the requests per second for the keys of each owner.
func (c *candidate) setOwnerLoads(service string, loads map[string]float64) {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	c.demand.SetOwnerLoads(service, loads)
}

// capacity returns the number of requests per second that a target can serve.
func (c *candidate) capacity(service, target string, slots int) float64 {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	return c.demand.Capacity(service, target, slots)
}

// observeRecord passes the lease record, as read from the store, to the election.
func (c *candidate) observeRecord(version uint64, r coordinator.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeEra()
	c.election.Observe(leaseClock(), version, r)
}

// observeListing tells the election that all objects of this system have been
// listed: a lease record that was not among them does not exist.
func (c *candidate) observeListing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeEra()
	c.election.Observe(leaseClock(), c.node.store.Absent(), coordinator.Record{})
}

// holdsLease reports whether this host is the coordinator now.
func (c *candidate) holdsLease() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeEra()
	return c.election.Holds(leaseClock())
}

// observeEra tells the election in which era the store is. It is called before each
// question about the lease, so that the role ends as soon as any call of this host, or a
// relay, has named a later era. mu is held.
func (c *candidate) observeEra() {
	named, before := c.node.store.Era(), c.election.Era()
	if named <= before {
		return
	}
	held := c.election.Holds(leaseClock())
	if c.election.ObserveEra(leaseClock(), named) {
		c.node.log.Emit(evEra, "era", named, "before", before, "coordinator", held)
	}
}

// settledMoves returns, by service, the completed moves that the stored map does
// not yet record as complete.
func (c *candidate) settledMoves() map[string][]keyrange.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		return nil
	}
	return c.term.settledMoves()
}

// isHolder reports whether the last observed lease record names this process as
// the coordinator. During a store outage the other hosts still report to it.
func (c *candidate) isHolder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.election.LastRecord().Run == c.started
}

// needsLongGrants reports whether the lease has gone without a renewal for so long
// that the store seems to be unavailable.
func (c *candidate) needsLongGrants() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return leaseClock() > c.election.Until()-coordinator.DefaultTiming.Term+longGrantLeaseAge
}

// holder returns the lease record that was observed last.
func (c *candidate) holder() coordinator.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.election.LastRecord()
}

// run acquires and renews the lease, and runs the coordinator's term while it
// holds it, until ctx ends.
func (c *candidate) run(ctx context.Context) error {
	if s := c.node.settings.Load(); s.FirstStart {
		sleep(ctx, firstStagger(s))
	}
	for sleep(ctx, electionInterval) {
		c.mu.Lock()
		c.observeEra()
		now := leaseClock()
		write, due := c.election.Next(now)
		held := c.election.Holds(now)
		c.mu.Unlock()
		if due {
			// Cancelling a renewal would leave the record's version unknown.
			go c.node.guard("lease", func() { c.writeRecord(context.WithoutCancel(ctx), write) })
		}
		if !held {
			c.keepTerm()
		}
		c.updateTerm(ctx, held)
		if c.shouldYield() {
			c.resign(ctx, "faster host")
		}
	}
	c.resign(context.WithoutCancel(ctx), "stopping")
	return nil
}

// writeRecord makes a conditional update of the lease record and reports whether
// the store accepted it.
func (c *candidate) writeRecord(ctx context.Context, w coordinator.Write) bool {
	sentAt := leaseClock()
	version, err := c.putRecord(ctx, w)
	if err == nil {
		c.applyAcknowledgement(sentAt, version, w)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.election.Failed(leaseClock())
	if !errors.Is(err, objectstore.ErrConflict) {
		c.node.log.Emit(evStoreLost, "call", "renewal of the coordinator's lease", "error", err.Error())
	}
	return false
}

// applyAcknowledgement updates the election and the local copy of the lease record
// after the store accepted a write.
func (c *candidate) applyAcknowledgement(sentAt time.Duration, version uint64, w coordinator.Write) {
	c.mu.Lock()
	c.observeEra()
	c.election.Acknowledged(leaseClock(), sentAt, version, w)
	if !c.election.KeepsRole() && !c.election.FollowsItself() {
		c.kept = nil // somebody else had the role since
	}
	c.mu.Unlock()
	if value, err := json.Marshal(w.Record); err == nil { // the same bytes as were written
		c.node.applyOwnWrite(coordinatorObject, version, value)
	}
}

func (c *candidate) putRecord(ctx context.Context, w coordinator.Write) (uint64, error) {
	value, err := json.Marshal(w.Record)
	if err != nil {
		return 0, errors.Wrap(err, "encode coordinator record")
	}
	version, err := c.node.store.Put(ctx, coordinatorObject, w.Expected, value)
	if err == nil {
		return version, nil
	}
	if errors.Is(err, objectstore.ErrUnavailable) {
		return 0, err // the store did nothing
	}
	// The watch may lag behind, and an update without an answer may still have
	// been done.
	obj, readErr := c.node.store.Get(ctx, coordinatorObject)
	if readErr == nil {
		err = errors.CombineErrors(err, c.node.applyOwnObject(obj))
	}
	return 0, err
}

// updateTerm starts the coordinator's term when the lease was acquired and ends it
// when the lease was lost.
func (c *candidate) updateTerm(ctx context.Context, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case held && c.term == nil:
		c.node.log.Emit(evCoordinator, "number", c.election.LastRecord().Number)
		// The term outlives the cancellation of this duty's ctx, because orders in
		// flight at that moment must still be settled.
		c.term = newTerm(context.WithoutCancel(ctx), c)
		c.termStart = leaseClock()
		go c.term.run()
	case !held && c.term != nil:
		c.node.log.Emit(evNoCoordinator, "holder", c.election.LastRecord().Holder, "last_renewal_ms", ms(leaseClock()-c.election.Until()+coordinator.DefaultTiming.Term))
		c.term.cancel()
		c.term = nil
	}
}
