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
	d.RecordAnswer(5 * second) // after an outage
	d.Replace(5*second, nil)
	assert.Equal(t, len(d.TargetsOf("s")), 2)
	d.Put(6*second, directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 2})
	d.RecordAnswer(6 * second)
	assert.Assert(t, !d.Tick(6*second))
	assert.Assert(t, d.Tick(7*second))
	assert.Equal(t, len(d.TargetsOf("s")), 1)
	_, ok := d.Get("a")
	assert.Assert(t, ok, "the target wrote its entry again")
}

func TestEntryRemovedAfterReturnPeriodIsDropped(t *testing.T) {
	d := newDirectory()
	d.RecordAnswer(5 * second)
	d.RecordAnswer(5*second + second/2)
	d.RecordAnswer(6 * second)
	d.RecordAnswer(6*second + second/2)
	d.RecordAnswer(7*second + second/4)
	d.Remove(7*second+second/4, "a")
	assert.Equal(t, len(d.TargetsOf("s")), 1)
}

func TestSilentCountsFromLastHeartbeat(t *testing.T) {
	d := newDirectory()
	d.RecordAnswer(second)
	d.Put(second, directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 1, Leaving: true})
	assert.Equal(t, d.SilentFor("a"), second, "a change with the same heartbeat number is not a heartbeat")
	d.RecordAnswer(2 * second)
	d.Put(2*second, directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 2})
	assert.Equal(t, d.SilentFor("a"), time.Duration(0))
}
