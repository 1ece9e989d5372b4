package placer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/template"
)

// writeConfig writes the given versions of the configuration one after the other.
func writeConfig(t *testing.T, store platform.Store, versions ...uint64) {
	t.Helper()
	for _, version := range versions {
		writeObject(t, store, platform.ConfigObject, template.Config{Version: version})
	}
}

// TestStaleListDoesNotApplyOldConfiguration: a host that was replaced starts with an
// empty cache and must not put an old configuration in force that a stale list returns.
func TestStaleListDoesNotApplyOldConfiguration(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{})
	writeConfig(t, store.View("operator"), 1)
	time.Sleep(20 * time.Millisecond)
	writeConfig(t, store.View("operator"), 2)
	store.SetFaults(standin.PlatformFaults{StaleMS: 10})
	p := New(Config{Self: lease.Incarnation{Host: "kl-1", Run: 5}, Cell: "kl"}, store.View("kl-1"), hclog.NewNullLogger())
	assert.NilError(t, p.watch.listOrWatch(t.Context()))
	assert.Equal(t, p.cache.View().Config.Value.Version, uint64(2))
}

// writeObject stores a value on behalf of another writer.
func writeObject(t *testing.T, store platform.Store, name string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	old, _ := store.Get(t.Context(), name)
	_, err = store.Put(t.Context(), name, old.Version, raw)
	assert.NilError(t, err)
}

// TestStaleReadDoesNotConfirmStop: a client that was added before the stop began is called
// first, even if the placer knows only the stop and the store answers with an older
// state.
func TestStaleReadDoesNotConfirmStop(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{})
	operator := store.View("operator")
	store.SetHosts([]platform.TargetHost{{Name: "a", Service: katalog, DataCentre: "kl", State: platform.HostLive}})
	p := New(Config{Self: lease.Incarnation{Host: "kl-1", Run: 5}, Cell: "kl"}, store.View("kl-1"), hclog.NewNullLogger())
	writeObject(t, operator, platform.ConfigObject, template.Config{Version: 1, Clients: []template.Client{desk}})
	writeObject(t, operator, stopName, clearedStop())
	time.Sleep(20 * time.Millisecond)
	writeObject(t, operator, platform.ConfigObject, template.Config{Version: 2, Clients: []template.Client{desk, counter}})
	begun := clearedStop()
	begun.State = maintenance.Draining
	writeObject(t, operator, stopName, begun)
	object, err := operator.Get(t.Context(), stopName)
	assert.NilError(t, err)
	p.cache.Apply([]platform.Object{object})
	store.SetFaults(standin.PlatformFaults{StaleMS: 10})
	_ = p.advanceStop(t.Context(), begun)
	store.SetFaults(standin.PlatformFaults{})
	object, err = operator.Get(t.Context(), stopName)
	assert.NilError(t, err)
	var s maintenance.Stop
	assert.NilError(t, json.Unmarshal(object.Value, &s))
	assert.Assert(t, !s.Confirmed, "%s was not called", counter.Name)
}
