package keyrange

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Patch is the difference between two versions of a map. Maps are large, but
// successive versions usually differ in few ranges.
type Patch struct {
	Fence  uint64
	Ranges []Range // ranges that differ, as in the later version
}

// Diff returns the patch that turns before into after.
func Diff(before, after *Map) Patch {
	p := Patch{Fence: after.Fence}
	for _, r := range after.Ranges {
		for from := r.From; from <= r.To; {
			i := before.IndexOf(from)
			if i < 0 {
				p.add(r, from, r.To)
				break
			}
			to := min(r.To, before.Ranges[i].To)
			if !sameOwnership(before.Ranges[i], r) {
				p.add(r, from, to)
			}
			from = to + 1
		}
	}
	return p
}

// add appends the keys from..to of a range of the later version to the patch,
// merging them with the preceding range if possible.
func (p *Patch) add(r Range, from, to int) {
	if n := len(p.Ranges); n > 0 {
		last := &p.Ranges[n-1]
		if last.To == from-1 && sameOwnership(*last, r) {
			last.To = to
			return
		}
	}
	r.From, r.To = from, to
	p.Ranges = append(p.Ranges, r)
}

// sameOwnership reports whether two ranges have the same owner, fence and earlier
// owners.
func sameOwnership(a, b Range) bool {
	return a.Owner == b.Owner && a.Fence == b.Fence && slices.Equal(a.Prev, b.Prev)
}

// Apply returns the later version of a map, given the earlier one. It does not
// change before.
func (p Patch) Apply(before *Map) *Map {
	m := before.Clone()
	m.Fence = p.Fence
	for _, r := range p.Ranges {
		m.splitAt(r.From)
		m.splitAt(r.To + 1)
		i, j := m.IndexOf(r.From), m.IndexOf(r.To)
		m.Ranges = slices.Replace(m.Ranges, i, j+1, r)
	}
	m.mergeEqualNeighbours()
	return m
}

// encodedPatch is the JSON form of a patch. From holds the first key of each
// range.
type encodedPatch struct {
	Fence  uint64         `json:"fence"`
	Owners []Owner        `json:"owners"`
	From   []int          `json:"from"`
	Ranges []encodedRange `json:"ranges"`
}

// MarshalJSON implements json.Marshaler.
func (p Patch) MarshalJSON() ([]byte, error) {
	e := encodedPatch{Fence: p.Fence}
	list := ownerList{index: make(map[Owner]uint64)}
	for _, r := range p.Ranges {
		e.From = append(e.From, r.From)
		e.Ranges = append(e.Ranges, list.encode(r))
	}
	e.Owners = list.owners
	return json.Marshal(e)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Patch) UnmarshalJSON(data []byte) error {
	var e encodedPatch
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrap(err, "decode patch of a key-range map")
	}
	if len(e.From) != len(e.Ranges) {
		return errors.Newf("patch has %d first keys for %d ranges", len(e.From), len(e.Ranges))
	}
	out := Patch{Fence: e.Fence}
	for i, in := range e.Ranges {
		r, err := in.decode(e.From[i], e.Owners)
		if err != nil {
			return errors.Wrapf(err, "ranges[%d]", i)
		}
		if r.From < 0 || r.To < r.From {
			return errors.Newf("ranges[%d]: invalid keys %d to %d", i, r.From, r.To)
		}
		out.Ranges = append(out.Ranges, r)
	}
	*p = out
	return nil
}
