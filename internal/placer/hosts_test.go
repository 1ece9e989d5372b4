package placer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership"
)

// newActingPlacer returns the placer of the only host of its cell, which reaches the
// store.
func newActingPlacer(t *testing.T) (*Placer, *fakeStore) {
	t.Helper()
	p, store := newTestPlacer()
	assert.NilError(t, p.join(t.Context()))
	syncCache(t, p, store)
	p.watch.directAnswerAt.Store(int64(p.now()))
	assert.Assert(t, p.isActing())
	return p, store
}

// TestHostListIsReadBeforePlanning: the list of a placer that starts to plan or was paused
// may be older than the state of its targets, which may be leaving by now.
func TestHostListIsReadBeforePlanning(t *testing.T) {
	p, store := newActingPlacer(t)
	live := []platform.TargetHost{{Name: "a", Service: katalog, State: platform.HostLive}}
	leaving := []platform.TargetHost{{Name: "a", Service: katalog, State: platform.HostLeaving}}
	store.hosts = live
	assert.Assert(t, !p.isHostListUsable())
	p.refreshHosts(t.Context())
	assert.Assert(t, p.isHostListUsable())

	store.hosts = leaving
	p.start = p.start.Add(-hostsInterval - 2*maxHostsReadDelay) // the process was paused while the clock ran
	assert.Assert(t, !p.isHostListUsable())
	p.watch.directAnswerAt.Store(int64(p.now()))
	p.refreshHosts(t.Context())
	assert.Assert(t, p.isHostListUsable())
	assert.Equal(t, p.hosts.Load().targets[0].State, platform.HostLeaving)
}

// TestHostListIsUnusableAfterAnotherPlacerActed: the list was read before another host
// became the acting placer.
func TestHostListIsUnusableAfterAnotherPlacerActed(t *testing.T) {
	p, store := newActingPlacer(t)
	p.refreshHosts(t.Context())
	assert.Assert(t, p.isHostListUsable())
	record := storedRecord(t, store)
	record.Hosts = []membership.Host{{Name: "kl-2", PlacerRun: 1}}
	store.set(t, p.recordName(), record)
	syncCache(t, p, store)
	p.refreshHosts(t.Context())
	assert.Assert(t, !p.isHostListUsable())
}
