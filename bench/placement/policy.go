package main

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
)

// policy is a strategy to place shards.
type policy struct {
	name              string
	limits            placement.Limits
	plan              func(placement.Snapshot) []placement.Decision
	isGlobal          bool // one planner sees the loads of all cells
	hashesInitialPage bool // the initial placement is by hash, too
}

// policies returns the baselines and the planner with its settings.
func policies() []policy {
	acrossCells := placement.DefaultLimits
	acrossCells.AcrossCells = true
	return []policy{
		{name: "static", plan: placement.Plan},
		{name: "rendezvous", plan: rendezvous, isGlobal: true, hashesInitialPage: true},
		{name: "greedy", plan: placement.Plan, limits: greedyLimits},
		{name: "default", plan: placement.Plan, limits: placement.DefaultLimits},
		{name: "across cells", plan: placement.Plan, limits: acrossCells, isGlobal: true},
	}
}

// greedyLimits let the planner remove any imbalance, however many moves that takes.
var greedyLimits = placement.Limits{
	MovesPerMinute: 1_000_000,
	StartDeviation: 0.001,
	StopDeviation:  0.0005,
	PinShare:       0.15,
	UnpinShare:     0.03,
	MaxPins:        64,
	MinStay:        time.Second,
}

// initialPage places the shards of a new service.
func (p policy) initialPage(service string, shards uint32, targets []placement.Target) ownership.Page {
	page := placement.InitialPage(service, shards, targets)
	if !p.hashesInitialPage {
		return page
	}
	for n := range page.Shards {
		shard := &page.Shards[n]
		best := highestHashTarget(uint32(n), targets)
		shard.Cell, shard.Target, shard.Next = best.Cell, best.Name, nil
	}
	return page
}

// planners returns the cells that run a planner; "" is one planner for all cells.
func (p policy) planners(s site) []string {
	if p.isGlobal {
		return []string{""}
	}
	cells := make(map[string]bool)
	for _, cell := range s.cells {
		cells[cell] = true
	}
	return slices.Sorted(maps.Keys(cells))
}

// rendezvous places each shard by rendezvous hashing: at the live target with the
// highest hash of target and shard, regardless of load.
func rendezvous(s placement.Snapshot) []placement.Decision {
	var plan []placement.Decision
	for n, shard := range s.Page.Shards {
		best := highestHashTarget(uint32(n), s.Targets)
		if best.Name == "" || best.Name == shard.Target {
			continue
		}
		plan = append(plan, placement.Decision{
			Action: placement.ActionMove, Shard: uint32(n), Cell: best.Cell, Target: best.Name,
			Kind: moveKind(s, shard), Reason: placement.ReasonBalance,
		})
	}
	return plan
}

// highestHashTarget returns the live target with the highest hash of target and shard.
func highestHashTarget(shard uint32, targets []placement.Target) placement.Target {
	var bestTarget placement.Target
	var highestHash uint64
	for _, t := range targets {
		if t.State != placement.Live {
			continue
		}
		hash := fnv.New64a()
		hash.Write([]byte(t.Name))
		hash.Write([]byte{byte(shard >> 8), byte(shard)})
		if sum := mixBits(hash.Sum64()); bestTarget.Name == "" || sum > highestHash {
			bestTarget, highestHash = t, sum
		}
	}
	return bestTarget
}

// mixBits spreads the low bits of a hash over all bits.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// moveKind returns MovePlanned if the current owner can still release the shard, or
// MoveLost otherwise.
func moveKind(s placement.Snapshot, shard ownership.Shard) ownership.MoveKind {
	for _, t := range s.Targets {
		if t.Name == shard.Target && t.State != placement.Lost {
			return ownership.MovePlanned
		}
	}
	return ownership.MoveLost
}
