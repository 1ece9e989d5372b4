package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checker drives a queue with random events and tracks the state of every
// request.
type checker struct {
	t             *rapid.T
	cfg           Config
	queue         *Queue
	now           time.Duration
	lastID        uint64
	state         map[uint64]string // waiting, running, preempted
	running       []uint64
	notIdempotent map[uint64]bool // must not run twice
	started       map[uint64]bool
}

func (c *checker) apply(actions []Action) {
	for _, a := range actions {
		previous := c.state[a.ID]
		switch {
		case c.notIdempotent[a.ID] && (a.Kind == Preempt || a.Kind == Start && c.started[a.ID]):
			c.t.Fatalf("request %d is not idempotent but is preempted or started again", a.ID)
		case a.Kind == Refuse && c.started[a.ID] != (a.Reason == ReasonPreempted):
			c.t.Fatalf("request %d is refused as %q, started: %t", a.ID, a.Reason, c.started[a.ID])
		case a.Kind == Start && previous == "waiting":
			c.started[a.ID] = true
			c.state[a.ID] = "running"
			c.running = append(c.running, a.ID)
		case a.Kind == Preempt && previous == "running" && c.cfg.Preempt:
			c.state[a.ID] = "preempted"
		case a.Kind == Refuse && previous == "waiting":
			delete(c.state, a.ID)
		default:
			c.t.Fatalf("action %+v for a request in state %q", a, previous)
		}
	}
	c.check()
}

func (c *checker) check() {
	waiting, running := 0, 0
	for _, s := range c.state {
		if s == "waiting" {
			waiting++
		} else {
			running++
		}
	}
	if running > c.cfg.Slots || running != c.queue.Running() {
		c.t.Fatalf("%d running, queue reports %d, slots %d", running, c.queue.Running(), c.cfg.Slots)
	}
	if waiting > c.cfg.Limit || waiting != c.queue.Waiting() || waiting != c.queue.order.Len() {
		c.t.Fatalf("%d waiting, queue reports %d, order holds %d, limit %d",
			waiting, c.queue.Waiting(), c.queue.order.Len(), c.cfg.Limit)
	}
	if c.queue.Stats().Clients > waiting {
		c.t.Fatalf("%d clients for %d waiting requests", c.queue.Stats().Clients, waiting)
	}
}

func (c *checker) arrive() {
	c.lastID++
	r := Request{
		ID:         c.lastID,
		Client:     fmt.Sprintf("c%d", rapid.IntRange(0, 4).Draw(c.t, "client")),
		Weight:     rapid.IntRange(0, 3).Draw(c.t, "weight"),
		Route:      RouteID(rapid.IntRange(0, 2).Draw(c.t, "route")),
		Idempotent: rapid.Bool().Draw(c.t, "idempotent"),
	}
	if timeout := rapid.IntRange(0, 200).Draw(c.t, "timeout"); timeout > 0 {
		r.Deadline = c.now + time.Duration(timeout)*ms
	}
	c.state[r.ID] = "waiting"
	c.notIdempotent[r.ID] = !r.Idempotent
	c.apply(c.queue.Arrive(c.now, r))
}

func (c *checker) done(kind ResultKind) {
	if len(c.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.running)-1).Draw(c.t, "which")
	id := c.running[i]
	c.running = append(c.running[:i], c.running[i+1:]...)
	requeued := c.state[id] == "preempted" && kind == Cancelled
	delete(c.state, id)
	if requeued {
		c.state[id] = "waiting"
	}
	took := time.Duration(rapid.IntRange(1, 50).Draw(c.t, "took")) * ms
	c.apply(c.queue.Done(c.now, id, Result{Took: took, Kind: kind}))
}

// cancel cancels a random request if it waits; running requests are left to
// done.
func (c *checker) cancel() {
	id := uint64(rapid.IntRange(1, int(c.lastID)+1).Draw(c.t, "cancelled"))
	if c.state[id] == "waiting" {
		delete(c.state, id)
		c.apply(c.queue.Cancel(c.now, id))
	}
}

// TestQueueInvariants checks that every request is started or refused once,
// that the slots and the limit are never exceeded, that a non-idempotent
// request starts only once, that a started request is refused only as
// preempted, and that the queue's memory is bounded.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &checker{t: t, state: make(map[uint64]string), notIdempotent: make(map[uint64]bool), started: make(map[uint64]bool)}
		c.cfg = Config{
			Slots:        rapid.IntRange(1, 6).Draw(t, "slots"),
			Limit:        rapid.IntRange(0, 12).Draw(t, "limit"),
			ShortReserve: rapid.IntRange(-1, 3).Draw(t, "reserve"),
			Preempt:      rapid.Bool().Draw(t, "preempt"),
			NoFairShare:  rapid.Bool().Draw(t, "unfair"),
		}
		c.queue = New(c.cfg)
		c.train(rapid.IntRange(0, 2).Draw(t, "taught"))
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c.now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				c.arrive()
			case 4, 5:
				c.done(Completed)
			case 6:
				c.done(rapid.SampledFrom([]ResultKind{Shed, Failed}).Draw(t, "kind"))
			case 7:
				c.done(Cancelled)
			case 8:
				c.cancel()
			default:
				c.apply(c.queue.Tick(c.now))
			}
		}
		c.finishAll()
	})
}

// train teaches the queue routes of short requests and of mixed ones, so that
// it preempts and refuses by its estimates.
func (c *checker) train(routes int) {
	for route := range routes {
		for i := range splitWindowSize {
			took := time.Duration(1+route*(i%5)*10) * ms
			c.queue.learner.add(RouteID(route), took)
			c.queue.learner.recordArrival(RouteID(route))
		}
	}
}

// finishAll completes every running request until none is left waiting or
// running.
func (c *checker) finishAll() {
	for range 10_000 {
		if len(c.state) == 0 {
			return
		}
		c.now += maxPause
		c.apply(c.queue.Tick(c.now))
		c.done(Completed)
	}
	c.t.Fatalf("requests left at the end: %v", c.state)
}

// TestFairOrderSharesByWeight checks that clients that always have waiting work
// receive the target's time in proportion to their weights.
func TestFairOrderSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.IntRange(1, 20), len(weights), len(weights)).Draw(t, "costs")
		o := NewFairOrder()
		id := uint64(0)
		push := func(client int) {
			id++
			o.Push(Item{
				ID: id, Client: fmt.Sprint(client), Weight: weights[client],
				Expected: time.Duration(costs[client]) * ms, Deadline: time.Duration(client),
			})
		}
		for client := range weights {
			for range rapid.IntRange(1, 4).Draw(t, "backlog") {
				push(client)
			}
		}
		served := make([]float64, len(weights)) // service time divided by weight
		for range 500 {
			item, ok := o.Pop(Ready{Short: true, Long: true})
			if !ok {
				t.Fatal("Pop returned no item although items wait")
			}
			client := int(item.Deadline)
			served[client] += item.Expected.Seconds() / float64(weights[client])
			push(client)
		}
		for a := range served {
			for b := range served {
				bound := normalizedItemCost(weights, costs, a) + normalizedItemCost(weights, costs, b)
				if served[a]-served[b] > bound+1e-9 {
					t.Fatalf("normalized service: client %d %.3f, client %d %.3f, bound %.3f", a, served[a], b, served[b], bound)
				}
			}
		}
	})
}

// normalizedItemCost returns the service time of one item, in seconds, divided
// by the client's weight.
func normalizedItemCost(weights, costs []int, client int) float64 {
	return float64(costs[client]) / 1000 / float64(weights[client])
}

// TestFairOrderDoesNotStarveLongWork checks that neither long work nor a client
// of low weight is starved by unending short work of a client of high weight.
func TestFairOrderDoesNotStarveLongWork(t *testing.T) {
	o := NewFairOrder()
	o.Push(Item{ID: 1, Client: "long", Weight: 1, Class: Long, Expected: 100 * ms})
	o.Push(Item{ID: 2, Client: "long", Weight: 1, Class: Long, Expected: 100 * ms})
	waited := 0
	for id := uint64(3); ; id++ {
		o.Push(Item{ID: id, Client: "short", Weight: 100, Expected: 10 * ms})
		item, _ := o.Pop(Ready{Short: true, Long: true})
		if item.ID == 2 {
			break
		}
		waited++
		if waited > 100 {
			t.Fatal("the second long request still waits after 100 short requests")
		}
	}
	if waited < 30 {
		t.Fatalf("second long request started after only %d short requests", waited)
	}
}
