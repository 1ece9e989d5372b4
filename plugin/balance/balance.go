// Package balance registers the balancers that pick a target for a request to a
// service without owners: "balance.locality" (the default),
// "balance.power_of_two", "balance.least_outstanding", "balance.random" and
// "balance.round_robin". Each implements routing.Balancer.
package balance

import (
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/routing"
)

// IDs of the balancers.
const (
	Locality         kernel.PluginID = "balance.locality"
	PowerOfTwo       kernel.PluginID = "balance.power_of_two"
	LeastOutstanding kernel.PluginID = "balance.least_outstanding"
	RandomTarget     kernel.PluginID = "balance.random"
	RoundRobin       kernel.PluginID = "balance.round_robin"
)

func init() {
	kernel.Register(kernel.Plugin{ID: Locality, New: func() any { return &locality{} }})
	kernel.Register(kernel.Plugin{ID: PowerOfTwo, New: func() any { return powerOfTwo{} }})
	kernel.Register(kernel.Plugin{ID: LeastOutstanding, New: func() any { return leastOutstanding{} }})
	kernel.Register(kernel.Plugin{ID: RandomTarget, New: func() any { return random{} }})
	kernel.Register(kernel.Plugin{ID: RoundRobin, New: func() any { return &roundRobin{} }})
}

// New returns a new balancer, and whether the ID is known.
func New(id kernel.PluginID) (routing.Balancer, bool) {
	plugin, ok := kernel.Lookup(id)
	if !ok {
		return nil, false
	}
	balancer, ok := plugin.New().(routing.Balancer)
	return balancer, ok
}

// lessLoaded reports whether a has less outstanding work for its weight than b.
// A candidate that refused a request recently counts as more loaded than one
// that did not.
func lessLoaded(a, b routing.Candidate) bool {
	if a.Full != b.Full {
		return b.Full
	}
	return (a.Outstanding+1)*max(b.Weight, 1) < (b.Outstanding+1)*max(a.Weight, 1)
}
