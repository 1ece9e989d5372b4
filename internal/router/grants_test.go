package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// checkingTarget is a target that checks grants.
type checkingTarget struct {
	ignoresHeaders bool // it accepts no grants in headers

	mu            sync.Mutex
	startedAt     time.Time
	guard         lease.TargetGuard
	fullGrants    int // grants sent as POST requests
	headerGrants  int // grants in headers of requests and health checks
	requestGrants int // grants in headers of requests only
	malformed     []string
}

func (c *checkingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path == "/mangopost/grant" {
		c.handleGrant(w, r)
		return
	}
	if value := r.Header.Get(headerGrant); value != "" {
		c.handleRenewal(w, value)
	}
	if r.URL.Path == "/mangopost/health" {
		return
	}
	if r.Header.Get(headerGrant) != "" {
		c.requestGrants++
	}
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	gateway, _ := strconv.ParseUint(r.Header.Get(headerGatewayEpoch), 10, 64)
	shard, _ := strconv.ParseUint(r.Header.Get(headerShard), 10, 32)
	s := lease.ShardEpoch{Shard: ownership.ShardRef{Service: "katalog", Shard: uint32(shard)}, Epoch: 1}
	if err := c.guard.Admit(time.Since(c.startedAt), lease.GatewayEpoch(gateway), s); err != nil {
		w.Header().Set(headerRefused, string(lease.NoGrant))
		w.WriteHeader(http.StatusConflict)
	}
}

func (c *checkingTarget) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body grantBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		c.malformed = append(c.malformed, err.Error())
	}
	grant := lease.Grant{
		Gateway: lease.GatewayEpoch(body.GatewayEpoch), Seq: body.Seq, Acknowledges: body.Acknowledges,
		TTL: time.Duration(body.TTLMS) * time.Millisecond, Same: body.SameAs,
	}
	for _, s := range body.Shards {
		ref := ownership.ShardRef{Service: s.Service, Shard: s.Shard}
		grant.Shards = append(grant.Shards, lease.ShardEpoch{Shard: ref, Epoch: ownership.Epoch(s.Epoch)})
	}
	if _, err := c.guard.Grant(time.Since(c.startedAt), grant); err != nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.fullGrants++
	_ = json.NewEncoder(w).Encode(grantAck{InHeaders: !c.ignoresHeaders})
}

func (c *checkingTarget) handleRenewal(w http.ResponseWriter, value string) {
	var n []uint64
	for field := range strings.FieldsSeq(value) {
		number, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			c.malformed = append(c.malformed, value)
		}
		n = append(n, number)
	}
	if c.ignoresHeaders || len(n) != 4 {
		c.malformed = append(c.malformed, value)
		return
	}
	acked := n[1] - n[2]
	grant := lease.Grant{
		Gateway: lease.GatewayEpoch(n[0]), Seq: n[1], Acknowledges: acked, Same: acked,
		TTL: time.Duration(n[3]) * time.Millisecond,
	}
	if _, err := c.guard.Grant(time.Since(c.startedAt), grant); err == nil {
		c.headerGrants++
		w.Header().Set(headerGrant, strconv.FormatUint(grant.Seq, 10))
	}
}

// restart resets the grant state, as a new process of the target does.
func (c *checkingTarget) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = lease.TargetGuard{}
	c.requestGrants, c.fullGrants = 0, 0
}

// counts returns the numbers of grants that the target has accepted.
func (c *checkingTarget) counts() (fullGrants, headerGrants, requestGrants int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fullGrants, c.headerGrants, c.requestGrants
}

// requestUntil sends at least one request, and further ones until the condition holds.
func (p *pair) requestUntil(t *testing.T, until func() bool) {
	t.Helper()
	for range 2000 {
		response := p.post(t, "/good")
		assert.Assert(t, response.Header.Get(headerOutcome) != "unknown")
		if until() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition did not hold within 2000 requests")
}

// Requests carry grants and run under them, also after the target's process was
// restarted.
func TestRequestsRenewGrants(t *testing.T) {
	t.Parallel()
	target := &checkingTarget{startedAt: time.Now()}
	p := startPair(t, target, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}, checksGrants: true})
	hasThreeRequestGrants := func() bool {
		_, _, requestGrants := target.counts()
		return requestGrants >= 3
	}
	p.requestUntil(t, hasThreeRequestGrants)
	target.restart()
	p.requestUntil(t, hasThreeRequestGrants)
	fullGrants, _, _ := target.counts()
	assert.Assert(t, fullGrants > 0, "the restarted target received no full grant")
	assert.Equal(t, len(target.malformed), 0, "%v", target.malformed)
}

// A target of a version without grants in headers must not be sent any.
func TestTargetWithoutHeaderSupportGetsNoGrantHeaders(t *testing.T) {
	t.Parallel()
	target := &checkingTarget{startedAt: time.Now(), ignoresHeaders: true}
	p := startPair(t, target, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}, checksGrants: true})
	p.requestUntil(t, func() bool {
		fullGrants, _, _ := target.counts()
		return fullGrants >= 6
	})
	_, headerGrants, _ := target.counts()
	assert.Equal(t, headerGrants, 0)
	assert.Equal(t, len(target.malformed), 0, "%v", target.malformed)
}

// The next grant would refer to the grant of a late acknowledgement and expire early.
func TestLateAcknowledgementIsIgnored(t *testing.T) {
	const until = time.Second
	shards := []lease.ShardEpoch{{Shard: ownership.ShardRef{Service: "katalog"}, Epoch: 1}}
	var g targetGrants
	_, ok := g.renewal(0, 1, until, shards)
	assert.Assert(t, !ok, "a renewal before any grant")
	g.recordAck(0, g.next(0, 1, until, shards).Seq, true)
	assert.Assert(t, !g.isDue(carryDelay-1) && g.isDue(carryDelay))

	grant, ok := g.renewal(carryDelay, 1, until, shards)
	assert.Assert(t, ok)
	g.recordCarriedAck(carryDelay+monitorInterval, grant.Seq)
	_, isCarried := g.standaloneAt()
	assert.Assert(t, !isCarried, "a late acknowledgement was recorded")

	grant, ok = g.renewal(3*monitorInterval, 1, until, shards)
	assert.Assert(t, ok)
	g.recordCarriedAck(3*monitorInterval+time.Millisecond, grant.Seq)
	at, isCarried := g.standaloneAt()
	assert.Assert(t, isCarried)
	assert.Equal(t, at, 3*monitorInterval+time.Millisecond+standaloneGrantDelay)
	assert.Assert(t, !g.isRenewal(1, nil), "the shard list has changed")
	assert.Assert(t, !g.isRenewal(2, shards), "the gateway epoch has changed")
	g.reset()
	assert.Assert(t, !g.isDue(until), "a full grant is due, not one in a header")
}
