package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// TestApply checks that each decision makes the change of the page that it
// describes.
func TestApply(t *testing.T) {
	page := newSnapshot(4, newTargets("kl", "kl", "kl")).Page
	change := ownership.Change{NowMS: 7}
	place := ownership.Place{Cell: "kl", Target: "t02"}

	move := Decision{Action: ActionMove, Shard: 0, Cell: "kl", Target: "t02", Kind: ownership.MovePlanned, Next: "t01", Reason: ReasonBalance}
	after, err := move.Apply(page, change)
	assert.NilError(t, err)
	assert.Equal(t, after.Shards[0].Place(), place)
	assert.Equal(t, after.Shards[0].Next.Target, "t01")
	assert.Equal(t, after.Shards[0].Reason, string(ReasonBalance))
	assert.Equal(t, page.Shards[0].Move == nil, true, "the original page must not change")
	_, err = move.Apply(after, change)
	assert.ErrorIs(t, err, ownership.ErrMoving)

	next := Decision{Action: ActionNext, Shard: 1, Cell: "kl", Target: "t01", Next: "t00"}
	after, err = next.Apply(page, change)
	assert.NilError(t, err)
	assert.Equal(t, after.Shards[1].Next.Target, "t00")
	next.Next = ""
	_, err = next.Apply(page, change)
	assert.ErrorIs(t, err, ownership.ErrNoTarget)

	after, err = Decision{Action: ActionPin, Key: "harry", Cell: "kl", Target: "t02"}.Apply(page, change)
	assert.NilError(t, err)
	assert.Equal(t, after.Pins[0].Place(), place)
	_, err = Decision{Action: ActionUnpin, Key: "sally"}.Apply(after, change)
	assert.ErrorIs(t, err, ownership.ErrPinned)
	_, err = Decision{Action: "other"}.Apply(page, change)
	assert.ErrorContains(t, err, "not known")
}
