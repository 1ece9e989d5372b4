package placement

import "time"

const (
	// RateInterval is the interval at which counts are added to the rates.
	RateInterval = time.Second
	// rateSmoothing is the weight of the newest counts in the moving average.
	rateSmoothing = 0.2
	// rateFloor is the rate, in events per second, below which a rate is removed.
	rateFloor = 0.05
)

// RateWindow is the period over which an unweighted mean of counts would have the
// same variance as Rates.
const RateWindow time.Duration = (2/rateSmoothing - 1) * RateInterval

// Rates are exponentially smoothed rates, in events per second.
type Rates[K comparable] map[K]float64

// Decay ages all rates by one interval. Call it before adding the counts of the
// next interval.
func (r Rates[K]) Decay() {
	for key, rate := range r {
		rate *= 1 - rateSmoothing
		if rate < rateFloor {
			delete(r, key)
			continue
		}
		r[key] = rate
	}
}

// Add adds the number of events of a key in the current interval.
func (r Rates[K]) Add(key K, count uint32) {
	r[key] += rateSmoothing * float64(count)
}
