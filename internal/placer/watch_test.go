package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/lease"
)

func newTestWatch(host string, record string) *watch {
	p := &Placer{
		cfg:      Config{Self: lease.Incarnation{Host: host, Run: 1}, Cell: "kl"},
		start:    time.Now().Add(-time.Hour),
		cache:    state.NewCache(),
		liveness: newLivenessTracker(),
	}
	p.cache.Apply([]platform.Object{{Name: platform.CellPrefix + "kl", Version: 1, Value: []byte(record)}})
	p.watch = newWatch(p)
	return p.watch
}

const twoHosts = `{"cell":"kl","hosts":[{"name":"kl-1","placer_run":1,"placer_addr":"127.0.0.1:1"},{"name":"kl-2","placer_run":1,"placer_addr":"127.0.0.1:2"}]}`

// TestRelayedAnswerIsNotDirect: placers that follow each other must not make each other
// believe that the store is reachable.
func TestRelayedAnswerIsNotDirect(t *testing.T) {
	w := newTestWatch("kl-2", twoHosts)
	w.relayedAnswerAt.Store(int64(w.placer.now()))
	assert.Assert(t, w.isStoreReachable())
	assert.Assert(t, !w.isStoreReachableDirectly())
	w.directAnswerAt.Store(int64(w.placer.now()))
	assert.Assert(t, w.isStoreReachableDirectly())
}

// TestQuietRelayIsReplaced: a placer that kept following a host that it cannot reach would
// miss changes while another host could send them.
func TestQuietRelayIsReplaced(t *testing.T) {
	w := newTestWatch("kl-3", threeHosts)
	p := w.placer
	p.liveness = newLivenessTracker()
	w.relayedAnswerAt.Store(int64(p.now()))
	assert.Equal(t, w.upstreamAddr(0), "127.0.0.1:1", "no host has answered yet, so none is quiet")
	p.liveness.placerAnswered("127.0.0.1:1", p.now())
	p.liveness.placerAnswered("127.0.0.1:2", p.now())
	assert.Equal(t, w.upstreamAddr(0), "127.0.0.1:1")
	p.liveness.placerAnswered("127.0.0.1:1", p.now()-relayTimeout)
	for i := range 4 {
		assert.Equal(t, w.upstreamAddr(i), "127.0.0.1:2")
	}
}

// TestHostsDoNotFollowEachOther: while the first host of a cell is cut off, the next one
// watches the store. No host follows a later one once the first host is back.
func TestHostsDoNotFollowEachOther(t *testing.T) {
	w := newTestWatch("kl-2", threeHosts)
	p := w.placer
	w.relayedAnswerAt.Store(int64(p.now()))
	p.liveness.placerAnswered("127.0.0.1:1", p.now())
	assert.Assert(t, w.usesRelay())
	p.liveness.placerAnswered("127.0.0.1:1", p.now()-relayTimeout)
	assert.Assert(t, !w.usesRelay(), "no other host watches the store")
	assert.Assert(t, !w.isOutranked("127.0.0.1:3"))
	p.liveness.placerAnswered("127.0.0.1:1", p.now())
	assert.Assert(t, w.isOutranked("127.0.0.1:3"), "kl-1 is back")
	assert.Assert(t, !w.isOutranked("127.0.0.1:1"))
}

// TestFirstHostAlwaysWatchesStore: the first host of each cell keeps calling the store,
// whatever the others report.
func TestFirstHostAlwaysWatchesStore(t *testing.T) {
	first, second := newTestWatch("kl-1", twoHosts), newTestWatch("kl-2", twoHosts)
	for _, w := range []*watch{first, second} {
		w.relayedAnswerAt.Store(int64(w.placer.now()))
	}
	assert.Assert(t, !first.usesRelay())
	assert.Assert(t, second.usesRelay())
}
