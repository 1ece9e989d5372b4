package admission

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential average of the
// demand.
const demandTimeConstant = time.Second

// longDemandMargin is the number of slots reserved for long work, as a multiple
// of its average demand, while there are enough slots.
const longDemandMargin = 1.25

// demand averages the number of slots that arriving work keeps busy.
type demand struct {
	workSeconds float64 // service time of arrivals, decayed
	lastUpdate  time.Duration
}

func (d *demand) add(now, serviceTime time.Duration) {
	d.decay(now)
	d.workSeconds += serviceTime.Seconds()
}

func (d *demand) decay(now time.Duration) {
	if now <= d.lastUpdate {
		return
	}
	d.workSeconds *= math.Exp(-(now - d.lastUpdate).Seconds() / demandTimeConstant.Seconds())
	d.lastUpdate = now
}

// busySlots returns the average number of slots that the work keeps busy.
func (d *demand) busySlots(now time.Duration) float64 {
	d.decay(now)
	return d.workSeconds / demandTimeConstant.Seconds()
}

// shortReserveSlots returns the number of slots to reserve for short work so
// that it waits little: its average demand plus a margin of one square root for
// variation. Long work takes precedence up to its demand, but if both classes
// together demand more than there is, the slots are divided in proportion.
func shortReserveSlots(slots int, shortDemand, longDemand float64) int {
	wanted := math.Ceil(shortDemand + math.Sqrt(shortDemand))
	available := float64(slots) - math.Ceil(longDemandMargin*longDemand)
	if total := shortDemand + longDemand; total > 0 {
		available = max(available, math.Round(float64(slots)*shortDemand/total))
	}
	reserve := int(min(wanted, available))
	return min(max(reserve, 1), slots-minLongSlots(slots))
}

// minLongSlots returns the number of slots that are always open to long work.
func minLongSlots(slots int) int {
	totalWeight := longClassWeight + shortClassWeight
	return max(1, (slots*longClassWeight+totalWeight-1)/totalWeight)
}
