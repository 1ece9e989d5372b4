package routing

// Candidate is a target that can run a request, as seen from an entry host.
type Candidate struct {
	Target      string
	Gateway     string // host of the target's gateway
	DataCentre  string
	Region      string
	Outstanding int  // requests that wait or run at the target, as last reported to this host
	Weight      int  // number of slots; values below 1 count as 1
	Local       bool // in this host's data centre
	SameRegion  bool
	LinkOpen    bool // the link budget has room for an overflow to the target's region
	Full        bool // refused a request recently
}

// Random is a source of random numbers that the caller seeds.
// *math/rand/v2.Rand implements it.
type Random interface {
	// IntN returns a number in [0, n). n is at least 1.
	IntN(n int) int
}

// NoCandidate is returned by a Balancer that picks no candidate.
const NoCandidate = -1

// Balancer picks the target of a request to a service without owners. It is the
// extension point of the plug-ins "balance.*". An instance may keep state and
// is not safe for concurrent use.
type Balancer interface {
	// Pick returns the index of a candidate, or NoCandidate.
	Pick(random Random, candidates []Candidate) int
}
