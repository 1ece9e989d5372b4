// Package topk finds the most frequent keys of a stream in bounded memory with
// the space-saving algorithm. A new key that takes over the counter of another
// key inherits its count as the error, so a count is never too low, and too high
// by at most its error.
package topk

import (
	"container/heap"
	"slices"
	"strings"
)

// Item is a counted key.
type Item struct {
	Key   string
	Count uint64 // upper bound of the key's true count
	Error uint64 // Count exceeds the true count by at most Error
}

// Sketch counts the keys of a stream with a fixed maximum number of counters. It
// is not safe for concurrent use.
type Sketch struct {
	maxCounters int
	total       uint64
	byKey       map[string]*counter
	counters    counterHeap
}

type counter struct {
	Item
	index int
}

// New returns a sketch with size counters, at least 1. Every key with more
// than Total/size occurrences has a counter.
func New(size int) *Sketch {
	size = max(size, 1)
	return &Sketch{
		maxCounters: size,
		byKey:       make(map[string]*counter, size),
		counters:    make(counterHeap, 0, size),
	}
}

// Add counts n occurrences of a key.
func (s *Sketch) Add(key string, n uint64) {
	s.total += n
	if c := s.byKey[key]; c != nil {
		c.Count += n
		heap.Fix(&s.counters, c.index)
		return
	}
	if len(s.counters) < s.maxCounters {
		c := &counter{Item: Item{Key: strings.Clone(key), Count: n}}
		s.byKey[c.Key] = c
		heap.Push(&s.counters, c)
		return
	}
	s.replace(key, n)
}

// replace reassigns the counter with the lowest count to a new key.
func (s *Sketch) replace(key string, n uint64) {
	c := s.counters[0]
	delete(s.byKey, c.Key)
	c.Key = strings.Clone(key)
	c.Error = c.Count
	c.Count += n
	s.byKey[c.Key] = c
	heap.Fix(&s.counters, 0)
}

// Halve halves every count, so that the weight of old occurrences decays. Call it
// once per period. Keys whose count becomes 0 are removed.
func (s *Sketch) Halve() {
	s.total /= 2
	kept := s.counters[:0]
	for _, c := range s.counters {
		c.Count /= 2
		c.Error /= 2
		if c.Count == 0 {
			delete(s.byKey, c.Key)
			continue
		}
		kept = append(kept, c)
	}
	clear(s.counters[len(kept):])
	s.counters = kept
	for i, c := range s.counters {
		c.index = i
	}
	heap.Init(&s.counters)
}

// Total returns the number of occurrences counted, which Halve halves too.
func (s *Sketch) Total() uint64 { return s.total }

// Len returns the number of keys held.
func (s *Sketch) Len() int { return len(s.counters) }

// Top returns up to n keys in order of decreasing count. Keys with equal counts
// are in alphabetical order.
func (s *Sketch) Top(n int) []Item {
	items := make([]Item, 0, len(s.counters))
	for _, c := range s.counters {
		items = append(items, c.Item)
	}
	slices.SortFunc(items, func(a, b Item) int {
		if a.Count != b.Count {
			if a.Count > b.Count {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Key, b.Key)
	})
	return items[:min(n, len(items))]
}

// counterHeap is a min-heap by count. It implements heap.Interface.
type counterHeap []*counter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].Count < h[j].Count }

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *counterHeap) Push(x any) {
	c := x.(*counter)
	c.index = len(*h)
	*h = append(*h, c)
}

func (h *counterHeap) Pop() any {
	old := *h
	last := len(old) - 1
	c := old[last]
	old[last] = nil
	*h = old[:last]
	return c
}
