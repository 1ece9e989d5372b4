package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/mangopost/mangopost/ownership"
)

// traffic generates the requests of each second.
type traffic struct {
	scenario     scenario
	seed         uint64
	random       *rand.Rand
	zipf         *rand.Zipf
	keyWeights   []float64 // share of each key in the requests that are not for hot keys
	keyNames     []string
	homeShards   []uint32 // hash-range shard of each key
	keyNumbers   map[string]int
	shardWeights []float64 // sum of keyWeights of each hash-range shard
}

func newTraffic(s scenario, seed uint64) *traffic {
	random := rand.New(rand.NewPCG(seed, 1))
	t := &traffic{
		scenario: s, seed: seed, random: random,
		zipf:         rand.NewZipf(random, s.zipfSkew, 1, keyCount-1),
		keyWeights:   zipfWeights(s.zipfSkew),
		keyNames:     make([]string, keyCount),
		homeShards:   make([]uint32, keyCount),
		keyNumbers:   make(map[string]int, keyCount),
		shardWeights: make([]float64, shardCount),
	}
	for i := range t.keyNames {
		t.keyNames[i] = fmt.Sprintf("%d-key-%d", seed, i)
		t.homeShards[i] = ownership.ShardOf(t.keyNames[i], shardCount)
		t.keyNumbers[t.keyNames[i]] = i
		t.shardWeights[t.homeShards[i]] += t.keyWeights[i]
	}
	return t
}

func zipfWeights(skew float64) []float64 {
	weights := make([]float64, keyCount)
	sum := 0.0
	for i := range weights {
		weights[i] = math.Pow(1+float64(i), -skew)
		sum += weights[i]
	}
	for i := range weights {
		weights[i] /= sum
	}
	return weights
}

// requestsPerSecond returns the request rate in a second of the scenario.
func (t *traffic) requestsPerSecond(second int) float64 {
	rate := t.scenario.site.requestsPerSecond * t.scenario.rateScale
	if t.isSwing(second) {
		rate *= t.scenario.swingFactor
	}
	return rate
}

func (t *traffic) isSwing(second int) bool {
	s := t.scenario
	return s.swingIntervalSeconds > 0 && second%s.swingIntervalSeconds >= s.swingIntervalSeconds-s.swingSeconds
}

// hotKeys returns the hot keys of a second. They are not all replaced at the same
// time.
func (t *traffic) hotKeys(second int) []int {
	list := make([]int, t.scenario.hotKeys)
	for i := range list {
		period := 0
		if moveSeconds := t.scenario.hotMoveSeconds; moveSeconds > 0 {
			period = (second + i*moveSeconds/len(list)) / moveSeconds
		}
		keyRandom := rand.New(rand.NewPCG(t.seed<<20|uint64(period), uint64(i)))
		list[i] = keyRandom.IntN(keyCount)
	}
	return list
}

// hotKeyShare returns the share of the requests for each hot key.
func (t *traffic) hotKeyShare(hotKeys []int) float64 {
	if len(hotKeys) == 0 {
		return 0
	}
	return t.scenario.hotKeysShare / float64(len(hotKeys))
}

// coldShare returns the share of the requests that are not for hot keys.
func (t *traffic) coldShare(hotKeys []int) float64 {
	if len(hotKeys) == 0 {
		return 1
	}
	return 1 - t.scenario.hotKeysShare
}

// drawRequests draws the number of requests that arrive in a second, by key.
func (t *traffic) drawRequests(second int) map[int]uint32 {
	hotKeys := t.hotKeys(second)
	mean := t.requestsPerSecond(second)
	count := max(int(mean+math.Sqrt(mean)*t.random.NormFloat64()+0.5), 0)
	requests := make(map[int]uint32)
	for range count {
		requests[t.drawKey(hotKeys)]++
	}
	return requests
}

func (t *traffic) drawKey(hotKeys []int) int {
	if len(hotKeys) > 0 && t.random.Float64() < t.scenario.hotKeysShare {
		return hotKeys[t.random.IntN(len(hotKeys))]
	}
	return int(t.zipf.Uint64())
}

// keyShare returns the share of a second's requests for a key.
func (t *traffic) keyShare(key int, hotKeys []int) float64 {
	share := t.hotKeyShare(hotKeys)
	w := t.keyWeights[key] * t.coldShare(hotKeys)
	for _, h := range hotKeys {
		if h == key {
			w += share
		}
	}
	return w
}
