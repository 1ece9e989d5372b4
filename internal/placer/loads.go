package placer

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
)

// loadMemory is how long a silent gateway's report counts.
const loadMemory = 5 * time.Second

// hotKey names a key of a service.
type hotKey struct {
	service string
	key     string
}

// loads are smoothed rates of requests of this cell's shards and hottest keys,
// as its gateways report them once a second.
type loads struct {
	mu     sync.Mutex
	shards placement.Rates[ownership.ShardRef]
	keys   placement.Rates[hotKey]
	newest map[string]*gatewayReport // by gateway host
	folded time.Duration
}

type gatewayReport struct {
	at     time.Duration
	report *pb.Activity
}

func newLoads() *loads {
	return &loads{
		shards: make(placement.Rates[ownership.ShardRef]),
		keys:   make(placement.Rates[hotKey]),
		newest: make(map[string]*gatewayReport),
	}
}

// take keeps a gateway's newest report.
func (l *loads) take(now time.Duration, a *pb.Activity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest[a.GetGateway().GetHost()] = &gatewayReport{at: now, report: a}
}

// fold adds the newest reports to the smoothed rates, once a second. Rates from
// before a pause, in which another placer planned, are forgotten.
func (l *loads) fold(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.folded < placement.RateInterval {
		return
	}
	if now-l.folded > loadMemory {
		clear(l.shards)
		clear(l.keys)
	}
	l.folded = now
	l.shards.Decay()
	l.keys.Decay()
	for host, g := range l.newest {
		if now-g.at > loadMemory {
			delete(l.newest, host)
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

// of returns the rates of a page's shards and hottest keys, in requests a
// second.
func (l *loads) of(page ownership.Page) ([]float64, []placement.HotKey) {
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
		home := ownership.ShardOf(key.key, uint32(len(page.Shards)))
		hot = append(hot, placement.HotKey{Key: key.key, Shard: home, Load: rate})
	}
	ofKey := func(key string) float64 { return l.keys[hotKey{page.Service, key}] }
	return placement.CorrectPinnedRates(page, rates, ofKey), hot
}
