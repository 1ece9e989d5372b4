package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/ownership"
)

func newActivity(host string, requests uint32) *pb.Activity {
	return &pb.Activity{
		Gateway: &pb.Incarnation{Host: host},
		Shards:  []*pb.ShardLoad{{Service: katalog, Shard: 1, Requests: requests}},
		Hot:     []*pb.KeyLoad{{Service: katalog, Key: "k", Requests: requests}, {Service: "other", Key: "k", Requests: requests}},
	}
}

func TestShardRatesSumNewestReports(t *testing.T) {
	l := newLoadTracker()
	page := newTestPage(t, 2)
	rate := func(now time.Duration) float64 {
		l.updateRates(now)
		rates, _ := l.rates(page)
		assert.Equal(t, len(rates), 2)
		assert.Equal(t, rates[0], 0.0)
		return rates[1]
	}
	const first = 40.0 // the smoothing counts a fifth of the first 200 requests
	l.setReport(time.Second, newActivity("kl-1", 50))
	l.setReport(time.Second, newActivity("kl-1", 100))
	l.setReport(time.Second, newActivity("kl-2", 100))
	assert.Equal(t, rate(time.Second), first, "only the newest report of each gateway counts")
	assert.Equal(t, rate(1500*time.Millisecond), first, "the rates are updated once a second")
	second := rate(2 * time.Second)
	assert.Assert(t, second > first && second < 200)
	_, hot := l.rates(page)
	assert.Equal(t, len(hot), 1)
	assert.Equal(t, hot[0].Shard, ownership.ShardOf("k", 2))
}

// TestReportOfSilentGatewayExpires: the load that a silent gateway reported decays.
func TestReportOfSilentGatewayExpires(t *testing.T) {
	l := newLoadTracker()
	l.setReport(0, newActivity("kl-1", 100))
	now := time.Second
	for ; now <= loadReportMaxAge; now += time.Second {
		l.updateRates(now)
	}
	assert.Equal(t, len(l.reports), 1)
	last := l.shards[ownership.ShardRef{Service: katalog, Shard: 1}]
	l.updateRates(now)
	assert.Equal(t, len(l.reports), 0)
	assert.Assert(t, l.shards[ownership.ShardRef{Service: katalog, Shard: 1}] < last)
	for range 100 {
		now += time.Second
		l.updateRates(now)
	}
	assert.Equal(t, len(l.shards)+len(l.keys), 0)
}

// TestRatesAreClearedAfterPause: a placer that plans again after another one has planned
// starts from what its gateways report now.
func TestRatesAreClearedAfterPause(t *testing.T) {
	l := newLoadTracker()
	l.setReport(time.Second, newActivity("kl-1", 100))
	l.updateRates(time.Second)
	later := time.Second + 2*loadReportMaxAge
	l.setReport(later, &pb.Activity{Gateway: &pb.Incarnation{Host: "kl-1"}})
	l.updateRates(later)
	assert.Equal(t, len(l.shards)+len(l.keys), 0)
}

// TestNewPinHasRateOfItsKey: until its gateway reports the pin, its rate is taken from the
// reports of the shard that the key left.
func TestNewPinHasRateOfItsKey(t *testing.T) {
	l := newLoadTracker()
	l.setReport(time.Second, newActivity("kl-1", 100))
	l.updateRates(time.Second)
	page := newTestPage(t, 2)
	page.Pins = []ownership.Shard{{PinnedTo: "k"}, {PinnedTo: "other"}}
	want := []float64{0, 20, 20, 0}
	want[ownership.ShardOf("k", 2)] = 0
	rates, _ := l.rates(page)
	assert.DeepEqual(t, rates, want)
}
