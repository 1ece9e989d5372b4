// Package keyrange holds the map from ranges of keys to the targets that own
// them. It does no I/O: a map becomes true only by a conditional update of its
// object in the platform's store.
package keyrange

import (
	"fmt"
	"slices"
	"sort"
)

// MaxKey is the highest key; the lowest is 0.
const MaxKey = 1<<16 - 1

// Owner is one start of a target. A target that started again under its name
// holds nothing and is another owner.
type Owner struct {
	Target string `json:"target"`
	Run    int64  `json:"run"` // Unix milliseconds of the target's start
	Addr   string `json:"addr"`
}

// Same reports whether two owners are the same start of the same target.
func (o Owner) Same(p Owner) bool { return o.Target == p.Target && o.Run == p.Run }

// Range gives the keys From to To, both inclusive, to an owner.
type Range struct {
	From  int
	To    int
	Owner Owner
	Fence uint64
	// Prev are the owners before, while they may still hold the keys: Owner is
	// granted nothing before all of them have ended.
	Prev []Previous
}

// ID names a range in all versions of a map in which it moves: its first key, and
// the fence of the move.
type ID struct {
	From  int
	Fence uint64
}

// ID returns the range's name.
func (r Range) ID() ID { return ID{r.From, r.Fence} }

// Previous is an owner whose grant has to end before the next one begins.
type Previous struct {
	Owner
	Fence uint64
}

// Keys returns the number of keys in the range.
func (r Range) Keys() int { return r.To - r.From + 1 }

// Map is the store object of one service: ranges in ascending order that
// together hold every key once, and the highest fence ever given.
type Map struct {
	Service string
	Ranges  []Range
	Fence   uint64
}

// At returns the index of the range that holds the key, or -1.
func (m *Map) At(key int) int {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	if i == len(m.Ranges) || m.Ranges[i].From > key {
		return -1
	}
	return i
}

// Clone returns a copy that shares nothing with m.
func (m *Map) Clone() *Map {
	c := *m
	c.Ranges = slices.Clone(m.Ranges)
	for i, r := range c.Ranges {
		c.Ranges[i].Prev = slices.Clone(r.Prev)
	}
	return &c
}

// Assign gives the keys from..to to an owner under a new fence, splitting
// ranges at the borders. The owner before joins Prev, also while the range is
// moving: it may have been granted its keys just before.
func (m *Map) Assign(from, to int, owner Owner) {
	m.splitAt(from)
	m.splitAt(to + 1)
	m.Fence++
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if r.From < from || r.To > to {
			continue
		}
		r.Prev = append(slices.Clip(r.Prev), Previous{Owner: r.Owner, Fence: r.Fence})
		r.Owner, r.Fence = owner, m.Fence
	}
	m.join()
}

// splitAt makes a range begin at key.
func (m *Map) splitAt(key int) {
	i := m.At(key)
	if i < 0 || m.Ranges[i].From == key {
		return
	}
	left, right := m.Ranges[i], m.Ranges[i]
	left.To, right.From = key-1, key
	m.Ranges = slices.Insert(m.Ranges, i+1, right)
	m.Ranges[i] = left
}

// join merges neighbours that differ in nothing but their keys.
func (m *Map) join() {
	out := m.Ranges[:1]
	for _, r := range m.Ranges[1:] {
		last := &out[len(out)-1]
		if sameHolding(*last, r) {
			last.To = r.To
			continue
		}
		out = append(out, r)
	}
	m.Ranges = out
}

// Settle notes that the owner of a moving range was granted its keys. It reports
// whether there was such a range.
func (m *Map) Settle(id ID) bool {
	if !m.Moving(id) {
		return false
	}
	m.Ranges[m.At(id.From)].Prev = nil
	return true
}

// Moving reports whether there is such a range and earlier owners may hold its
// keys.
func (m *Map) Moving(id ID) bool {
	i := m.At(id.From)
	return i >= 0 && m.Ranges[i].ID() == id && len(m.Ranges[i].Prev) > 0
}

// Merged names the fences that a merged range had before.
type Merged struct {
	Owner  Owner
	Fence  uint64
	Before []uint64
}

// Merge joins up to limit runs of neighbouring ranges of one owner, each under a
// new fence, as each range costs a grant. Nothing changes hands: no other owner
// may hold any of the keys. fixed reports which ranges stay as they are.
func (m *Map) Merge(limit int, fixed func(Range) bool) []Merged {
	var merged []Merged
	out := m.Ranges[:0:0]
	for i := 0; i < len(m.Ranges); {
		j := i + 1
		for j < len(m.Ranges) && mergeable(m.Ranges[i], m.Ranges[j]) && !fixed(m.Ranges[i]) && !fixed(m.Ranges[j]) {
			j++
		}
		r := m.Ranges[i]
		if j > i+1 && len(merged) < limit {
			m.Fence++
			note := Merged{Owner: r.Owner, Fence: m.Fence}
			for _, part := range m.Ranges[i:j] {
				note.Before = append(note.Before, part.Fence)
			}
			merged = append(merged, note)
			r.To, r.Fence = m.Ranges[j-1].To, m.Fence
			out = append(out, r)
		} else {
			out = append(out, m.Ranges[i:j]...)
		}
		i = j
	}
	m.Ranges = out
	return merged
}

func mergeable(a, b Range) bool {
	return a.Owner == b.Owner && len(a.Prev) == 0 && len(b.Prev) == 0
}

// New returns the first map of a service, with the keys distributed among the owners in
// proportion to their weights, each range under a fence of its own.
func New(service string, owners []Owner, weights []float64) *Map {
	m := &Map{Service: service}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	from, sum := 0, 0.0
	for i, owner := range owners {
		sum += weights[i]
		to := int(sum/total*(MaxKey+1)) - 1
		if i == len(owners)-1 {
			to = MaxKey
		}
		if to < from {
			continue
		}
		m.Fence++
		m.Ranges = append(m.Ranges, Range{From: from, To: to, Owner: owner, Fence: m.Fence})
		from = to + 1
	}
	return m
}

// Check returns what is wrong with a map, or nothing.
func Check(m *Map) []string {
	var faults []string
	next := 0
	for i, r := range m.Ranges {
		if r.From != next || r.To < r.From {
			faults = append(faults, fmt.Sprintf("ranges[%d]: %d to %d after %d", i, r.From, r.To, next-1))
		}
		if r.Fence == 0 || r.Fence > m.Fence {
			faults = append(faults, fmt.Sprintf("ranges[%d]: fence %d, highest %d", i, r.Fence, m.Fence))
		}
		for _, prev := range r.Prev {
			if prev.Fence >= r.Fence {
				faults = append(faults, fmt.Sprintf("ranges[%d]: fence %d after %d", i, r.Fence, prev.Fence))
			}
		}
		if r.Owner.Target == "" {
			faults = append(faults, fmt.Sprintf("ranges[%d]: no owner", i))
		}
		next = r.To + 1
	}
	if next != MaxKey+1 {
		faults = append(faults, fmt.Sprintf("keys from %d have no range", next))
	}
	return faults
}
