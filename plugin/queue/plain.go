package queue

import "github.com/mangopost/mangopost/admission"

// plainOrder is an order that disables every other decision of its queue.
type plainOrder struct{ *rankedOrder }

// Configure implements admission.Configurer.
func (plainOrder) Configure(c *admission.Config) { Plain(c) }

// Plain disables everything that a queue decides except its order: the queue
// uses every slot for any request, refuses only when it is full or a deadline
// has passed, and preempts nothing.
func Plain(c *admission.Config) {
	c.ShortReserve = admission.NoReserve
	c.Preempt = false
	c.NoEarlyRefusal = true
	c.NoFairShare = true
	c.FixedConcurrency = true
}
