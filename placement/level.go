package placement

import (
	"cmp"
	"slices"
)

// level describes the most even distribution of load that a group of targets can
// reach. A shard cannot be divided, so a shard with more than a target's mean load
// keeps its target above the mean wherever the other shards are placed.
type level struct {
	mean            float64                 // mean utilization of all targets
	restUtilization float64                 // mean utilization of the targets without a dominant shard
	heaviest        map[*targetLoad]float64 // load of the heaviest shard of each target
	noise           func(rate float64) float64
}

// levelOf computes the level of a group.
func (pl *planner) levelOf(group []*targetLoad) level {
	l := level{mean: meanUtilization(group), heaviest: make(map[*targetLoad]float64, len(group)), noise: pl.noise}
	for _, st := range group {
		l.heaviest[st] = 0
	}
	var loads []float64
	for _, p := range pl.shards {
		if _, in := l.heaviest[p.owner]; in {
			l.heaviest[p.owner] = max(l.heaviest[p.owner], p.load)
			loads = append(loads, p.load)
		}
	}
	l.restUtilization = restUtilization(group, loads)
	return l
}

// restUtilization returns the mean utilization without the shards that are heavy
// enough to occupy a whole target, and without a target of mean capacity for each
// of them.
func restUtilization(group []*targetLoad, loads []float64) float64 {
	total, capacity := 0.0, 0.0
	for _, st := range group {
		total += st.load
		capacity += st.capacity()
	}
	meanCapacity := capacity / float64(max(len(group), 1))
	slices.SortFunc(loads, func(x, y float64) int { return cmp.Compare(y, x) })
	for _, load := range loads {
		if capacity <= meanCapacity || load/meanCapacity <= total/capacity {
			break
		}
		total -= load
		capacity -= meanCapacity
	}
	return total / max(capacity, 1)
}

// hasDominantShard reports whether a target's heaviest shard by itself exceeds the
// utilization of the rest, so that all other shards should leave the target.
func (l level) hasDominantShard(st *targetLoad) bool {
	return l.heaviest[st]/st.capacity() > l.restUtilization
}

// excess returns by how much a target's utilization exceeds the reachable level,
// reduced by the noise of its load, as a share of the mean.
func (l level) excess(st *targetLoad) float64 {
	if l.hasDominantShard(st) {
		others := st.load - l.heaviest[st]
		return l.shareOfMean((others - l.noise(others)) / st.capacity())
	}
	return l.shareOfMean(st.utilization() - l.restUtilization - l.noise(st.load)/st.capacity())
}

// shortfall returns by how much a target's utilization is below that of the rest,
// reduced by the noise of its load, as a share of the mean.
func (l level) shortfall(st *targetLoad) float64 {
	return l.shareOfMean(l.restUtilization - st.utilization() - l.noise(st.load)/st.capacity())
}

// shareOfMean returns a utilization as a share of the mean, or 0 if the mean is 0.
func (l level) shareOfMean(utilization float64) float64 {
	if l.mean == 0 {
		return 0
	}
	return utilization / l.mean
}

// isUneven reports whether any target of a group deviates from the level by more
// than limit. For the excess of a target with a dominant shard, dominantLimit
// applies: such a target is the most loaded one, so less excess matters there.
func (l level) isUneven(group []*targetLoad, limit, dominantLimit float64) bool {
	for _, st := range group {
		allowed := limit
		if l.hasDominantShard(st) {
			allowed = dominantLimit
		}
		if l.excess(st) > allowed || l.shortfall(st) > limit {
			return true
		}
	}
	return false
}
