package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkArriveAndDone measures one request that starts at once and
// completes.
func BenchmarkArriveAndDone(b *testing.B) {
	w := newTrainedHarness(Config{Slots: 6, Limit: 256})
	b.ReportAllocs()
	for id := uint64(1 << 32); b.Loop(); id++ {
		w.now += ms
		w.queue.Arrive(w.now, Request{ID: id, Client: "c", Route: 1, Deadline: w.now + time.Second})
		w.queue.Done(w.now, id, Result{Took: 10 * ms})
	}
}

// BenchmarkArriveOverloaded measures one arrival at a full queue and one
// completion.
func BenchmarkArriveOverloaded(b *testing.B) {
	for _, clients := range []int{4, 64} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			w := newTrainedHarness(Config{Slots: 6, Limit: 256})
			names := make([]string, clients)
			for i := range names {
				names[i] = fmt.Sprintf("client-%d", i)
			}
			for i := range 300 {
				w.arrive(Request{Client: names[i%clients], Route: 1})
			}
			id, oldest := w.lastID, uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				w.now += 100 * time.Microsecond
				w.queue.Arrive(w.now, Request{ID: id, Client: names[id%uint64(clients)], Route: 1})
				oldest = w.queue.running.jobs[0].entry.item.ID
				w.queue.Done(w.now, oldest, Result{Took: 10 * ms})
			}
		})
	}
}

// BenchmarkTick measures a sweep of a full queue.
func BenchmarkTick(b *testing.B) {
	w := newTrainedHarness(Config{Slots: 6, Limit: 256})
	for i := range 300 {
		w.arrive(Request{Client: fmt.Sprint(i % 8), Route: 1, Deadline: time.Hour})
	}
	b.ReportAllocs()
	for b.Loop() {
		w.queue.Tick(w.now)
	}
}
