package hotrange

import (
	"math"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// keys is the number of keys of a service.
const keys = keyrange.MaxKey + 1

const (
	// burstWindow is the smoothing window, in seconds, of the rates that detect a
	// new hot spot. It covers about one report of each host.
	burstWindow = 0.5
	// burstRequests is the least number of requests for a key in that window that
	// is treated as a burst. Fewer may be random.
	burstRequests = 3
	// burstFactor is the least ratio of a burst's rate to the smoothed rate.
	burstFactor = 1.5
)

// Loads holds the smoothed rate of requests for each key of a service, in
// requests per second. A new hot spot counts with its rate over the shorter burst
// window.
type Loads struct {
	rate  [keys]float32 // smoothed over the window that is passed to Add and Decay
	burst [keys]float32 // smoothed over the burst window
}

// Set sets the rate of a key, as if requests had come at this rate for a long
// time.
func (l *Loads) Set(key int, rate float64) { l.rate[key], l.burst[key] = float32(rate), float32(rate) }

// Add adds count requests for a key to its rates, which are smoothed over window
// seconds. Keys out of range are ignored.
func (l *Loads) Add(key int, count, window float64) {
	if key >= 0 && key < keys {
		l.rate[key] += float32(count / window)
		l.burst[key] += float32(count / burstWindow)
	}
}

// Decay ages all rates by an interval, in seconds. Rates are smoothed over window
// seconds.
func (l *Loads) Decay(interval, window float64) {
	slow, fast := float32(math.Exp(-interval/window)), float32(math.Exp(-interval/burstWindow))
	for k, r := range l.rate {
		if r != 0 {
			l.rate[k], l.burst[k] = aged(r, slow), aged(l.burst[k], fast)
		}
	}
}

// aged returns a rate multiplied by a decay factor, or 0 if it becomes negligible.
func aged(rate, factor float32) float32 {
	if rate *= factor; rate < 1e-3 {
		return 0
	}
	return rate
}

// Rate returns the rate of a key, in requests per second.
func (l *Loads) Rate(key int) float64 { return l.of(key) }

// of returns the rate of a key: its burst rate during a burst, else its smoothed
// rate.
func (l *Loads) of(key int) float64 {
	rate, burst := l.rate[key], l.burst[key]
	if burst*burstWindow >= burstRequests && burst > burstFactor*rate {
		rate = burst
	}
	return float64(rate)
}

// Owned returns the load of the keys of each target, in requests per second.
func Owned(m *keyrange.Map, l *Loads) map[string]float64 {
	s := l.sums()
	out := make(map[string]float64)
	for _, r := range m.Ranges {
		out[r.Owner.Target] += s.of(r.From, r.To)
	}
	return out
}

// base is the share of the total load that is added evenly to all keys, so that
// keys without recent requests have a load too.
const base = 0.1

// sums holds prefix sums of the load: sums[k] is the load of all keys below k.
type sums []float64

func (l *Loads) sums() sums {
	s := make(sums, keys+1)
	total := 0.0
	for k := range keys {
		total += l.of(k)
	}
	even := base * max(total, 1) / keys
	for k := range keys {
		s[k+1] = s[k] + l.of(k) + even
	}
	return s
}

// of returns the load of the keys from..to.
func (s sums) of(from, to int) float64 { return s[to+1] - s[from] }

// total returns the load of all keys.
func (s sums) total() float64 { return s[keys] }
