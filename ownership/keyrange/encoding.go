package keyrange

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// encodedMap is the stored JSON form of a map. It lists each owner once, and
// ranges refer to owners by index. The form is compact because every host reads
// every version of a map, also over the slow link between regions.
type encodedMap struct {
	Service string         `json:"service"`
	Fence   uint64         `json:"fence"`
	Owners  []Owner        `json:"owners"`
	Ranges  []encodedRange `json:"ranges"`
}

// encodedRange holds the last key of a range, the index of its owner and its
// fence, followed by the index and the fence of each earlier owner.
type encodedRange []uint64

// Indices into an encodedRange.
const (
	rangeTo = iota
	rangeOwner
	rangeFence
	rangePrev
)

// ownerList assigns an index to each distinct owner.
type ownerList struct {
	owners []Owner
	index  map[Owner]uint64
}

// indexOf returns the index of an owner and adds the owner if it is new.
func (l *ownerList) indexOf(o Owner) uint64 {
	i, ok := l.index[o]
	if !ok {
		i = uint64(len(l.owners))
		l.index[o] = i
		l.owners = append(l.owners, o)
	}
	return i
}

func (l *ownerList) encode(r Range) encodedRange {
	out := encodedRange{uint64(r.To), l.indexOf(r.Owner), r.Fence}
	for _, prev := range r.Prev {
		out = append(out, l.indexOf(prev.Owner), prev.Fence)
	}
	return out
}

// MarshalJSON implements json.Marshaler.
func (m Map) MarshalJSON() ([]byte, error) {
	e := encodedMap{Service: m.Service, Fence: m.Fence}
	list := ownerList{index: make(map[Owner]uint64)}
	for _, r := range m.Ranges {
		e.Ranges = append(e.Ranges, list.encode(r))
	}
	e.Owners = list.owners
	return json.Marshal(e)
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Map) UnmarshalJSON(data []byte) error {
	var e encodedMap
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrap(err, "decode key-range map")
	}
	out := Map{Service: e.Service, Fence: e.Fence}
	from := 0
	for i, in := range e.Ranges {
		r, err := in.decode(from, e.Owners)
		if err != nil {
			return errors.Wrapf(err, "ranges[%d]", i)
		}
		out.Ranges = append(out.Ranges, r)
		from = r.To + 1
	}
	*m = out
	return nil
}

// decode returns the range that begins at key from, with its owners looked up in
// the list.
func (in encodedRange) decode(from int, list []Owner) (Range, error) {
	if len(in) < rangePrev || (len(in)-rangePrev)%2 != 0 || in[rangeTo] > MaxKey {
		return Range{}, errors.Newf("invalid encoded range %v", []uint64(in))
	}
	r := Range{From: from, To: int(in[rangeTo]), Fence: in[rangeFence]}
	for i := rangeOwner; i < len(in); i += 2 {
		if in[i] >= uint64(len(list)) {
			return Range{}, errors.Newf("owner index %d is out of range, list has %d owners", in[i], len(list))
		}
		if i == rangeOwner {
			r.Owner = list[in[i]]
			continue
		}
		r.Prev = append(r.Prev, Previous{Owner: list[in[i]], Fence: in[i+1]})
	}
	return r, nil
}
