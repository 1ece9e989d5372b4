package router

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// A repeat that is answered with unknown without being sent to the target does not
// delay the release of its shard. A request whose answer never came does.
func TestUnsentRepeatDoesNotBlockShardRelease(t *testing.T) {
	t.Parallel()
	target := &faultyTarget{}
	p := startPair(t, target, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}})
	ref := ownership.ShardRef{Service: "katalog", Shard: ownership.ShardOf("k1", testShards)}
	worker := p.b.gateway.worker("t1")

	repeat, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/katalog/good", nil)
	assert.NilError(t, err)
	repeat.Header.Set(headerClient, "usm")
	repeat.Header.Set(headerKey, "k1")
	repeat.Header.Set(headerIdempotency, "i1")
	repeat.Header.Set(headerFirstSent, strconv.FormatInt(time.Now().Add(-time.Minute).UnixMilli(), 10))
	response, err := http.DefaultTransport.RoundTrip(repeat)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.Header.Get(headerOutcome), "unknown")
	assert.Equal(t, reason(response.Header.Get(headerReason)), reasonMayHaveRun)
	assert.Equal(t, target.arrived.Load(), int64(0))
	assert.Assert(t, worker.isIdle(ref))

	assert.Equal(t, p.post(t, "/gone").Header.Get(headerOutcome), "unknown")
	assert.Assert(t, !worker.isIdle(ref))
}
