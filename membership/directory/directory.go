// Package directory holds what is believed of the targets of all services, from
// the entries by which they announce themselves in the platform's store. It is
// pure: entries and times go in, targets come out.
//
// An entry that is gone names a target that is leaving. But entries also lapse
// while the store is away, and then return shortly after it: for that long, an
// entry that went meanwhile counts as it was.
package directory

import (
	"cmp"
	"slices"
	"time"
)

// Entry is a target as it announced itself.
type Entry struct {
	Name       string
	Service    string
	Addr       string
	DataCentre string
	Slots      int
	Leaving    bool
	ColdFor    time.Duration
	Run        int64  // start of the target
	Heartbeat  uint64 // number of its writes since then
}

// Timing bounds what the directory believes.
type Timing struct {
	// Away is how long the store may be silent before entries may have lapsed
	// for that reason: less than the shortest time in which an entry lapses.
	Away time.Duration
	// Return is how long after the store's return lapsed entries are back.
	Return time.Duration
}

// Directory is the state of one host. The zero value is not usable.
type Directory struct {
	timing  Timing
	entries map[string]Entry
	beats   map[string]time.Duration // when a target's heartbeat last changed
	lapsed  map[string]bool          // gone from the store since it was away
	heard   time.Duration            // last answer of the store
	back    time.Duration            // when the store last returned
	known   bool
}

// New returns a directory that knows no target.
func New(timing Timing) *Directory {
	return &Directory{timing: timing, entries: make(map[string]Entry), beats: make(map[string]time.Duration), lapsed: make(map[string]bool)}
}

// Heard notes an answer of the store. It comes before the entries of the answer.
func (d *Directory) Heard(now time.Duration) {
	if d.known && now-d.heard > d.timing.Away {
		d.back = now
	}
	d.heard, d.known = now, true
}

// Known reports whether the targets were ever read.
func (d *Directory) Known() bool { return d.known }

// Replace takes in all entries of the store.
func (d *Directory) Replace(now time.Duration, entries []Entry) {
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.Name] = true
		d.Put(now, e)
	}
	for name := range d.entries {
		if !seen[name] {
			d.Remove(now, name)
		}
	}
}

// Put takes in a new or changed entry. It reports whether the entry had lapsed and
// is back.
func (d *Directory) Put(now time.Duration, e Entry) (back bool) {
	back = d.lapsed[e.Name]
	delete(d.lapsed, e.Name)
	if old, ok := d.entries[e.Name]; !ok || old.Heartbeat != e.Heartbeat || old.Run != e.Run {
		d.beats[e.Name] = now
	}
	d.entries[e.Name] = e
	return back
}

// Remove takes in that an entry is gone.
func (d *Directory) Remove(now time.Duration, name string) {
	if _, ok := d.entries[name]; !ok {
		return
	}
	if d.returning(now) {
		d.lapsed[name] = true
		return
	}
	d.drop(name)
}

func (d *Directory) drop(name string) {
	delete(d.entries, name)
	delete(d.beats, name)
	delete(d.lapsed, name)
}

// returning reports whether entries may be missing because the store was away.
func (d *Directory) returning(now time.Duration) bool {
	return d.back > 0 && now < d.back+d.timing.Return
}

// Tick drops the entries that lapsed and did not return. It reports whether
// there were any.
func (d *Directory) Tick(now time.Duration) bool {
	if len(d.lapsed) == 0 || d.returning(now) {
		return false
	}
	for name := range d.lapsed {
		d.drop(name)
	}
	return true
}

// Silent returns for how long a target has not written, as far as the store told.
func (d *Directory) Silent(name string) time.Duration { return d.heard - d.beats[name] }

// Get returns the entry of a target.
func (d *Directory) Get(name string) (Entry, bool) {
	e, ok := d.entries[name]
	return e, ok
}

// Of returns the targets of a service in the order of their names.
func (d *Directory) Of(service string) []Entry {
	var out []Entry
	for _, e := range d.entries {
		if e.Service == service {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Len returns the number of targets.
func (d *Directory) Len() int { return len(d.entries) }
