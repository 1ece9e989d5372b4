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

// shardsPerTarget is the number of shards that each target owns in the measured
// pages.
const shardsPerTarget = 16

// cellTargets is the number of targets of each cell in the measured pages.
const cellTargets = 32

func newTargets(n int) []placement.Target {
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

func newPage(shards int) ownership.Page {
	return placement.InitialPage("katalog", uint32(shards), newTargets(max(shards/shardsPerTarget, 1)))
}

func mustEncode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: the measured types can always be encoded
	}
	return data
}

// Pages measures a service's shard map.
func Pages() []Slope {
	ns := doubling(64, 1<<13)
	return []Slope{
		measureSlope("shard map", "shard", "bytes of JSON", ns, func(n int) float64 { return float64(len(mustEncode(newPage(n)))) }),
		measureSlope("shard map, decoded", "shard", "bytes of heap", ns, func(n int) float64 {
			data := mustEncode(newPage(n))
			return heapBytes(func() any { return mustDecodePage(data) })
		}),
		measureSlope("shard map, encode", "shard", "ns of CPU", ns, func(n int) float64 {
			p := newPage(n)
			return cpuNS(func() { mustEncode(p) })
		}),
		measureSlope("shard map, decode", "shard", "ns of CPU", ns, func(n int) float64 {
			data := mustEncode(newPage(n))
			return cpuNS(func() { mustDecodePage(data) })
		}),
		measureSlope("shard map, plan without a change", "shard", "ns of CPU", ns, planCPU),
		measureSlope("shard map, find a key", "shard", "ns of CPU", ns, func(n int) float64 {
			p := newPage(n)
			return cpuNS(func() { p.Lookup("key-4711") })
		}),
	}
}

func mustDecodePage(data []byte) *ownership.Page {
	p := new(ownership.Page)
	if err := json.Unmarshal(data, p); err != nil {
		panic(err) // unreachable: encoded by this package
	}
	return p
}

func planCPU(n int) float64 {
	s := placement.Snapshot{
		Now:       time.UnixMilli(1),
		Page:      newPage(n),
		Targets:   newTargets(max(n/shardsPerTarget, 1)),
		ShardLoad: make([]float64, n),
		Limits:    placement.DefaultLimits,
	}
	for i := range s.ShardLoad {
		s.ShardLoad[i] = 60
	}
	return cpuNS(func() { placement.Plan(s) })
}

func newRecord(hosts, targets int) membership.Record {
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
			Candidates: candidatesFrom(r.Hosts, i),
		})
	}
	return r
}

// candidatesFrom returns the routers of all hosts, starting with that of host
// number from and wrapping around.
func candidatesFrom(hosts []membership.Host, from int) []lease.Incarnation {
	list := make([]lease.Incarnation, 0, len(hosts))
	for i := range hosts {
		list = append(list, hosts[(from+i)%len(hosts)].Router())
	}
	return list
}

// hostsInCell is the number of hosts of a cell where it is not the varied quantity.
const hostsInCell = 5

// Records measures the size of a cell's record.
func Records() []Slope {
	targets := doubling(1, 128)
	hosts := doubling(1, 8)
	return []Slope{
		measureSlope("cell record with 5 hosts", "target", "bytes of JSON", targets, func(n int) float64 {
			return float64(len(mustEncode(newRecord(hostsInCell, n))))
		}),
		measureSlope("cell record with 32 targets", "host", "bytes of JSON", hosts, func(n int) float64 {
			return float64(len(mustEncode(newRecord(n, cellTargets))))
		}),
	}
}
