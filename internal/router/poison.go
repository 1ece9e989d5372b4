package router

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/routing"
)

const (
	suspectsRingSize = 1024
	// crashMargin is how far apart the ends of two connections of one crash may
	// be seen.
	crashMargin = 300 * time.Millisecond
)

// crashCandidate is a request whose connection to its target broke.
type crashCandidate struct {
	target  string
	forward *pb.Forward
	at      time.Duration // the router's reading
}

// quarantine counts, with every host through the store, which requests crash
// their targets.
type quarantine struct {
	router *Router
	mu     sync.Mutex
	table  *routing.Poison
	shared map[routing.Fingerprint]bool // has an object in the newest view
	open   map[uint64]*openCrash        // candidates not yet considered, by fingerprint
	broken chan crashCandidate
	// For the duty that writes to the store: counted, and cleared again.
	counted chan routing.Suspect
	lived   chan livedRun
	due     chan routing.Fingerprint // probes to be taken
	probes  probes
}

// openCrash is that some candidates of one fingerprint are not yet considered.
type openCrash struct {
	candidates int
	done       chan struct{} // closed with the last of them
}

func newQuarantine(r *Router) *quarantine {
	return &quarantine{
		router:  r,
		table:   routing.NewPoison(routing.DefaultPoison),
		shared:  make(map[routing.Fingerprint]bool),
		open:    make(map[uint64]*openCrash),
		broken:  make(chan crashCandidate, suspectsRingSize),
		counted: make(chan routing.Suspect, suspectsRingSize),
		lived:   make(chan livedRun, suspectsRingSize),
		due:     make(chan routing.Fingerprint, suspectsRingSize),
		probes:  newProbes(),
	}
}

// await returns once it is known of every earlier run of the request here
// whether it crashed its target, so that a repeat does not overtake the count.
func (q *quarantine) await(ctx context.Context, fp uint64) {
	q.mu.Lock()
	open := q.open[fp]
	q.mu.Unlock()
	if open == nil {
		return
	}
	select {
	case <-open.done:
	case <-ctx.Done():
	}
}

// suspect notes a request whose connection broke; it counts once the target
// turns out to be gone.
func (q *quarantine) suspect(target string, f *pb.Forward) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case q.broken <- crashCandidate{target: target, forward: f, at: q.router.now()}:
	default:
		q.router.metrics.suspectsDropped.Inc()
		return
	}
	if q.open[f.Fingerprint] == nil {
		q.open[f.Fingerprint] = &openCrash{done: make(chan struct{})}
	}
	q.open[f.Fingerprint].candidates++
}

// considered ends the wait for a candidate.
func (q *quarantine) considered(c crashCandidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	open := q.open[c.forward.Fingerprint]
	open.candidates--
	if open.candidates == 0 {
		close(open.done)
		delete(q.open, c.forward.Fingerprint)
	}
}

// survived clears a first suspicion: a target ran the request and lived. Its
// record in the store goes too, else the next loss of a target that happens to
// run the request would count as the second.
func (q *quarantine) survived(f *pb.Forward) {
	fp := routing.Fingerprint(f.Fingerprint)
	q.mu.Lock()
	cleared := q.table.RecordRun(fp)
	q.mu.Unlock()
	if !cleared {
		return
	}
	q.withdrawLater(livedRun{fp: fp})
}

// withdrawLater has the object of a fingerprint deleted.
func (q *quarantine) withdrawLater(l livedRun) {
	select {
	case q.lived <- l:
	default:
		q.router.metrics.suspectsDropped.Inc()
	}
}

// crashed counts a crash and returns the record to be shared.
func (q *quarantine) crashed(c crashCandidate, run uint64) (routing.Suspect, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	crash := routing.Crash{Target: c.target, Run: run, AtMS: time.Now().UnixMilli()}
	return q.table.RecordCrash(routing.Fingerprint(c.forward.Fingerprint), c.forward.Service, c.forward.Client, crash)
}

// apply takes over what other hosts have counted, and forgets a fingerprint
// whose object was deleted.
func (q *quarantine) apply(v *state.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.shared
	q.shared = make(map[routing.Fingerprint]bool)
	for name, o := range v.Other {
		if !strings.HasPrefix(name, platform.PoisonPrefix) {
			continue
		}
		var s routing.Suspect
		if json.Unmarshal(o.Value, &s) != nil {
			continue
		}
		q.table.Merge(s)
		if fp, err := routing.ParseFingerprint(s.Fingerprint); err == nil {
			q.shared[fp] = true
		}
	}
	for fp := range before {
		if !q.shared[fp] {
			q.table.Release(fp)
		}
	}
}
