package entry

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/platform/standin"
	"github.com/mangopost/mangopost/routing"
)

// A request of a route with allowed regions must not reach a target of another region or
// of an unknown one, at its first send or after a failure. Where no target is left it is
// answered with 503 and Retry-After, or with 502 if a target has run and failed it.
func TestRouteWithRegions(t *testing.T) {
	script := func(status int, extra string) targetScript {
		return func(conn net.Conn, r *http.Request, _ int) bool {
			writeAnswer(conn, status, r.Header.Get(standin.HeaderID), "x", extra)
			return true
		}
	}
	east, west, unknown := startScriptedTarget(t, script(200, "")), startScriptedTarget(t, script(500, "")), startScriptedTarget(t, script(200, ""))
	n, url := newServingNode(t, east, west, unknown)
	s := *n.settings.Load()
	s.Region, s.Regions = "east", map[string]string{"there": "west"}
	n.settings.Store(&s)
	var routes []routing.Route
	for _, region := range []string{"east", "west", "south"} {
		routes = append(routes, routing.Route{
			Name: region, Host: "host.example", Prefix: "/" + region + "/", Idempotent: true, MaxAttempts: 3, Timeout: 2 * time.Second,
			LatencyGoal: 500 * time.Millisecond, Parts: []routing.Part{{Service: "s", Weight: 1}}, Regions: []string{region},
		})
	}
	n.configure(routing.NewTable(2, routes, []routing.Service{{Name: "s"}}, routing.CallerLimits{}))
	n.mu.Lock()
	for i, target := range []*scriptedTarget{east, west, unknown} {
		n.directory.Put(directory.Entry{
			Name: fmt.Sprintf("t%d", i), Service: "s", Addr: target.listener.Addr().String(),
			DataCentre: []string{"here", "there", "elsewhere"}[i], Slots: 4, Run: 1,
		})
	}
	n.updateTargets()
	n.mu.Unlock()
	for i := range 10 {
		for path, want := range map[string]int{"/east/": 200, "/west/": 502, "/south/": 503} {
			status, _, header, err := ask(t, url, path, fmt.Sprint(path, i), nil)
			assert.NilError(t, err)
			assert.Equal(t, status, want, path)
			assert.Equal(t, header.Get("Retry-After") != "", want == 503, path)
		}
	}
	assert.Equal(t, len(east.received()), 10)
	assert.Equal(t, len(west.received()), 10, "no target is left for a retry")
	assert.Equal(t, len(unknown.received()), 0)
}
