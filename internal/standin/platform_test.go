package standin

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
)

func TestCallsAboveRateLimitAreRefused(t *testing.T) {
	p := NewPlatform(PlatformOptions{WritesPerSecond: 0.001, ReadsPerSecond: 0.001})
	store := p.View("kl-1")
	_, err := store.Put(t.Context(), "a", 0, json.RawMessage(`1`))
	assert.NilError(t, err)
	_, err = store.Put(t.Context(), "b", 0, json.RawMessage(`1`))
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = store.Get(t.Context(), "a")
	assert.NilError(t, err)
	_, err = store.Get(t.Context(), "a")
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	stats := p.Stats()
	assert.Equal(t, stats.Total(CallPut), uint64(2))
	assert.DeepEqual(t, stats.Counts[0], CallCount{Caller: "kl-1", Kind: CallGet, Calls: 2, Refused: 1})
}

func TestPlatformFaults(t *testing.T) {
	p := NewPlatform(PlatformOptions{})
	uncutStore, cutStore := p.View("kl-1"), p.View("kuching-1")
	value := json.RawMessage(`1`)

	p.SetFaults(PlatformFaults{Cut: []string{"kuching-1"}})
	_, err := cutStore.Put(t.Context(), "a", 0, value)
	assert.ErrorIs(t, err, platform.ErrUncertain)
	_, err = uncutStore.Put(t.Context(), "a", 0, value)
	assert.NilError(t, err)

	p.SetFaults(PlatformFaults{Down: true})
	_, err = uncutStore.Put(t.Context(), "b", 0, value)
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	p.SetFaults(PlatformFaults{LoseAnswerEvery: 2})
	_, err = uncutStore.Put(t.Context(), "c", 0, value)
	assert.NilError(t, err)
	_, err = uncutStore.Put(t.Context(), "d", 0, value)
	assert.ErrorIs(t, err, platform.ErrUncertain)
	_, err = uncutStore.Get(t.Context(), "d")
	assert.NilError(t, err)
	_, err = uncutStore.Get(t.Context(), "b")
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

func TestStaleReadsReturnEarlierState(t *testing.T) {
	o := newObjectStore()
	v1, err := o.put("a", 0, json.RawMessage(`1`))
	assert.NilError(t, err)
	between := time.Now()
	_, err = o.put("a", v1, json.RawMessage(`2`))
	assert.NilError(t, err)
	_, err = o.put("b", 0, json.RawMessage(`3`))
	assert.NilError(t, err)

	batch := o.listAt("", between)
	assert.Equal(t, batch.Revision, v1)
	assert.Equal(t, len(batch.Objects), 1)
	assert.Equal(t, string(batch.Objects[0].Value), "1")
	_, err = o.getAt("b", between)
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

func TestWatchBeforeOldestRevisionIsCompacted(t *testing.T) {
	o := newObjectStore()
	var version uint64
	for range historySize + 10 {
		var err error
		version, err = o.put("a", version, json.RawMessage(`1`))
		assert.NilError(t, err)
	}
	_, _, err := o.changesSince("", 9)
	assert.ErrorIs(t, err, platform.ErrCompacted)
	batch, _, err := o.changesSince("", 10)
	assert.NilError(t, err)
	assert.Equal(t, batch.Objects[0].Version, version)
	_, _, err = o.changesSince("", version+1)
	assert.ErrorIs(t, err, platform.ErrCompacted)
}

func TestHostListChangeIsVisibleAfterLag(t *testing.T) {
	list := &hostList{lag: time.Second}
	now := time.Now()
	first := platform.TargetHost{Name: "k1", Service: "katalog", Addr: "127.0.0.1:1", State: platform.HostLive}
	leaving := first
	leaving.State = platform.HostLeaving
	list.apply(HostChange{Hosts: []platform.TargetHost{first}}, now)
	list.apply(HostChange{Hosts: []platform.TargetHost{leaving}}, now.Add(time.Second/2))
	list.apply(HostChange{Remove: []string{"k1"}}, now.Add(time.Second))

	assert.Equal(t, len(list.visibleAt(now)), 0)
	assert.DeepEqual(t, list.visibleAt(now.Add(time.Second)), []platform.TargetHost{first})
	assert.DeepEqual(t, list.visibleAt(now.Add(3*time.Second/2)), []platform.TargetHost{leaving})
	assert.Equal(t, len(list.visibleAt(now.Add(2*time.Second))), 0)
}

func FuzzDecodePlatformAdmin(f *testing.F) {
	f.Add([]byte(`{"down":true,"slow_ms":20,"lose_answer_every":1,"cut":["kl-1"]}`))
	f.Add([]byte(`{"hosts":[{"name":"k1","service":"katalog","addr":"127.0.0.1:1","state":"live"}],"remove":["k2"]}`))
	f.Add([]byte(`{"slow_ms":-1,"stale_ms":1e9,"cut":[""]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if faults, err := DecodePlatformFaults(body); err == nil {
			assert.NilError(t, faults.Check())
		}
		if change, err := DecodeHostChange(body); err == nil {
			assert.NilError(t, change.Check())
		}
	})
}
