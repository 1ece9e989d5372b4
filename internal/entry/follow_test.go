package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	wire "github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// Entries lapse while the store is away and return after it. The coordinator keeps
// them meanwhile, but the hosts that it relays to were told that they went: they
// must be told that they are back. Found on pinjam-antara, mix with seed
// 129149726327 (CONFIG): most hosts had no target from two seconds after the
// outage on.
func TestAnEntryThatReturnsIsRelayed(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.n
	var feed *feed
	for _, f := range n.feeds {
		if f.prefix == wire.TargetPrefix {
			feed = f
		}
	}
	value, err := json.Marshal(standin.Entry("s", "127.0.0.1:1", "here", 4, "ready", 1, 7))
	assert.NilError(t, err)
	entry := func(version uint64, deleted bool) []platform.Object {
		return []platform.Object{{Name: wire.TargetPrefix + "a", Version: version, Deleted: deleted, Value: value}}
	}
	n.directory.Heard(steady() - time.Minute)
	assert.Equal(t, len(feed.apply(entry(1, false))), 1)
	assert.Equal(t, len(feed.apply(entry(2, false))), 0, "a heartbeat is not relayed")
	n.directory.Heard(steady()) // after an outage
	assert.Equal(t, len(feed.apply(entry(2, true))), 1)
	assert.Equal(t, len(n.directory.Of("s")), 1, "kept until it must be back")
	assert.Equal(t, len(feed.apply(entry(3, false))), 1)
}

// The coordinator relays what it wrote without a watch. Two writes may be
// acknowledged in the other order: then it lists its objects again, as hosts that
// have the later one would never get the earlier.
func TestTheCoordinatorKnowsWhatItWrote(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.n
	var own *feed
	for _, f := range n.feeds {
		if f.own {
			own = f
		}
	}
	own.take(platform.Batch{Revision: 1}, true, 0)
	n.wrote("mangopost/x", 5, json.RawMessage(`{}`))
	assert.Equal(t, own.revision(), uint64(5))
	assert.Assert(t, own.writes())
	n.wrote("mangopost/y", 4, json.RawMessage(`{}`))
	assert.Equal(t, own.revision(), uint64(0), "it is listed again")
	assert.Assert(t, !own.writes())
}

// Pattern: all hosts were killed and start again at once. The record still names a
// coordinator, which relays nothing: hosts ask the store at once. Found on pinjam-antara:
// the worst seconds of all days that end with such a fault.
func TestAHostDoesNotWaitForACoordinatorThatDoesNotAnswer(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.n
	n.candidate.election.Observe(leaseClock(), 9, coordinator.Record{Holder: "other", Run: 7, Addr: "127.0.0.1:1"})
	f := n.feeds[0]
	waits := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), relayCheck)
		defer cancel()
		f.awaitRelay(ctx, time.Hour)
		return ctx.Err() != nil
	}
	assert.Assert(t, waits(), "the coordinator may be about to answer")
	n.reportFailed.Store(true)
	assert.Assert(t, !waits())
	n.reportFailed.Store(false)
	n.candidate.election.Observe(leaseClock(), 10, coordinator.Record{Holder: "h", Run: 7, Addr: "127.0.0.1:1"})
	assert.Assert(t, !waits(), "this host was the coordinator")
}
