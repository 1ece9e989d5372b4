// Package directory maintains the list of the targets of all services, from the
// entries by which targets announce themselves in the platform's store. It is
// pure: the list depends only on the entries and times that are passed in.
//
// A removed entry normally means that its target is leaving. But entries also
// expire while the store is unavailable, and targets write them again shortly
// after it returns. An entry that is missing during that period is kept.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Entry is the announcement of a target.
type Entry struct {
	Name       string
	Service    string
	Addr       string
	DataCentre string
	Slots      int
	Leaving    bool
	ColdFor    time.Duration
	Run        int64  // run of the target, which is its start time
	Heartbeat  uint64 // number of the target's writes in this run
}

// Timing holds the time limits of a directory.
type Timing struct {
	// OutageAfter is the time without an answer from the store after which entries
	// may have expired because of that. It must be shorter than the shortest
	// lifetime of an entry.
	OutageAfter time.Duration
	// ReturnPeriod is the time after the store's return within which targets write
	// their expired entries again.
	ReturnPeriod time.Duration
}

// Directory is one host's list of targets. The zero value is not usable; call New.
type Directory struct {
	timing     Timing
	entries    map[string]Entry
	expired    map[string]bool        // entries that are missing since the store returned
	leaving    map[string]leavingMark // targets that said in answers that they are leaving
	sightings  map[string]sighting    // of the entries
	answeredAt time.Duration          // time of the last answer from the store
	returnedAt time.Duration          // time at which the store last returned, 0 if never
	failed     bool                   // the store was found unavailable since its last answer
	restoredAt time.Duration          // time at which it last came back from an older copy, 0 if never
	hasAnswer  bool                   // whether the store has answered
}

// New returns an empty directory.
func New(timing Timing) *Directory {
	return &Directory{
		timing: timing, entries: make(map[string]Entry),
		expired: make(map[string]bool), leaving: make(map[string]leavingMark), sightings: make(map[string]sighting),
	}
}

// RecordAnswer records an answer from the store. Call it before passing in the
// entries of the answer. A long time without answers counts as an outage of the store
// only if it was found unavailable meanwhile: a host that was frozen, or that nobody
// relayed to for a while, must not keep the entries of targets that have left. It reports
// whether the answer ends an outage: Tick is due when the period after it ends.
func (d *Directory) RecordAnswer(now time.Duration) (hasReturned bool) {
	hasReturned = d.hasAnswer && d.failed && now-d.answeredAt > d.timing.OutageAfter
	if hasReturned {
		d.returnedAt = now
	}
	d.answeredAt, d.hasAnswer, d.failed = now, true, false
	return hasReturned
}

// RecordFailure records that the store did not answer this host. That it rejects calls for
// their number, or does not answer the host that relays, is no failure: it may answer
// targets all the same.
func (d *Directory) RecordFailure() { d.failed = true }

// RecordRestore records that the store came back from an older copy. The targets write
// their entries again; until then, those that are missing or older are kept as they are.
func (d *Directory) RecordRestore(now time.Duration) { d.returnedAt, d.restoredAt = now, now }

// isOlder reports whether the listed entry of a target was written before the known one,
// because it is that of an older copy.
func (d *Directory) isOlder(now time.Duration, listed Entry) bool {
	known, ok := d.entries[listed.Name]
	isRecent := d.restoredAt > 0 && now < d.restoredAt+d.timing.ReturnPeriod
	return ok && isRecent && (listed.Run < known.Run || listed.Run == known.Run && listed.Heartbeat < known.Heartbeat)
}

// HasAnswer reports whether the store has ever answered.
func (d *Directory) HasAnswer() bool { return d.hasAnswer }

// Replace replaces the directory's entries by all entries of the store.
func (d *Directory) Replace(now time.Duration, entries []Entry) {
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		if d.isOlder(now, e) {
			continue
		}
		seen[e.Name] = true
		d.Put(e)
	}
	for name := range d.entries {
		if !seen[name] {
			d.Remove(now, name)
		}
	}
}

// Put adds or updates an entry. It reports whether the entry had expired and is
// back.
func (d *Directory) Put(e Entry) (back bool) {
	back = d.expired[e.Name]
	delete(d.expired, e.Name)
	if mark, ok := d.leaving[e.Name]; ok && e.Run > mark.run {
		delete(d.leaving, e.Name)
	}
	d.entries[e.Name] = e
	return back
}

// Remove removes an entry that is no longer in the store. While expired entries may
// still return, it only marks the entry as expired.
func (d *Directory) Remove(now time.Duration, name string) {
	if _, ok := d.entries[name]; !ok {
		return
	}
	if d.mayReturn(now) {
		d.expired[name] = true
		return
	}
	d.delete(name)
}

func (d *Directory) delete(name string) {
	delete(d.entries, name)
	delete(d.expired, name)
	delete(d.sightings, name)
}

// mayReturn reports whether entries may be missing because the store was
// unavailable.
func (d *Directory) mayReturn(now time.Duration) bool {
	return d.returnedAt > 0 && now < d.returnedAt+d.timing.ReturnPeriod
}

// Tick removes expired entries that were not written again in time. It reports
// whether there were any.
func (d *Directory) Tick(now time.Duration) bool {
	d.forgetMarks(now)
	if len(d.expired) == 0 || d.mayReturn(now) {
		return false
	}
	for name := range d.expired {
		d.delete(name)
	}
	return true
}

// Get returns the entry of a target. It counts as leaving if the entry or the target
// itself says so.
func (d *Directory) Get(name string) (Entry, bool) {
	e, ok := d.entries[name]
	return d.withMark(e), ok
}

// Announced returns the entry of a target as it is in the store.
func (d *Directory) Announced(name string) (Entry, bool) {
	e, ok := d.entries[name]
	return e, ok
}

// TargetsOf returns the targets of a service, sorted by name.
func (d *Directory) TargetsOf(service string) []Entry {
	var out []Entry
	for _, e := range d.entries {
		if e.Service == service {
			out = append(out, d.withMark(e))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// All returns the entries of all targets as they are in the store, in no order.
func (d *Directory) All() []Entry { return slices.Collect(maps.Values(d.entries)) }

// Len returns the number of targets.
func (d *Directory) Len() int { return len(d.entries) }
