package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

const heldKey = "isbn-1"

// reopenDedupTable opens the dedup table of the key's shard again, as happens after
// another gateway served the shard in between.
func (p *pair) reopenDedupTable(t *testing.T) lease.Line {
	t.Helper()
	ref := ownership.ShardRef{Service: "katalog", Shard: ownership.ShardOf(heldKey, testShards)}
	line, ok := p.b.leases.line(ref)
	assert.Assert(t, ok)
	p.b.gateway.dedup.open(time.Now(), line)
	return line
}

// TestDelayedFirstAttemptIsNotRun checks a request on a stream that is older than the
// gateway's dedup table. A broken link delivers buffered requests when it recovers. By
// then the ingress has given up the request, and a repeat of it may have run at another
// gateway.
func TestDelayedFirstAttemptIsNotRun(t *testing.T) {
	target := new(echoTarget)
	p := startPair(t, target, pairOptions{listener: Listener{TrustClientHeader: true}})
	dialer := &wire.Dialer{Self: ingressRun}
	defer dialer.Close()
	stream, err := dialer.Open(t.Context(), p.b.cfg.Peers, pb.StreamKind_STREAM_KIND_REQUEST)
	assert.NilError(t, err)
	line := p.reopenDedupTable(t)
	held := &pb.Forward{
		Id: "r1", Client: "usm", Service: "katalog", Shard: line.Shard.Shard, OwnerEpoch: uint64(line.Epoch),
		Target: "t1", Method: http.MethodPost, Path: "/loans", Key: heldKey,
		IdempotencyKey: "i1", FirstAttempt: true, DeadlineMs: 5000,
	}
	assert.NilError(t, stream.Send(&pb.Frame{Body: &pb.Frame_Forward{Forward: held}}))
	frame, err := stream.Recv()
	assert.NilError(t, err)
	assert.Assert(t, isNotRun(frame.GetAnswer()), "%v", frame.GetAnswer())
	assert.Equal(t, len(target.requests()), 0)
}

// TestFirstAttemptIsResentOnNewStream checks that the ingress sends a request again on a
// new stream if its stream is older than the gateway's dedup table.
func TestFirstAttemptIsResentOnNewStream(t *testing.T) {
	target := new(echoTarget)
	p := startPair(t, target, pairOptions{listener: Listener{TrustClientHeader: true}})
	for _, key := range []string{"i1", "i2"} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.callers+"/katalog/loans", nil)
		assert.NilError(t, err)
		req.Header.Set(headerClient, "usm")
		req.Header.Set(headerKey, heldKey)
		req.Header.Set(headerIdempotency, key)
		req.Header.Set(headerAttempt, "1")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.Header.Get(headerOutcome), "ran", "%s: %v", key, resp.Header)
		assert.Equal(t, len(target.requests()), 1)
		p.reopenDedupTable(t)
	}
}
