package entry

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/hotrange"
	"github.com/mangopost/mangopost/platform/standin"
	"github.com/mangopost/mangopost/routing"
)

// setColdRate brings a configuration into force that limits the requests to cold targets.
func setColdRate(t *testing.T, n *Node, rate float64) {
	t.Helper()
	old := n.table.Load()
	n.configure(routing.NewTable(old.Version+1, []routing.Route{{
		Name: "r", Host: "host.example", Prefix: safePath, Idempotent: true, MaxAttempts: 3, Timeout: 2 * time.Second,
		LatencyGoal: 500 * time.Millisecond, Parts: []routing.Part{{Service: "s", Weight: 1}},
	}}, []routing.Service{{Name: "s", ColdRate: rate, ColdDuration: 5 * time.Second}}, routing.CallerLimits{}))
}

// TestConfigurationLimitsColdTargets: a service is kept when a configuration changes, and
// its limit of cold targets must change. A target that turns cold gets no request, and
// callers learn when it is warm.
func TestConfigurationLimitsColdTargets(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, http.StatusOK, r.Header.Get(standin.HeaderID), "done", "")
		return true
	})
	n, url := newServingNode(t, target)
	n.settings.Load().Bounds.ColdOverage = 1.5
	out := logTo(t, n)
	setColdRate(t, n, 1)
	n.mu.Lock()
	n.directory.Put(directory.Entry{
		Name: "t0", Service: "s", Addr: target.listener.Addr().String(), DataCentre: "here", Slots: 4, Run: 1, Heartbeat: 2, ColdFor: 5 * time.Second,
	})
	n.updateTargets()
	n.mu.Unlock()
	n.updateCold()
	status, _, header, err := ask(t, url, safePath, "1", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") > "1", header.Get("Retry-After"))
	assert.Equal(t, n.countColdTargets(), 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if out.lineWith("MP6020") == "" {
			return poll.Continue("not logged")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	setColdRate(t, n, 0)
	status, _, _, err = ask(t, url, safePath, "2", nil)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(target.received()), 1)
}

// TestFirstMapLeavesOutColdTargets: some targets are cold when a service gets its first
// owners.
func TestFirstMapLeavesOutColdTargets(t *testing.T) {
	owner := func(name string) keyrange.Owner { return keyrange.Owner{Target: name, Run: 1} }
	tm, _ := newTestTerm(t)
	targets := []hotrange.Target{{Owner: owner("a"), Capacity: 1}, {Owner: owner("b"), Capacity: 1, Cold: true}}
	for _, r := range tm.firstMap("s", targets).Ranges {
		assert.Equal(t, r.Owner.Target, "a")
	}
	targets[0].Cold = true
	assert.Equal(t, len(tm.firstMap("s", targets).Ranges), 2)
}

// TestNoLateConnectionToColdTarget: requests to a cold target that wait for a connection
// would all be written when the link is back. An address that takes no more connections
// must not hold them.
func TestNoLateConnectionToColdTarget(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	fillBacklog(t, l)
	n, _ := newServingNode(t)
	o := &outboundRequest{method: http.MethodGet, uri: "/", id: "1", connectWithin: coldConnectTime}
	owner := keyrange.Owner{Target: "t0", Run: 1, Addr: l.Addr().String()}
	a := n.exchange(t.Context(), o, owner, time.Minute)
	assert.Equal(t, a.result, pool.Unreachable)
	assert.Assert(t, !a.reply.Sent)
	assert.Assert(t, a.took < time.Minute/2, "waited for %s", a.took)
}

// fillBacklog opens connections to a listener that accepts none until it takes no more.
func fillBacklog(t *testing.T, l net.Listener) {
	t.Helper()
	raw, err := l.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { assert.NilError(t, syscall.Listen(int(fd), 0)) }))
	for range 8 {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the listener takes connections without end")
}
