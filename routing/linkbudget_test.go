package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverflowBeyondBudgetIsAllowedAgainAfterRefill checks that bytes sent
// beyond the budget, because answers are longer than their requests, do not
// close the link permanently.
func TestOverflowBeyondBudgetIsAllowedAgainAfterRefill(t *testing.T) {
	cfg := LinkConfig{BytesPerSecond: 1000, Burst: time.Second, OptionalFraction: 0.5}
	b := NewLinkBudget(0, cfg)
	b.RecordSent(0, LinkOverflow, 1_000_000)
	assert.Assert(t, !b.Allows(time.Second, LinkOverflow, 100))
	assert.Assert(t, b.Allows(3*time.Second, LinkOverflow, 100))
}
