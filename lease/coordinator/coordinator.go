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
	Yield  time.Duration // how much later than all others a host takes a role that it gave up
}

// DefaultTiming lets three renewals fail before the role ends.
var DefaultTiming = Timing{Term: 2500 * time.Millisecond, Margin: 400 * time.Millisecond, Renew: 800 * time.Millisecond, Yield: 2 * time.Second}

// Record is the value of the store object.
type Record struct {
	Holder string `json:"holder"` // host
	Run    int64  `json:"run"`    // start of the holder's process, Unix nanoseconds
	Addr   string `json:"addr"`   // where the holder takes reports
	Number uint64 `json:"number"` // rises with each write, so that each one is a change
	// Resigned says that the holder has given the role up and sends no more orders.
	Resigned bool `json:"resigned,omitempty"`
	// EndMs and UnclearMs are until when what it had granted may last, and what it
	// had granted without an answer may be applied, in milliseconds from the write.
	EndMs     int64 `json:"end_ms,omitempty"`
	UnclearMs int64 `json:"unclear_ms,omitempty"`
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
	waiting bool // for the store to answer again
	nextTry time.Duration
	stagger time.Duration

	before     Record // that this host took over from
	beforeSeen time.Duration
}

// New returns the view of a host that knows nothing.
func New(self Record, timing Timing) *Election { return &Election{self: self, timing: timing} }

// Observe takes in the record as it was read from the store. Version 0 says that
// it does not exist.
func (e *Election) Observe(now time.Duration, version uint64, r Record) {
	e.Heard(now)
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
	if e.pending || !e.known || e.waiting || now < e.nextTry {
		return Write{}, false
	}
	switch {
	case e.mine() && now < e.sentAt+e.timing.Renew:
		return Write{}, false
	case !e.mine() && e.version != 0 && now < e.seenAt+e.wait():
		return Write{}, false
	}
	e.pending = true
	record := e.self
	record.Number = e.seen.Number + 1
	return Write{Expected: e.version, Record: record}, true
}

func (e *Election) own() bool {
	return e.seen.Holder == e.self.Holder && e.seen.Run == e.self.Run && e.version != 0
}

// mine reports whether the record names this process as the holder.
func (e *Election) mine() bool { return e.own() && !e.seen.Resigned }

// wait returns how long after the record was first seen this host may take it.
func (e *Election) wait() time.Duration {
	switch {
	case e.seen.Resigned && e.own():
		return e.timing.Term + e.timing.Margin + e.timing.Yield
	case e.seen.Resigned:
		return e.stagger
	case e.predecessor():
		return 0
	default:
		return e.timing.Term + e.timing.Margin + e.stagger
	}
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
	if !e.holds {
		e.before, e.beforeSeen = e.seen, e.seenAt
	}
	e.version, e.seen, e.seenAt = version, w.Record, now
	if w.Record.Resigned {
		return
	}
	e.holds, e.sentAt = true, sentAt
	e.nextTry = sentAt + e.timing.Renew
}

// Predecessor returns the record that this host took over from, and when it saw
// it first: not before it was written.
func (e *Election) Predecessor() (r Record, seenAt time.Duration) { return e.before, e.beforeSeen }

// Resign returns the write that gives the role up, after which this host does not
// hold it. end and unclear are for the record. ok is false when it does not hold
// the role, or a renewal is under way.
func (e *Election) Resign(now, end, unclear time.Duration) (w Write, ok bool) {
	if e.pending || !e.Holds(now) {
		return Write{}, false
	}
	e.pending, e.holds = true, false
	record := e.self
	record.Number = e.seen.Number + 1
	record.Resigned, record.EndMs, record.UnclearMs = true, roundUp(end), roundUp(unclear)
	return Write{Expected: e.version, Record: record}, true
}

func roundUp(d time.Duration) int64 { return max(0, (d + time.Millisecond - 1).Milliseconds()) }

// Failed takes in that a write was refused or got no answer. The record is to
// be read before the next one.
func (e *Election) Failed(now time.Duration) {
	e.pending = false
	e.nextTry = now + e.timing.Renew/4
	e.waiting = !e.holds
}

// Heard notes that the store answered. Hosts that wait for it go on one after the
// other, not all at once.
func (e *Election) Heard(now time.Duration) {
	if e.waiting {
		e.waiting = false
		e.nextTry = now + e.stagger
	}
}

// SetStagger sets how much longer than it must this host waits before it takes
// the role, and before it tries again: of many hosts one is to be first.
func (e *Election) SetStagger(d time.Duration) { e.stagger = d }
