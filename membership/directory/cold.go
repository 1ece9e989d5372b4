package directory

import "time"

// sighting is the earliest time at which one write of a target's entry is known to have
// been in the store.
type sighting struct {
	run       int64
	heartbeat uint64
	at        time.Duration
}

// RecordSighting records that an entry was in the store at a time, which may lie in the
// past if another host has relayed it.
func (d *Directory) RecordSighting(at time.Duration, e Entry) {
	s, ok := d.sightings[e.Name]
	if ok && s.run == e.Run && s.heartbeat == e.Heartbeat && s.at <= at {
		return
	}
	d.sightings[e.Name] = sighting{run: e.Run, heartbeat: e.Heartbeat, at: at}
}

// ColdFor returns how much longer a target is cold according to its entry, from the
// earliest time at which that entry was seen. It was written before, so that this is
// rather too long than too short.
func (d *Directory) ColdFor(now time.Duration, name string) time.Duration {
	e := d.entries[name]
	if s, ok := d.sightings[name]; ok && s.run == e.Run && s.heartbeat == e.Heartbeat {
		return max(0, e.ColdFor-max(0, now-s.at))
	}
	return e.ColdFor
}

// HasTurnedCold reports whether an entry that was seen at a time says that its target
// turns cold, is cold for longer than its known entry says by more than tolerance, or
// is cold no more although its known entry says so.
func (d *Directory) HasTurnedCold(at, tolerance time.Duration, e Entry) bool {
	if e.ColdFor == 0 || d.entries[e.Name].ColdFor == 0 {
		return e.ColdFor != d.entries[e.Name].ColdFor
	}
	return e.ColdFor > d.ColdFor(at, e.Name)+tolerance
}
