package router

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

// relayFixture holds the ingress on host a and a target whose gateway is on host b; c is
// the third host of the cell.
type relayFixture struct {
	router *Router
	table  *table
	dst    *target
}

func newRelayFixture(t *testing.T, b, c string) *relayFixture {
	t.Helper()
	r := New(Config{Self: lease.Incarnation{Host: "a", Run: 1}}, nil, hclog.NewNullLogger())
	t.Cleanup(r.dialer.Close)
	routingTable := &table{
		peers:   map[string]string{"a": refusingAddr, "b": b, "c": c},
		records: []membership.Record{{Cell: "kl", Hosts: []membership.Host{{Name: "a"}, {Name: "b"}, {Name: "c"}}}},
	}
	r.table.Store(routingTable)
	return &relayFixture{router: r, table: routingTable, dst: &target{
		name: "t1", cell: "kl", candidates: []lease.Incarnation{{Host: "b", Run: 1}, {Host: "c", Run: 1}},
	}}
}

// sendOnce makes one try to deliver a request.
func (f *relayFixture) sendOnce(t *testing.T) *pb.Answer {
	t.Helper()
	q := &ingressRequest{forward: &pb.Forward{Id: "r1", FirstAttempt: true, DeadlineMs: 1000}}
	f.router.dialer.Drop(f.table.peers["c"]) // startPeer answers only one request per stream
	a := f.router.sendToGateway(t.Context(), f.table, f.dst, q, &callerSink{w: httptest.NewRecorder()})
	assert.Equal(t, q.forward.PassTo, "")
	return a
}

// TestRelayHostIsAskedOnce checks that one relay host is asked when no other candidate
// serves the target and the gateway's host is unreachable.
func TestRelayHostIsAskedOnce(t *testing.T) {
	asked := make(chan *pb.Forward, 9)
	relayHost := startPeer(t, func(f *pb.Forward) []*pb.Frame {
		asked <- f
		if f.PassTo == "" {
			return []*pb.Frame{frameOf(notMine(f.Id, reasonNoLease))}
		}
		return []*pb.Frame{frameOf(&pb.Answer{Id: f.Id, Outcome: pb.Outcome_OUTCOME_RAN, Status: 200})}
	})
	fixture := newRelayFixture(t, refusingAddr, relayHost)
	assert.Equal(t, reason(fixture.sendOnce(t).Reason), reasonPeerUnreachable)
	assert.Equal(t, len(asked), 0, "the other candidate must be tried first")
	assert.Equal(t, reason(fixture.sendOnce(t).Reason), reasonNoLease)
	assert.Equal(t, (<-asked).PassTo, "")
	assert.Equal(t, fixture.sendOnce(t).Outcome, pb.Outcome_OUTCOME_RAN)
	assert.Equal(t, (<-asked).PassTo, "b")
	assert.Equal(t, fixture.sendOnce(t).Outcome, pb.Outcome_OUTCOME_RAN)
	assert.Equal(t, (<-asked).PassTo, "b", "relayed in the first try while the link is known to be down")
	assert.Equal(t, len(asked), 0)
}

// TestPossiblySentRequestIsNotRelayed checks that a request is not relayed once it may
// have reached the gateway, as it may run there.
func TestPossiblySentRequestIsNotRelayed(t *testing.T) {
	asked := make(chan *pb.Forward, 9)
	gateway := startPeer(t, func(f *pb.Forward) []*pb.Frame {
		asked <- f
		return nil // the link breaks
	})
	fixture := newRelayFixture(t, gateway, refusingAddr)
	fixture.router.hints.recordRelayed("t1", "b")
	a := fixture.sendOnce(t)
	assert.Equal(t, a.Outcome, pb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, reason(a.Reason), reasonPeerLost)
	assert.Equal(t, len(asked), 1)
}

// TestRelayedRequestIsSentToNamedGateway checks that a request is relayed only to the
// gateway that it names, and no longer as a first attempt, as the age of the relay
// host's streams does not show when the ingress sent it.
func TestRelayedRequestIsSentToNamedGateway(t *testing.T) {
	got := make(chan *pb.Forward, 9)
	long := &pb.Answer{Id: "r1", Outcome: pb.Outcome_OUTCOME_RAN, Status: 200, Body: []byte("a"), More: true}
	gateway := startPeer(t, func(f *pb.Forward) []*pb.Frame {
		got <- f
		return []*pb.Frame{frameOf(long), chunkOf("b", true)}
	})
	fixture := newRelayFixture(t, gateway, refusingAddr)
	relayHost := startRouterPeer(t, fixture.router)
	ctx := t.Context()
	answered := httptest.NewRecorder()
	out := &callerSink{w: answered}
	f := &pb.Forward{Id: "r1", PassTo: "b", FirstAttempt: true, DeadlineMs: 60_000}
	ingress := New(Config{Self: ingressRun}, nil, hclog.NewNullLogger())
	defer ingress.dialer.Close()
	a := ingress.sendToPeer(ctx, relayHost, f, false, out)
	assert.Equal(t, a.Outcome, pb.Outcome_OUTCOME_RAN)
	assert.Equal(t, answered.Body.String(), "ab")
	assert.Assert(t, out.complete)
	passed := <-got
	assert.Equal(t, passed.PassTo, "")
	assert.Assert(t, !passed.FirstAttempt)
	assert.Assert(t, passed.DeadlineMs <= f.DeadlineMs && passed.DeadlineMs > 0)

	for name, setUp := range map[string]func(){
		"an unknown host":             func() { f.PassTo = "d" },
		"itself, no gateway":          func() { f.PassTo = "a" },
		"a host that does not answer": func() { f.PassTo = "c" },
		"while it stops":              func() { f.PassTo = "b"; fixture.router.gateway.stopping.Store(true) },
	} {
		setUp()
		a := ingress.sendToPeer(ctx, relayHost, f, false, out)
		assert.Assert(t, isNotRun(a) && isRedirect(a), "%s: %v", name, a)
		fixture.router.gateway.stopping.Store(false)
	}
	assert.Equal(t, len(got), 0)
}

func TestLinkCutExpires(t *testing.T) {
	h := newHints()
	h.recordRelayed("t1", "b")
	assert.Assert(t, h.mayBeCutOff("t1", "b", 3))
	assert.Assert(t, !h.mayBeCutOff("t1", "c", 3))
	h.cuts["t1"] = linkCut{host: "b", recordedAt: time.Now().Add(-linkCutTTL - 1)}
	assert.Assert(t, !h.mayBeCutOff("t1", "b", 3))
}
