package main

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
)

// policy is one way to place shards.
type policy struct {
	name   string
	limits placement.Limits
	plan   func(placement.Snapshot) []placement.Decision
	global bool // one planner knows the loads of all cells
	hashes bool // shards are dealt out by hash too
}

// policies are the baselines and the planner with its settings.
func policies() []policy {
	across := placement.DefaultLimits
	across.AcrossCells = true
	return []policy{
		{name: "static", plan: placement.Plan},
		{name: "rendezvous", plan: rendezvous, global: true, hashes: true},
		{name: "greedy", plan: placement.Plan, limits: greedy},
		{name: "default", plan: placement.Plan, limits: placement.DefaultLimits},
		{name: "across cells", plan: placement.Plan, limits: across, global: true},
	}
}

// greedy evens out whatever can be, whatever it costs.
var greedy = placement.Limits{
	MovesPerMinute: 1_000_000,
	StartDeviation: 0.001,
	StopDeviation:  0.0005,
	PinShare:       0.15,
	UnpinShare:     0.03,
	MaxPins:        64,
	MinStay:        time.Second,
}

// initial deals the shards of a new service out.
func (p policy) initial(service string, shards uint32, targets []placement.Target) ownership.Page {
	page := placement.InitialPage(service, shards, targets)
	if !p.hashes {
		return page
	}
	for n := range page.Shards {
		shard := &page.Shards[n]
		best := highest(uint32(n), targets)
		shard.Cell, shard.Target, shard.Next = best.Cell, best.Name, nil
	}
	return page
}

// planners returns the cells that plan.
func (p policy) planners(s site) []string {
	if p.global {
		return []string{""}
	}
	cells := make(map[string]bool)
	for _, cell := range s.cells {
		cells[cell] = true
	}
	return slices.Sorted(maps.Keys(cells))
}

// rendezvous places each shard at the live target with the highest hash of both,
// whatever its load.
func rendezvous(s placement.Snapshot) []placement.Decision {
	var plan []placement.Decision
	for n, shard := range s.Page.Shards {
		best := highest(uint32(n), s.Targets)
		if best.Name == "" || best.Name == shard.Target {
			continue
		}
		plan = append(plan, placement.Decision{
			Action: placement.ActionMove, Shard: uint32(n), Cell: best.Cell, Target: best.Name,
			Kind: kindOfMove(s, shard), Reason: placement.ReasonBalance,
		})
	}
	return plan
}

func highest(shard uint32, targets []placement.Target) placement.Target {
	var best placement.Target
	var most uint64
	for _, t := range targets {
		if t.State != placement.Live {
			continue
		}
		hash := fnv.New64a()
		hash.Write([]byte(t.Name))
		hash.Write([]byte{byte(shard >> 8), byte(shard)})
		if sum := mix(hash.Sum64()); best.Name == "" || sum > most {
			best, most = t, sum
		}
	}
	return best
}

// mix spreads the low bits of a hash over all of it.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// kindOfMove is planned while the old owner is there to release the shard.
func kindOfMove(s placement.Snapshot, shard ownership.Shard) ownership.MoveKind {
	for _, t := range s.Targets {
		if t.Name == shard.Target && t.State != placement.Lost {
			return ownership.MovePlanned
		}
	}
	return ownership.MoveLost
}
