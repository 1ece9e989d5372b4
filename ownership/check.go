package ownership

import (
	"fmt"
	"slices"
)

// Finding is a violated invariant of a page and the shard that it concerns.
type Finding struct {
	Shard uint32
	What  string
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("shard %d: %s", f.Shard, f.What) }

// Check returns every invariant that a page violates.
func Check(page Page) []Finding {
	var found []Finding
	n := uint32(len(page.Shards))
	if n == 0 || n&(n-1) != 0 {
		found = append(found, Finding{What: fmt.Sprintf("the number of shards, %d, is not a power of two", n)})
	}
	for i, s := range page.Shards {
		found = append(found, s.check(uint32(i))...)
		if s.PinnedTo != "" {
			found = append(found, Finding{Shard: uint32(i), What: fmt.Sprintf("hash-range shard has pinned key %q", s.PinnedTo)})
		}
	}
	keys := make(map[string]bool)
	for i, s := range page.Pins {
		number := n + uint32(i)
		if s.PinnedTo == "" {
			continue
		}
		found = append(found, s.check(number)...)
		if keys[s.PinnedTo] {
			found = append(found, Finding{Shard: number, What: fmt.Sprintf("key %q is pinned twice", s.PinnedTo)})
		}
		keys[s.PinnedTo] = true
	}
	return found
}

func (s Shard) check(n uint32) []Finding {
	var found []Finding
	add := func(bad bool, what string) {
		if bad {
			found = append(found, Finding{Shard: n, What: what})
		}
	}
	add(s.Epoch == 0, "the shard has no epoch")
	add(s.Target == "" || s.Cell == "", "the shard has no owner")
	if s.Next != nil {
		add(s.Next.Epoch <= s.Epoch, "the next owner's epoch is not above the owner's")
		add(s.Next.Cell != s.Cell, "the next owner is of another cell than the owner")
	}
	if m := s.Move; m != nil {
		add(m.Stop >= s.Epoch, "the move stops the epoch of its new owner")
		add(m.Stop < m.From.Epoch && len(m.AlsoStop) == 0, "the move does not stop the epoch of its old owner")
		add(m.Kind == MovePlanned && len(m.Fenced) > 0, "a planned move has fenced cells")
		add(m.Kind != MovePlanned && m.Kind != MoveLost, fmt.Sprintf("unknown kind of move %q", m.Kind))
	}
	return found
}

// CheckStep returns every invariant that the change from one page to the next
// violates: the number of hash-range shards stays the same, pins are never
// removed, epochs never decrease, and an epoch never changes its owner.
func CheckStep(before, after Page) []Finding {
	var found []Finding
	if len(before.Shards) != len(after.Shards) || len(after.Pins) < len(before.Pins) {
		return []Finding{{What: "the number of shards changed"}}
	}
	old := slices.Concat(before.Shards, before.Pins)
	for i := range old {
		number := uint32(i)
		updated, _ := after.Shard(number)
		if updated.Epoch < old[i].Epoch {
			found = append(found, Finding{Shard: number, What: "the epoch decreases"})
		}
		if updated.Epoch == old[i].Epoch && updated.Assignment != old[i].Assignment {
			found = append(found, Finding{Shard: number, What: "the owner changes under the same epoch"})
		}
	}
	return found
}
