package slopes

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/admission"
)

// queueSlots is the number of slots of the measured queues.
const queueSlots = 6

// newQueue returns a queue with all slots in use and n waiting requests.
func newQueue(n int) *admission.Queue {
	q := admission.New(admission.Config{Slots: queueSlots, Limit: n + queueSlots + 1, FixedConcurrency: true})
	for i := range n + queueSlots {
		q.Arrive(0, newQueueRequest(uint64(i)))
	}
	return q
}

func newQueueRequest(id uint64) admission.Request {
	return admission.Request{ID: id, Client: fmt.Sprintf("client-%d", id%64), Weight: 1, Route: admission.RouteID(id % 8)}
}

// Queue measures the queue of one target.
func Queue() []Slope {
	ns := doubling(1, 1<<10)
	return []Slope{
		measureSlope("queue of a target", "waiting request", "bytes of heap", ns, func(n int) float64 {
			return heapBytes(func() any { return newQueue(n) })
		}),
		measureSlope("queue, arrive and end one request", "waiting request", "ns of CPU", ns, func(n int) float64 {
			q := newQueue(n)
			var oldest uint64
			next := uint64(n + queueSlots)
			now := time.Duration(0)
			running := make([]uint64, 0, queueSlots)
			for i := range uint64(queueSlots) {
				running = append(running, i)
			}
			return cpuNS(func() {
				now += 10 * time.Microsecond
				q.Arrive(now, newQueueRequest(next))
				next++
				actions := q.Done(now, running[oldest%queueSlots], admission.Result{Took: 5 * time.Millisecond})
				for _, a := range actions {
					running[oldest%queueSlots] = a.ID
				}
				oldest++
			})
		}),
	}
}
