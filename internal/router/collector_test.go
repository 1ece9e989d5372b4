package router

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func TestGCPercentScalesWithLiveHeap(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		live    uint64
		percent int
	}{
		{0, 300},
		{mb, 300},
		{5 * mb, 300},
		{8 * mb, 200},
		{16 * mb, 100},
		{1 << 40, 100},
	} {
		assert.Equal(t, gcPercent(c.live), c.percent, "%d bytes", c.live)
	}
}

func TestLiveHeapIsPositiveAfterCollection(t *testing.T) {
	runtime.GC()
	assert.Assert(t, liveHeap() > 0)
}
