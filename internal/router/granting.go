package router

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/mangopost/mangopost/lease"
)

// renew sends the next grant, unless requests carry the grants and the target answers
// them.
func (m *targetMonitor) renew(ctx context.Context, epoch lease.GatewayEpoch, until time.Duration) {
	w := m.worker
	now := w.router.now()
	shards := w.grantedShards()
	if m.areGrantsCarried(now) && m.grants.isRenewal(epoch, shards) {
		return
	}
	w.router.metrics.grantsStandalone.Inc()
	if grant, ok := m.grants.renewal(now, epoch, until, shards); ok {
		m.checkHealth(ctx, renewalHeader(grant))
		return
	}
	m.postGrant(ctx, m.grants.next(now, epoch, until, shards))
}

// areGrantsCarried reports whether the answer to a request has recently acknowledged a
// grant, so that the monitor need not send one.
func (m *targetMonitor) areGrantsCarried(now time.Duration) bool {
	at, ok := m.grants.standaloneAt()
	return ok && now < at && now-m.lastCallAt < standaloneCallInterval && m.worker.health.isAlive(now, standaloneGrantDelay)
}

// grantHeader returns the grant header for a request that is sent now, or "" if it
// carries none. A request whose gateway epoch has ended carries no grant.
func (m *targetMonitor) grantHeader(gateway lease.GatewayEpoch) string {
	w := m.worker
	now := w.router.now()
	if !m.grants.isDue(now) || !w.template.Load().ChecksGrants {
		return ""
	}
	epoch, until, ok := w.router.leases.rightUntil(w.name)
	if !ok || epoch != gateway {
		return ""
	}
	grant, ok := m.grants.renewal(now, epoch, until, w.grantedShards())
	if !ok {
		return ""
	}
	w.router.metrics.grantsCarried.Inc()
	return renewalHeader(grant)
}

// recordHeaderAck records the target's answer to a grant in the header of a health
// check.
func (m *targetMonitor) recordHeaderAck(response *http.Response) {
	seq, ok := renewalAck(response)
	if !ok {
		m.recordRefusal(m.epoch, response.StatusCode)
		return
	}
	m.grants.recordAck(m.worker.router.now(), seq, true)
}

// recordCarriedAck records the acknowledgement of a grant that a request carried. An
// answer without one is ignored: the answer to the next standalone grant shows the
// reason.
func (m *targetMonitor) recordCarriedAck(response *http.Response) {
	if seq, ok := renewalAck(response); ok {
		m.grants.recordCarriedAck(m.worker.router.now(), seq)
	}
}

// postGrant sends a grant as a request of its own.
func (m *targetMonitor) postGrant(ctx context.Context, grant lease.Grant) {
	body, err := json.Marshal(encodeGrant(grant))
	if err != nil {
		return
	}
	request := m.newRequest(ctx, http.MethodPost, "/mangopost/grant")
	// The transport retries on a new connection if the target has closed the kept one.
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	request.Body, _ = request.GetBody()
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		m.recordFailure(ctx, err)
		return
	}
	ack := decodeAck(response.Body)
	m.recordResponse(response)
	if response.StatusCode != http.StatusOK {
		m.recordRefusal(grant.Gateway, response.StatusCode)
		return
	}
	m.grants.recordAck(m.worker.router.now(), grant.Seq, ack.InHeaders)
	if grant.Acknowledges == 0 {
		m.worker.wakeMonitor() // a grant that acknowledges nothing has no effect yet; the next one has
	}
}

// recordRefusal resets the grant state: the target no longer knows what it was granted.
func (m *targetMonitor) recordRefusal(epoch lease.GatewayEpoch, status int) {
	m.grants.reset()
	m.worker.router.log.Emit(evGrantRefused, "target", m.worker.name, "gateway_epoch", uint64(epoch), "status", status)
}

// hasDropped reports whether the target starts no more requests of a shard: it has
// acknowledged a grant without the shard, or it does not check grants.
func (m *targetMonitor) hasDropped(s lease.ShardEpoch) bool {
	return !m.worker.template.Load().ChecksGrants || m.grants.hasDropped(s)
}

// grantBody is the JSON body of a grant; see docs/INTERFACES.md.
type grantBody struct {
	GatewayEpoch uint64       `json:"gateway_epoch"`
	Acknowledges uint64       `json:"acknowledges"`
	TTLMS        int64        `json:"ttl_ms"`
	Seq          uint64       `json:"seq"`
	SameAs       uint64       `json:"same_as,omitempty"`
	Shards       []grantShard `json:"shards,omitempty"`
}

type grantShard struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Epoch   uint64 `json:"epoch"`
}

// grantAck is the part of a target's answer to a grant that the gateway reads.
type grantAck struct {
	InHeaders bool `json:"in_headers"`
}

// decodeAck decodes an acknowledgement. Targets of an earlier version send only the
// number of the grant.
func decodeAck(body io.Reader) grantAck {
	var ack grantAck
	if err := json.NewDecoder(io.LimitReader(body, maxMonitorReplyBytes)).Decode(&ack); err != nil {
		return grantAck{}
	}
	return ack
}

func encodeGrant(g lease.Grant) grantBody {
	body := grantBody{
		GatewayEpoch: uint64(g.Gateway),
		Acknowledges: g.Acknowledges,
		TTLMS:        g.TTL.Milliseconds(),
		Seq:          g.Seq,
		SameAs:       g.Same,
	}
	if g.Same > 0 {
		return body
	}
	body.Shards = make([]grantShard, len(g.Shards))
	for i, s := range g.Shards {
		body.Shards[i] = grantShard{Service: s.Shard.Service, Shard: s.Shard.Shard, Epoch: uint64(s.Epoch)}
	}
	return body
}

// grantedShards returns the shards that the target may be granted now: those that it
// serves, and those that it gives up while requests of them still run.
func (w *worker) grantedShards() []lease.ShardEpoch {
	var shards []lease.ShardEpoch
	for _, line := range w.router.leases.linesOf(w.name) {
		shards = append(shards, line.ShardEpoch)
	}
	for _, leaving := range w.router.leases.finishing() {
		if leaving.Target == w.name && !w.isIdle(leaving.Shard.Shard) {
			shards = append(shards, leaving.Shard)
		}
	}
	return shards
}
