// Package grants tracks until when a target may hold keys. It is pure: times are
// passed in, as readings of a clock that also counts suspended time.
//
// A target counts a grant from its arrival, on a clock that may run slow, and a
// grant without an answer may be applied long after it arrived. So the ledger
// knows for each grant the latest moment at which it can have arrived: that of
// its answer, or that at which its connection was reset.
package grants

import (
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

const (
	// ClockDrift is how much longer than real time a target's clock may take: a
	// limit of the platform.
	ClockDrift = 0.02
	// Margin covers what lies between a reset and the last byte's arrival.
	Margin = 150 * time.Millisecond
)

// End returns when a grant that arrived at latest by arrival has ended.
func End(arrival, hold time.Duration) time.Duration {
	return arrival + hold + time.Duration(ClockDrift*float64(hold)) + Margin
}

type grantKey struct {
	target string
	run    int64
	fence  uint64
}

type entry struct {
	end     time.Duration // of every grant
	unclear time.Duration // of those that were not answered
	sending int           // grants without answer or reset so far
	before  []grantKey    // earlier fences under which the owner had the keys
	fresh   bool          // no earlier coordinator granted keys under this fence
}

// Ledger holds the ends of the grants that a coordinator sent. The zero value is
// not usable.
type Ledger struct {
	entries map[grantKey]*entry
	floor   Floor
}

// Floor is until when grants of earlier coordinators may count.
type Floor struct {
	End     time.Duration // of every grant
	Unclear time.Duration // of those without an answer, which may be applied after a release
}

// NewLedger returns the ledger of a coordinator that took over at now, when an
// earlier one may have just sent a grant of at most hold whose connection it
// would have reset after timeout.
func NewLedger(now, timeout, hold time.Duration) *Ledger {
	end := End(now+timeout, hold)
	return NewLedgerAfter(Floor{End: end, Unclear: end})
}

// NewLedgerAfter returns the ledger of a coordinator whose predecessor told until
// when its grants may count.
func NewLedgerAfter(f Floor) *Ledger { return &Ledger{entries: make(map[grantKey]*entry), floor: f} }

// Floor returns until when the grants of this coordinator, and of those before it,
// may count. ok is false while one is under way.
func (l *Ledger) Floor() (f Floor, ok bool) {
	f, ok = l.floor, true
	for _, e := range l.entries {
		f.End, f.Unclear = max(f.End, e.end), max(f.Unclear, e.unclear)
		ok = ok && e.sending == 0
	}
	return f, ok
}

func (l *Ledger) entry(owner keyrange.Owner, fence uint64) *entry {
	k := grantKey{owner.Target, owner.Run, fence}
	e := l.entries[k]
	if e == nil {
		e = &entry{}
		l.entries[k] = e
	}
	return e
}

// Sending notes that a grant is about to be sent.
func (l *Ledger) Sending(owner keyrange.Owner, fence uint64) {
	l.entry(owner, fence).sending++
}

// Answered notes that a grant was answered by now.
func (l *Ledger) Answered(now time.Duration, owner keyrange.Owner, fence uint64, hold time.Duration) {
	e := l.entry(owner, fence)
	e.sending--
	e.end = max(e.end, End(now, hold))
}

// GivenUp notes that the connection of a grant without answer was reset by now.
func (l *Ledger) GivenUp(now time.Duration, owner keyrange.Owner, fence uint64, hold time.Duration) {
	e := l.entry(owner, fence)
	e.sending--
	e.end = max(e.end, End(now, hold))
	e.unclear = max(e.unclear, End(now, hold))
}

// NotSent notes that no byte of a grant left after all: it cannot arrive, and
// prolongs nothing.
func (l *Ledger) NotSent(owner keyrange.Owner, fence uint64) { l.entry(owner, fence).sending-- }

// EndOf returns when every grant of the owner under this fence has ended. ok is
// false while one is under way.
func (l *Ledger) EndOf(owner keyrange.Owner, fence uint64) (end time.Duration, ok bool) {
	k := grantKey{owner.Target, owner.Run, fence}
	end, _, ok = l.sum(k)
	return max(end, l.floorOf(k).End), ok
}

// EndOfUnclear returns the same for the grants that were not answered: they may
// be applied after a release.
func (l *Ledger) EndOfUnclear(owner keyrange.Owner, fence uint64) (end time.Duration, ok bool) {
	k := grantKey{owner.Target, owner.Run, fence}
	_, end, ok = l.sum(k)
	return max(end, l.floorOf(k).Unclear), ok
}

// floorOf returns until when grants of earlier coordinators may count: whether
// they were answered is not known, so a release does not end them.
func (l *Ledger) floorOf(k grantKey) Floor {
	if e := l.entries[k]; e != nil && e.fresh {
		return Floor{}
	}
	return l.floor
}

// Fresh notes a fence that this coordinator is the first to grant keys under.
func (l *Ledger) Fresh(owner keyrange.Owner, fence uint64) { l.entry(owner, fence).fresh = true }

// sum returns the ends of the grants under a fence and those before it.
func (l *Ledger) sum(k grantKey) (end, unclear time.Duration, ok bool) {
	e := l.entries[k]
	if e == nil {
		return 0, 0, true
	}
	end, unclear, ok = e.end, e.unclear, e.sending == 0
	for _, b := range e.before {
		bEnd, bUnclear, bOK := l.sum(b)
		end, unclear, ok = max(end, bEnd), max(unclear, bUnclear), ok && bOK
	}
	return end, unclear, ok
}

// Inherit notes that keys under an earlier fence of the owner are now under
// another one: the grants of both count for it, also those under way.
func (l *Ledger) Inherit(owner keyrange.Owner, before, after uint64) {
	e := l.entry(owner, after)
	e.before = append(e.before, grantKey{owner.Target, owner.Run, before})
}

// Forget drops grants that ended before now.
func (l *Ledger) Forget(now time.Duration) {
	for k, e := range l.entries {
		e.before = slices.DeleteFunc(e.before, func(b grantKey) bool { return l.entries[b] == nil })
		if e.sending == 0 && e.end < now && len(e.before) == 0 && (!e.fresh || l.floor.End < now) {
			delete(l.entries, k)
		}
	}
}
