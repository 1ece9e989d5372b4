package directory

import (
	"cmp"
	"slices"
	"time"
)

// leavingMark records that one run of a target said in an answer that it is leaving.
// Only the target's next run undoes it: the store may still show an older entry.
type leavingMark struct {
	run      int64
	markedAt time.Duration
}

const (
	// markMemory is how long a mark of a target without an entry is kept. Entries
	// that expired during an outage of the store return sooner.
	markMemory = 10 * time.Minute
	// markSpreadTime is how long other hosts are told of a mark. By then the store
	// shows that the target is leaving, or they have had its answers themselves.
	markSpreadTime = 10 * time.Second
)

// Run identifies one run of a target.
type Run struct {
	Target string
	Run    int64 // start time of the run, in Unix milliseconds
}

// MarkLeaving records that a run of a target is leaving, whatever its entry says. It
// reports whether this was not known. A mark of an earlier run than the known one is
// ignored.
func (d *Directory) MarkLeaving(now time.Duration, r Run) bool {
	if e, ok := d.entries[r.Target]; ok && e.Run > r.Run {
		return false
	}
	if mark, ok := d.leaving[r.Target]; ok && mark.run >= r.Run {
		return false
	}
	d.leaving[r.Target] = leavingMark{run: r.Run, markedAt: now}
	return true
}

// RecentMarks returns the runs that were marked as leaving a short time ago, sorted by
// name, for other hosts.
func (d *Directory) RecentMarks(now time.Duration) []Run {
	var out []Run
	for name, mark := range d.leaving {
		if now < mark.markedAt+markSpreadTime {
			out = append(out, Run{name, mark.run})
		}
	}
	slices.SortFunc(out, func(a, b Run) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// withMark returns an entry with Leaving set if its run is marked as leaving.
func (d *Directory) withMark(e Entry) Entry {
	if mark, ok := d.leaving[e.Name]; ok && mark.run == e.Run {
		e.Leaving = true
	}
	return e
}

// forgetMarks drops old marks of targets that have no entry.
func (d *Directory) forgetMarks(now time.Duration) {
	for name, mark := range d.leaving {
		if _, ok := d.entries[name]; !ok && now >= mark.markedAt+markMemory {
			delete(d.leaving, name)
		}
	}
}
