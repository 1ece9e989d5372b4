package slopes

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
)

// shardsPerTarget is how many shards a target owns in the measured pages.
const shardsPerTarget = 16

// cellTargets is how many targets a cell fronts in the measured pages.
const cellTargets = 32

func targetsOf(n int) []placement.Target {
	targets := make([]placement.Target, n)
	for i := range targets {
		targets[i] = placement.Target{
			Name:     fmt.Sprintf("katalog-%05d", i),
			Cell:     fmt.Sprintf("dc-%d-cell-%03d", i/cellTargets%8, i/cellTargets),
			State:    placement.Live,
			Capacity: 6,
		}
	}
	return targets
}

func page(shards int) ownership.Page {
	return placement.InitialPage("katalog", uint32(shards), targetsOf(max(shards/shardsPerTarget, 1)))
}

func encoded(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the measured types always encode
	}
	return data
}

// Pages measures a service's shard map.
func Pages() []Slope {
	ns := doubling(64, 1<<13)
	return []Slope{
		along("shard map", "shard", "bytes of JSON", ns, func(n int) float64 { return float64(len(encoded(page(n)))) }),
		along("shard map, decoded", "shard", "bytes of heap", ns, func(n int) float64 {
			data := encoded(page(n))
			return heap(func() any { return decodePage(data) })
		}),
		along("shard map, encode", "shard", "ns of CPU", ns, func(n int) float64 {
			p := page(n)
			return cpu(func() { encoded(p) })
		}),
		along("shard map, decode", "shard", "ns of CPU", ns, func(n int) float64 {
			data := encoded(page(n))
			return cpu(func() { decodePage(data) })
		}),
		along("shard map, plan without a change", "shard", "ns of CPU", ns, planCost),
		along("shard map, find a key", "shard", "ns of CPU", ns, func(n int) float64 {
			p := page(n)
			return cpu(func() { p.Lookup("key-4711") })
		}),
	}
}

func decodePage(data []byte) *ownership.Page {
	p := new(ownership.Page)
	if err := json.Unmarshal(data, p); err != nil {
		panic(err) // it was encoded above
	}
	return p
}

func planCost(n int) float64 {
	s := placement.Snapshot{
		Now:       time.UnixMilli(1),
		Page:      page(n),
		Targets:   targetsOf(max(n/shardsPerTarget, 1)),
		ShardLoad: make([]float64, n),
		Limits:    placement.DefaultLimits,
	}
	for i := range s.ShardLoad {
		s.ShardLoad[i] = 60
	}
	return cpu(func() { placement.Plan(s) })
}

func record(hosts, targets int) membership.Record {
	r := membership.Record{Cell: "dc-1-cell-001", DataCentre: "dc-1", Region: "region-1", Number: 7, Settled: true}
	for i := range hosts {
		r.Hosts = append(r.Hosts, membership.Host{
			Name:       fmt.Sprintf("dc-1-host-%04d", i),
			PlacerRun:  1780000000000000000 + uint64(i),
			RouterRun:  1780000000000000000 + uint64(i),
			PlacerAddr: "10.101.102.103:7104",
			RouterAddr: "10.101.102.103:7102",
		})
	}
	for i := range targets {
		r.Gateways = append(r.Gateways, membership.Gateway{
			Target:     fmt.Sprintf("katalog-%05d", i),
			Service:    "katalog",
			Addr:       "10.101.102.104:8000",
			First:      3,
			Candidates: candidates(r.Hosts, i),
		})
	}
	return r
}

// candidates lists every host once, each target's beginning with another one.
func candidates(hosts []membership.Host, from int) []lease.Incarnation {
	list := make([]lease.Incarnation, 0, len(hosts))
	for i := range hosts {
		list = append(list, hosts[(from+i)%len(hosts)].Router())
	}
	return list
}

// hostsInCell is the number of hosts of the cells in other slopes.
const hostsInCell = 5

// Records measures a cell's record.
func Records() []Slope {
	targets := doubling(1, 128)
	hosts := doubling(1, 8)
	return []Slope{
		along("cell record with 5 hosts", "target", "bytes of JSON", targets, func(n int) float64 {
			return float64(len(encoded(record(hostsInCell, n))))
		}),
		along("cell record with 32 targets", "host", "bytes of JSON", hosts, func(n int) float64 {
			return float64(len(encoded(record(n, cellTargets))))
		}),
	}
}
