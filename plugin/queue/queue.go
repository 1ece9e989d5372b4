// Package queue registers the orders in which a target's waiting requests
// start: "queue.fair" (the default), "queue.short_first", "queue.fifo" and
// "queue.lifo". Each implements admission.Order. "queue.plain_fifo" is the
// baseline with which others are compared: it also disables everything else
// that a queue decides.
package queue

import (
	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/kernel"
)

// IDs of the orders.
const (
	Fair       kernel.PluginID = "queue.fair"
	ShortFirst kernel.PluginID = "queue.short_first"
	FIFO       kernel.PluginID = "queue.fifo"
	LIFO       kernel.PluginID = "queue.lifo"
	PlainFIFO  kernel.PluginID = "queue.plain_fifo"
)

func init() {
	kernel.Register(kernel.Plugin{ID: Fair, New: func() any { return admission.NewFairOrder() }})
	kernel.Register(kernel.Plugin{ID: ShortFirst, New: func() any { return newRankedOrder(shortFirst) }})
	kernel.Register(kernel.Plugin{ID: FIFO, New: func() any { return newRankedOrder(fifo) }})
	kernel.Register(kernel.Plugin{ID: LIFO, New: func() any { return newRankedOrder(lifo) }})
	kernel.Register(kernel.Plugin{ID: PlainFIFO, New: func() any { return plainOrder{newRankedOrder(fifo)} }})
}

// New returns a new order, and whether the ID is known.
func New(id kernel.PluginID) (admission.Order, bool) {
	plugin, ok := kernel.Lookup(id)
	if !ok {
		return nil, false
	}
	order, ok := plugin.New().(admission.Order)
	return order, ok
}
