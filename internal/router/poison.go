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
	quarantineRingSize = 1024 // of each channel of a quarantine
	// crashMargin bounds how far apart the ends of two connections that broke in one
	// crash may be observed.
	crashMargin = 300 * time.Millisecond
)

// crashCandidate is a request whose connection to its target broke.
type crashCandidate struct {
	target   string
	forward  *pb.Forward
	brokenAt time.Duration // reading of the router's clock
}

// quarantine counts which requests crash their targets. All hosts share the counts
// through the store.
type quarantine struct {
	router     *Router
	mu         sync.Mutex
	table      *routing.Poison
	inStore    map[routing.Fingerprint]bool // has an object in the newest view of the store
	pending    map[uint64]*pendingCrash     // fingerprints with candidates that are not evaluated yet
	candidates chan crashCandidate
	// Work for the duty that writes to the store: records to share and to withdraw.
	toShare       chan routing.Suspect
	toWithdraw    chan survivedRun
	probesToClaim chan routing.Fingerprint // probes to claim in the store
	probes        probes
}

// pendingCrash counts the candidates of one fingerprint that are not evaluated yet.
type pendingCrash struct {
	candidates int
	done       chan struct{} // closed when the last candidate is evaluated
}

func newQuarantine(r *Router) *quarantine {
	return &quarantine{
		router:        r,
		table:         routing.NewPoison(routing.DefaultPoison),
		inStore:       make(map[routing.Fingerprint]bool),
		pending:       make(map[uint64]*pendingCrash),
		candidates:    make(chan crashCandidate, quarantineRingSize),
		toShare:       make(chan routing.Suspect, quarantineRingSize),
		toWithdraw:    make(chan survivedRun, quarantineRingSize),
		probesToClaim: make(chan routing.Fingerprint, quarantineRingSize),
		probes:        newProbes(),
	}
}

// awaitPending returns once it is known for every earlier run of the request at this
// host whether it crashed its target, so that a repeat does not overtake the count.
func (q *quarantine) awaitPending(ctx context.Context, fp uint64) {
	q.mu.Lock()
	pending := q.pending[fp]
	q.mu.Unlock()
	if pending == nil {
		return
	}
	select {
	case <-pending.done:
	case <-ctx.Done():
	}
}

// addCandidate adds a request whose connection broke as a crash candidate. It counts
// only if the target turns out to have ended.
func (q *quarantine) addCandidate(target string, f *pb.Forward) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case q.candidates <- crashCandidate{target: target, forward: f, brokenAt: q.router.now()}:
	default:
		q.router.metrics.suspectsDropped.Inc()
		return
	}
	if q.pending[f.Fingerprint] == nil {
		q.pending[f.Fingerprint] = &pendingCrash{done: make(chan struct{})}
	}
	q.pending[f.Fingerprint].candidates++
}

// resolveCandidate marks a candidate as evaluated.
func (q *quarantine) resolveCandidate(c crashCandidate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.pending[c.forward.Fingerprint]
	pending.candidates--
	if pending.candidates == 0 {
		close(pending.done)
		delete(q.pending, c.forward.Fingerprint)
	}
}

// recordRun clears a first suspicion: the target ran the request and survived. The
// suspect's record in the store is deleted too, otherwise the next loss of a target
// that happens to run the request would count as the second crash.
func (q *quarantine) recordRun(f *pb.Forward) {
	fp := routing.Fingerprint(f.Fingerprint)
	q.mu.Lock()
	cleared := q.table.RecordRun(fp)
	q.mu.Unlock()
	if !cleared {
		return
	}
	q.queueWithdrawal(survivedRun{fp: fp})
}

// queueWithdrawal queues the deletion of a fingerprint's object in the store.
func (q *quarantine) queueWithdrawal(run survivedRun) {
	select {
	case q.toWithdraw <- run:
	default:
		q.router.metrics.suspectsDropped.Inc()
	}
}

// recordCrash counts a crash and returns the record to share.
func (q *quarantine) recordCrash(c crashCandidate, run uint64) (routing.Suspect, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	crash := routing.Crash{Target: c.target, Run: run, AtMS: time.Now().UnixMilli()}
	return q.table.RecordCrash(routing.Fingerprint(c.forward.Fingerprint), c.forward.Service, c.forward.Client, crash)
}

// apply merges the counts of other hosts, and releases fingerprints whose object was
// deleted.
func (q *quarantine) apply(v *state.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	previous := q.inStore
	q.inStore = make(map[routing.Fingerprint]bool)
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
			q.inStore[fp] = true
		}
	}
	for fp := range previous {
		if !q.inStore[fp] {
			q.table.Release(fp)
		}
	}
}
