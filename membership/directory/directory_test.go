package directory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/membership/directory"
)

const second = time.Second

func newDirectory() *directory.Directory {
	d := directory.New(directory.Timing{OutageAfter: second, ReturnPeriod: 2 * second})
	d.RecordAnswer(0)
	d.Replace(0, []directory.Entry{{Name: "a", Service: "s", Run: 1, Heartbeat: 1}, {Name: "b", Service: "s", Run: 1}})
	return d
}

func TestRemovedEntryIsDropped(t *testing.T) {
	d := newDirectory()
	d.RecordAnswer(second / 2)
	d.Remove(second/2, "a")
	assert.Equal(t, len(d.TargetsOf("s")), 1)
}

func TestEntriesExpiredDuringOutageAreKeptForReturnPeriod(t *testing.T) {
	d := newDirectory()
	d.RecordFailure()
	assert.Assert(t, d.RecordAnswer(5*second), "after an outage")
	d.Replace(5*second, nil)
	assert.Equal(t, len(d.TargetsOf("s")), 2)
	d.Put(directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 2})
	d.RecordAnswer(6 * second)
	assert.Assert(t, !d.Tick(6*second))
	assert.Assert(t, d.Tick(7*second))
	assert.Equal(t, len(d.TargetsOf("s")), 1)
	_, ok := d.Get("a")
	assert.Assert(t, ok, "the target wrote its entry again")
}

// A host hears nothing for a while because the hosts that relay to it have changed, or
// because it was frozen. The store was available, so an entry that is gone names a target
// that is leaving, and must not be kept. A failure of before the last answer does not count.
func TestTimeWithoutRelaysIsNoOutage(t *testing.T) {
	d := newDirectory()
	d.RecordFailure()
	assert.Assert(t, !d.RecordAnswer(second/2), "no time has passed")
	assert.Assert(t, !d.RecordAnswer(5*second), "the store was available")
	d.Remove(5*second, "a")
	assert.Equal(t, len(d.TargetsOf("s")), 1)
}

func TestEntryRemovedAfterReturnPeriodIsDropped(t *testing.T) {
	d := newDirectory()
	d.RecordFailure()
	d.RecordAnswer(5 * second)
	d.RecordAnswer(5*second + second/2)
	d.RecordAnswer(6 * second)
	d.RecordAnswer(6*second + second/2)
	d.RecordAnswer(7*second + second/4)
	d.Remove(7*second+second/4, "a")
	assert.Equal(t, len(d.TargetsOf("s")), 1)
}

// A target says in an answer that it is leaving. An older entry, or one that returns
// after an outage of the store, does not undo that; the target's next run does.
func TestOnlyNextRunUndoesLeavingMark(t *testing.T) {
	d := newDirectory()
	isLeaving := func() bool {
		e, ok := d.Get("a")
		return ok && e.Leaving && d.TargetsOf("s")[0].Leaving
	}
	assert.Assert(t, d.MarkLeaving(second, directory.Run{Target: "a", Run: 1}))
	assert.Assert(t, !d.MarkLeaving(second, directory.Run{Target: "a", Run: 1}), "known already")
	assert.Assert(t, isLeaving())
	announced, _ := d.Announced("a")
	assert.Assert(t, !announced.Leaving, "the entry in the store is unchanged")
	d.Put(directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 2})
	assert.Assert(t, isLeaving())
	d.Remove(2*second, "a")
	d.Tick(second)
	d.Put(directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 3})
	assert.Assert(t, isLeaving())
	d.Put(directory.Entry{Name: "a", Service: "s", Run: 2})
	assert.Assert(t, !isLeaving())
	assert.Assert(t, !d.MarkLeaving(5*second, directory.Run{Target: "a", Run: 1}), "an answer of the earlier run arrives late")
	assert.Assert(t, !isLeaving())
}

func TestMarksAreSpreadForAWhileAndForgotten(t *testing.T) {
	d := newDirectory()
	run := directory.Run{Target: "gone", Run: 7}
	d.MarkLeaving(0, run)
	assert.DeepEqual(t, d.RecentMarks(second), []directory.Run{run})
	assert.Equal(t, len(d.RecentMarks(11*second)), 0)
	assert.Assert(t, !d.MarkLeaving(11*second, run), "still known")
	d.Tick(11 * 60 * second)
	assert.Assert(t, d.MarkLeaving(11*60*second, run), "a target without an entry is forgotten")
}

// Guards against work for a run that has ended, and for a target that is leaving: an older
// copy of the store shows states of before.
func TestOlderEntriesAfterRestore(t *testing.T) {
	d := newDirectory()
	d.Put(directory.Entry{Name: "a", Service: "s", Run: 2, Heartbeat: 3, Leaving: true})
	restored := []directory.Entry{{Name: "a", Service: "s", Run: 2, Heartbeat: 2}}
	d.RecordRestore(second)
	d.Replace(second, restored)
	e, _ := d.Get("a")
	assert.Assert(t, e.Leaving)
	assert.Equal(t, len(d.TargetsOf("s")), 2, "a missing entry is kept")
	d.Replace(2*second, []directory.Entry{{Name: "a", Service: "s", Run: 2, Heartbeat: 4}})
	e, _ = d.Get("a")
	assert.Assert(t, !e.Leaving, "the target wrote it again")
	assert.Assert(t, d.Tick(3*second))
	assert.Equal(t, len(d.TargetsOf("s")), 1)
	d.Replace(4*second, restored) // a stale listing, as before
	e, _ = d.Get("a")
	assert.Equal(t, e.Heartbeat, uint64(2))
}
