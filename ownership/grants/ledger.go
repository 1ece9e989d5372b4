// Package grants tracks how long a target may hold the keys that it was granted.
// It reads no clock: times are passed in, as readings of a clock that also counts
// suspended time.
//
// A grant runs from its arrival at the target, on a clock that may be slow, and a
// grant without an answer may be applied long after it arrived. The ledger
// therefore records for each grant the latest time at which it can have arrived:
// the time of its answer, or the time at which its connection was reset.
package grants

import (
	"maps"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

const (
	// ClockDrift is the largest fraction by which a target's clock may run slow.
	// The platform guarantees this limit.
	ClockDrift = 0.02
	// Margin covers the time between the reset of a connection and the arrival of
	// its last byte.
	Margin = 150 * time.Millisecond
)

// End returns the time by which a grant has ended that arrived no later than
// arrival.
func End(arrival, hold time.Duration) time.Duration {
	return arrival + hold + time.Duration(ClockDrift*float64(hold)) + Margin
}

type grantKey struct {
	owner keyrange.Owner
	fence uint64
}

// place is where orders to a target go. Any run of the target may answer there.
type place struct {
	target string
	addr   string
}

func placeOf(o keyrange.Owner) place { return place{o.Target, o.Addr} }

type entry struct {
	end           time.Duration         // latest end of all grants
	unansweredEnd time.Duration         // latest end of the grants that were not answered
	arrivedBy     time.Duration         // latest time at which a settled grant can have arrived
	inFlight      int                   // grants without an answer or a reset so far
	inheritedFrom map[grantKey]struct{} // all earlier fences under which the owner held the keys
	isNewFence    bool                  // no earlier coordinator granted keys under this fence
}

// Ledger records when the grants that a coordinator sent end. The zero value is
// not usable; call NewLedger.
type Ledger struct {
	entries map[grantKey]*entry
	floor   Floor
	// absentAt holds when a place was last known to have no run of the target: grants
	// that had arrived there before were taken by runs that have ended.
	absentAt map[place]time.Duration
}

// Floor is the time until which grants of earlier coordinators may be valid.
type Floor struct {
	End           time.Duration // latest end of all grants
	UnansweredEnd time.Duration // latest end of the unanswered grants, which may be applied after a release
	ArrivedBy     time.Duration // latest time at which such a grant can have arrived
}

// NewLedger returns the ledger of a coordinator that took over at now without
// the floor of its predecessor. It assumes that the predecessor has just sent a
// grant of length hold, whose connection it would reset after timeout.
func NewLedger(now, timeout, hold time.Duration) *Ledger {
	return NewLedgerWithFloor(UnknownFloor(now, timeout, hold))
}

// UnknownFloor returns the floor of a coordinator that sent its last grants at now.
func UnknownFloor(now, timeout, hold time.Duration) Floor {
	end := End(now+timeout, hold)
	return Floor{End: end, UnansweredEnd: end, ArrivedBy: now + timeout + Margin}
}

// NewLedgerWithFloor returns the ledger of a coordinator whose predecessor handed
// over its floor.
func NewLedgerWithFloor(f Floor) *Ledger {
	return &Ledger{entries: make(map[grantKey]*entry), floor: f, absentAt: make(map[place]time.Duration)}
}

// RaiseFloor records that grants that this coordinator cannot tell apart any more may be
// valid as long as f says.
func (l *Ledger) RaiseFloor(f Floor) {
	l.floor = Floor{
		End: max(l.floor.End, f.End), UnansweredEnd: max(l.floor.UnansweredEnd, f.UnansweredEnd), ArrivedBy: max(l.floor.ArrivedBy, f.ArrivedBy),
	}
}

// Floor returns the time until which grants of this and of earlier coordinators
// may be valid. ok is false while a grant is in flight.
func (l *Ledger) Floor() (f Floor, ok bool) {
	f, ok = l.floor, true
	for _, e := range l.entries {
		f.End, f.UnansweredEnd, f.ArrivedBy = max(f.End, e.end), max(f.UnansweredEnd, e.unansweredEnd), max(f.ArrivedBy, e.arrivedBy)
		ok = ok && e.inFlight == 0
	}
	return f, ok
}

func (l *Ledger) entry(owner keyrange.Owner, fence uint64) *entry {
	k := grantKey{owner, fence}
	e := l.entries[k]
	if e == nil {
		e = &entry{}
		l.entries[k] = e
	}
	return e
}

// BeginSend records that a grant is about to be sent.
func (l *Ledger) BeginSend(owner keyrange.Owner, fence uint64) {
	l.entry(owner, fence).inFlight++
}

// RecordAnswer records that the answer to a grant was received at now.
func (l *Ledger) RecordAnswer(now time.Duration, owner keyrange.Owner, fence uint64, hold time.Duration) {
	e := l.entry(owner, fence)
	e.inFlight--
	e.arrivedBy = max(e.arrivedBy, now)
	e.end = max(e.end, End(now, hold))
}

// RecordReset records that the connection of an unanswered grant was reset at now.
func (l *Ledger) RecordReset(now time.Duration, owner keyrange.Owner, fence uint64, hold time.Duration) {
	e := l.entry(owner, fence)
	e.inFlight--
	e.arrivedBy = max(e.arrivedBy, now+Margin)
	e.end = max(e.end, End(now, hold))
	e.unansweredEnd = max(e.unansweredEnd, End(now, hold))
}

// CancelSend records that no byte of a grant was sent, or that another target answered
// that the grant is not for it. No run of the owner's target took such a grant.
func (l *Ledger) CancelSend(owner keyrange.Owner, fence uint64) { l.entry(owner, fence).inFlight-- }

// EndOf returns the time by which every grant of the owner under this fence has
// ended. ok is false while a grant is in flight.
func (l *Ledger) EndOf(owner keyrange.Owner, fence uint64) (end time.Duration, ok bool) {
	k := grantKey{owner, fence}
	end, _, ok = l.latestEnds(k)
	return max(end, l.floorFor(k).End), ok
}

// EndOfUnanswered is like EndOf, but only for the grants that were not answered:
// these may be applied after the owner released the keys.
func (l *Ledger) EndOfUnanswered(owner keyrange.Owner, fence uint64) (end time.Duration, ok bool) {
	k := grantKey{owner, fence}
	_, end, ok = l.latestEnds(k)
	return max(end, l.floorFor(k).UnansweredEnd), ok
}

// RecordAbsence records that at asOf no run of the owner's target was at its address,
// for example because another target, asked then, answered there. It ends the grants
// that had been settled by then, but not those that a later run may have taken.
func (l *Ledger) RecordAbsence(asOf time.Duration, owner keyrange.Owner) {
	p := placeOf(owner)
	l.absentAt[p] = max(l.absentAt[p], asOf)
}

// isAbsent reports whether the owner's place was known to be empty after every grant
// had arrived that can have arrived by the given time. Times are positive.
func (l *Ledger) isAbsent(owner keyrange.Owner, arrivedBy time.Duration) bool {
	asOf, ok := l.absentAt[placeOf(owner)]
	return ok && arrivedBy <= asOf
}

// floorFor returns the time until which grants of earlier coordinators may be
// valid under a fence. This coordinator does not know which of them were
// answered, so a release does not end them.
func (l *Ledger) floorFor(k grantKey) Floor {
	if e := l.entries[k]; e != nil && e.isNewFence || l.isAbsent(k.owner, l.floor.ArrivedBy) {
		return Floor{}
	}
	return l.floor
}

// MarkNewFence records that this coordinator is the first to grant keys under a fence,
// so that the floor does not apply to it.
func (l *Ledger) MarkNewFence(owner keyrange.Owner, fence uint64) {
	l.entry(owner, fence).isNewFence = true
}

// latestEnds returns the latest ends of the grants under a fence and under the
// fences that it inherited from.
func (l *Ledger) latestEnds(k grantKey) (end, unansweredEnd time.Duration, ok bool) {
	e := l.entries[k]
	if e == nil {
		return 0, 0, true
	}
	end, unansweredEnd, ok = l.ownEnds(k.owner, e)
	for earlier := range e.inheritedFrom {
		if from := l.entries[earlier]; from != nil {
			earlierEnd, earlierUnansweredEnd, earlierOK := l.ownEnds(k.owner, from)
			end, unansweredEnd, ok = max(end, earlierEnd), max(unansweredEnd, earlierUnansweredEnd), ok && earlierOK
		}
	}
	return end, unansweredEnd, ok
}

// ownEnds returns the latest ends of the grants under one fence alone.
func (l *Ledger) ownEnds(owner keyrange.Owner, e *entry) (end, unansweredEnd time.Duration, ok bool) {
	if e.inFlight == 0 && l.isAbsent(owner, e.arrivedBy) {
		return 0, 0, true
	}
	return e.end, e.unansweredEnd, e.inFlight == 0
}

// Inherit records that keys under an earlier fence of the owner now belong to a
// later one. The grants under the earlier fence then count for the later one
// too, including those in flight.
func (l *Ledger) Inherit(owner keyrange.Owner, before, after uint64) {
	e := l.entry(owner, after)
	if e.inheritedFrom == nil {
		e.inheritedFrom = make(map[grantKey]struct{})
	}
	from := grantKey{owner, before}
	e.inheritedFrom[from] = struct{}{}
	if earlier := l.entries[from]; earlier != nil {
		maps.Copy(e.inheritedFrom, earlier.inheritedFrom)
	}
}

// RemoveEnded removes entries whose grants all ended before now.
func (l *Ledger) RemoveEnded(now time.Duration) {
	for k, e := range l.entries {
		maps.DeleteFunc(e.inheritedFrom, func(earlier grantKey, _ struct{}) bool { return l.entries[earlier] == nil })
		if e.inFlight == 0 && e.end < now && len(e.inheritedFrom) == 0 && (!e.isNewFence || l.floor.End < now) {
			delete(l.entries, k)
		}
	}
	l.forgetAbsences(now)
}

// forgetAbsences drops the absences that no grant depends on.
func (l *Ledger) forgetAbsences(now time.Duration) {
	if l.floor.End >= now {
		return
	}
	used := make(map[place]bool)
	for k := range l.entries {
		used[placeOf(k.owner)] = true
	}
	maps.DeleteFunc(l.absentAt, func(p place, _ time.Duration) bool { return !used[p] })
}
