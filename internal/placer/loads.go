package placer

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
)

// loadReportMaxAge is how long the last report of a silent gateway counts.
const loadReportMaxAge = 5 * time.Second

// hotKey identifies a key of a service.
type hotKey struct {
	service string
	key     string
}

// loadTracker computes smoothed request rates of this cell's shards and hottest keys
// from the reports that the gateways send once a second.
type loadTracker struct {
	mu        sync.Mutex
	shards    placement.Rates[ownership.ShardRef]
	keys      placement.Rates[hotKey]
	reports   map[string]*gatewayReport // by gateway host
	updatedAt time.Duration             // last update of the rates
}

type gatewayReport struct {
	receivedAt time.Duration
	report     *pb.Activity
}

func newLoadTracker() *loadTracker {
	return &loadTracker{
		shards:  make(placement.Rates[ownership.ShardRef]),
		keys:    make(placement.Rates[hotKey]),
		reports: make(map[string]*gatewayReport),
	}
}

// setReport stores a gateway's newest report.
func (l *loadTracker) setReport(now time.Duration, a *pb.Activity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[a.GetGateway().GetHost()] = &gatewayReport{receivedAt: now, report: a}
}

// updateRates adds the newest reports to the smoothed rates, at most once a second.
// After a pause longer than loadReportMaxAge, in which another placer planned, the rates
// start from zero.
func (l *loadTracker) updateRates(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.updatedAt < placement.RateInterval {
		return
	}
	if now-l.updatedAt > loadReportMaxAge {
		clear(l.shards)
		clear(l.keys)
	}
	l.updatedAt = now
	l.shards.Decay()
	l.keys.Decay()
	for host, g := range l.reports {
		if now-g.receivedAt > loadReportMaxAge {
			delete(l.reports, host)
			continue
		}
		for _, s := range g.report.GetShards() {
			l.shards.Add(ownership.ShardRef{Service: s.GetService(), Shard: s.GetShard()}, s.GetRequests())
		}
		for _, k := range g.report.GetHot() {
			l.keys.Add(hotKey{k.GetService(), k.GetKey()}, k.GetRequests())
		}
	}
}

// rates returns the rates of a page's shards and of its hottest keys, in requests per
// second.
func (l *loadTracker) rates(page ownership.Page) ([]float64, []placement.HotKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates := make([]float64, len(page.Shards)+len(page.Pins))
	for n := range rates {
		rates[n] = l.shards[ownership.ShardRef{Service: page.Service, Shard: uint32(n)}]
	}
	var hot []placement.HotKey
	for key, rate := range l.keys {
		if key.service != page.Service {
			continue
		}
		shard := ownership.ShardOf(key.key, uint32(len(page.Shards)))
		hot = append(hot, placement.HotKey{Key: key.key, Shard: shard, Load: rate})
	}
	keyRate := func(key string) float64 { return l.keys[hotKey{page.Service, key}] }
	return placement.CorrectPinnedRates(page, rates, keyRate), hot
}
