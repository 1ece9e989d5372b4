package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSlidingBudgetAllowsUnusedRetriesAtOnce: all targets of a service begin to
// shed at the same moment. The retries left over from the last seconds may be
// used at once, but no more than that in any window.
func TestSlidingBudgetAllowsUnusedRetriesAtOnce(t *testing.T) {
	b := NewSlidingBudget(BudgetConfig{Ratio: 0.2, Burst: 2}, 10*time.Second)
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		b.RecordFirstTry(now)
	}
	taken := 0
	for b.At(10*time.Second - 1).Take() {
		taken++
	}
	assert.Equal(t, taken, 22)
	assert.Assert(t, !b.At(15*time.Second).Take())
	assert.Assert(t, b.At(21*time.Second).Take(), "the burst is available again after the retries left the window")
}

// TestSlidingBudgetHoldsInEachWindowLessOnePart checks that the retries in any
// window, less one part, stay within the ratio and the burst. It fails for a
// budget that accumulates more than one window's retries.
func TestSlidingBudgetHoldsInEachWindowLessOnePart(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		b := NewSlidingBudget(BudgetConfig{Ratio: 0.2, Burst: 3}, window)
		var firsts, retries []time.Duration
		now := time.Duration(0)
		count := func(times []time.Duration, length time.Duration) (n int) {
			for _, at := range times {
				if at > now-length && at <= now {
					n++
				}
			}
			return n
		}
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstTry(now)
				firsts = append(firsts, now)
			} else if b.At(now).Take() {
				retries = append(retries, now)
				// Parts leave the window as a whole, up to one part early.
				allowed := 0.2*float64(count(firsts, window)) + 3
				if n := count(retries, window-window/windowParts); float64(n) > allowed {
					t.Fatalf("%d retries in a window that allows %.1f", n, allowed)
				}
			}
		}
	})
}
