package standin

import (
	"cmp"
	"slices"
	"sync"
)

// CallKind is a kind of call to the platform.
type CallKind string

// Kinds of calls. A watch that waits is one call.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallWatch  CallKind = "watch"
	CallHosts  CallKind = "hosts"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
)

func (k CallKind) isWrite() bool { return k == CallPut || k == CallDelete }

// CallCount counts the calls of one caller and kind. Refused counts the calls that
// exceeded the rate limit, were refused while the platform was down, or were cut.
type CallCount struct {
	Caller  string   `json:"caller"`
	Kind    CallKind `json:"kind"`
	Calls   uint64   `json:"calls"`
	Refused uint64   `json:"refused,omitempty"`
}

// Stats is the body of the answer to GET /v1/stats.
type Stats struct {
	Revision uint64      `json:"revision"`
	Objects  int         `json:"objects"`
	Counts   []CallCount `json:"counts"`
}

// Total returns the number of calls of a kind by all callers.
func (s Stats) Total(kind CallKind) uint64 {
	var total uint64
	for _, count := range s.Counts {
		if count.Kind == kind {
			total += count.Calls
		}
	}
	return total
}

type countKey struct {
	caller string
	kind   CallKind
}

type callCounts struct {
	mu     sync.Mutex
	counts map[countKey]CallCount
}

func (c *callCounts) add(caller string, kind CallKind, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := countKey{caller, kind}
	count := c.counts[key]
	count.Caller, count.Kind = caller, kind
	count.Calls++
	if refused {
		count.Refused++
	}
	c.counts[key] = count
}

func (c *callCounts) snapshot() []CallCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]CallCount, 0, len(c.counts))
	for _, count := range c.counts {
		counts = append(counts, count)
	}
	slices.SortFunc(counts, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}
