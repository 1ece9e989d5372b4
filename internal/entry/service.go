package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/mangopost/mangopost/admission/loadreport"
	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/placement/demand"
	"github.com/mangopost/mangopost/routing"
)

// tickInterval is how often waiting requests are checked when no event occurs: a
// fraction of the shortest pause of a target.
const tickInterval = 20 * time.Millisecond

// service holds the pool of one service at this host and the requests that wait
// for a decision.
type service struct {
	name  string
	keyed bool
	guard func(duty string, step func())

	mu          sync.Mutex
	pool        *pool.Pool
	waiters     map[uint64]chan pool.Action
	arrivals    map[int]int // requests by key since the last report
	reportCount int         // reports so far; one in reportsPerRequestTimes includes request times
	budget      *routing.SlidingBudget
	timer       *time.Timer // runs while requests wait
	isReserving bool        // capacity is reserved for more urgent requests, as last logged
}

// newService returns a service without targets. With reserveUrgent, capacity is reserved
// for its more urgent requests.
func newService(s routing.Service, budget *routing.SlidingBudget, phase float64, reserveUrgent bool, leaving pool.CrossingConfig,
	guard func(string, func()),
) *service {
	cfg := pool.DefaultConfig
	cfg.Keyed, cfg.AdmitPhase, cfg.ReserveUrgent, cfg.Crossing = s.Keyed, phase, reserveUrgent, leaving
	return &service{
		name:     s.Name,
		keyed:    s.Keyed,
		guard:    guard,
		pool:     pool.New(cfg),
		waiters:  make(map[uint64]chan pool.Action),
		arrivals: make(map[int]int),
		budget:   budget,
	}
}

// admit waits until the pool starts or refuses the request. ok is false when ctx
// ended first.
func (s *service) admit(ctx context.Context, r pool.Request) (a pool.Action, ok bool) {
	decision := make(chan pool.Action, 1)
	s.mu.Lock()
	s.waiters[r.ID] = decision
	s.deliver(s.pool.Arrive(steadyClock(), r))
	s.armTimer()
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
	case a = <-decision: // started while the caller disconnected
		if a.Start {
			s.pool.Finish(steadyClock(), a.Target, 0, pool.Abandoned)
		}
	default:
	}
	return a, false
}

// deliver passes the pool's decisions to the requests that wait for them. mu is
// held.
func (s *service) deliver(actions []pool.Action) {
	for _, a := range actions {
		if w := s.waiters[a.ID]; w != nil {
			delete(s.waiters, a.ID)
			w <- a
		}
	}
}

// armTimer restarts the timer if requests wait. mu is held.
func (s *service) armTimer() {
	if s.pool.Waiting() == 0 {
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(tickInterval, func() { s.guard("queue of "+s.name, s.tick) })
		return
	}
	s.timer.Reset(tickInterval)
}

func (s *service) tick() {
	s.updatePool(func(*pool.Pool) {})
}

// updatePool applies a change to the pool and delivers the decisions that follow.
func (s *service) updatePool(f func(p *pool.Pool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.pool)
	s.deliver(s.pool.Tick(steadyClock()))
	s.armTimer()
}

// drain refuses all waiting requests because this host is about to exit.
func (s *service) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.pool.Drain(steadyClock()))
}

// finish records the outcome of a request that was started, with the pause that its
// target asked for and the load that it reported. It returns whether the target's load
// reports count as before.
func (s *service) finish(a pool.Action, t attempt) (trust loadreport.Change) {
	s.updatePool(func(p *pool.Pool) {
		p.Pause(steadyClock(), a.Target, t.pause)
		if t.result == pool.NotOwner {
			p.RecordNotHeld(steadyClock(), a.Fence)
		} else {
			p.RecordHeld(a.Fence)
		}
		p.RecordWork(a, t.took, t.result)
		p.Finish(steadyClock(), a.Target, t.took, t.result)
		trust = p.RecordLoad(steadyClock(), a, loadreport.Load(t.load), t.took, t.result)
	})
	return trust
}

// reserveChange returns the slots that are reserved for more urgent requests, and whether
// the reserve began or ended since the last call.
func (s *service) reserveChange() (slots float64, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots = s.pool.ReservedSlots(steadyClock())
	changed = s.isReserving != (slots > 0)
	s.isReserving = slots > 0
	return slots, changed
}

// pausedFor returns how much longer the targets that could run a request want none. If
// regions are given, only targets in these could.
func (s *service) pausedFor(key int, regions []string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.PausedFor(steadyClock(), key, regions...)
}

// countArrival counts a new request for the retry budget and the key loads.
func (s *service) countArrival(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirstTry(steadyClock())
	if s.keyed {
		s.arrivals[key]++
	}
}

// mayRetry decides on another attempt and takes it from the retry budget.
func (s *service) mayRetry(now time.Duration, a routing.Attempt) routing.RetryReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	return routing.MayRetry(now, a, s.budget.At(now))
}

// setRetryBurst sets how many retries beyond the ratio this host may use.
func (s *service) setRetryBurst(burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetBurst(burst)
}

// use returns what a report says about the service, for the interval since the last
// one.
func (s *service) use(interval time.Duration) demand.ServiceUse {
	var use demand.ServiceUse
	s.updatePool(func(p *pool.Pool) {
		use.Running, use.Wanted = p.Running(), p.Demand(interval)
		maps.Copy(use.Running, p.PriorityLoads(steadyClock()))
		use.Paused = make(map[string]int)
		for _, target := range p.PausedTargets(steadyClock(), minReportedPause) {
			use.Paused[target] = 1
		}
	})
	if s.keyed {
		use.Keys = s.takeArrivals()
		use.Seconds = s.takeRequestTimes()
	}
	return use
}

// takeArrivals returns the number of requests by key since the last call.
func (s *service) takeArrivals() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.arrivals
	s.arrivals = make(map[int]int)
	return out
}

// reportsPerRequestTimes is the number of reports of which only one includes request
// times, because they change slowly.
const reportsPerRequestTimes = 5

// takeRequestTimes returns the request times by target if they are due in this
// report, or nil.
func (s *service) takeRequestTimes() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportCount++; s.reportCount%reportsPerRequestTimes != 0 {
		return nil
	}
	return s.pool.ServiceTimeSeconds()
}
