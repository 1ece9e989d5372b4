package e2e_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// TestRunsAtFormerOwner checks that only runs after the takeover of their key
// count.
func TestRunsAtFormerOwner(t *testing.T) {
	runs := []judge.Run{
		{Key: "a", Target: "new", Start: 5},
		{Key: "a", Target: "old", Start: 4},
		{Key: "a", Target: "old", Start: 6},
		{Key: "a", Target: "new", Start: 7},
		{Key: "b", Target: "old", Start: 9},
		{Key: "c", Target: "new", Start: 1},
		{Key: "c", Target: "old", Start: 2},
	}
	found := e2e.RunsAtFormerOwner(runs, []string{"a", "b"}, func(target string) bool { return target == "new" })
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Start, int64(6))
}
