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

// balancers holds one balancer for each service that has no owners.
type balancers struct {
	mu        sync.Mutex
	random    *rand.Rand
	byService map[string]chosen
	load      map[string]int // requests that this host has at a target
	buf       []routing.Candidate
}

type chosen struct {
	id       kernel.PluginID
	balancer routing.Balancer
}

func newBalancers(seed uint64) *balancers {
	return &balancers{
		random:    rand.New(rand.NewPCG(seed, seed)),
		byService: make(map[string]chosen),
		load:      make(map[string]int),
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
	open := r.regions.openOnce()
	b.buf = b.buf[:0]
	for _, t := range s.targets {
		b.buf = append(b.buf, routing.Candidate{
			Target:      t.name,
			Gateway:     firstHost(t),
			DataCentre:  t.dataCentre,
			Region:      t.region,
			Outstanding: b.load[t.name],
			Weight:      s.template.Slots,
			Local:       t.dataCentre == r.cfg.DataCentre,
			SameRegion:  t.region == r.cfg.Region,
			LinkOpen:    open(t.region),
			Full:        t.draining || r.hints.silentNow(t.name),
		})
	}
	i := b.of(s).Pick(b.random, b.buf)
	if i == routing.NoCandidate {
		return nil
	}
	return s.targets[i]
}

func (b *balancers) of(s *serviceTable) routing.Balancer {
	id := kernel.PluginID(s.template.Balancer)
	if id == "" {
		id = defaultBalancer
	}
	known := b.byService[s.template.Service]
	if known.id == id {
		return known.balancer
	}
	balancer := newPlugin[routing.Balancer](id, defaultBalancer)
	b.byService[s.template.Service] = chosen{id: id, balancer: balancer}
	return balancer
}

// begin and end count the requests that this host has at a target.
func (b *balancers) begin(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load[target]++
}

func (b *balancers) end(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load[target]--
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

// newPlugin returns a fresh instance of a plug-in, or of the fallback when
// there is none of that name; template checks have told the operator.
func newPlugin[T any](id, fallback kernel.PluginID) T {
	p, ok := kernel.Lookup(id)
	if !ok {
		p, _ = kernel.Lookup(fallback)
	}
	return p.New().(T)
}
