package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	objects "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/demand"
	"github.com/mangopost/mangopost/placement/hotrange"
)

const (
	// electionEvery is how often the lease is looked at: an eighth of the time
	// between two renewals.
	electionEvery = 100 * time.Millisecond
	// longGrantAfter is the age of the last acknowledged renewal of the lease from
	// which on grants are made to outlast an outage of the store: one renewal has
	// failed.
	longGrantAfter = 1300 * time.Millisecond
)

// candidate is the part of a host that may become the coordinator. It acts only
// while it holds the lease in the store.
type candidate struct {
	n       *Node
	started int64 // start of this process, Unix nanoseconds

	mu         sync.Mutex
	election   *coordinator.Election
	term       *term         // nil while this host is not the coordinator
	hosts      demand.Hosts  // as last known
	termBegan  time.Duration // by leaseClock
	keepsUntil time.Duration // the role is not given to a faster host before, by leaseClock

	demandMu sync.Mutex
	demand   *demand.Table
}

func newCandidate(n *Node) *candidate {
	s := n.settings.Load()
	self := coordinator.Record{Holder: s.Host, Run: time.Now().UnixNano(), Addr: s.Peers.String()}
	c := &candidate{
		n: n, started: self.Run, election: coordinator.New(self, coordinator.DefaultTiming), demand: demand.NewTable(reportKeep),
	}
	c.election.SetStagger(stagger(s, demand.Hosts{Count: assumedHosts}))
	return c
}

// setHosts takes in what is known of all hosts.
func (c *candidate) setHosts(hosts demand.Hosts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = hosts
	c.election.SetStagger(stagger(c.n.settings.Load(), hosts) + storeStagger*c.n.store.Way())
}

// heard notes that the store answered.
func (c *candidate) heard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.election.Heard(leaseClock())
}

// take takes a host's report in and returns what to tell it.
func (c *candidate) take(r demand.Report) (map[string]demand.Shares, demand.Hosts) {
	slots := make(map[string]map[string]int)
	for name := range r.Services {
		slots[name] = c.n.slots(name)
	}
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	return c.demand.Take(steady(), r, func(service string) map[string]int { return slots[service] })
}

// loads returns the loads of a service's keys.
func (c *candidate) loads(service string) *hotrange.Loads {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	return c.demand.Loads(steady(), service)
}

// setOwned takes in the requests a second for the keys of each owner.
func (c *candidate) setOwned(service string, loads map[string]float64) {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	c.demand.SetOwned(service, loads)
}

// capacity returns the requests a second that a target gets through.
func (c *candidate) capacity(service, target string, slots int) float64 {
	c.demandMu.Lock()
	defer c.demandMu.Unlock()
	return c.demand.Capacity(service, target, slots)
}

// observe takes in the record of the lease as it was read.
func (c *candidate) observe(version uint64, r coordinator.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.election.Observe(leaseClock(), version, r)
}

// listed takes in that all objects of this system were read: a record that was
// not among them does not exist.
func (c *candidate) listed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.election.Observe(leaseClock(), 0, coordinator.Record{})
}

// holds reports whether this host is the coordinator now.
func (c *candidate) holds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.election.Holds(leaseClock())
}

// settled returns the completed moves of which the store does not know, by service.
func (c *candidate) settled() map[string][]keyrange.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil {
		return nil
	}
	return c.term.settled()
}

// isHolder reports whether the record, as this host last saw it, names it: while
// the store is away, the others still ask this host.
func (c *candidate) isHolder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.election.Holder().Run == c.started
}

// longGrants reports whether the lease was not renewed for so long that the store
// seems away.
func (c *candidate) longGrants() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return leaseClock() > c.election.Until()-coordinator.DefaultTiming.Term+longGrantAfter
}

// holder returns the coordinator's record as it was seen last.
func (c *candidate) holder() coordinator.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.election.Holder()
}

// run takes, renews and uses the lease until ctx ends.
func (c *candidate) run(ctx context.Context) error {
	if s := c.n.settings.Load(); s.FirstStart {
		sleep(ctx, firstStagger(s))
	}
	for sleep(ctx, electionEvery) {
		c.mu.Lock()
		now := leaseClock()
		write, due := c.election.Next(now)
		held := c.election.Holds(now)
		c.mu.Unlock()
		if due {
			// A renewal that is broken off leaves the record's version unknown.
			go c.write(context.WithoutCancel(ctx), write)
		}
		c.setTerm(ctx, held)
		if c.hasFaster() {
			c.resign(ctx, "faster host")
		}
	}
	c.resign(context.WithoutCancel(ctx), "stopping")
	return nil
}

// write makes a conditional update of the lease's record. It reports whether the
// store took it.
func (c *candidate) write(ctx context.Context, w coordinator.Write) bool {
	sentAt := leaseClock()
	version, err := c.put(ctx, w)
	if err == nil {
		c.acknowledged(sentAt, version, w)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.election.Failed(leaseClock())
	if !errors.Is(err, objects.ErrConflict) {
		c.n.log.Emit(evStoreLost, "call", "renewal of the coordinator's lease", "error", err.Error())
	}
	return false
}

// acknowledged takes in a write of the record that the store took.
func (c *candidate) acknowledged(sentAt time.Duration, version uint64, w coordinator.Write) {
	c.mu.Lock()
	c.election.Acknowledged(leaseClock(), sentAt, version, w)
	c.mu.Unlock()
	if value, err := json.Marshal(w.Record); err == nil { // as it was for the write
		c.n.wrote(coordinatorObject, version, value)
	}
}

func (c *candidate) put(ctx context.Context, w coordinator.Write) (uint64, error) {
	value, err := json.Marshal(w.Record)
	if err != nil {
		return 0, errors.Wrap(err, "coordinator's record")
	}
	version, err := c.n.store.Put(ctx, coordinatorObject, w.Expected, value)
	if err == nil {
		return version, nil
	}
	if errors.Is(err, objects.ErrUnavailable) {
		return 0, err // nothing was done
	}
	// The watch may be behind; an update without an answer may be done yet.
	obj, readErr := c.n.store.Get(ctx, coordinatorObject)
	if readErr == nil {
		err = errors.CombineErrors(err, c.n.ownObject(obj))
	}
	return 0, err
}

// setTerm begins or ends the work of the coordinator.
func (c *candidate) setTerm(ctx context.Context, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case held && c.term == nil:
		c.n.log.Emit(evCoordinator, "number", c.election.Holder().Number)
		// The end of the term is the end of its work, not that of this duty: what is
		// under way then is to be settled.
		c.term = newTerm(context.WithoutCancel(ctx), c)
		c.termBegan = leaseClock()
		go c.term.run()
	case !held && c.term != nil:
		c.n.log.Emit(evNoCoordinator, "holder", c.election.Holder().Holder, "last_renewal_ms", ms(leaseClock()-c.election.Until()+coordinator.DefaultTiming.Term))
		c.term.end()
		c.term = nil
	}
}
