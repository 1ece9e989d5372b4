package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
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
	n     *Node
	loads *loadTable

	mu       sync.Mutex
	election *coordinator.Election
	read     bool  // the objects of this system were listed
	term     *term // nil while this host is not the coordinator
}

func newOffice(n *Node) *office {
	s := n.settings.Load()
	self := coordinator.Record{Holder: s.Host, Run: time.Now().UnixNano(), Addr: s.Peers.String()}
	return &office{n: n, loads: newLoadTable(), election: coordinator.New(self, coordinator.DefaultTiming)}
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

// run takes, renews and uses the lease until ctx ends.
func (o *office) run(ctx context.Context) error {
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
	if !errors.Is(err, platform.ErrConflict) {
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
