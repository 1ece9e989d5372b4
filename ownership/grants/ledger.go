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

// Hold names keys of a service that an owner was granted or may hold.
type Hold struct {
	Service string
	Owner   keyrange.Owner
	From    int // first key
	To      int // last key, inclusive
}

// holder is an owner of keys of a service.
type holder struct {
	service string
	owner   keyrange.Owner
}

// span is a range of keys, both ends inclusive.
type span struct{ from, to int }

func (h Hold) holder() holder { return holder{h.Service, h.Owner} }

func (h Hold) span() span { return span{h.From, h.To} }

func (s span) overlaps(o span) bool { return s.from <= o.to && o.from <= s.to }

// fenceKey identifies the grants of a holder under one fence.
type fenceKey struct {
	holder
	fence uint64
}

// place is where orders to a target go. Any run of the target may answer there.
type place struct {
	target string
	addr   string
}

func placeOf(o keyrange.Owner) place { return place{o.Target, o.Addr} }

// entry sums up the grants of one span to one holder.
type entry struct {
	end           time.Duration // latest end of all grants
	unansweredEnd time.Duration // latest end of the grants that were not answered
	arrivedBy     time.Duration // latest time at which a settled grant can have arrived
	inFlight      int           // grants without an answer or a reset so far
}

// Ledger records when the grants that a coordinator sent end. It finds them by owner and
// key, and not by fence: a map that another coordinator wrote may give the same keys of
// the same owner another fence, and no record under a fence does not mean that there is no
// grant. The zero value is not usable; call NewLedger.
type Ledger struct {
	entries map[holder]map[span]*entry
	floor   Floor
	// newFences holds the fences under which no earlier coordinator granted keys.
	newFences map[fenceKey]struct{}
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
	return &Ledger{
		entries: make(map[holder]map[span]*entry), floor: f, newFences: make(map[fenceKey]struct{}), absentAt: make(map[place]time.Duration),
	}
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
	for _, spans := range l.entries {
		for _, e := range spans {
			f.End, f.UnansweredEnd, f.ArrivedBy = max(f.End, e.end), max(f.UnansweredEnd, e.unansweredEnd), max(f.ArrivedBy, e.arrivedBy)
			ok = ok && e.inFlight == 0
		}
	}
	return f, ok
}

func (l *Ledger) entry(h Hold) *entry {
	spans := l.entries[h.holder()]
	if spans == nil {
		spans = make(map[span]*entry)
		l.entries[h.holder()] = spans
	}
	e := spans[h.span()]
	if e == nil {
		e = &entry{}
		spans[h.span()] = e
	}
	return e
}

// BeginSend records that a grant is about to be sent.
func (l *Ledger) BeginSend(h Hold) { l.entry(h).inFlight++ }

// RecordAnswer records that the answer to a grant of the given length was received at now.
func (l *Ledger) RecordAnswer(now time.Duration, h Hold, length time.Duration) {
	e := l.entry(h)
	e.inFlight--
	e.arrivedBy = max(e.arrivedBy, now)
	e.end = max(e.end, End(now, length))
}

// RecordReset records that the connection of an unanswered grant of the given length was
// reset at now.
func (l *Ledger) RecordReset(now time.Duration, h Hold, length time.Duration) {
	e := l.entry(h)
	e.inFlight--
	e.arrivedBy = max(e.arrivedBy, now+Margin)
	e.end = max(e.end, End(now, length))
	e.unansweredEnd = max(e.unansweredEnd, End(now, length))
}

// CancelSend records that no byte of a grant was sent, or that another target answered
// that the grant is not for it. No run of the owner's target took such a grant.
func (l *Ledger) CancelSend(h Hold) { l.entry(h).inFlight-- }

// EndOf returns the time by which every grant of any of the keys to their owner has
// ended, if the map has the keys under the given fence. ok is false while a grant is in
// flight.
func (l *Ledger) EndOf(h Hold, fence uint64) (end time.Duration, ok bool) {
	end, _, ok = l.latestEnds(h)
	return max(end, l.floorFor(h, fence).End), ok
}

// EndOfUnanswered is like EndOf, but only for the grants that were not answered:
// these may be applied after the owner released the keys.
func (l *Ledger) EndOfUnanswered(h Hold, fence uint64) (end time.Duration, ok bool) {
	_, end, ok = l.latestEnds(h)
	return max(end, l.floorFor(h, fence).UnansweredEnd), ok
}

// endOfAny returns the time by which every grant of any of the keys to any owner has
// ended. ok is false while one is in flight.
func (l *Ledger) endOfAny(service string, keys span) (end, unansweredEnd time.Duration, ok bool) {
	end, unansweredEnd, ok = l.floor.End, l.floor.UnansweredEnd, true
	for h := range l.entries {
		if h.service != service {
			continue
		}
		ownEnd, ownUnansweredEnd, isSettled := l.latestEnds(Hold{service, h.owner, keys.from, keys.to})
		end, unansweredEnd, ok = max(end, ownEnd), max(unansweredEnd, ownUnansweredEnd), ok && isSettled
	}
	return end, unansweredEnd, ok
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
func (l *Ledger) floorFor(h Hold, fence uint64) Floor {
	if _, isNew := l.newFences[fenceKey{h.holder(), fence}]; isNew || l.isAbsent(h.Owner, l.floor.ArrivedBy) {
		return Floor{}
	}
	return l.floor
}

// MarkNewFence records that this coordinator is the first to grant keys of a service to
// an owner under a fence, so that the floor does not apply to it.
func (l *Ledger) MarkNewFence(service string, owner keyrange.Owner, fence uint64) {
	l.newFences[fenceKey{holder{service, owner}, fence}] = struct{}{}
}

// latestEnds returns the latest ends of the grants of any of the keys to their owner.
func (l *Ledger) latestEnds(h Hold) (end, unansweredEnd time.Duration, ok bool) {
	ok = true
	for keys, e := range l.entries[h.holder()] {
		if !keys.overlaps(h.span()) || e.inFlight == 0 && l.isAbsent(h.Owner, e.arrivedBy) {
			continue
		}
		end, unansweredEnd, ok = max(end, e.end), max(unansweredEnd, e.unansweredEnd), ok && e.inFlight == 0
	}
	return end, unansweredEnd, ok
}

// RemoveEnded removes entries whose grants all ended before now.
func (l *Ledger) RemoveEnded(now time.Duration) {
	for h, spans := range l.entries {
		maps.DeleteFunc(spans, func(_ span, e *entry) bool { return e.inFlight == 0 && e.end < now })
		if len(spans) == 0 {
			delete(l.entries, h)
		}
	}
	if l.floor.End < now {
		clear(l.newFences) // the floor applies to no fence
	}
	l.forgetAbsences(now)
}

// forgetAbsences drops the absences that no grant depends on.
func (l *Ledger) forgetAbsences(now time.Duration) {
	if l.floor.End >= now {
		return
	}
	used := make(map[place]bool)
	for h := range l.entries {
		used[placeOf(h.owner)] = true
	}
	maps.DeleteFunc(l.absentAt, func(p place, _ time.Duration) bool { return !used[p] })
}
