package placer

import (
	"sync"

	"github.com/mangopost/mangopost/internal/linkbytes"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/internal/wire"
)

// linkMeter counts the bytes that this placer exchanges with hosts of other regions.
// Traffic with hosts that are not yet in any record is not counted.
type linkMeter struct {
	placer *Placer

	mu          sync.Mutex
	regionsView *state.View       // from which regions was built
	regions     map[string]string // by host
	links       map[string]*linkbytes.Counters
}

func newLinkMeter(p *Placer) *linkMeter {
	return &linkMeter{placer: p, links: make(map[string]*linkbytes.Counters)}
}

// count adds a frame that was sent to or received from another process.
func (m *linkMeter) count(t wire.Traffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	region := m.regionOf(t.Peer)
	if region == "" || region == m.placer.cfg.Region {
		return
	}
	link := m.links[region]
	if link == nil {
		link = linkbytes.New(m.placer.metrics.set, region)
		m.links[region] = link
	}
	link.Add(t)
}

func (m *linkMeter) regionOf(host string) string {
	if view := m.placer.cache.View(); view != m.regionsView {
		m.regionsView = view
		m.regions = regionsOf(view)
	}
	return m.regions[host]
}

// regionsOf returns the region of each host that is in a record.
func regionsOf(view *state.View) map[string]string {
	regions := make(map[string]string)
	for _, record := range view.Records {
		for _, h := range record.Value.Hosts {
			regions[h.Name] = record.Value.Region
		}
	}
	return regions
}
