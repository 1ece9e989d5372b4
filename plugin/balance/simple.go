package balance

import "github.com/mangopost/mangopost/routing"

// roundRobin picks the candidates in turn.
type roundRobin struct {
	next int
}

// Pick implements routing.Balancer.
func (b *roundRobin) Pick(_ routing.Random, candidates []routing.Candidate) int {
	if len(candidates) == 0 {
		return routing.NoCandidate
	}
	pick := b.next % len(candidates)
	b.next = pick + 1
	return pick
}

// random picks a random candidate.
type random struct{}

// Pick implements routing.Balancer.
func (random) Pick(r routing.Random, candidates []routing.Candidate) int {
	if len(candidates) == 0 {
		return routing.NoCandidate
	}
	return r.IntN(len(candidates))
}

// leastOutstanding picks the candidate with the least outstanding work for its
// weight. It starts at a random candidate, so that ties are spread.
type leastOutstanding struct{}

// Pick implements routing.Balancer.
func (leastOutstanding) Pick(r routing.Random, candidates []routing.Candidate) int {
	n := len(candidates)
	if n == 0 {
		return routing.NoCandidate
	}
	best := r.IntN(n)
	for step, i := 1, best; step < n; step++ {
		i = (i + 1) % n
		if lessLoaded(candidates[i], candidates[best]) {
			best = i
		}
	}
	return best
}

// powerOfTwo picks the less loaded of two random candidates. It does not need
// exact counts, and hosts with the same counts do not all pick the same target.
type powerOfTwo struct{}

// Pick implements routing.Balancer.
func (powerOfTwo) Pick(r routing.Random, candidates []routing.Candidate) int {
	n := len(candidates)
	switch n {
	case 0:
		return routing.NoCandidate
	case 1:
		return 0
	}
	first := r.IntN(n)
	second := r.IntN(n - 1)
	if second >= first {
		second++
	}
	if lessLoaded(candidates[second], candidates[first]) {
		return second
	}
	return first
}
