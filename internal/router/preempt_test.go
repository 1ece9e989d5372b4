package router

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/ownership"
)

// stragglerTarget answers at once, except that a first request to /straggler hangs
// until it is cancelled. The target refuses a repeat of it.
type stragglerTarget struct {
	mu       sync.Mutex
	attempts map[string]int // by request ID
	started  chan struct{}  // receives once a straggler runs
}

func (s *stragglerTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if r.URL.Path != "/straggler" {
		return
	}
	if s.countAttempt(id) == 1 {
		s.started <- struct{}{}
		<-r.Context().Done()
		return
	}
	w.Header().Set(headerRefused, "shedding")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *stragglerTarget) countAttempt(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[id]++
	return s.attempts[id]
}

// A request that was preempted and then refused by the target has run for a while, so
// its outcome is unknown. The test acts as the queue's duty: it starts a request,
// preempts it and starts it again.
func TestPreemptedRequestIsNeverReportedNotRun(t *testing.T) {
	target := &stragglerTarget{attempts: make(map[string]int), started: make(chan struct{}, 1)}
	p := startPair(t, target, pairOptions{listener: limitedListener()})
	table := p.b.table.Load()
	w := newWorker(p.b, table.targets["t1"], testConfig(1).Templates[0])
	line, ok := p.b.leases.line(ownership.ShardRef{Service: "katalog", Shard: 0})
	assert.Assert(t, ok)
	epoch, ok := p.b.leases.right("t1")
	assert.Assert(t, ok)
	req := &admitted{
		forward: &pb.Forward{Id: "r1", Client: "usm", Service: "katalog", Method: "GET", Path: "/straggler", Idempotent: true, DeadlineMs: 5000},
		sharded: true, ref: line.Shard, owner: line.Epoch, epoch: epoch, worker: w, line: line,
	}
	answer := make(chan *pb.Answer, 1)
	go func() { answer <- w.run(t.Context(), req, nil) }()

	ticket := (<-w.ring).(arrival).ticket
	ticket.verdict <- admission.Action{Kind: admission.Start}
	<-target.started
	ticket.preempt()
	assert.Assert(t, (<-w.ring).(departure).preempted)
	ticket.verdict <- admission.Action{Kind: admission.Start}
	assert.Assert(t, !(<-w.ring).(departure).preempted)
	assert.Equal(t, (<-answer).Outcome, pb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, target.countAttempt("r1"), 3, "the request was not sent twice")
}
