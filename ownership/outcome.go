package ownership

import "reflect"

// Outcome is the result of a conditional update whose answer was lost, as
// determined by reading the object back.
type Outcome string

const (
	// OutcomeApplied means that the object carries the stamp of the update.
	OutcomeApplied Outcome = "applied"
	// OutcomeNotApplied means that the object still has the version that the update
	// expected. The update may still be applied later.
	OutcomeNotApplied Outcome = "not-applied"
	// OutcomeSuperseded means that another writer changed the object. The update
	// failed or was overwritten; plan again from the object that was read.
	OutcomeSuperseded Outcome = "superseded"
)

// Confirm determines the outcome of an update from the object that was read
// back. stamp is the stamp of the update, expected the version that it was
// conditional on. An update that was not applied must not be treated as failed:
// it may still be in flight. Writing the object again with the same expected
// version settles it, because only one of the two writes can succeed.
func Confirm(stamp Stamp, expected uint64, readBack Stamp, version uint64) Outcome {
	switch {
	case readBack == stamp:
		return OutcomeApplied
	case version == expected:
		return OutcomeNotApplied
	default:
		return OutcomeSuperseded
	}
}

// Next returns the stamp of the writer's next update.
func (s Stamp) Next() Stamp {
	s.Write++
	return s
}

// EqualIgnoringStamp reports whether two pages are equal apart from their stamps.
func EqualIgnoringStamp(a, b Page) bool {
	a.Stamp, b.Stamp = Stamp{}, Stamp{}
	return reflect.DeepEqual(a, b)
}
