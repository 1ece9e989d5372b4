package entry

import (
	"context"
	"sync"
	"time"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/routing"
)

// tickEvery is how often waiting requests are looked at when nothing happens: a
// fraction of the shortest pause of a target.
const tickEvery = 20 * time.Millisecond

// service is one service at this host: its pool and the requests that wait.
type service struct {
	name  string
	keyed bool

	mu       sync.Mutex
	pool     *pool.Pool
	waiters  map[uint64]chan pool.Action
	arrivals map[int]int // requests by key since the last report
	reported int         // reports since the times of requests were in one
	budget   *routing.SlidingBudget
	timer    *time.Timer // runs while requests wait
}

func newService(s routing.Service, budget *routing.SlidingBudget, phase float64) *service {
	cfg := pool.DefaultConfig
	cfg.Keyed, cfg.Phase = s.Keyed, phase
	return &service{
		name:     s.Name,
		keyed:    s.Keyed,
		pool:     pool.New(cfg),
		waiters:  make(map[uint64]chan pool.Action),
		arrivals: make(map[int]int),
		budget:   budget,
	}
}

// admit waits for a decision on the request. ok is false when ctx ended first.
func (s *service) admit(ctx context.Context, r pool.Request) (a pool.Action, ok bool) {
	decision := make(chan pool.Action, 1)
	s.mu.Lock()
	s.waiters[r.ID] = decision
	s.act(s.pool.Arrive(steady(), r))
	s.keepTicking()
	s.mu.Unlock()
	select {
	case a = <-decision:
		return a, true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, r.ID)
	s.pool.Cancel(r.ID)
	select {
	case a = <-decision: // started as the caller left
		if a.Start {
			s.pool.Finish(steady(), a.Target, 0, pool.Abandoned)
		}
	default:
	}
	return a, false
}

// act passes decisions to the requests that wait for them. mu is held.
func (s *service) act(actions []pool.Action) {
	for _, a := range actions {
		if w := s.waiters[a.ID]; w != nil {
			delete(s.waiters, a.ID)
			w <- a
		}
	}
}

// keepTicking lets the timer run while requests wait. mu is held.
func (s *service) keepTicking() {
	if s.pool.Waiting() == 0 {
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(tickEvery, s.tick)
		return
	}
	s.timer.Reset(tickEvery)
}

func (s *service) tick() {
	s.change(func(*pool.Pool) {})
}

// change applies a change to the pool and acts on what follows.
func (s *service) change(f func(p *pool.Pool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.pool)
	s.act(s.pool.Tick(steady()))
	s.keepTicking()
}

// drain refuses what waits: this host is about to end.
func (s *service) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act(s.pool.Drain(steady()))
}

// finish takes in what became of a request that was started.
func (s *service) finish(a pool.Action, took time.Duration, result pool.Result) {
	s.change(func(p *pool.Pool) {
		if result == pool.NotOwner {
			p.NotHeld(steady(), a.Fence)
		} else {
			p.Held(a.Fence)
		}
		p.Finish(steady(), a.Target, took, result)
	})
}

// first counts a request's arrival for the retry budget and the loads of keys.
func (s *service) first(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First(steady())
	if s.keyed {
		s.arrivals[key]++
	}
}

// mayRetry decides on another try and takes it from the budget.
func (s *service) mayRetry(now time.Duration, a routing.Attempt) routing.RetryReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return routing.MayRetry(now, a, s.budget.At(now))
}

// setRetryBurst takes in how many retries beside the ratio this host may use.
func (s *service) setRetryBurst(burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetBurst(burst)
}

// takeArrivals returns the requests by key since the last call.
func (s *service) takeArrivals() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.arrivals
	s.arrivals = make(map[int]int)
	return out
}

// speedsEvery is the number of reports of which one has the times of requests:
// they change slowly.
const speedsEvery = 5

// takeSpeeds returns the times of requests by target, when they are due.
func (s *service) takeSpeeds() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported++; s.reported%speedsEvery != 0 {
		return nil
	}
	return s.pool.Speeds()
}
