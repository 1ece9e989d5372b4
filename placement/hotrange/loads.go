package hotrange

import (
	"math"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// keys is the number of keys of a service.
const keys = keyrange.MaxKey + 1

const (
	// burstWindow smooths the rates that show a hot spot soon after it began, in
	// seconds: about one report of each host.
	burstWindow = 0.5
	// burstRequests is the number of requests for a key in that window from which on
	// they count: fewer are chance.
	burstRequests = 3
	// burstFactor is how many times the smoothed rate they must be.
	burstFactor = 1.5
)

// Loads are smoothed rates of requests for each key of a service, in requests a
// second. A hot spot that began just now counts with its rate since then.
type Loads struct {
	rate  [keys]float32
	burst [keys]float32 // over burstWindow
}

// Set puts a rate on a key, as after a long time of such requests.
func (l *Loads) Set(key int, rate float64) { l.rate[key], l.burst[key] = float32(rate), float32(rate) }

// Add counts requests for a key in an interval of the given length, in seconds,
// when rates are smoothed over window seconds.
func (l *Loads) Add(key int, count, window float64) {
	if key >= 0 && key < keys {
		l.rate[key] += float32(count / window)
		l.burst[key] += float32(count / burstWindow)
	}
}

// Decay ages all rates by an interval, smoothed over window seconds.
func (l *Loads) Decay(interval, window float64) {
	slow, fast := float32(math.Exp(-interval/window)), float32(math.Exp(-interval/burstWindow))
	for k, r := range l.rate {
		if r != 0 {
			l.rate[k], l.burst[k] = aged(r, slow), aged(l.burst[k], fast)
		}
	}
}

// aged returns a rate after an interval, without what is too little to count.
func aged(rate, factor float32) float32 {
	if rate *= factor; rate < 1e-3 {
		return 0
	}
	return rate
}

// Rate returns the rate of a key, in requests a second.
func (l *Loads) Rate(key int) float64 { return l.of(key) }

// of returns the rate of a key.
func (l *Loads) of(key int) float64 {
	rate, burst := l.rate[key], l.burst[key]
	if burst*burstWindow >= burstRequests && burst > burstFactor*rate {
		rate = burst
	}
	return float64(rate)
}

// Owned returns the load of the keys of each target, in requests a second.
func Owned(m *keyrange.Map, l *Loads) map[string]float64 {
	s := l.sums()
	out := make(map[string]float64)
	for _, r := range m.Ranges {
		out[r.Owner.Target] += s.of(r.From, r.To)
	}
	return out
}

// base is the part of the load that is taken to be spread evenly over all keys,
// so that keys without recent requests count too.
const base = 0.1

// sums are running totals over the keys: sums[k] is the load of keys below k.
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
