package placer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// TestRetriedDecisionIsLoggedOnce: after a conflict with another writer's update the
// decision is made again, and only the one that the store accepted is logged and counted.
func TestRetriedDecisionIsLoggedOnce(t *testing.T) {
	p, store := newTestPlacer(otherWriter)
	page := newTestPage(t, 1)
	store.otherWrite = func(name string) { store.set(t, name, page) }
	store.set(t, pageName(katalog), page)
	p.setHosts([]platform.TargetHost{{Name: "b", Service: katalog, DataCentre: "kl", State: platform.HostLive}})
	known := state.Versioned[ownership.Page]{Version: 1, Value: page}
	assert.NilError(t, p.placeShards(t.Context(), template.Template{Service: katalog}, known))
	assert.Equal(t, store.puts, 2)
	assert.Equal(t, stored[ownership.Page](t, store, pageName(katalog)).Shards[0].Target, "b")
	assert.Equal(t, p.metrics.moves.Get(), uint64(1))
}
