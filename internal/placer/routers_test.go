package placer

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

// TestRouterIsGoneWhenItsPortRefuses: a broken connection alone does not prove that the
// router has ended, nor does a sign older than the router's last message.
func TestRouterIsGoneWhenItsPortRefuses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	router := lease.Incarnation{Host: "kl-2", Run: 7}
	p, store := newTestPlacer()
	host := membership.Host{Name: router.Host, PlacerRun: 1, RouterRun: router.Run, RouterAddr: l.Addr().String()}
	store.set(t, p.recordName(), membership.Record{Cell: "kl", Number: 1, Hosts: []membership.Host{p.selfHost(), host}})
	syncCache(t, p, store)
	sendVoteRequest := func() { p.voting.step(router, lease.VoteRequest{Cell: "kl", Holder: router, Seq: uint64(p.now())}) }
	isAlive := func() bool { return len(p.aliveRouters()) == 1 }

	sendVoteRequest()
	p.checkRouter(t.Context(), p.now(), router)
	assert.Assert(t, isAlive(), "its port accepts connections")
	assert.NilError(t, l.Close())
	brokeAt := p.now()
	sendVoteRequest()
	p.checkRouter(t.Context(), brokeAt, router)
	assert.Assert(t, isAlive(), "a request arrived after the connection broke")
	p.checkRouter(t.Context(), p.now(), lease.Incarnation{Host: router.Host, Run: 6})
	assert.Assert(t, isAlive(), "only an earlier run is gone")
	p.checkRouter(t.Context(), p.now(), router)
	assert.Assert(t, !isAlive())
	sendVoteRequest()
	assert.Assert(t, isAlive(), "a request arrived again")
}
