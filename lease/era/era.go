// Package era orders what was read from a store that may come back from an older copy.
// Each return begins a new era, in which the store gives revisions out again. A version
// joins the era and the revision, so that versions of a later era are always higher; a
// fence of a later era is higher than every fence of the eras before.
//
// A store that names no era is in era 0, whose versions are its revisions and whose
// fences begin at 1.
package era

const (
	// namedBit marks the versions of named eras, so that revisions of a store that names
	// none may be as high as they like.
	namedBit = 1 << 63
	// revisionBits leaves room for 2.8e14 revisions in an era, 10,000 years at a
	// thousand writes a second.
	revisionBits = 48
	// fenceBits leaves room for 1.1e12 fences in an era.
	fenceBits = 40
	// Max is the highest era: fences stay below 2^53, which targets that decode JSON
	// numbers as floating-point numbers still read exactly.
	Max = 1<<(53-fenceBits) - 1
	// MaxRevision is the highest revision that a version of a named era can hold.
	MaxRevision = 1<<revisionBits - 1
)

// Version returns the version of a revision in an era. Revision 0 stands for an object
// that does not exist in the era. A revision above MaxRevision counts as MaxRevision in a
// named era: changes are then missed, but no version reaches into the next era.
func Version(era, revision uint64) uint64 {
	if era == 0 {
		return revision
	}
	return namedBit | era<<revisionBits | min(revision, MaxRevision)
}

// Of returns the era of a version.
func Of(version uint64) uint64 {
	if version&namedBit == 0 {
		return 0
	}
	return version &^ namedBit >> revisionBits
}

// Revision returns the store's own revision of a version.
func Revision(version uint64) uint64 {
	if version&namedBit == 0 {
		return version
	}
	return version & MaxRevision
}

// FenceFloor returns the fence above which all fences of an era are. It is not below any
// fence of an earlier era.
func FenceFloor(era uint64) uint64 { return era << fenceBits }
