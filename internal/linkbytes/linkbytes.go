// Package linkbytes counts the bytes that a process exchanges with hosts of other
// regions, by cause, for operators who pay for the links by volume.
package linkbytes

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangopost/mangopost/internal/wire"
)

// Counters holds the metrics of the link to one region, in bytes.
type Counters struct {
	sent, received [wire.NumCauses]*metrics.Counter
}

// New returns the counters of the link to a region and registers them in set.
func New(set *metrics.Set, region string) *Counters {
	c := new(Counters)
	for cause := range wire.Cause(wire.NumCauses) {
		c.sent[cause] = newCounter(set, region, cause, "sent")
		c.received[cause] = newCounter(set, region, cause, "received")
	}
	return c
}

func newCounter(set *metrics.Set, region string, cause wire.Cause, direction string) *metrics.Counter {
	name := fmt.Sprintf(`mangopost_link_bytes_total{region=%q,cause=%q,direction=%q}`, region, cause, direction)
	return set.GetOrCreateCounter(name)
}

// Add adds the size of a frame. It is safe for concurrent use.
func (c *Counters) Add(t wire.Traffic) {
	counters := &c.received
	if t.Sent {
		counters = &c.sent
	}
	counters[t.Cause].Add(t.Bytes)
}
