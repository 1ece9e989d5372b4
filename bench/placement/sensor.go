package main

import (
	"maps"
	"slices"

	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/placement/topk"
)

const (
	// hotCounters and hotReported are those of a gateway's reports.
	hotCounters = 256
	hotReported = 8
)

// sensor makes rates of requests as gateways and the placer of their cell do.
type sensor struct {
	shards placement.Rates[uint32]
	keys   placement.Rates[string]
}

func newSensor() *sensor {
	return &sensor{shards: make(placement.Rates[uint32]), keys: make(placement.Rates[string])}
}

// take folds a second's requests into the rates.
func (s *sensor) take(d *drive, asked map[int]uint32) {
	s.shards.Decay()
	s.keys.Decay()
	sketches := make(map[string]*topk.Sketch) // by target
	for _, key := range slices.Sorted(maps.Keys(asked)) {
		n := asked[key]
		number, shard := d.lookup(key)
		s.shards.Add(number, n)
		if sketches[shard.Target] == nil {
			sketches[shard.Target] = topk.New(hotCounters)
		}
		sketches[shard.Target].Add(d.traffic.names[key], uint64(n))
	}
	for _, sketch := range sketches {
		for _, item := range sketch.Top(hotReported) {
			s.keys.Add(item.Key, uint32(item.Count-item.Error))
		}
	}
}

// loads returns what a cell's planner knows: the rates of its own shards and
// keys, or of all for the cell "".
func (s *sensor) loads(d *drive, cell string) ([]float64, []placement.HotKey) {
	rates := make([]float64, len(d.page.Shards)+len(d.page.Pins))
	for n := range rates {
		if shard, _ := d.page.Shard(uint32(n)); cell == "" || shard.Cell == cell {
			rates[n] = s.shards[uint32(n)]
		}
	}
	var hot []placement.HotKey
	for key, rate := range s.keys {
		_, shard := d.page.Lookup(key)
		if cell != "" && shard.Cell != cell {
			continue
		}
		hot = append(hot, placement.HotKey{Key: key, Shard: d.home(key), Load: rate})
	}
	return placement.CorrectPinnedRates(d.page, rates, func(key string) float64 { return s.keys[key] }), hot
}
