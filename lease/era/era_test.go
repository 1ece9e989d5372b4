package era_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/lease/era"
)

// A revision that is given out again after a restore must compare as newer than every
// one of before, and a fence too; targets that read numbers as float64 must tell
// neighbouring fences apart.
func TestLaterErasAreHigher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := rapid.Uint64Range(0, era.Max-1).Draw(t, "era")
		before := rapid.Uint64Range(0, era.MaxRevision).Draw(t, "before")
		after := rapid.Uint64Range(0, era.MaxRevision).Draw(t, "after")
		assert.Assert(t, era.Version(e, before) < era.Version(e+1, after))
		assert.Equal(t, era.Of(era.Version(e, before)), e)
		assert.Equal(t, era.Revision(era.Version(e, before)), before)
		fences := rapid.Uint64Range(1, 1<<40-1).Draw(t, "fences")
		assert.Assert(t, era.FenceFloor(e)+fences < era.FenceFloor(e+1)+1)
		highest := era.FenceFloor(e) + fences
		assert.Assert(t, highest < 1<<53)
	})
	const highest = 1<<63 - 1 // a store without eras may count nanoseconds
	for _, revision := range []uint64{0, 7, era.MaxRevision + 1, highest} {
		assert.Equal(t, era.Version(0, revision), revision)
		assert.Equal(t, era.Revision(revision), revision)
		assert.Equal(t, era.Of(revision), uint64(0))
		assert.Assert(t, revision < era.Version(1, 0))
	}
	assert.Equal(t, era.FenceFloor(0), uint64(0))
}
