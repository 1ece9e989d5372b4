// Package coordinator decides which host plans ownership and sends grants: the
// holder of one record in the platform's store. It is pure: observations,
// results and times go in, calls to make come out.
//
// A host holds the role only until Term after it sent the renewal that was
// acknowledged last; another takes the record only when it has seen it
// unchanged for Term and Margin. As a renewal is seen after it was sent, two
// hosts never hold the role at once. All times are readings of a clock that
// also counts suspended time.
package coordinator

import "time"

// Timing bounds the lease.
type Timing struct {
	Term   time.Duration // from the send of an acknowledged renewal
	Margin time.Duration // for clock drift and calls on their way
	Renew  time.Duration // between renewals
}

// DefaultTiming lets three renewals fail before the role ends.
var DefaultTiming = Timing{Term: 2500 * time.Millisecond, Margin: 400 * time.Millisecond, Renew: 800 * time.Millisecond}

// Record is the value of the store object.
type Record struct {
	Holder string `json:"holder"` // host
	Run    int64  `json:"run"`    // start of the holder's process, Unix nanoseconds
	Addr   string `json:"addr"`   // where the holder takes reports
	Number uint64 `json:"number"` // rises with each write, so that each one is a change
}

// Write is a conditional update to make.
type Write struct {
	Expected uint64 // version; 0: the object must not exist
	Record   Record
}

// Election is one host's view. The zero value is not usable.
type Election struct {
	timing  Timing
	self    Record
	seen    Record
	version uint64
	seenAt  time.Duration // when version was first seen
	known   bool          // the record was read, or is known not to exist
	sentAt  time.Duration // of the renewal that was acknowledged last
	holds   bool
	pending bool
	nextTry time.Duration
	stagger time.Duration
}

// New returns the view of a host that knows nothing.
func New(self Record, timing Timing) *Election { return &Election{self: self, timing: timing} }

// Observe takes in the record as it was read from the store. Version 0 says that
// it does not exist.
func (e *Election) Observe(now time.Duration, version uint64, r Record) {
	if e.known && version <= e.version {
		return
	}
	e.known = true
	e.version, e.seen, e.seenAt = version, r, now
	if r.Holder != e.self.Holder || r.Run != e.self.Run {
		e.holds = false
	}
}

// Holds reports whether this host holds the role now. It is asked again
// directly before each act of the role.
func (e *Election) Holds(now time.Duration) bool {
	return e.holds && now < e.sentAt+e.timing.Term
}

// Until returns when the role ends unless it is renewed.
func (e *Election) Until() time.Duration { return e.sentAt + e.timing.Term }

// Holder returns the record that was seen last.
func (e *Election) Holder() Record { return e.seen }

// Next returns the write that is due, if any. Its result goes to Done.
func (e *Election) Next(now time.Duration) (Write, bool) {
	if e.pending || !e.known || now < e.nextTry {
		return Write{}, false
	}
	mine := e.seen.Holder == e.self.Holder && e.seen.Run == e.self.Run && e.version != 0
	switch {
	case mine && now < e.sentAt+e.timing.Renew:
		return Write{}, false
	case !mine && e.version != 0 && !e.predecessor() && now < e.seenAt+e.timing.Term+e.timing.Margin+e.stagger:
		return Write{}, false
	}
	e.pending = true
	record := e.self
	record.Number = e.seen.Number + 1
	return Write{Expected: e.version, Record: record}, true
}

// predecessor reports whether the record is that of an earlier process of this
// host at the same address, which has ended: two cannot listen there.
func (e *Election) predecessor() bool {
	return e.seen.Holder == e.self.Holder && e.seen.Addr == e.self.Addr
}

// Acknowledged takes in that a write sent at sentAt made the record's version.
func (e *Election) Acknowledged(now, sentAt time.Duration, version uint64, w Write) {
	e.pending = false
	if version <= e.version {
		return
	}
	e.version, e.seen, e.seenAt = version, w.Record, now
	e.holds, e.sentAt = true, sentAt
	e.nextTry = sentAt + e.timing.Renew
}

// Failed takes in that a write was refused or got no answer. The record is to
// be read before the next one.
func (e *Election) Failed(now time.Duration) {
	e.pending = false
	e.nextTry = now + e.timing.Renew/4 + e.stagger
	if e.holds {
		e.nextTry = now + e.timing.Renew/4
	}
}

// SetStagger sets how much longer than it must this host waits before it takes
// the role, and before it tries again: of many hosts one is to be first.
func (e *Election) SetStagger(d time.Duration) { e.stagger = d }
