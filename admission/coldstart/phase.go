package coldstart

import "time"

// Entry is what the entry of one run of a target says about its coldness.
type Entry struct {
	Heartbeat uint64        // number of the target's writes in this run
	ColdFor   time.Duration // remaining time of coldness when the entry was written
}

// Phase is when one run of a target is cold, as far as one host knows. The zero value is
// that of a run of which nothing is known.
type Phase struct {
	known bool
	last  Entry         // latest entry that counted
	until time.Duration // end of the current or last cold phase
	floor time.Duration // an entry that is first seen before this time does not end the phase sooner
}

// Observe records an entry of the run as this host has it now. The remaining time counts
// from when the heartbeat was first seen, which is later than it was written: the phase
// may end late, not early. The same entry again, and entries of earlier heartbeats, change
// nothing.
func (p *Phase) Observe(now time.Duration, e Entry) {
	if p.known && (e.Heartbeat < p.last.Heartbeat || e.Heartbeat == p.last.Heartbeat && e.ColdFor <= p.last.ColdFor) {
		return
	}
	p.known, p.last = true, e
	until := now + e.ColdFor
	if now < p.floor {
		until = max(until, p.until)
	}
	p.until = until
}

// Presume records that the run counts as cold for a time although no entry says so.
// Entries that are first seen within the guard time do not end the phase sooner, because
// they may have been written before.
func (p *Phase) Presume(now, duration, guard time.Duration) {
	p.floor = max(p.floor, now+guard)
	p.until = max(p.until, now+duration)
}

// IsKnown reports whether an entry of the run was observed.
func (p *Phase) IsKnown() bool { return p.known }

// Remaining returns how much longer the run is cold.
func (p *Phase) Remaining(now time.Duration) time.Duration { return max(0, p.until-now) }

// Until returns the end of the current or last cold phase, or 0.
func (p *Phase) Until() time.Duration { return p.until }
