package admission

import (
	"slices"
	"time"
)

// window holds the newest samples, both in order of arrival and sorted.
type window struct {
	ring   []time.Duration
	sorted []time.Duration
	next   int
}

func newWindow(size int) window {
	return window{
		ring:   make([]time.Duration, 0, size),
		sorted: make([]time.Duration, 0, size),
	}
}

func (w *window) add(d time.Duration) {
	if len(w.ring) < cap(w.ring) {
		w.ring = append(w.ring, d)
	} else {
		oldest, _ := slices.BinarySearch(w.sorted, w.ring[w.next])
		w.sorted = slices.Delete(w.sorted, oldest, oldest+1)
		w.ring[w.next] = d
		w.next = (w.next + 1) % len(w.ring)
	}
	index, _ := slices.BinarySearch(w.sorted, d)
	w.sorted = slices.Insert(w.sorted, index, d)
}

func (w *window) len() int { return len(w.sorted) }

// quantile returns a sample at or next to quantile q, or 0 without samples.
func (w *window) quantile(q float64) time.Duration {
	return quantile(w.sorted, q)
}

// quantile returns a sample at or next to quantile q, or 0 without samples.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// mean returns the mean of the samples, or 0 without samples.
func (w *window) mean() time.Duration {
	if len(w.sorted) == 0 {
		return 0
	}
	return meanUpTo(w.sorted, w.sorted[len(w.sorted)-1])
}

func (w *window) median() time.Duration { return w.quantile(0.5) }
