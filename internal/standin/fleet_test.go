package standin

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/platform"
)

func TestFleetRegistersHostsAndShowsLeavingState(t *testing.T) {
	p := NewPlatform(PlatformOptions{})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	addr := server.Listener.Addr().String()

	opts, err := Replicate(TargetOptions{Service: "katalog", DataCentre: "penang", Listen: "127.0.0.1:0"}, 3)
	assert.NilError(t, err)
	fleet, err := NewFleet(opts)
	assert.NilError(t, err)
	assert.NilError(t, fleet.Start())
	defer fleet.Stop()
	assert.NilError(t, fleet.Register(t.Context(), addr))
	assert.NilError(t, fleet.Apply(t.Context(), addr, TargetAction{Target: "katalog-penang-2", Action: ActionLeave}))

	hosts, err := p.View("kl-1").Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 3)
	assert.Equal(t, hosts[1].State, platform.HostLeaving)
	assert.Equal(t, hosts[2].Addr, fleet.Targets()[2].Addr())

	assert.ErrorIs(t, fleet.SetFaults("katalog-penang-9", TargetFaults{}), ErrNoTarget)
	assert.NilError(t, fleet.Apply(t.Context(), "", TargetAction{Target: "katalog-penang-1", Action: ActionCrash}))
	assert.Assert(t, !fleet.Target("katalog-penang-1").Status().Up)
}

func TestFleetOptionsCheckReportsAllErrors(t *testing.T) {
	err := FleetOptions{Targets: []TargetOptions{
		{Name: "a", Service: "katalog", Listen: "nowhere"},
		{Name: "a", Service: "katalog", Slots: -1},
	}}.Check()
	for _, part := range []string{"listen", "slots", "duplicate target"} {
		assert.ErrorContains(t, err, part)
	}
}

func TestLinkFaults(t *testing.T) {
	target := startTarget(t, TargetOptions{})
	link, err := NewLink("a", "127.0.0.1:0", target.Addr())
	assert.NilError(t, err)
	defer link.Close()
	relay := NewRelay(link)
	linkTarget := &Target{addr: link.Addr()}

	assert.NilError(t, send(t.Context(), linkTarget, "GET", "/?work_ms=0", "").err)

	assert.NilError(t, relay.SetFaults("a", LinkFaults{Refuse: true}))
	assert.Assert(t, send(t.Context(), linkTarget, "GET", "/?work_ms=0", "").err != nil)
	assert.Equal(t, len(target.Runs()), 1)

	// With the downstream direction cut, the request runs and its answer arrives
	// after the cut.
	assert.NilError(t, relay.SetFaults("a", LinkFaults{CutDown: true}))
	done := make(chan response, 1)
	go func() { done <- send(t.Context(), linkTarget, "GET", "/?work_ms=0", "") }()
	waitForRuns(t, target, 2)
	assert.Equal(t, len(done), 0)
	assert.NilError(t, relay.SetFaults("a", LinkFaults{DelayMS: 1, BytesPerSecond: 1 << 20}))
	assert.NilError(t, (<-done).err)

	// With the upstream direction cut, nothing runs until the cut ends.
	assert.NilError(t, relay.SetFaults("a", Blackhole))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- send(ctx, linkTarget, "GET", "/?work_ms=0", "") }()
	assert.NilError(t, sleep(t.Context(), milliseconds(50)))
	assert.Equal(t, len(target.Runs()), 2)
	cancel()
	assert.ErrorIs(t, (<-done).err, context.Canceled)
	assert.NilError(t, relay.SetFaults("", LinkFaults{}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if send(t.Context(), linkTarget, "GET", "/?work_ms=0", "").err == nil {
			return poll.Success()
		}
		return poll.Continue("cut")
	})
	assert.ErrorIs(t, relay.SetFaults("b", LinkFaults{}), ErrNoLink)
}
