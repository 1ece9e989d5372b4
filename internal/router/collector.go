package router

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapHeadroomBytes is how much a router with a smaller live heap may allocate
	// between two garbage collections. Requests produce garbage, and the cost of a
	// collection does not depend on how much was allocated since the previous one.
	heapHeadroomBytes = 16 << 20

	// minGCPercent is the default of the Go runtime.
	minGCPercent = 100
	maxGCPercent = 300

	gcTuneInterval = 5 * time.Second
	liveHeapMetric = "/gc/heap/live:bytes"
)

// gcPercent returns the GOGC percentage for a live heap of the given size.
func gcPercent(liveBytes uint64) int {
	percent := heapHeadroomBytes * 100 / max(liveBytes, 1)
	return int(min(max(percent, minGCPercent), maxGCPercent))
}

// serveCollector adapts the GOGC percentage to the size of the live heap. It does
// nothing if the environment sets GOGC; limits.memory_bytes bounds the process in any
// case.
func (r *Router) serveCollector(ctx context.Context) error {
	if os.Getenv("GOGC") != "" {
		<-ctx.Done()
		return nil
	}
	current := 0
	for {
		if percent := gcPercent(liveHeap()); percent != current {
			debug.SetGCPercent(percent)
			current = percent
		}
		if !sleep(ctx, gcTuneInterval) {
			return nil
		}
	}
}

// liveHeap returns the bytes that the last garbage collection found in use.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
