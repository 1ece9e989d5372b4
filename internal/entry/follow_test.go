package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// Guards against hosts that keep no target after a store outage. Entries lapse
// during the outage and reappear after it. The coordinator keeps them meanwhile,
// but has relayed their removal to the hosts, so it must also relay their return.
func TestReturningTargetEntryIsRelayed(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.node
	var feed *feed
	for _, f := range n.feeds {
		if f.prefix == platform.TargetPrefix {
			feed = f
		}
	}
	value, err := json.Marshal(standin.TargetEntry("s", "127.0.0.1:1", "here", 4, "ready", 1, 7))
	assert.NilError(t, err)
	entry := func(version uint64, deleted bool) []objectstore.Object {
		return []objectstore.Object{{Name: platform.TargetPrefix + "a", Version: version, Deleted: deleted, Value: value}}
	}
	n.directory.RecordAnswer(steadyClock() - time.Minute)
	assert.Equal(t, len(feed.apply(entry(1, false))), 1)
	assert.Equal(t, len(feed.apply(entry(2, false))), 0, "a heartbeat is not relayed")
	n.directory.RecordFailure()
	n.directory.RecordAnswer(steadyClock()) // after an outage
	assert.Equal(t, len(feed.apply(entry(2, true))), 1)
	assert.Equal(t, len(n.directory.TargetsOf("s")), 1, "kept until the entry must have reappeared")
	assert.Equal(t, len(feed.apply(entry(3, false))), 1)
}

// The store rejects the calls of some hosts for their number and answers targets: a target
// that has left meanwhile must not be kept, as after an outage. After 503 it is kept.
func TestOnlyOutageKeepsRemovedTargets(t *testing.T) {
	for status, kept := range map[int]int{http.StatusTooManyRequests: 0, http.StatusServiceUnavailable: 1} {
		tm, _ := newTestTerm(t)
		n := tm.node
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(server.Close)
		n.store = platform.NewStore(server.Listener.Addr().String())
		f := n.feedOf(platform.TargetPrefix)
		value, err := json.Marshal(standin.TargetEntry("s", "127.0.0.1:1", "here", 4, "ready", 1, 7))
		assert.NilError(t, err)
		n.directory.RecordAnswer(steadyClock() - time.Minute)
		f.apply([]objectstore.Object{{Name: platform.TargetPrefix + "a", Version: 1, Value: value}})
		f.callStore(t.Context(), false)
		n.directory.RecordAnswer(steadyClock())
		f.apply([]objectstore.Object{{Name: platform.TargetPrefix + "a", Version: 2, Deleted: true}})
		assert.Equal(t, len(n.directory.TargetsOf("s")), kept, "status %d", status)
	}
}

// A host was cut off from the store. Targets that left meanwhile are kept for the period in
// which entries return, and not until some later check: the host counts as in contact soon.
func TestRemovedTargetIsDroppedWhenReturnPeriodEnds(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.node
	f := n.feedOf(platform.TargetPrefix)
	value, err := json.Marshal(standin.TargetEntry("s", "127.0.0.1:1", "here", 4, "ready", 1, 7))
	assert.NilError(t, err)
	n.directory.RecordAnswer(steadyClock() - time.Minute)
	f.apply([]objectstore.Object{{Name: platform.TargetPrefix + "a", Version: 1, Value: value}})
	n.directory.RecordFailure()
	f.applyBatch(objectstore.Batch{Revision: 2}, true, 0) // the entry is gone
	count := func() int {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.directory.TargetsOf("s"))
	}
	assert.Equal(t, count(), 1)
	for end := time.Now().Add(awaitLimit); count() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "still kept")
	}
}

// The coordinator relays its own writes without watching them. If two writes are
// acknowledged in reverse order it must list its objects again, because hosts that
// have the later one would never be sent the earlier one.
func TestCoordinatorAppliesOwnWritesWithoutWatch(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.node
	var ownFeed *feed
	for _, f := range n.feeds {
		if f.isOwn {
			ownFeed = f
		}
	}
	ownFeed.applyBatch(objectstore.Batch{Revision: 1}, true, 0)
	n.applyOwnWrite("mangopost/x", 5, json.RawMessage(`{}`))
	assert.Equal(t, ownFeed.revision(), uint64(5))
	assert.Assert(t, ownFeed.knowsOwnWrites())
	n.applyOwnWrite("mangopost/y", 4, json.RawMessage(`{}`))
	assert.Equal(t, ownFeed.revision(), uint64(0), "the feed must be listed again")
	assert.Assert(t, !ownFeed.knowsOwnWrites())
}

// An object causes an unexpected error each time it is applied. The feed goes on, and
// does not call the store without a pause.
func TestFeedPausesAfterUnexpectedError(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.node
	var calls atomic.Int64
	store := standin.NewStore()
	store.Fault = func(*http.Request) standin.Fault {
		calls.Add(1)
		return standin.None
	}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	n.store = platform.NewStore(server.Listener.Addr().String())
	f := n.feeds[0]
	f.replace = func([]objectstore.Object) { panic("unforeseen object") }
	ctx, cancel := context.WithTimeout(t.Context(), panicPause/2)
	defer cancel()
	assert.NilError(t, f.follow(ctx))
	assert.Equal(t, calls.Load(), int64(1))
}

// Guards against hosts that wait for a relay after all hosts were killed and
// restarted at once: the record still names a coordinator that relays nothing, so
// hosts must ask the store immediately.
func TestHostDoesNotAwaitUnresponsiveCoordinator(t *testing.T) {
	tm, _ := newTestTerm(t)
	n := tm.node
	n.candidate.election.Observe(leaseClock(), 9, coordinator.Record{Holder: "other", Run: 7, Addr: "127.0.0.1:1"})
	f := n.feeds[0]
	waits := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), relayCheckInterval)
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
