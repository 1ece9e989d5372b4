// Package coordinator elects the host that plans ownership and sends grants: the holder
// of one record in the platform's store. It is a pure state machine: it takes
// observations, results and times and returns the writes to make.
//
// A host holds the role only until Term after it sent the last renewal that was
// acknowledged; another host takes the record only after it has seen it unchanged for
// Term and Margin. As a renewal is seen after it was sent, two hosts never hold the
// role at once. All times are readings of a clock that also counts suspended time.
//
// Versions are those of package era. A store that comes back from an older copy may show
// an earlier record than the last one, or none. Whoever held the role then sent its last
// acknowledged renewal before the return, and so before any host sees the new era. In a
// new era the role therefore ends at once, and is taken only Term and Margin after what
// the store shows was first seen in that era, whatever the record says.
package coordinator

import (
	"time"

	"github.com/mangopost/mangopost/lease/era"
)

// Timing holds the time constants of the lease.
type Timing struct {
	Term   time.Duration // validity of the role from when an acknowledged renewal was sent
	Margin time.Duration // allowance for clock drift and calls in flight
	Renew  time.Duration // interval between renewals
	Yield  time.Duration // additional delay before a host retakes a role that it resigned: others come first
}

// DefaultTiming lets three renewals fail before the role ends.
var DefaultTiming = Timing{Term: 2500 * time.Millisecond, Margin: 400 * time.Millisecond, Renew: 800 * time.Millisecond, Yield: 2 * time.Second}

// Record is the value of the store object.
type Record struct {
	Holder string `json:"holder"` // host name
	Run    int64  `json:"run"`    // start of the holder's process, Unix nanoseconds
	Addr   string `json:"addr"`   // address at which the holder receives reports
	Number uint64 `json:"number"` // rises with each write, so that each write changes the record
	// Resigned means that the holder has given up the role and sends no more grants.
	Resigned bool `json:"resigned,omitempty"`
	// EndMs is until when the grants that the holder gave may last, and UnclearMs until
	// when its unanswered grants may be applied, both in milliseconds from the write.
	EndMs     int64 `json:"end_ms,omitempty"`
	UnclearMs int64 `json:"unclear_ms,omitempty"`
	// Era is the era of the store in which the record was written. A record of an earlier
	// era than its version proves nothing about the last holder.
	Era uint64 `json:"era,omitempty"`
}

// Write is a conditional update to make.
type Write struct {
	Expected uint64 // version; one of revision 0 means that the object must not exist
	Record   Record
}

// Election is one host's view of the election. The zero value is not usable.
type Election struct {
	timing          Timing
	self            Record
	seen            Record
	version         uint64
	seenAt          time.Duration // when version was first seen
	hasRead         bool          // the record was read, or is known not to exist
	sentAt          time.Duration // when the last acknowledged renewal was sent
	holds           bool
	pending         bool
	waitingForStore bool // no write is sent until the store answers again
	nextTry         time.Duration
	stagger         time.Duration
	era             uint64 // latest known era of the store
	wasRestored     bool   // the store has come back from an older copy before
	keeps           bool   // the role ended with the last era, and nobody has taken it since
	followsItself   bool   // it was taken again after that, with nobody in between

	predecessor       Record // record that this host took over from
	predecessorSeenAt time.Duration
}

// New returns the view of a host that has not read the record yet.
func New(self Record, timing Timing) *Election { return &Election{self: self, timing: timing} }

// ObserveEra records that the store is in an era. If it is a later one than was known,
// the role ends, and the record must be read again. It reports whether the record had
// been read in an earlier one.
func (e *Election) ObserveEra(now time.Duration, named uint64) (changed bool) {
	if named <= e.era {
		return false
	}
	e.keeps = e.Holds(now)
	changed = e.hasRead
	// A process that has read nothing before cannot tell whether the store was restored
	// just now. The first era that a store names is taken for one without a restore.
	e.wasRestored = e.wasRestored || e.hasRead || named > firstEra
	e.era, e.version = named, era.Version(named, 0)
	e.holds, e.hasRead = false, false
	return changed
}

// firstEra is the era of a store that was never restored, if it names one.
const firstEra = 1

// KeepsRole reports whether this host's role ended with the era before and nobody is known
// to have taken it since. Then it may be taken again at once.
func (e *Election) KeepsRole() bool { return e.keeps }

// FollowsItself reports whether this host took the role again that had ended with the era
// before, with nobody in between: all grants since are its own.
func (e *Election) FollowsItself() bool { return e.followsItself }

// WasRestored reports whether the store may have come back from an older copy: a later
// era was seen, or the first one that this process saw is above firstEra.
func (e *Election) WasRestored() bool { return e.wasRestored }

// Era returns the latest known era of the store.
func (e *Election) Era() uint64 { return e.era }

// Observe applies the record as it was read from the store. A version of revision 0
// means that it does not exist.
func (e *Election) Observe(now time.Duration, version uint64, r Record) {
	e.StoreAnswered(now)
	e.ObserveEra(now, era.Of(version))
	if era.Of(version) < e.era || e.hasRead && version <= e.version {
		return
	}
	e.hasRead = true
	e.version, e.seen, e.seenAt = version, r, now
	if !e.isOwnRecord() {
		e.holds = false
	}
	e.keeps = e.keeps && (e.isMissing() || !e.isOfEra(r))
}

// Holds reports whether this host holds the role now. Call it directly before each
// action of the role.
func (e *Election) Holds(now time.Duration) bool {
	return e.holds && now < e.sentAt+e.timing.Term
}

// Until returns when the role ends unless it is renewed.
func (e *Election) Until() time.Duration { return e.sentAt + e.timing.Term }

// LastRecord returns the record that was seen last.
func (e *Election) LastRecord() Record { return e.seen }

// Next returns the write that is due, if any. Pass its result to Acknowledged or
// Failed.
func (e *Election) Next(now time.Duration) (Write, bool) {
	if e.pending || !e.hasRead || e.waitingForStore || now < e.nextTry {
		return Write{}, false
	}
	switch {
	case e.isOwnTerm() && now < e.sentAt+e.timing.Renew:
		return Write{}, false
	case !e.isOwnTerm() && now < e.seenAt+e.takeoverDelay():
		return Write{}, false
	}
	e.pending = true
	record := e.self
	record.Number, record.Era = e.seen.Number+1, e.era
	return Write{Expected: e.version, Record: record}, true
}

func (e *Election) isOwnRecord() bool {
	return e.seen.Holder == e.self.Holder && e.seen.Run == e.self.Run && !e.isMissing() && e.isOfEra(e.seen)
}

// isMissing reports whether the record does not exist.
func (e *Election) isMissing() bool { return e.version == era.Version(e.era, 0) }

// isOfEra reports whether a record was written in the current era. Another one may be
// older than the last record of the era before, also if it replaced that of the current
// holder because its write was conditional on a revision that was given out again.
func (e *Election) isOfEra(r Record) bool { return r.Era == e.era }

// isOwnTerm reports whether the record names this process as the holder and the role is
// not resigned.
func (e *Election) isOwnTerm() bool { return e.isOwnRecord() && !e.seen.Resigned }

// takeoverDelay returns how long after the record was first seen this host may take it.
func (e *Election) takeoverDelay() time.Duration {
	switch {
	case e.keeps, e.isMissing() && !e.wasRestored:
		return 0
	case e.isMissing() || !e.isOfEra(e.seen):
		return e.timing.Term + e.timing.Margin + e.stagger
	case e.seen.Resigned && e.isOwnRecord():
		return e.timing.Term + e.timing.Margin + e.timing.Yield
	case e.seen.Resigned:
		return e.stagger
	case e.isPredecessor():
		return 0
	default:
		return e.timing.Term + e.timing.Margin + e.stagger
	}
}

// isPredecessor reports whether the record was written by an earlier process of this
// host at the same address. That process has ended, because two cannot listen there.
func (e *Election) isPredecessor() bool {
	return e.seen.Holder == e.self.Holder && e.seen.Addr == e.self.Addr
}

// Acknowledged records that the write w, sent at sentAt, was stored as the given
// version.
func (e *Election) Acknowledged(now, sentAt time.Duration, version uint64, w Write) {
	e.pending = false
	e.ObserveEra(now, era.Of(version))
	if version <= e.version || w.Record.Era != e.era {
		return
	}
	// A role that has lapsed meanwhile is taken anew, also from this host itself.
	if !e.Holds(now) {
		e.predecessor, e.predecessorSeenAt = e.seen, e.seenAt
		e.followsItself, e.keeps = e.keeps, false
		if !e.isOfEra(e.seen) {
			e.predecessor = Record{} // unknown: it may not be that of the record
		}
	}
	e.version, e.seen, e.seenAt = version, w.Record, now
	if w.Record.Resigned {
		return
	}
	e.holds, e.sentAt = true, sentAt
	e.nextTry = sentAt + e.timing.Renew
}

// Predecessor returns the record that this host took over from and when it was first
// seen, which is never before it was written.
func (e *Election) Predecessor() (r Record, seenAt time.Duration) {
	return e.predecessor, e.predecessorSeenAt
}

// Resign returns the write that gives up the role, after which this host does not hold
// it. end and unclear are stored in the record as EndMs and UnclearMs. ok is false if
// the host does not hold the role or a renewal is in flight.
func (e *Election) Resign(now, end, unclear time.Duration) (w Write, ok bool) {
	if e.pending || !e.Holds(now) {
		return Write{}, false
	}
	e.pending, e.holds = true, false
	record := e.self
	record.Number, record.Era = e.seen.Number+1, e.era
	record.Resigned, record.EndMs, record.UnclearMs = true, ceilMillis(end), ceilMillis(unclear)
	return Write{Expected: e.version, Record: record}, true
}

func ceilMillis(d time.Duration) int64 { return max(0, (d + time.Millisecond - 1).Milliseconds()) }

// Failed records that a write was refused or got no answer. Read the record again
// before the next write.
func (e *Election) Failed(now time.Duration) {
	e.pending = false
	e.nextTry = now + e.timing.Renew/4
	e.waitingForStore = !e.holds
}

// StoreAnswered records that the store answered. Hosts that wait for the store continue
// one after the other, each after its stagger, not all at once.
func (e *Election) StoreAnswered(now time.Duration) {
	if e.waitingForStore {
		e.waitingForStore = false
		e.nextTry = now + e.stagger
	}
}

// SetStagger sets an additional delay before this host takes the role and before it
// retries. Different delays on different hosts let one of them be first.
func (e *Election) SetStagger(d time.Duration) { e.stagger = d }
