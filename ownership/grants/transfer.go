package grants

import (
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// Ground is the evidence on which a previous owner is taken to hold a range no more.
type Ground string

// The grounds. Nothing else ends a hold: a refused or reset connection, a missing
// entry and an entry of another run can all come with a target that still holds keys.
const (
	// GroundReleased means that the target answered a release, and that no unanswered
	// grant can still be applied.
	GroundReleased Ground = "released"
	// GroundExpired means that every grant that any run of the target at its address
	// may have taken has ended.
	GroundExpired Ground = "expired"
	// GroundReplaced means that another target was found at the address after every
	// grant had arrived there.
	GroundReplaced Ground = "replaced"
)

// Step is what to do next about a previous owner of a range.
type Step int

const (
	// StepWait means that nothing can be done yet.
	StepWait Step = iota
	// StepRelease means that the keys are to be released by the target.
	StepRelease
	// StepFree means that the target holds none of the keys.
	StepFree
)

// Decision is the next step for a previous owner, with the inputs that led to it.
type Decision struct {
	Step   Step
	Ground Ground        // for StepFree
	Until  time.Duration // when the grants have ended; only if IsSettled
	// UnansweredUntil is when the grants that may be applied after a release have
	// ended; only if IsSettled.
	UnansweredUntil time.Duration
	IsSettled       bool          // no grant is in flight
	ReleasedAt      time.Duration // when the release was answered, 0 if it was not
	AbsentAt        time.Duration // when another target was last found at the address, 0 if never
}

// Transfer follows how a range leaves one previous owner. The owner of a Transfer must
// see to it that no grant of the range is sent to the previous owner any more.
type Transfer struct {
	hold       Hold
	fence      uint64
	releasedAt time.Duration
	isReleased bool
}

// NewTransfer returns the transfer of keys of a service, From to To of the range, that a
// previous owner may hold.
func NewTransfer(service string, r keyrange.Range, prev keyrange.Previous) *Transfer {
	return &Transfer{hold: Hold{Service: service, Owner: prev.Owner, From: r.From, To: r.To}, fence: prev.Fence}
}

// isUnknown reports whether the keys may be held by any target.
func (t *Transfer) isUnknown() bool { return keyrange.Previous{Owner: t.hold.Owner}.IsUnknown() }

// RecordRelease records that the target answered, at now, a release of the whole range
// that was sent while no grant under the previous fence was in flight.
func (t *Transfer) RecordRelease(now time.Duration) { t.releasedAt, t.isReleased = now, true }

// Next decides what to do about a previous owner. It is the only place that decides
// that a hold has ended.
func (l *Ledger) Next(now time.Duration, t *Transfer) Decision {
	if t.isUnknown() {
		return l.nextUnknown(now, t)
	}
	end, isSettled := l.EndOf(t.hold, t.fence)
	unansweredEnd, _ := l.EndOfUnanswered(t.hold, t.fence)
	d := Decision{
		Until: end, UnansweredUntil: unansweredEnd, IsSettled: isSettled,
		ReleasedAt: t.releasedAt, AbsentAt: l.absentAt[placeOf(t.hold.Owner)],
	}
	switch {
	case !isSettled:
		// A grant that arrived after the release would undo it.
		d.Step = StepWait
	case now >= end:
		d.Step, d.Ground = StepFree, GroundExpired
		if d.AbsentAt > 0 && end == 0 {
			d.Ground = GroundReplaced
		}
	case !t.isReleased:
		d.Step = StepRelease
	case now >= unansweredEnd:
		d.Step, d.Ground = StepFree, GroundReleased
	}
	return d
}

// nextUnknown decides about a previous owner that is not known: nobody can be asked for a
// release, so that all grants of earlier coordinators have to end, and those that this one
// sent under a map that was lost since.
func (l *Ledger) nextUnknown(now time.Duration, t *Transfer) Decision {
	end, unansweredEnd, isSettled := l.endOfAny(t.hold.Service, t.hold.span())
	d := Decision{Until: end, UnansweredUntil: unansweredEnd, IsSettled: isSettled}
	if isSettled && now >= end {
		d.Step, d.Ground = StepFree, GroundExpired
	}
	return d
}
