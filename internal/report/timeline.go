package report

import (
	"time"

	"github.com/mangopost/mangopost/internal/load"
)

// Interval summarises one step of the timeline. Attempts belong to the interval of
// their intended send time.
type Interval struct {
	AtMS      int64   `json:"at_ms"` // start of the interval since the first attempt
	Rate      float64 `json:"rate"`  // attempts per second
	Served    float64 `json:"served"`
	Refused   float64 `json:"refused"`
	Unknown   float64 `json:"unknown"` // including attempts without an answer
	P50MS     float64 `json:"p50_ms"`
	P99MS     float64 `json:"p99_ms"`
	Imbalance float64 `json:"imbalance,omitempty"` // maximum over all services; 0 if unknown
	Unserved  int     `json:"unserved_keys"`       // keys with attempts, none of which was served
}

// maxIntervals limits the length of the timeline; later attempts are left out.
const maxIntervals = 10000

// firstIntendedUS returns the intended send time of the first attempt in
// microseconds since the Unix epoch.
func firstIntendedUS(results []load.Result) int64 {
	if len(results) == 0 {
		return 0
	}
	start := results[0].IntendedUnixUS
	for _, r := range results {
		start = min(start, r.IntendedUnixUS)
	}
	return start
}

func intervalsOf(results []load.Result, step time.Duration) []Interval {
	start := firstIntendedUS(results)
	var groups [][]load.Result
	for _, r := range results {
		i := int((r.IntendedUnixUS - start) / step.Microseconds())
		if i >= maxIntervals {
			continue
		}
		for len(groups) <= i {
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], r)
	}
	intervals := make([]Interval, len(groups))
	for i, group := range groups {
		intervals[i] = intervalOf(group, step)
		intervals[i].AtMS = int64(i) * step.Milliseconds()
	}
	return intervals
}

func intervalOf(results []load.Result, step time.Duration) Interval {
	var served, refused, unknown int
	var latencies []time.Duration
	servedKeys := make(map[string]bool) // whether any attempt was served
	for _, r := range results {
		key := r.Service + "/" + r.Key
		servedKeys[key] = servedKeys[key] || r.Served()
		switch {
		case r.Served():
			served++
			latencies = append(latencies, r.Latency())
		case r.Outcome == load.NotRun:
			refused++
		default:
			unknown++
		}
	}
	q := QuantilesOf(latencies)
	perSecond := 1 / step.Seconds()
	return Interval{
		Rate:     float64(len(results)) * perSecond,
		Served:   float64(served) * perSecond,
		Refused:  float64(refused) * perSecond,
		Unknown:  float64(unknown) * perSecond,
		P50MS:    q.P50,
		P99MS:    q.P99,
		Unserved: countFalse(servedKeys),
	}
}

func countFalse(m map[string]bool) int {
	n := 0
	for _, v := range m {
		if !v {
			n++
		}
	}
	return n
}
