package main

import (
	"maps"
	"slices"

	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/placement/topk"
)

const (
	// hotKeyCounters and reportedHotKeys equal those of a gateway's reports.
	hotKeyCounters  = 256
	reportedHotKeys = 8
)

// rateMeter computes request rates as gateways and the placer of their cell do.
type rateMeter struct {
	shardRates placement.Rates[uint32]
	keyRates   placement.Rates[string]
}

func newRateMeter() *rateMeter {
	return &rateMeter{shardRates: make(placement.Rates[uint32]), keyRates: make(placement.Rates[string])}
}

// record adds a second's requests to the rates.
func (m *rateMeter) record(d *driver, requests map[int]uint32) {
	m.shardRates.Decay()
	m.keyRates.Decay()
	sketches := make(map[string]*topk.Sketch) // by target
	for _, key := range slices.Sorted(maps.Keys(requests)) {
		n := requests[key]
		number, shard := d.lookup(key)
		m.shardRates.Add(number, n)
		if sketches[shard.Target] == nil {
			sketches[shard.Target] = topk.New(hotKeyCounters)
		}
		sketches[shard.Target].Add(d.traffic.keyNames[key], uint64(n))
	}
	for _, sketch := range sketches {
		for _, item := range sketch.Top(reportedHotKeys) {
			m.keyRates.Add(item.Key, uint32(item.Count-item.Error))
		}
	}
}

// loadsOf returns the loads that a cell's planner sees: the rates of the cell's shards
// and hot keys, or of all cells for the cell "".
func (m *rateMeter) loadsOf(d *driver, cell string) ([]float64, []placement.HotKey) {
	rates := make([]float64, len(d.page.Shards)+len(d.page.Pins))
	for n := range rates {
		if shard, _ := d.page.Shard(uint32(n)); cell == "" || shard.Cell == cell {
			rates[n] = m.shardRates[uint32(n)]
		}
	}
	var hotKeys []placement.HotKey
	for key, rate := range m.keyRates {
		_, shard := d.page.Lookup(key)
		if cell != "" && shard.Cell != cell {
			continue
		}
		hotKeys = append(hotKeys, placement.HotKey{Key: key, Shard: d.homeShard(key), Load: rate})
	}
	return placement.CorrectPinnedRates(d.page, rates, func(key string) float64 { return m.keyRates[key] }), hotKeys
}
