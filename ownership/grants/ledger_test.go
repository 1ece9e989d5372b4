package grants_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

var ownerA = keyrange.Owner{Target: "a", Run: 1}

const (
	hold    = 4 * time.Second
	timeout = 500 * time.Millisecond
	maxHold = 10 * time.Second
)

func TestEndAllowsForSlowClock(t *testing.T) {
	assert.Assert(t, grants.End(0, hold) >= hold*102/100)
}

func TestNewLedgerAssumesGrantSentBeforeTakeover(t *testing.T) {
	l := grants.NewLedger(time.Minute, timeout, maxHold)
	end, ok := l.EndOf(ownerA, 7)
	assert.Assert(t, ok)
	assert.Equal(t, end, grants.End(time.Minute+timeout, maxHold))
	l.BeginSend(ownerA, 7)
	l.RecordAnswer(time.Minute, ownerA, 7, hold)
	end, _ = l.EndOf(ownerA, 7)
	assert.Equal(t, end, grants.End(time.Minute+timeout, maxHold), "a shorter renewal must not shorten an earlier grant")
}

// An unanswered grant of an earlier coordinator may be applied after its keys
// were released under this one. Soak seed 1 (late grants, coordinator killed)
// reproduces it.
func TestReleaseDoesNotEndPredecessorsGrants(t *testing.T) {
	l := grants.NewLedger(time.Minute, timeout, maxHold)
	unansweredEnd, ok := l.EndOfUnanswered(ownerA, 7)
	assert.Assert(t, ok)
	assert.Equal(t, unansweredEnd, grants.End(time.Minute+timeout, maxHold))
	l.MarkNewFence(ownerA, 8)
	unansweredEnd, _ = l.EndOfUnanswered(ownerA, 8)
	assert.Equal(t, unansweredEnd, time.Duration(0), "no earlier coordinator granted keys under this fence")
	end, _ := l.EndOf(ownerA, 8)
	assert.Equal(t, end, time.Duration(0))
	l.Inherit(ownerA, 7, 9)
	unansweredEnd, _ = l.EndOfUnanswered(ownerA, 9)
	assert.Equal(t, unansweredEnd, grants.End(time.Minute+timeout, maxHold), "merged ranges inherit the floor")
}

// A coordinator that resigns hands its floor over to its successor.
func TestSuccessorUsesFloorOfPredecessor(t *testing.T) {
	l := grants.NewLedgerWithFloor(grants.Floor{End: 2 * time.Second, UnansweredEnd: time.Second})
	_, ok := l.Floor()
	assert.Assert(t, ok)
	l.BeginSend(ownerA, 7)
	_, ok = l.Floor()
	assert.Assert(t, !ok, "one grant is in flight")
	l.RecordAnswer(3*time.Second, ownerA, 7, hold)
	f, ok := l.Floor()
	assert.Assert(t, ok)
	assert.Equal(t, f.End, grants.End(3*time.Second, hold))
	assert.Equal(t, f.UnansweredEnd, time.Second, "the floor of the previous coordinator remains")
	next := grants.NewLedgerWithFloor(f)
	unansweredEnd, _ := next.EndOfUnanswered(ownerA, 7)
	assert.Equal(t, unansweredEnd, time.Second)
	end, _ := next.EndOf(ownerA, 7)
	assert.Equal(t, end, f.End)
}

func TestGrantInFlightHasNoEnd(t *testing.T) {
	l := grants.NewLedger(-time.Hour, timeout, maxHold)
	l.BeginSend(ownerA, 7)
	_, ok := l.EndOf(ownerA, 7)
	assert.Assert(t, !ok)
	l.BeginSend(ownerA, 7)
	l.RecordAnswer(time.Second, ownerA, 7, hold)
	_, ok = l.EndOf(ownerA, 7)
	assert.Assert(t, !ok, "one of two grants is in flight")
	l.RecordReset(3*time.Second, ownerA, 7, hold)
	end, ok := l.EndOf(ownerA, 7)
	assert.Assert(t, ok)
	assert.Equal(t, end, grants.End(3*time.Second, hold))
}

// Grants to a target without a connection are not sent. They must not extend the
// end, so that the target's keys are free as soon as the last grant that arrived
// has ended.
func TestUnsentGrantDoesNotExtendEnd(t *testing.T) {
	l := grants.NewLedger(-time.Hour, timeout, maxHold)
	l.BeginSend(ownerA, 7)
	l.RecordAnswer(time.Second, ownerA, 7, hold)
	l.BeginSend(ownerA, 7)
	l.CancelSend(ownerA, 7)
	end, ok := l.EndOf(ownerA, 7)
	assert.Assert(t, ok)
	assert.Equal(t, end, grants.End(time.Second, hold))
	unansweredEnd, _ := l.EndOfUnanswered(ownerA, 7)
	assert.Equal(t, unansweredEnd, time.Duration(0))
}

// An unanswered grant may be applied after a release, so only its end frees the
// keys, even if a later grant was answered.
func TestUnansweredGrantOutlivesRelease(t *testing.T) {
	l := grants.NewLedger(-time.Hour, timeout, maxHold)
	l.BeginSend(ownerA, 7)
	l.RecordReset(2*time.Second, ownerA, 7, hold)
	l.BeginSend(ownerA, 7)
	l.RecordAnswer(3*time.Second, ownerA, 7, hold)
	unansweredEnd, ok := l.EndOfUnanswered(ownerA, 7)
	assert.Assert(t, ok)
	assert.Equal(t, unansweredEnd, grants.End(2*time.Second, hold))
	other, _ := l.EndOfUnanswered(keyrange.Owner{Target: "a", Run: 2}, 7)
	assert.Equal(t, other, time.Duration(0), "another run of the target has no such grant")
}

func TestGrantsThatHaveNotEndedAreKept(t *testing.T) {
	l := grants.NewLedger(-time.Hour, timeout, maxHold)
	l.BeginSend(ownerA, 7)
	l.RecordReset(0, ownerA, 7, hold)
	l.RemoveEnded(hold)
	end, _ := l.EndOfUnanswered(ownerA, 7)
	assert.Assert(t, end > hold)
	l.RemoveEnded(time.Minute)
	end, _ = l.EndOfUnanswered(ownerA, 7)
	assert.Equal(t, end, time.Duration(0))
}

// Ranges are merged under a new fence while a renewal under the old fence is in
// flight.
func TestMergedRangeInheritsGrantsInFlight(t *testing.T) {
	l := grants.NewLedger(-time.Hour, timeout, maxHold)
	l.BeginSend(ownerA, 7)
	l.Inherit(ownerA, 7, 9)
	_, ok := l.EndOf(ownerA, 9)
	assert.Assert(t, !ok)
	l.RecordReset(time.Second, ownerA, 7, hold)
	l.RemoveEnded(2 * time.Second)
	unansweredEnd, ok := l.EndOfUnanswered(ownerA, 9)
	assert.Assert(t, ok)
	assert.Equal(t, unansweredEnd, grants.End(time.Second, hold))
	l.RemoveEnded(time.Minute)
	l.RemoveEnded(time.Minute)
	unansweredEnd, _ = l.EndOfUnanswered(ownerA, 9)
	assert.Equal(t, unansweredEnd, time.Duration(0))
}

// Guards against a coordinator that no longer hands back the processor: the parts of a
// range that was split are merged again, so that each fence is inherited twice from the
// same one, over and over.
func TestInheritedGrantsAreCountedOnce(t *testing.T) {
	l := grants.NewLedger(-time.Hour, timeout, maxHold)
	l.BeginSend(ownerA, 1)
	l.RecordReset(time.Second, ownerA, 1, hold)
	const generations = 64
	for fence := uint64(1); fence < generations; fence++ {
		l.Inherit(ownerA, fence, fence+1)
		l.Inherit(ownerA, fence, fence+1)
	}
	ended := make(chan time.Duration, 1)
	go func() {
		end, _ := l.EndOfUnanswered(ownerA, generations)
		ended <- end
	}()
	select {
	case end := <-ended:
		assert.Equal(t, end, grants.End(time.Second, hold))
	case <-time.After(10 * time.Second):
		t.Fatal("the end of a range that was merged 63 times takes more than 10 s to find")
	}
}

// Keys of an unknown owner are free only when every grant of earlier coordinators has
// ended, also those that this one has lost track of.
func TestUnknownOwnerIsAwaited(t *testing.T) {
	l := grants.NewLedger(time.Minute, timeout, maxHold)
	transfer := grants.NewTransfer(keyrange.Previous{})
	end := grants.End(time.Minute+timeout, maxHold)
	assert.Equal(t, l.Next(end-time.Millisecond, transfer).Step, grants.StepWait)
	l.RaiseFloor(grants.UnknownFloor(2*time.Minute, timeout, maxHold))
	assert.Equal(t, l.Next(end, transfer).Step, grants.StepWait)
	l.RaiseFloor(grants.Floor{})
	end = grants.End(2*time.Minute+timeout, maxHold)
	assert.Equal(t, l.Next(end-time.Millisecond, transfer).Step, grants.StepWait)
	d := l.Next(end, transfer)
	assert.Equal(t, d.Step, grants.StepFree)
	assert.Equal(t, d.Ground, grants.GroundExpired)
}
