package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestServingCandidateIsAskedAgain(t *testing.T) {
	h := newHints()
	assert.Equal(t, h.nextCandidate("t1", 3), 0)
	h.recordRedirect("t1", 0)
	assert.Equal(t, h.nextCandidate("t1", 3), 1)
	h.recordServed("t1")
	assert.Equal(t, h.nextCandidate("t1", 3), 1)
	h.recordRedirect("t1", 1)
	h.recordRedirect("t1", 2)
	assert.Equal(t, h.nextCandidate("t1", 3), 0, "the index wraps around to the first candidate")
	h.recordRedirect("t1", 2)
	assert.Equal(t, h.nextCandidate("t1", 2), 1, "the index stays within a list that became shorter")
	assert.Equal(t, h.nextCandidate("t2", 3), 0, "other targets are unaffected")
}

// Once the owner's gateways are silent, repeated tries alternate between the owner and
// the agreed next owner.
func TestOwnerAndSuccessorAlternateWhileSilent(t *testing.T) {
	h := newHints()
	for i := range silentRedirects {
		assert.Assert(t, !h.shouldAskSuccessor("t1"), "after %d misses", i)
		assert.Assert(t, !h.isSilent("t1"))
		h.recordRedirect("t1", i)
	}
	assert.Assert(t, h.isSilent("t1"))
	successorAsked := 0
	const rounds = 20
	for range rounds {
		if h.shouldAskSuccessor("t1") {
			successorAsked++
			continue // the successor's answer says nothing about the owner
		}
		h.recordRedirect("t1", 0)
	}
	assert.Equal(t, successorAsked, rounds/2)

	h.recordServed("t1")
	assert.Assert(t, !h.isSilent("t1"))
	assert.Assert(t, !h.shouldAskSuccessor("t1"))
}
