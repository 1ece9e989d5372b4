package entry

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/admission/repeat"
)

// repeats learns which requests callers send again, by route.
type repeats struct {
	mu     sync.Mutex
	routes map[string]*repeat.Route
}

func newRepeats() *repeats { return &repeats{routes: make(map[string]*repeat.Route)} }

// observe records a request of a route and returns how long ago its caller sent it for
// the first time, as far as is known.
func (r *repeats) observe(route string, deadline time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.learnedRoute(route).Observe(steadyClock(), deadline)
}

// recordRefusal records that a request of a route was refused.
func (r *repeats) recordRefusal(route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learnedRoute(route).RecordRefusal(steadyClock())
}

// learnedRoute returns the state of a route and creates it if needed. mu is held.
func (r *repeats) learnedRoute(route string) *repeat.Route {
	known := r.routes[route]
	if known == nil {
		known = &repeat.Route{}
		r.routes[route] = known
	}
	return known
}

// keepOnly forgets the routes that the configuration does not have.
func (r *repeats) keepOnly(routes map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.routes {
		if !routes[name] {
			delete(r.routes, name)
		}
	}
}
