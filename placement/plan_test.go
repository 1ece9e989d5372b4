package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/ownership"
)

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// applyPlan applies a plan to a snapshot and advances its time by two minutes.
func applyPlan(s Snapshot, plan []Decision) Snapshot {
	page := ownership.Page{
		Service: s.Page.Service,
		Shards:  slices.Clone(s.Page.Shards),
		Pins:    slices.Clone(s.Page.Pins),
	}
	load := slices.Clone(s.ShardLoad)
	var unpinned []uint32
	for _, d := range plan {
		made := d.newShard()
		made.SinceMS = s.Now.UnixMilli()
		made.Reason = string(d.Reason) // as ownership.BeginMove writes it
		switch d.Action {
		case ActionPin:
			made.PinnedTo = d.Key
			page.Pins = append(page.Pins, made)
			hot := s.HotKeys[slices.IndexFunc(s.HotKeys, func(k HotKey) bool { return k.Key == d.Key })]
			load[d.Shard] -= hot.Load
			load = append(load, hot.Load)
		case ActionUnpin:
			unpinned = append(unpinned, d.Shard)
		case ActionNext:
			shardAt(&page, d.Shard).Next = made.Next
		default:
			made.PinnedTo = shardAt(&page, d.Shard).PinnedTo
			*shardAt(&page, d.Shard) = made
		}
	}
	for _, number := range slices.Backward(unpinned) {
		i := int(number) - len(page.Shards)
		page.Pins = slices.Delete(page.Pins, i, i+1)
		load = slices.Delete(load, int(number), int(number)+1)
	}
	s.Page, s.ShardLoad = page, load
	s.Now = s.Now.Add(2 * time.Minute)
	return s
}

func shardAt(page *ownership.Page, number uint32) *ownership.Shard {
	if int(number) < len(page.Shards) {
		return &page.Shards[number]
	}
	return &page.Pins[int(number)-len(page.Shards)]
}

// planUntilSettled applies plans until one is empty and returns the number of
// decisions other than changes of a successor.
func planUntilSettled(t interface{ Fatalf(string, ...any) }, s Snapshot) (Snapshot, int) {
	moves := 0
	for range 100 {
		plan := Plan(s)
		if len(plan) == 0 {
			return s, moves
		}
		for _, d := range plan {
			if d.Action != ActionNext {
				moves++
			}
		}
		s = applyPlan(s, plan)
	}
	t.Fatalf("still not settled after 100 plans: %+v", Plan(s))
	return s, moves
}

func newTargets(cells ...string) []Target {
	var all []Target
	for i, cell := range cells {
		all = append(all, Target{Name: fmt.Sprintf("t%02d", i), Cell: cell, State: Live, Capacity: 6})
	}
	return all
}

func evenLoad(shards int) []float64 { return slices.Repeat([]float64{10}, shards) }

func newSnapshot(shards uint32, all []Target) Snapshot {
	return Snapshot{
		Now:       noon,
		Page:      InitialPage("katalog", shards, all),
		Targets:   all,
		ShardLoad: evenLoad(int(shards)),
		Limits:    DefaultLimits,
	}
}

func shardsByOwner(page ownership.Page) map[string]int {
	count := make(map[string]int)
	for _, shard := range slices.Concat(page.Shards, page.Pins) {
		count[shard.Target]++
	}
	return count
}

func TestInitialIsEven(t *testing.T) {
	s := newSnapshot(64, newTargets("kl", "kl", "kl", "penang", "penang"))
	for _, n := range shardsByOwner(s.Page) {
		assert.Assert(t, n >= 12 && n <= 13)
	}
	for _, shard := range s.Page.Shards {
		assert.Assert(t, shard.Next != nil && shard.Next.Target != shard.Target)
		assert.Equal(t, shard.Next.Cell, shard.Cell)
	}
	assert.Equal(t, len(Plan(s)), 0)
}

func TestForcedMoves(t *testing.T) {
	tests := []struct {
		state   TargetState
		kind    ownership.MoveKind
		reason  Reason
		onlyOne bool // the cell has no other target
		across  bool
		moves   bool
	}{
		{state: Lost, kind: ownership.MoveLost, reason: ReasonLost, moves: true},
		{state: Leaving, kind: ownership.MovePlanned, reason: ReasonLeaving, moves: true},
		{state: Stopping, kind: ownership.MovePlanned, reason: ReasonStopping, moves: true},
		{state: Lost, onlyOne: true},
		{state: Lost, onlyOne: true, across: true, kind: ownership.MoveLost, reason: ReasonLost, moves: true},
		{state: Leaving, onlyOne: true, kind: ownership.MovePlanned, reason: ReasonLeaving, moves: true},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s,%v,%v", tt.state, tt.onlyOne, tt.across), func(t *testing.T) {
			all := newTargets("kl", "kl", "kl", "penang")
			gone := 0
			if tt.onlyOne {
				gone = 3
			}
			s := newSnapshot(16, all)
			s.Limits = Limits{AcrossCells: tt.across} // forced moves need no budget
			s.Targets[gone].State = tt.state
			moved := 0
			for _, d := range Plan(s) {
				if d.Action != ActionMove {
					continue
				}
				moved++
				old := s.Page.Shards[d.Shard]
				assert.Equal(t, old.Target, all[gone].Name)
				assert.Equal(t, d.Kind, tt.kind)
				assert.Equal(t, d.Reason, tt.reason)
				if tt.state == Lost && !tt.onlyOne {
					assert.Equal(t, d.Target, old.Next.Target)
				}
			}
			want := 0
			if tt.moves {
				want = shardsByOwner(s.Page)[all[gone].Name]
			}
			assert.Equal(t, moved, want)
		})
	}
}

func TestNewTargetGetsItsShare(t *testing.T) {
	all := newTargets("kl", "kl", "kl", "kl", "kl")
	s := newSnapshot(64, all[:4])
	s.Targets = all
	s, moves := planUntilSettled(t, s)
	assert.Assert(t, moves <= 13, "moves %d", moves)
	assert.Assert(t, shardsByOwner(s.Page)["t04"] >= 10, "%v", shardsByOwner(s.Page))
}

func TestLostTargetMovesOnlyItsShards(t *testing.T) {
	s := newSnapshot(64, newTargets("kl", "kl", "kl", "kl"))
	s.Targets[1].State = Lost
	before := shardsByOwner(s.Page)["t01"]
	_, moves := planUntilSettled(t, s)
	assert.Assert(t, moves >= before && moves <= before+3, "moves %d of %d", moves, before)
}

func TestBalanceStaysWithinBudget(t *testing.T) {
	s := newSnapshot(64, newTargets("kl", "kl", "kl", "kl"))
	for i, shard := range s.Page.Shards {
		if shard.Target == "t00" {
			s.ShardLoad[i] = 40
		}
	}
	s.Limits.MovesPerMinute = 3
	plan := Plan(s)
	assert.Equal(t, len(plan), 3)
	next := applyPlan(s, plan)
	next.Now = s.Now.Add(10 * time.Second)
	assert.Equal(t, len(Plan(next)), 0, "the minute's budget is spent")
}

func TestMoveMustBeWorthwhile(t *testing.T) {
	s := newSnapshot(4, newTargets("kl", "kl"))
	s.ShardLoad = []float64{10.5, 10, 10.5, 0.1} // loads 21 and 10.1; a move would result in 10.5 and 20.6
	s.Limits.PinShare = 10
	assert.Equal(t, s.Page.Shards[0].Target, s.Page.Shards[2].Target)
	assert.Equal(t, len(Plan(s)), 0)
}

func TestHotKeyIsPinnedAndUnpinned(t *testing.T) {
	s := newSnapshot(16, newTargets("kl", "kl", "kl", "kl"))
	s.ShardLoad[5] += 60
	s.HotKeys = []HotKey{{Key: "harry", Shard: 5, Load: 60}}
	plan := Plan(s)
	assert.Assert(t, len(plan) > 0)
	assert.Equal(t, plan[0].Action, ActionPin)
	assert.Equal(t, plan[0].Key, "harry")
	s, _ = planUntilSettled(t, s)
	assert.Equal(t, len(s.Page.Pins), 1)

	s.ShardLoad[16] = 0
	s.HotKeys = nil
	s, _ = planUntilSettled(t, s)
	assert.Equal(t, len(s.Page.Pins), 0)
}

// For any loads and states, planning ends, plans depend only on the snapshot,
// assign shards only to live targets and stay within the budget.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells := rapid.SliceOfN(rapid.SampledFrom([]string{"kl", "penang"}), 1, 8).Draw(t, "cells")
		all := newTargets(cells...)
		shards := 1 << rapid.IntRange(0, 6).Draw(t, "shards")
		s := newSnapshot(uint32(shards), all)
		s.Limits.AcrossCells = rapid.Bool().Draw(t, "across")
		s.Limits.MovesPerMinute = rapid.IntRange(0, 20).Draw(t, "budget")
		for i := range s.ShardLoad {
			s.ShardLoad[i] = float64(rapid.IntRange(0, 100).Draw(t, "load"))
		}
		for i := range all {
			states := []TargetState{Live, Live, Live, Leaving, Stopping, Lost}
			s.Targets[i].State = rapid.SampledFrom(states).Draw(t, "state")
		}
		checkPlan(t, s)
		planUntilSettled(t, s)
	})
}

func checkPlan(t *rapid.T, s Snapshot) {
	plan := Plan(s)
	shuffled := s
	shuffled.Targets = slices.Clone(s.Targets)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(s.Targets), func(i, j int) {
		shuffled.Targets[i], shuffled.Targets[j] = shuffled.Targets[j], shuffled.Targets[i]
	})
	assert.DeepEqual(t, Plan(shuffled), plan)

	state := make(map[string]Target)
	for _, target := range s.Targets {
		state[target.Name] = target
	}
	balance := 0
	for _, d := range plan {
		if d.Action == ActionUnpin {
			continue
		}
		assert.Equal(t, state[d.Target].State, Live)
		assert.Equal(t, state[d.Target].Cell, d.Cell)
		if d.Next != "" {
			assert.Equal(t, state[d.Next].State, Live)
			assert.Equal(t, state[d.Next].Cell, d.Cell)
			assert.Assert(t, d.Next != d.Target)
		}
		if d.Reason == ReasonBalance {
			balance++
		}
	}
	assert.Assert(t, balance <= s.Limits.MovesPerMinute)
}
