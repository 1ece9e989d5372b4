package router

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/routing"
)

const (
	defaultBalancer kernel.PluginID = "balance.locality"
	defaultOrder    kernel.PluginID = "queue.short_first"
)

// balancers holds one balancer for each service without owners.
type balancers struct {
	mu          sync.Mutex
	random      *rand.Rand
	byService   map[string]serviceBalancer
	outstanding map[string]int // outstanding requests of this host by target
	buf         []routing.Candidate
}

type serviceBalancer struct {
	id       kernel.PluginID
	balancer routing.Balancer
}

func newBalancers(seed uint64) *balancers {
	return &balancers{
		random:      rand.New(rand.NewPCG(seed, seed)),
		byService:   make(map[string]serviceBalancer),
		outstanding: make(map[string]int),
	}
}

// balance picks a target for a request that any target of its service may run.
func (r *Router) balance(q *ingressRequest) *target {
	q.forward.OwnerEpoch = 0
	dst := r.balancers.pick(r, q.service)
	q.optional = dst != nil && dst.region != r.cfg.Region && q.service.hasTargetIn(r.cfg.Region)
	return dst
}

func (s *serviceTable) hasTargetIn(region string) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.region == region })
}

func (b *balancers) pick(r *Router, s *serviceTable) *target {
	if len(s.targets) == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	isLinkOpen := r.regions.newOpenCheck()
	b.buf = b.buf[:0]
	for _, t := range s.targets {
		b.buf = append(b.buf, routing.Candidate{
			Target:      t.name,
			Gateway:     firstHost(t),
			DataCentre:  t.dataCentre,
			Region:      t.region,
			Outstanding: b.outstanding[t.name],
			Weight:      s.template.Slots,
			Local:       t.dataCentre == r.cfg.DataCentre,
			SameRegion:  t.region == r.cfg.Region,
			LinkOpen:    isLinkOpen(t.region),
			Full:        t.draining || r.hints.isSilent(t.name),
		})
	}
	i := b.forService(s).Pick(b.random, b.buf)
	if i == routing.NoCandidate {
		return nil
	}
	return s.targets[i]
}

func (b *balancers) forService(s *serviceTable) routing.Balancer {
	id := kernel.PluginID(s.template.Balancer)
	if id == "" {
		id = defaultBalancer
	}
	current := b.byService[s.template.Service]
	if current.id == id {
		return current.balancer
	}
	balancer := newPlugin[routing.Balancer](id, defaultBalancer)
	b.byService[s.template.Service] = serviceBalancer{id: id, balancer: balancer}
	return balancer
}

// begin and end update the number of requests that this host has outstanding at a
// target.
func (b *balancers) begin(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding[target]++
}

func (b *balancers) end(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outstanding[target]--
}

func firstHost(t *target) string {
	if len(t.candidates) == 0 {
		return ""
	}
	return t.candidates[0].Host
}

func newOrder(id string) admission.Order {
	if id == "" {
		id = string(defaultOrder)
	}
	return newPlugin[admission.Order](kernel.PluginID(id), defaultOrder)
}

// newPlugin returns a new instance of a plug-in, or of the fallback if no plug-in has
// that ID. The operator has been warned of an unknown ID when the template was checked.
func newPlugin[T any](id, fallback kernel.PluginID) T {
	p, ok := kernel.Lookup(id)
	if !ok {
		p, _ = kernel.Lookup(fallback)
	}
	return p.New().(T)
}
