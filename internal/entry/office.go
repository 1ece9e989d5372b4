package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	objects "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/placement/demand"
	"github.com/mangopost/mangopost/placement/hotrange"
	"github.com/mangopost/mangopost/platform"
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

// office is the part of a host that may become the coordinator. It acts only
// while it holds the lease in the store.
type office struct {
	n    *Node
	run0 int64 // start of this process, Unix nanoseconds

	mu       sync.Mutex
	election *coordinator.Election
	term     *term // nil while this host is not the coordinator

	demandMu sync.Mutex
	demand   *demand.Table
}

func newOffice(n *Node) *office {
	s := n.settings.Load()
	self := coordinator.Record{Holder: s.Host, Run: time.Now().UnixNano(), Addr: s.Peers.String()}
	o := &office{
		n: n, run0: self.Run, election: coordinator.New(self, coordinator.DefaultTiming), demand: demand.NewTable(reportKeep),
	}
	o.election.SetStagger(stagger(s, demand.Hosts{Count: assumedHosts}))
	return o
}

const (
	// slowStagger is how much later than the fastest a host without processor time
	// tries to become the coordinator: the role is for hosts with room.
	slowStagger = 3 * time.Second
	// hostStagger is the mean distance between two hosts that try to become the
	// coordinator, of which only one can succeed: about the time of a write.
	hostStagger = 50 * time.Millisecond
)

// stagger returns how long after the first of all hosts this one tries to become
// the coordinator.
func stagger(s *platform.Settings, hosts demand.Hosts) time.Duration {
	slow := 1 - min(1, s.Cores/max(hosts.Cores, s.Cores))
	place := float64(xxhash.Sum64String(s.Host)%1000) / 1000
	return time.Duration(slow*float64(slowStagger)) + time.Duration(place*float64(hosts.Count)*float64(hostStagger))
}

// setHosts takes in what is known of all hosts.
func (o *office) setHosts(hosts demand.Hosts) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.election.SetStagger(stagger(o.n.settings.Load(), hosts))
}

// take takes a host's report in and returns what to tell it.
func (o *office) take(r demand.Report) (map[string]demand.Shares, demand.Hosts) {
	slots := make(map[string]map[string]int)
	for name := range r.Services {
		slots[name] = o.n.slots(name)
	}
	o.demandMu.Lock()
	defer o.demandMu.Unlock()
	return o.demand.Take(steady(), r, func(service string) map[string]int { return slots[service] })
}

// loads returns the loads of a service's keys.
func (o *office) loads(service string) *hotrange.Loads {
	o.demandMu.Lock()
	defer o.demandMu.Unlock()
	return o.demand.Loads(steady(), service)
}

// capacity returns the requests a second that a target gets through.
func (o *office) capacity(service, target string, slots int) float64 {
	o.demandMu.Lock()
	defer o.demandMu.Unlock()
	return o.demand.Capacity(service, target, slots)
}

// observe takes in the record of the lease as it was read.
func (o *office) observe(version uint64, r coordinator.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.election.Observe(leaseClock(), version, r)
}

// listed takes in that all objects of this system were read: a record that was
// not among them does not exist.
func (o *office) listed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.election.Observe(leaseClock(), 0, coordinator.Record{})
}

// holds reports whether this host is the coordinator now.
func (o *office) holds() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.election.Holds(leaseClock())
}

// isHolder reports whether the record, as this host last saw it, names it: while
// the store is away, the others still ask this host.
func (o *office) isHolder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.election.Holder().Run == o.run0
}

// longGrants reports whether the lease was not renewed for so long that the store
// seems away.
func (o *office) longGrants() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return leaseClock() > o.election.Until()-coordinator.DefaultTiming.Term+longGrantAfter
}

// holder returns the coordinator's record as it was seen last.
func (o *office) holder() coordinator.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.election.Holder()
}

const (
	// fastCores is the share of a core from which on a host counts as fast while
	// nothing is known of the others.
	fastCores = 0.8
	// firstSlow and firstSpread order the first attempts of hosts that start
	// together: fast ones come first.
	firstSlow   = 600 * time.Millisecond
	firstSpread = 300 * time.Millisecond
)

// firstStagger returns how long a host waits before it may become the coordinator
// when the whole system starts.
func firstStagger(s *platform.Settings) time.Duration {
	slow := 1 - min(1, s.Cores/fastCores)
	place := float64(xxhash.Sum64String(s.Host)%1000) / 1000
	return time.Duration(slow*float64(firstSlow)) + time.Duration(place*float64(firstSpread))
}

// run takes, renews and uses the lease until ctx ends.
func (o *office) run(ctx context.Context) error {
	if s := o.n.settings.Load(); s.FirstStart {
		sleep(ctx, firstStagger(s))
	}
	for sleep(ctx, electionEvery) {
		o.mu.Lock()
		now := leaseClock()
		write, due := o.election.Next(now)
		held := o.election.Holds(now)
		o.mu.Unlock()
		if due {
			go o.write(ctx, write)
		}
		o.setTerm(ctx, held)
	}
	o.setTerm(ctx, false)
	return nil
}

// write makes a conditional update of the lease's record.
func (o *office) write(ctx context.Context, w coordinator.Write) {
	sentAt := leaseClock()
	version, err := o.put(ctx, w)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.election.Acknowledged(leaseClock(), sentAt, version, w)
		return
	}
	o.election.Failed(leaseClock())
	if !errors.Is(err, objects.ErrConflict) {
		o.n.log.Emit(evStoreLost, "call", "renewal of the coordinator's lease", "error", err.Error())
	}
}

func (o *office) put(ctx context.Context, w coordinator.Write) (uint64, error) {
	value, err := json.Marshal(w.Record)
	if err != nil {
		return 0, errors.Wrap(err, "coordinator's record")
	}
	version, err := o.n.store.Put(ctx, coordinatorObject, w.Expected, value)
	if err == nil {
		return version, nil
	}
	if errors.Is(err, objects.ErrUnavailable) {
		return 0, err // nothing was done
	}
	// The watch may be behind; an update without an answer may be done yet.
	obj, readErr := o.n.store.Get(ctx, coordinatorObject)
	if readErr == nil {
		err = errors.CombineErrors(err, o.n.ownObject(obj))
	}
	return 0, err
}

// setTerm begins or ends the work of the coordinator.
func (o *office) setTerm(ctx context.Context, held bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case held && o.term == nil:
		o.n.log.Emit(evCoordinator, "number", o.election.Holder().Number)
		o.term = newTerm(ctx, o)
		go o.term.run()
	case !held && o.term != nil:
		o.n.log.Emit(evNoCoordinator, "holder", o.election.Holder().Holder, "last_renewal_ms", ms(leaseClock()-o.election.Until()+coordinator.DefaultTiming.Term))
		o.term.end()
		o.term = nil
	}
}
