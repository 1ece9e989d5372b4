package router

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/routing"
	"github.com/mangopost/mangopost/template"
)

// newTwoRegionRouter returns a router in region semenanjung, which has two hosts and a
// target, beside region sarawak with one of each.
func newTwoRegionRouter(t *testing.T) *Router {
	t.Helper()
	near := membership.Record{
		Cell: "kl", DataCentre: "kl", Region: "semenanjung", Hosts: []membership.Host{{Name: "a"}, {Name: "b"}},
		Gateways: []membership.Gateway{{Target: "near", Service: "carian", Candidates: []lease.Incarnation{gatewayRun}}},
	}
	far := membership.Record{
		Cell: "kuching", DataCentre: "kuching", Region: "sarawak", Hosts: []membership.Host{{Name: "c"}},
		Gateways: []membership.Gateway{{Target: "far", Service: "carian", Candidates: []lease.Incarnation{{Host: "c", Run: 9}}}},
	}
	cfg := template.Config{Version: 1, Templates: []template.Template{{Service: "carian", Slots: 2, Connections: 8}}}
	r := New(Config{Self: ingressRun, DataCentre: "kl", Region: "semenanjung", Cell: "kl"}, nil, hclog.NewNullLogger())
	r.cache.Apply(objects(t, map[string]any{
		platform.ConfigObject: cfg, platform.CellPrefix + "kl": near, platform.CellPrefix + "kuching": far,
	}))
	r.table.Store(compileTable(r.cache.View()))
	return r
}

func TestOverflowCrossesRegionsOnlyWithinBudget(t *testing.T) {
	r := newTwoRegionRouter(t)
	pick := func() string { return r.balancers.pick(r, r.table.Load().services["carian"]).name }
	assert.Equal(t, pick(), "near")
	for range 100 {
		r.balancers.begin("near")
	}
	assert.Equal(t, pick(), "far", "the near target is overloaded")
	q := &ingressRequest{forward: &pb.Forward{Service: "carian"}, service: r.table.Load().services["carian"]}
	assert.Equal(t, r.balance(q).name, "far")
	assert.Assert(t, q.optional)

	// Required traffic uses up the budget for optional traffic, in either direction.
	for _, sent := range []bool{true, false} {
		r.regions = newRegionLinks(r)
		for r.regions.isOpen("sarawak") {
			r.regions.count(wire.Traffic{Peer: "c", Cause: wire.CauseAnswers, Sent: sent, Bytes: 64 << 10})
		}
		assert.Equal(t, pick(), "near")
	}
}

func TestHostGetsEqualShareOfLink(t *testing.T) {
	r := newTwoRegionRouter(t)
	r.regions.isOpen("sarawak")
	spent := 0
	for r.regions.isOpen("sarawak") {
		r.regions.count(wire.Traffic{Peer: "c", Cause: wire.CauseRequests, Sent: true, Bytes: 1 << 10})
		spent += 1 << 10
	}
	share := routing.LinkShare(2)
	burst := int(share.BytesPerSecond * share.Burst.Seconds())
	assert.Assert(t, spent <= 2*burst && spent >= burst-overflowBytes, "%d of %d", spent, burst)
}

func TestLinkBytesAreCountedByCause(t *testing.T) {
	r := newTwoRegionRouter(t)
	for _, traffic := range []wire.Traffic{
		{Peer: "c", Cause: wire.CauseRequests, Sent: true, Bytes: 100},
		{Peer: "c", Cause: wire.CauseAnswers, Bytes: 900},
		{Peer: "c", Cause: wire.CauseAnswers, Bytes: 50},
		{Peer: "c", Cause: wire.CauseLeases, Sent: true, Bytes: 7},
		{Peer: "b", Cause: wire.CauseSync, Sent: true, Bytes: 1 << 20},        // own region
		{Peer: "stranger", Cause: wire.CauseSync, Sent: true, Bytes: 1 << 20}, // not in any record
	} {
		r.regions.count(traffic)
	}
	var out bytes.Buffer
	r.metrics.set.WritePrometheus(&out)
	for _, line := range []string{
		`mangopost_link_bytes_total{region="sarawak",cause="requests",direction="sent"} 100`,
		`mangopost_link_bytes_total{region="sarawak",cause="answers",direction="received"} 950`,
		`mangopost_link_bytes_total{region="sarawak",cause="leases",direction="sent"} 7`,
		`mangopost_link_bytes_total{region="sarawak",cause="sync",direction="sent"} 0`,
	} {
		assert.Assert(t, strings.Contains(out.String(), line+"\n"), "%s in %s", line, out.String())
	}
	assert.Assert(t, !strings.Contains(out.String(), `region="semenanjung"`))
}
