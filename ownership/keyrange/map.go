// Package keyrange implements the map from ranges of keys to the targets that
// own them. It does no I/O: a map takes effect only when a conditional update of
// its object in the platform's store succeeds.
package keyrange

import (
	"fmt"
	"slices"
	"sort"
)

// MaxKey is the highest key; the lowest is 0.
const MaxKey = 1<<16 - 1

// Owner is one run of a target. A target that restarts under the same name holds
// no keys and counts as another owner.
type Owner struct {
	Target string `json:"target"`
	Run    int64  `json:"run"` // Unix milliseconds of the target's start
	Addr   string `json:"addr"`
}

// SameRun reports whether two owners are the same run of the same target. The
// address is ignored.
func (o Owner) SameRun(p Owner) bool { return o.Target == p.Target && o.Run == p.Run }

// Range assigns the keys From to To, both inclusive, to an owner.
type Range struct {
	From  int
	To    int
	Owner Owner
	Fence uint64
	// Prev lists earlier owners that may still hold the keys. Owner is granted
	// the keys only after the grants of all of them have ended.
	Prev []Previous
}

// ID identifies a moving range in successive versions of a map by its first key
// and the fence of the move.
type ID struct {
	From  int
	Fence uint64
}

// ID returns the identifier of the range.
func (r Range) ID() ID { return ID{r.From, r.Fence} }

// Previous is an earlier owner of a range, whose grants under Fence must end
// before the next owner is granted the keys.
type Previous struct {
	Owner
	Fence uint64
}

// IsUnknown reports whether the keys may be held by any target, because the map that
// named their last owner may be lost. It has no address to which a release could go.
func (p Previous) IsUnknown() bool { return p.Owner == Owner{} }

// Keys returns the number of keys in the range.
func (r Range) Keys() int { return r.To - r.From + 1 }

// Map is the store object with the owners of one service's keys: ranges in
// ascending order that cover every key exactly once, and the highest fence that
// was ever assigned.
type Map struct {
	Service string
	Ranges  []Range
	Fence   uint64
}

// IndexOf returns the index of the range that contains the key, or -1.
func (m *Map) IndexOf(key int) int {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })
	if i == len(m.Ranges) || m.Ranges[i].From > key {
		return -1
	}
	return i
}

// Clone returns a deep copy of the map.
func (m *Map) Clone() *Map {
	c := *m
	c.Ranges = slices.Clone(m.Ranges)
	for i, r := range c.Ranges {
		c.Ranges[i].Prev = slices.Clone(r.Prev)
	}
	return &c
}

// Assign gives the keys from..to to an owner under a new fence, splitting ranges
// at the boundaries. The current owner is appended to Prev even while its range
// is moving, because it may just have been granted the keys.
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
	m.mergeEqualNeighbours()
}

// Refence gives every range a new fence above floor. Its keys may be held by an unknown
// target until the longest possible grant has ended: a store that came back from an older
// copy does not show moves that were made since, nor their fences.
func (m *Map) Refence(floor uint64) {
	m.Fence = max(m.Fence, floor)
	for i := range m.Ranges {
		m.Fence++
		m.Ranges[i].Fence, m.Ranges[i].Prev = m.Fence, []Previous{{}}
	}
}

// Renumber gives every range a new fence above floor, for a map that is known to be the
// last one. No key changes its owner, whose grants under the earlier fence go on. The
// owner of a moving range may just have been granted the keys and is one of the earlier
// owners then.
func (m *Map) Renumber(floor uint64) {
	m.Fence = max(m.Fence, floor)
	for i := range m.Ranges {
		r := &m.Ranges[i]
		if len(r.Prev) > 0 {
			r.Prev = append(slices.Clip(r.Prev), Previous{Owner: r.Owner, Fence: r.Fence})
		}
		m.Fence++
		r.Fence = m.Fence
	}
}

// splitAt splits the range that contains key so that a range begins at key.
func (m *Map) splitAt(key int) {
	i := m.IndexOf(key)
	if i < 0 || m.Ranges[i].From == key {
		return
	}
	left, right := m.Ranges[i], m.Ranges[i]
	left.To, right.From = key-1, key
	m.Ranges = slices.Insert(m.Ranges, i+1, right)
	m.Ranges[i] = left
}

// mergeEqualNeighbours merges neighbouring ranges that have the same owner,
// fence and earlier owners.
func (m *Map) mergeEqualNeighbours() {
	out := m.Ranges[:1]
	for _, r := range m.Ranges[1:] {
		last := &out[len(out)-1]
		if sameOwnership(*last, r) {
			last.To = r.To
			continue
		}
		out = append(out, r)
	}
	m.Ranges = out
}

// Settle records that the owner of a moving range was granted its keys: the
// earlier owners are removed. It reports whether the map has such a moving range.
func (m *Map) Settle(id ID) bool {
	if !m.Moving(id) {
		return false
	}
	m.Ranges[m.IndexOf(id.From)].Prev = nil
	return true
}

// Moving reports whether the map has the range and earlier owners may still hold
// its keys.
func (m *Map) Moving(id ID) bool {
	i := m.IndexOf(id.From)
	return i >= 0 && m.Ranges[i].ID() == id && len(m.Ranges[i].Prev) > 0
}

// Merge joins up to limit sequences of neighbouring ranges of the same owner,
// each under a new fence, because every range costs a grant, and returns their number.
// No key changes its owner, and ranges that earlier owners may still hold are not
// merged. fixed reports whether a range must not be merged.
func (m *Map) Merge(limit int, fixed func(Range) bool) (merged int) {
	out := m.Ranges[:0:0]
	for i := 0; i < len(m.Ranges); {
		j := i + 1
		for j < len(m.Ranges) && mergeable(m.Ranges[i], m.Ranges[j]) && !fixed(m.Ranges[i]) && !fixed(m.Ranges[j]) {
			j++
		}
		r := m.Ranges[i]
		if j > i+1 && merged < limit {
			merged++
			m.Fence++
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

// New returns the first map of a service, with the keys distributed among the
// owners in proportion to their weights and one fence for each range.
func New(service string, owners []Owner, weights []float64) *Map {
	return NewAbove(0, service, owners, weights)
}

// NewAbove is like New with fences above floor.
func NewAbove(floor uint64, service string, owners []Owner, weights []float64) *Map {
	m := &Map{Service: service, Fence: floor}
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

// Check returns a description of every invariant that a map violates.
func Check(m *Map) []string {
	var violations []string
	next := 0
	for i, r := range m.Ranges {
		if r.From != next || r.To < r.From {
			violations = append(violations, fmt.Sprintf("ranges[%d]: keys %d to %d follow key %d", i, r.From, r.To, next-1))
		}
		if r.Fence == 0 || r.Fence > m.Fence {
			violations = append(violations, fmt.Sprintf("ranges[%d]: fence %d is not between 1 and the map's highest fence %d", i, r.Fence, m.Fence))
		}
		for _, prev := range r.Prev {
			if prev.Fence >= r.Fence {
				violations = append(violations, fmt.Sprintf("ranges[%d]: fence %d is not above fence %d of an earlier owner", i, r.Fence, prev.Fence))
			}
		}
		if r.Owner.Target == "" {
			violations = append(violations, fmt.Sprintf("ranges[%d]: no owner", i))
		}
		next = r.To + 1
	}
	if next != MaxKey+1 {
		violations = append(violations, fmt.Sprintf("keys from %d have no range", next))
	}
	return violations
}
