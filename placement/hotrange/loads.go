package hotrange

import (
	"math"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// keys is the number of keys of a service.
const keys = keyrange.MaxKey + 1

// Loads are smoothed rates of requests for each key of a service, in requests a
// second.
type Loads struct {
	rate [keys]float32
}

// Add counts requests for a key in an interval of the given length, in seconds,
// when rates are smoothed over window seconds.
func (l *Loads) Add(key int, count, window float64) {
	if key >= 0 && key < keys {
		l.rate[key] += float32(count / window)
	}
}

// Decay ages all rates by an interval, smoothed over window seconds.
func (l *Loads) Decay(interval, window float64) {
	f := float32(math.Exp(-interval / window))
	for k, r := range l.rate {
		if r != 0 {
			if r *= f; r < 1e-3 {
				r = 0
			}
			l.rate[k] = r
		}
	}
}

// base is the part of the load that is taken to be spread evenly over all keys,
// so that keys without recent requests count too.
const base = 0.1

// sums are running totals over the keys: sums[k] is the load of keys below k.
type sums []float64

func (l *Loads) sums() sums {
	s := make(sums, keys+1)
	total := 0.0
	for _, r := range l.rate {
		total += float64(r)
	}
	even := base * max(total, 1) / keys
	for k, r := range l.rate {
		s[k+1] = s[k] + float64(r) + even
	}
	return s
}

// of returns the load of the keys from..to.
func (s sums) of(from, to int) float64 { return s[to+1] - s[from] }

// total returns the load of all keys.
func (s sums) total() float64 { return s[keys] }
