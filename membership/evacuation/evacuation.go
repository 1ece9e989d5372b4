// Package evacuation holds which data centres are evacuated, and which of their targets
// may have become cold by the end of an evacuation. It is pure: its state depends only
// on the objects, entries and times that are passed in.
//
// The operator evacuates a data centre by an object in the platform's store. While the
// object exists the data centre's targets get no request. Shortly before its removal
// they may have become cold, and only an entry that a target has written since tells
// whether it is. What is known holds until the store says otherwise, so that it also
// holds while the store cannot be reached.
package evacuation

import (
	"slices"
	"time"
)

// Entry identifies one write of a target's entry in the store.
type Entry struct {
	Target     string
	DataCentre string
	Run        int64  // start time of the target
	Heartbeat  uint64 // number of the target's writes in this run
}

// isAfter reports whether e was written after other, an entry of the same target.
func (e Entry) isAfter(other Entry) bool {
	return e.Run > other.Run || e.Run == other.Run && e.Heartbeat > other.Heartbeat
}

// Change is the beginning or the end of the evacuation of a data centre.
type Change struct {
	DataCentre  string
	IsEvacuated bool
}

// ending is the end of an evacuation.
type ending struct {
	at    time.Duration
	last  map[string]Entry // last entry of each target that may be from before the end
	since map[string]int   // number of entries of each target that were written since
}

// State is what one host knows of evacuations. The zero value is not usable; call New.
type State struct {
	settle    time.Duration
	isListed  bool
	hasAnswer bool // a recent answer of the store was seen
	active    map[string]bool
	endings   map[string]*ending // by data centre
}

const (
	// endingMemory is how long an end is remembered: the longest time for which a target
	// counts as cold.
	endingMemory = 10 * time.Minute
	// reportedWrites is the number of writes of each target after an end that are passed
	// on to other hosts. They may learn of the end later than of the first one.
	reportedWrites = 2
)

// New returns a state without evacuations. An entry that is seen within settle after an
// end may have been written before it: entries and evacuations reach a host on different
// ways.
func New(settle time.Duration) *State {
	return &State{settle: settle, active: make(map[string]bool), endings: make(map[string]*ending)}
}

// Replace replaces the evacuated data centres by a complete list. known are the entries
// of all targets, as last seen.
func (s *State) Replace(now time.Duration, dataCentres []string, known []Entry) []Change {
	s.isListed = true
	var changes []Change
	for name := range s.active {
		if !slices.Contains(dataCentres, name) {
			changes = append(changes, s.Set(now, name, false, known)...)
		}
	}
	for _, name := range dataCentres {
		changes = append(changes, s.Set(now, name, true, known)...)
	}
	return changes
}

// Set begins or ends the evacuation of a data centre. It returns nothing if that is no
// change. known are the entries of all targets, as last seen.
func (s *State) Set(now time.Duration, dataCentre string, isEvacuated bool, known []Entry) []Change {
	if s.active[dataCentre] == isEvacuated {
		return nil
	}
	if isEvacuated {
		s.active[dataCentre] = true
		delete(s.endings, dataCentre)
	} else {
		delete(s.active, dataCentre)
		s.endings[dataCentre] = newEnding(now, dataCentre, known)
	}
	for name, e := range s.endings {
		if now >= e.at+endingMemory {
			delete(s.endings, name)
		}
	}
	return []Change{{DataCentre: dataCentre, IsEvacuated: isEvacuated}}
}

func newEnding(now time.Duration, dataCentre string, known []Entry) *ending {
	e := &ending{at: now, last: make(map[string]Entry), since: make(map[string]int)}
	for _, entry := range known {
		if entry.DataCentre == dataCentre {
			e.last[entry.Target] = entry
		}
	}
	return e
}

// RecordAnswer records that the state is being brought up to date with a recent answer
// of the store.
func (s *State) RecordAnswer() { s.hasAnswer = true }

// IsKnown reports whether all evacuations were listed, and the list was up to date once.
// A listing that another host relays may be old.
func (s *State) IsKnown() bool { return s.isListed && s.hasAnswer }

// IsEvacuated reports whether a data centre is evacuated.
func (s *State) IsEvacuated(dataCentre string) bool { return s.active[dataCentre] }

// Count returns the number of names that are evacuated, whether or not they are data
// centres.
func (s *State) Count() int { return len(s.active) }

// Observe records an entry as seen now. It reports whether the entry is one of the first
// that its target has written since the end of an evacuation: other hosts need it.
func (s *State) Observe(now time.Duration, e Entry) bool {
	end := s.endings[e.DataCentre]
	if end == nil || !e.isAfter(end.last[e.Target]) {
		return false
	}
	end.last[e.Target] = e
	if now < end.at+s.settle {
		return false
	}
	end.since[e.Target]++
	return end.since[e.Target] <= reportedWrites
}

// ColdFor returns how much longer a target may be cold because of the end of an
// evacuation of its data centre. It is 0 once the target has written an entry since.
// Targets are cold for coldDuration at most.
func (s *State) ColdFor(now time.Duration, target, dataCentre string, coldDuration time.Duration) time.Duration {
	end := s.endings[dataCentre]
	if end == nil || end.since[target] > 0 {
		return 0
	}
	return max(0, end.at+coldDuration-now)
}
