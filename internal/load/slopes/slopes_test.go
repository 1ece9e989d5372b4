package slopes

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSlopeFitsLine(t *testing.T) {
	s := measureSlope("x", "unit", "bytes", doubling(1, 64), func(n int) float64 { return 100 + 7*float64(n) })
	assert.Equal(t, len(s.Points), 7)
	assert.Assert(t, s.PerUnit > 6.999 && s.PerUnit < 7.001, "%v", s.PerUnit)
	assert.Assert(t, s.Base > 99.99 && s.Base < 100.01, "%v", s.Base)
	assert.Equal(t, newSlope("x", "u", "c", []Point{{1, 2}}).PerUnit, 0.0)
}

func TestCellKeepsLeases(t *testing.T) {
	c := newCell(3, 4, 2)
	for range 30 {
		assert.Assert(t, c.heartbeatBytes() > 0)
		_, _, ok := c.holder.Right(c.now, "katalog-00003")
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(c.sent), 3)
}

func TestNewQueueHasGivenLength(t *testing.T) {
	assert.Equal(t, newQueue(10).Waiting(), 10)
	assert.Equal(t, newQueue(10).Running(), queueSlots)
}

func TestNewDedupTableHoldsAllKeys(t *testing.T) {
	assert.Equal(t, newDedupTable(100, true).Stats().Entries, 100)
}
