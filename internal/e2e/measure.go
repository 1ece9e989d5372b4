package e2e

import (
	"slices"
	"time"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

// RecoveryTimes returns, for each key, the time from at (Unix nanoseconds) to
// the start of the first later run that completed. Keys without such a run are
// returned in missing.
func RecoveryTimes(runs []judge.Run, keys []string, at int64) (times []time.Duration, missing []string) {
	first := make(map[string]int64)
	for _, run := range runs {
		if run.Start <= at || run.Outcome != judge.RunComplete {
			continue
		}
		if earliest, ok := first[run.Key]; !ok || run.Start < earliest {
			first[run.Key] = run.Start
		}
	}
	for _, key := range keys {
		start, ok := first[key]
		if !ok {
			missing = append(missing, key)
			continue
		}
		times = append(times, time.Duration(start-at))
	}
	return times, missing
}

// LongestGap returns the longest time between the starts of two successive
// completed runs of any one key within an interval. Its bounds count as starts.
func LongestGap(runs []judge.Run, keys []string, from, to int64) time.Duration {
	starts := make(map[string][]int64)
	for _, run := range runs {
		if run.Outcome == judge.RunComplete && run.Start > from && run.Start < to {
			starts[run.Key] = append(starts[run.Key], run.Start)
		}
	}
	var longest int64
	for _, key := range keys {
		times := append(starts[key], from, to)
		slices.Sort(times)
		for i := 1; i < len(times); i++ {
			longest = max(longest, times[i]-times[i-1])
		}
	}
	return time.Duration(longest)
}

// RunsAtFormerOwner returns the runs of the keys that started at a former owner
// after the key had first run at a new owner.
func RunsAtFormerOwner(runs []judge.Run, keys []string, isNewOwner func(target string) bool) []judge.Run {
	takenOverAt := make(map[string]int64)
	for _, run := range runs {
		if at, ok := takenOverAt[run.Key]; isNewOwner(run.Target) && (!ok || run.Start < at) {
			takenOverAt[run.Key] = run.Start
		}
	}
	var stale []judge.Run
	for _, run := range runs {
		at, ok := takenOverAt[run.Key]
		if ok && slices.Contains(keys, run.Key) && run.Start > at && !isNewOwner(run.Target) {
			stale = append(stale, run)
		}
	}
	return stale
}

// LastRunStart returns the start of the last run at a target, in Unix
// nanoseconds.
func LastRunStart(runs []judge.Run, target string) int64 {
	var last int64
	for _, run := range runs {
		if run.Target == target {
			last = max(last, run.Start)
		}
	}
	return last
}

// CountPoisonRuns returns the number of runs of poison requests.
func CountPoisonRuns(runs []judge.Run) int {
	n := 0
	for _, run := range runs {
		if run.Key == PoisonKey {
			n++
		}
	}
	return n
}
