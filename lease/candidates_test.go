package lease

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A candidate that was restarted since it was listed is not counted.
func TestLiveCandidatesBetweenSkipsReplacedRuns(t *testing.T) {
	a, b1, b2, c := Incarnation{"a", 1}, Incarnation{"b", 1}, Incarnation{"b", 2}, Incarnation{"c", 1}
	claim := TargetClaim{Target: "t1", First: 5, Candidates: []Incarnation{a, b1, c, b2}}
	assert.Equal(t, claim.liveCandidatesBetween(5, 6), 0)
	assert.Equal(t, claim.liveCandidatesBetween(5, 7), 0, "b1 was replaced by b2")
	assert.Equal(t, claim.liveCandidatesBetween(5, 8), 1, "c may still run")

	claim.Candidates = []Incarnation{a, b1, c}
	assert.Equal(t, claim.liveCandidatesBetween(5, 7), 1)
}
