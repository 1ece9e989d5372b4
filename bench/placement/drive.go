package main

import (
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
)

// driver runs a policy over a scenario.
type driver struct {
	scenario     scenario
	policy       policy
	traffic      *traffic
	meter        *rateMeter
	targetStates []placement.Target
	page         ownership.Page
	start        time.Time
	outcome      *outcome
}

func newDriver(s scenario, p policy, seed uint64) *driver {
	d := &driver{
		scenario: s, policy: p, meter: newRateMeter(),
		traffic:      newTraffic(s, seed),
		targetStates: s.site.targets(),
		start:        time.Unix(1_780_000_000, 0),
		outcome:      newOutcome(),
	}
	d.applyStateChanges(0)
	d.page = p.initialPage(s.site.service, shardCount, d.targets())
	for i := range d.page.Shards {
		d.page.Shards[i].SinceMS = d.start.UnixMilli()
	}
	return d
}

// run simulates every second of the scenario and returns its results.
func (d *driver) run() *outcome {
	for second := range d.scenario.lengthSeconds {
		d.applyStateChanges(second)
		d.meter.record(d, d.traffic.drawRequests(second))
		d.planUntilStable(second)
		d.outcome.recordBalance(d, second)
	}
	return d.outcome
}

// maxPlanRounds bounds the plans within a second, which use the same loads.
const maxPlanRounds = 4

// planUntilStable plans until a plan changes nothing. A placer that changed a page
// plans again at once, without newer loads.
func (d *driver) planUntilStable(second int) {
	for range maxPlanRounds {
		before := d.page
		d.plan(second)
		d.outcome.countMoves(d, second, before)
		d.completeMoves(second)
		if reflect.DeepEqual(before, d.page) {
			return
		}
	}
}

func (d *driver) now(second int) time.Time { return d.start.Add(time.Duration(second) * time.Second) }

func (d *driver) applyStateChanges(second int) {
	for _, t := range d.scenario.stateChanges {
		if t.second == second {
			d.targetStates[t.target].State = t.state
		}
	}
}

// targets returns the targets that are in the host list, which are those with a state.
func (d *driver) targets() []placement.Target {
	var list []placement.Target
	for _, t := range d.targetStates {
		if t.State != "" {
			list = append(list, t)
		}
	}
	return list
}

// plan runs the planner of each cell in turn and applies its decisions about shards
// of that cell or of no cell.
func (d *driver) plan(second int) {
	for _, cell := range d.policy.planners(d.scenario.site) {
		shardRates, hotKeys := d.meter.loadsOf(d, cell)
		snapshot := placement.Snapshot{
			Now: d.now(second), Page: d.page, Targets: d.targets(),
			ShardLoad: shardRates, HotKeys: hotKeys, Window: placement.RateWindow, Limits: d.policy.limits, Cell: cell,
		}
		for _, decision := range d.policy.plan(snapshot) {
			shard, _ := d.page.Shard(decision.Shard)
			if cell == "" || shard.Cell == cell || shard.Cell == "" {
				d.apply(decision, second)
			}
		}
	}
}

func (d *driver) apply(decision placement.Decision, second int) {
	page, err := decision.Apply(d.page, ownership.Change{NowMS: d.now(second).UnixMilli()})
	if errors.Is(err, ownership.ErrMoving) || errors.Is(err, ownership.ErrPinned) {
		return
	}
	if err != nil {
		panic(err) // the planner made a decision that cannot be applied
	}
	d.page = page
}

// completeMoves completes all moves: each takes far less than a second.
func (d *driver) completeMoves(second int) {
	for _, number := range d.shardNumbers() {
		shard, _ := d.page.Shard(number)
		if shard.Move == nil {
			continue
		}
		page, err := ownership.CompleteMove(d.page, number, shard.Epoch, ownership.Change{NowMS: d.now(second).UnixMilli(), Reason: "served"})
		if err != nil {
			panic(err) // only this driver changes the page
		}
		d.page = page
	}
}

// shardNumbers returns the numbers of all shards of the page, pins included.
func (d *driver) shardNumbers() []uint32 {
	list := make([]uint32, len(d.page.Shards)+len(d.page.Pins))
	for i := range list {
		list[i] = uint32(i)
	}
	return list
}

// lookup returns the number and the shard that a key belongs to.
func (d *driver) lookup(key int) (uint32, ownership.Shard) {
	name := d.traffic.keyNames[key]
	for i, pin := range d.page.Pins {
		if pin.PinnedTo == name {
			return uint32(len(d.page.Shards) + i), pin
		}
	}
	home := d.traffic.homeShards[key]
	return home, d.page.Shards[home]
}

func (d *driver) homeShard(key string) uint32 { return ownership.ShardOf(key, shardCount) }

// shardShares returns the share of a second's requests for each shard, and the
// largest share of a single key.
func (d *driver) shardShares(second int) (byShard []float64, hottestKeyShare float64) {
	hotKeys := d.traffic.hotKeys(second)
	byShard = make([]float64, len(d.page.Shards)+len(d.page.Pins))
	for home, weight := range d.traffic.shardWeights {
		byShard[home] = d.traffic.coldShare(hotKeys) * weight
	}
	hottestKeyShare = d.traffic.keyShare(0, hotKeys)
	for _, key := range hotKeys {
		byShard[d.traffic.homeShards[key]] += d.traffic.hotKeyShare(hotKeys)
		hottestKeyShare = max(hottestKeyShare, d.traffic.keyShare(key, hotKeys))
	}
	for i, pin := range d.page.Pins {
		if pin.PinnedTo == "" {
			continue
		}
		key := d.traffic.keyNumbers[pin.PinnedTo]
		w := d.traffic.keyShare(key, hotKeys)
		byShard[d.traffic.homeShards[key]] -= w
		byShard[len(d.page.Shards)+i] += w
	}
	return byShard, hottestKeyShare
}

// targetShares returns the share of the requests for each live target.
func (d *driver) targetShares(byShard []float64) []float64 {
	owned := make(map[string]float64)
	for _, n := range d.shardNumbers() {
		shard, _ := d.page.Shard(n)
		owned[shard.Target] += byShard[n]
	}
	var loads []float64
	for _, t := range d.targetStates {
		if t.State == placement.Live {
			loads = append(loads, owned[t.Name])
		}
	}
	return loads
}
