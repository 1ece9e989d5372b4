package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestPortBlocksDoNotOverlap checks that two reservations with the same
// preferred block get disjoint ports, as concurrent test processes may prefer
// the same or neighbouring blocks.
func TestPortBlocksDoNotOverlap(t *testing.T) {
	a, err := reserveBlock(7)
	assert.NilError(t, err)
	defer a.reservation.Close()
	b, err := reserveBlock(7)
	assert.NilError(t, err)
	defer b.reservation.Close()
	issued := make(map[string]bool)
	for range portsPerBlock {
		addr, err := a.nextFreeAddr(loopback)
		assert.NilError(t, err)
		issued[addr] = true
	}
	for range portsPerBlock {
		addr, err := b.nextFreeAddr(loopback)
		assert.NilError(t, err)
		assert.Assert(t, !issued[addr], addr)
	}
}
