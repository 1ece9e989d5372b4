package main

import (
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

const (
	// plannedMoveTime and lostMoveTime are the times for which real processes leave
	// a key without an owner during a planned move and after the loss of the owner.
	plannedMoveTime = 22 * time.Millisecond
	lostMoveTime    = 700 * time.Millisecond
	// settlingSeconds is the time that a new service gets before its balance counts.
	settlingSeconds = 60
)

// outcome holds the results of one run.
type outcome struct {
	balanceSeconds       int
	imbalanceSum         float64 // sum over seconds of the highest load of a target divided by the mean
	minImbalanceSum      float64 // sum over seconds of the imbalance that the hottest key alone causes
	worstImbalance       float64
	firstMinuteImbalance float64 // mean imbalance during settlingSeconds
	epochChanges         int     // new epochs of shards and pins
	plannedMoveRequests  float64 // requests for a shard during a planned move
	lostMoveRequests     float64 // requests for a shard during a move after the loss of its owner
	unownedTime          time.Duration
	requests             float64
	swingRequests        float64 // requests in swings
	overflowRequests     float64 // of these, requests beyond the capacity of their target
}

func newOutcome() *outcome { return new(outcome) }

// countMoves counts the shards and pins whose epoch changed since before, and the
// time and requests without an owner.
func (o *outcome) countMoves(d *driver, second int, before ownership.Page) {
	byShard, _ := d.shardShares(second)
	rate := d.traffic.requestsPerSecond(second)
	for _, n := range d.shardNumbers() {
		shard, _ := d.page.Shard(n)
		old, _ := before.Shard(n)
		isUnusedPin := int(n) >= len(d.page.Shards) && shard.PinnedTo == ""
		if shard.Epoch == old.Epoch || isUnusedPin {
			continue
		}
		o.epochChanges++
		if shard.Move.Kind == ownership.MoveLost {
			o.unownedTime += lostMoveTime
			o.lostMoveRequests += rate * byShard[n] * lostMoveTime.Seconds()
			continue
		}
		o.unownedTime += plannedMoveTime
		o.plannedMoveRequests += rate * byShard[n] * plannedMoveTime.Seconds()
	}
}

// recordBalance records the balance of the targets' loads in one second.
func (o *outcome) recordBalance(d *driver, second int) {
	byShard, hottestKeyShare := d.shardShares(second)
	loads := d.targetShares(byShard)
	rate := d.traffic.requestsPerSecond(second)
	o.requests += rate
	targets := float64(len(loads))
	imbalance := slices.Max(loads) * targets
	if second < settlingSeconds {
		o.firstMinuteImbalance += imbalance / settlingSeconds
		return
	}
	o.balanceSeconds++
	o.imbalanceSum += imbalance
	o.minImbalanceSum += max(hottestKeyShare*targets, 1)
	o.worstImbalance = max(o.worstImbalance, imbalance)
	if !d.traffic.isSwing(second) {
		return
	}
	o.swingRequests += rate
	for _, share := range loads {
		o.overflowRequests += max(rate*share-d.scenario.site.capacity(), 0)
	}
}

func (o *outcome) meanImbalance() float64 { return o.imbalanceSum / float64(o.balanceSeconds) }
func (o *outcome) minImbalance() float64  { return o.minImbalanceSum / float64(o.balanceSeconds) }

// changesPerMinute returns the number of new epochs per minute.
func (o *outcome) changesPerMinute(s scenario) float64 {
	return float64(o.epochChanges) * 60 / float64(s.lengthSeconds)
}

// unavailablePPM returns the requests without an owner, per million requests.
func (o *outcome) unavailablePPM() float64 {
	return 1e6 * (o.plannedMoveRequests + o.lostMoveRequests) / o.requests
}

// overflowPercent returns the percentage of the requests in swings that exceed the
// capacity of their target.
func (o *outcome) overflowPercent() float64 {
	if o.swingRequests == 0 {
		return 0
	}
	return 100 * o.overflowRequests / o.swingRequests
}
