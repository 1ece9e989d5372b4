package balance

import "github.com/mangopost/mangopost/routing"

// overloadFactor is the outstanding work, as a multiple of a target's slots,
// from which requests are sent further away: at 2, as many requests wait as
// run.
const overloadFactor = 2

// locality picks the less loaded of two random targets in its own data centre.
// If that target is overloaded, it tries the region, and then the link between
// regions if the link budget has room. If all picks are overloaded, the request
// stays near.
type locality struct {
	indexes    []int
	powerOfTwo powerOfTwo
	atDistance []routing.Candidate
}

// distance orders candidates by the cost of reaching them.
type distance uint8

const (
	sameDataCentre distance = iota
	sameRegion
	otherRegion
	numDistances = 3
)

func distanceOf(c routing.Candidate) distance {
	switch {
	case c.Local:
		return sameDataCentre
	case c.SameRegion:
		return sameRegion
	default:
		return otherRegion
	}
}

// Pick implements routing.Balancer.
func (b *locality) Pick(r routing.Random, candidates []routing.Candidate) int {
	nearest := routing.NoCandidate
	for d := range distance(numDistances) {
		pick := b.pickAtDistance(r, candidates, d)
		if pick == routing.NoCandidate {
			continue
		}
		if nearest == routing.NoCandidate {
			nearest = pick
		}
		if isOverloaded(candidates[pick]) {
			continue
		}
		if d == otherRegion && nearest != pick && !candidates[pick].LinkOpen {
			continue
		}
		return pick
	}
	return nearest
}

// pickAtDistance picks among the candidates at one distance.
func (b *locality) pickAtDistance(r routing.Random, candidates []routing.Candidate, d distance) int {
	b.indexes, b.atDistance = b.indexes[:0], b.atDistance[:0]
	for i, c := range candidates {
		if distanceOf(c) == d {
			b.indexes = append(b.indexes, i)
			b.atDistance = append(b.atDistance, c)
		}
	}
	pick := b.powerOfTwo.Pick(r, b.atDistance)
	if pick == routing.NoCandidate {
		return routing.NoCandidate
	}
	return b.indexes[pick]
}

func isOverloaded(c routing.Candidate) bool {
	return c.Full || c.Outstanding >= overloadFactor*max(c.Weight, 1)
}
