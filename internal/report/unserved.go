package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangopost/mangopost/internal/load"
)

// Unserved summarises the time in which requests for keys of a service were not
// served. Each gap of a key lasts from the intended send time of an attempt that
// was not served to the answer of the next one that was. The gap of a key that is
// not served again ends with the last answer of the service.
type Unserved struct {
	Keys           int     `json:"keys"` // keys with at least one gap
	TotalMS        float64 `json:"total_ms"`
	LongestMS      float64 `json:"longest_ms"`
	LongestKey     string  `json:"longest_key,omitempty"`
	NotServedAgain int     `json:"never_back"` // keys not served again in the run
}

func unservedOf(results []load.Result) Unserved {
	byKey := make(map[string][]load.Result)
	var end int64
	for _, r := range results {
		byKey[r.Key] = append(byKey[r.Key], r)
		end = max(end, answeredUS(r))
	}
	var u Unserved
	for _, key := range sortedKeys(byKey) {
		u.addKey(key, byKey[key], end)
	}
	return u
}

func answeredUS(r load.Result) int64 { return r.IntendedUnixUS + r.LatencyUS }

// addKey adds the gaps of one key. end is the time of the service's last answer.
func (u *Unserved) addKey(key string, results []load.Result, end int64) {
	slices.SortFunc(results, func(a, b load.Result) int {
		return cmp.Compare(a.IntendedUnixUS, b.IntendedUnixUS)
	})
	var since int64
	var total time.Duration
	for _, r := range results {
		switch {
		case r.Outcome == load.NotSent:
		case !r.Served() && since == 0:
			since = r.IntendedUnixUS
		case r.Served() && since != 0:
			total += u.recordGap(key, since, answeredUS(r))
			since = 0
		}
	}
	if since != 0 {
		u.NotServedAgain++
		total += u.recordGap(key, since, end)
	}
	if total > 0 {
		u.Keys++
		u.TotalMS += float64(total) / float64(time.Millisecond)
	}
}

// recordGap returns the length of a gap and updates the longest one.
func (u *Unserved) recordGap(key string, from, to int64) time.Duration {
	gap := time.Duration(max(to-from, 0)) * time.Microsecond
	if ms := float64(gap) / float64(time.Millisecond); ms > u.LongestMS {
		u.LongestMS, u.LongestKey = ms, key
	}
	return gap
}
