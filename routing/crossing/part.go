package crossing

import "math"

const (
	// partWeight is the weight of one report in a host's part: with a report every 0.4 s,
	// about the last 2 s count. Reports are 0.4 to 0.8 s old; hosts that respond to a
	// single one all send at once, and all stop at once.
	partWeight = 0.2
	// partFrom is the part of the capacity that must be in use for the host's part to
	// count. Below, there is room for every host.
	partFrom = 0.7
)

// Part is the part of the capacity at home that this host uses: in proportion to what it
// runs there, and at least an even share among the hosts of the data centre, which what
// others send from elsewhere does not reduce. It depends on what the others run only
// through an average, and on what this host runs at once.
type Part struct {
	phase              float64
	own, all, capacity float64
	hosts              int
}

// NewPart returns a part without reports, which allows everything. phase is as for
// NewShare.
func NewPart(phase float64) Part { return Part{phase: phase} }

// Report records what this host and the others run at home, the requests that may be there
// at once, and the number of hosts of the data centre.
func (p *Part) Report(own, others, capacity float64, hosts int) {
	weight := partWeight
	if p.capacity == 0 {
		weight = 1
	}
	p.own += weight * (own - p.own)
	p.all += weight * (own + others - p.all)
	p.capacity, p.hosts = capacity, max(1, hosts)
}

// IsScarce reports whether the host's part counts.
func (p *Part) IsScarce() bool { return p.capacity > 0 && p.all >= partFrom*p.capacity }

// Limit returns the number of requests that this host may run at home at once.
func (p *Part) Limit() float64 {
	if !p.IsScarce() {
		return math.Inf(1)
	}
	return p.capacity * max(p.own/p.all, 1/float64(p.hosts))
}

// Allows reports whether this host may run one more request at home.
func (p *Part) Allows(running int) bool {
	return !p.IsScarce() || running == 0 || float64(running+1) <= math.Floor(p.Limit()+p.phase)
}
