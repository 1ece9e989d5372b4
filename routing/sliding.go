package routing

import "time"

const (
	// windowParts is the number of parts of a window for which tries are
	// counted separately.
	windowParts = 20
)

// SlidingBudget limits the retries in a time window to a fraction of the first
// tries in that window, plus a burst. Parts leave the window as a whole, so
// that the window is up to one part, a twentieth, shorter than requested: a
// caller that must hold the limit over the whole window needs a margin. Unlike
// Budget, it allows everything that was not used earlier in the window to be
// used at once, because targets may begin to shed suddenly. It is not safe for
// concurrent use.
type SlidingBudget struct {
	cfg        BudgetConfig
	partLength time.Duration
	parts      [windowParts]partCounts
	newest     int64 // number of the newest part since time 0
}

type partCounts struct{ first, retries float64 }

// NewSlidingBudget returns a budget for windows of the given length.
func NewSlidingBudget(cfg BudgetConfig, window time.Duration) *SlidingBudget {
	return &SlidingBudget{cfg: cfg, partLength: max(time.Millisecond, window/windowParts)}
}

// advance clears the parts that have left the window and returns the current
// one.
func (b *SlidingBudget) advance(now time.Duration) *partCounts {
	number := int64(now / b.partLength)
	for n := max(b.newest+1, number-windowParts+1); n <= number; n++ {
		b.parts[n%windowParts] = partCounts{}
	}
	b.newest = max(b.newest, number)
	return &b.parts[b.newest%windowParts]
}

// RecordFirstTry records a first try.
func (b *SlidingBudget) RecordFirstTry(now time.Duration) { b.advance(now).first++ }

// SetBurst changes the burst.
func (b *SlidingBudget) SetBurst(burst float64) { b.cfg.Burst = burst }

// At returns the budget as of now, for MayRetry.
func (b *SlidingBudget) At(now time.Duration) Taker { return slidingBudgetAt{b, now} }

type slidingBudgetAt struct {
	*SlidingBudget
	now time.Duration
}

// Take implements Taker.
func (b slidingBudgetAt) Take() bool {
	part := b.advance(b.now)
	var sum partCounts
	for _, p := range b.parts {
		sum.first += p.first
		sum.retries += p.retries
	}
	if sum.retries+1 > b.cfg.Ratio*sum.first+b.cfg.Burst {
		return false
	}
	part.retries++
	return true
}
