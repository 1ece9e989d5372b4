package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership"
)

// heldTarget holds requests to /held until they are released.
type heldTarget struct {
	started chan string   // keys of the requests that started
	release chan struct{} // one value for each request that may end
}

func newHeldTarget() *heldTarget {
	return &heldTarget{started: make(chan string, 16), release: make(chan struct{}, 16)}
}

func (h *heldTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/mangopost/health" {
		return
	}
	h.started <- r.Header.Get(headerKey)
	if r.URL.Path == "/held" {
		<-h.release
	}
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
}

// send sends a request to a path and returns the response, or nil if the caller left.
func (p *pair) send(ctx context.Context, key, path string) <-chan *http.Response {
	answer := make(chan *http.Response, 1)
	go func() {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/katalog"+path, nil)
		if err != nil {
			panic(err)
		}
		request.Header.Set(headerClient, "usm")
		request.Header.Set(headerKey, key)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			answer <- nil
			return
		}
		_ = response.Body.Close()
		answer <- response
	}()
	return answer
}

// awaitQueue waits until the target's queue has the given number of waiting requests.
func (p *pair) awaitQueue(w *worker, waiting int) {
	for w.stats.Load().Waiting != waiting {
		time.Sleep(time.Millisecond)
	}
}

func startHeldPair(t *testing.T) (*pair, *heldTarget, *worker) {
	t.Helper()
	target := newHeldTarget()
	p := startPair(t, target, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}, slots: 1})
	return p, target, p.b.gateway.worker("t1")
}

// A request whose caller leaves while it waits is withdrawn and never runs.
func TestWaitingRequestIsWithdrawnWhenCallerLeaves(t *testing.T) {
	t.Parallel()
	p, target, w := startHeldPair(t)
	first := p.send(t.Context(), "k1", "/held")
	assert.Equal(t, <-target.started, "k1")
	ctx, cancel := context.WithCancel(t.Context())
	second := p.send(ctx, "k2", "/held")
	p.awaitQueue(w, 1)
	cancel()
	assert.Assert(t, <-second == nil)
	p.awaitQueue(w, 0)
	target.release <- struct{}{}
	assert.Equal(t, (<-first).StatusCode, 200)
	third := p.send(t.Context(), "k3", "/a")
	assert.Equal(t, (<-third).StatusCode, 200)
	assert.Equal(t, <-target.started, "k3", "the withdrawn request ran")
}

// A draining target finishes running requests and runs no waiting ones.
func TestDrainFinishesRunningRequests(t *testing.T) {
	t.Parallel()
	p, target, w := startHeldPair(t)
	first := p.send(t.Context(), "k1", "/held")
	assert.Equal(t, <-target.started, "k1")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	second := p.send(ctx, "k2", "/held")
	p.awaitQueue(w, 1)
	p.setDraining(t, 2, true)
	p.awaitQueue(w, 0)
	assert.Assert(t, !w.isDrained(), "the first request still runs")
	target.release <- struct{}{}
	assert.Equal(t, (<-first).StatusCode, 200)
	for !w.isDrained() {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(target.started), 0, "a request started during the drain")

	p.setDraining(t, 3, false) // the ingress still retries the second one
	target.release <- struct{}{}
	assert.Equal(t, (<-second).StatusCode, 200)
	assert.Equal(t, <-target.started, "k2")
}

func (p *pair) setDraining(t *testing.T, version uint64, drain bool) {
	t.Helper()
	record := p.b.table.Load().records[0]
	record.Gateways = []membership.Gateway{record.Gateways[0]}
	record.Gateways[0].Draining = drain
	object := platform.Object{Name: platform.CellPrefix + "kl", Version: version, Value: encode(t, record)}
	p.b.cache.Apply([]platform.Object{object})
	w := p.b.gateway.worker("t1")
	for w.stats.Load().Draining != drain {
		time.Sleep(time.Millisecond)
	}
}

// A run may be cancelled to free its slot only while no part of its answer was passed
// on.
func TestRunIsPreemptedOnlyBeforeItsAnswer(t *testing.T) {
	var tk ticket
	tk.preempt()
	assert.Assert(t, !tk.wasPreempted(), "no run to preempt")

	ctx, cancel := context.WithCancel(t.Context())
	tk.setCancel(cancel)
	tk.preempt()
	assert.Assert(t, tk.wasPreempted())
	assert.ErrorIs(t, ctx.Err(), context.Canceled)

	ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	tk.setCancel(cancel)
	assert.Assert(t, !tk.wasPreempted(), "the new run was not preempted")
	tk.setCancel(nil) // its answer is being passed on
	tk.preempt()
	assert.Assert(t, !tk.wasPreempted())
	assert.NilError(t, ctx.Err())
}
