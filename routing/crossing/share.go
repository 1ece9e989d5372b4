package crossing

import (
	"math"
	"time"
)

const (
	// shareWindow is the window over which the part of the requests that should leave is
	// averaged. It is longer than the age of reports, to which the share would respond
	// with oscillation otherwise.
	shareWindow = 2 * time.Second
	// risePerSecond and fallPerSecond bound the change of the share. It falls more slowly,
	// because requests that come back early fill the targets here at once again. With a
	// rise of 0.5, 25 of 100 requests were lost in the first second of a simulated
	// overload of 300 hosts, and 16 with 1; the swing afterwards was the same.
	risePerSecond = 1
	fallPerSecond = 0.25
	// rateSpread is the part by which the bounds differ between hosts.
	rateSpread = 0.5
	// shareHeadroom is the factor by which the share may exceed the part that should
	// leave, so that random arrivals are not held back.
	shareHeadroom = 1.2
	// leaveMargin is the factor by which the gain of a request must exceed its cost while
	// none leave; while some do, 1 is enough.
	leaveMargin = 1.2
	// minShare is the share below which none leave.
	minShare = 0.005
	// maxCredit is the number of requests that may leave at once after others did not.
	maxCredit = 4
)

// Share is the share of a route's requests at one host that leaves for a place.
type Share struct {
	phase    float64 // of the host, 0 to 1
	share    float64
	arrived  float64 // requests within the window
	wanting  float64 // of them, those that should leave
	at       time.Duration
	credit   float64 // requests that may leave
	started  bool
	isActive bool
}

// NewShare returns a share of 0. phase is a number from 0 to 1 that differs between hosts,
// for example a hash of the host's name.
func NewShare(phase float64) Share { return Share{phase: phase} }

// Arrive counts a request that arrives.
func (s *Share) Arrive(now time.Duration) {
	s.advance(now)
	s.arrived++
	s.credit = min(s.credit+s.share, maxCredit)
}

// Wants reports whether a request should leave by its comparison. It does not change the
// share.
func (s *Share) Wants(v Verdict) bool {
	if s.share > 0 {
		return v.Gain > v.Cost
	}
	return v.Gain > leaveMargin*v.Cost
}

// CountWanting counts a request that should leave. Call it once for each.
func (s *Share) CountWanting(now time.Duration) {
	s.advance(now)
	s.wanting++
}

// Take reports whether a request that should leave may do so now, and counts it.
func (s *Share) Take(now time.Duration) bool {
	s.advance(now)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// Value returns the share now, from 0 to 1.
func (s *Share) Value(now time.Duration) float64 {
	s.advance(now)
	return s.share
}

// Changed reports whether requests began or ceased to leave since the last call.
func (s *Share) Changed(now time.Duration) bool {
	s.advance(now)
	changed := s.isActive != (s.share > 0)
	s.isActive = s.share > 0
	return changed
}

func (s *Share) advance(now time.Duration) {
	if !s.started {
		s.started, s.at, s.credit = true, now, 1+s.phase
	}
	if now <= s.at {
		return
	}
	elapsed := (now - s.at).Seconds()
	s.at = now
	decay := math.Exp(-elapsed / shareWindow.Seconds())
	s.arrived, s.wanting = s.arrived*decay, s.wanting*decay
	rate := 1 - rateSpread/2 + rateSpread*s.phase
	wanted := min(1, shareHeadroom*s.wanting/max(s.arrived, 1))
	if wanted > s.share {
		s.share = min(wanted, s.share+risePerSecond*rate*elapsed)
	} else {
		s.share = max(wanted, s.share-fallPerSecond*rate*elapsed)
	}
	if s.share < minShare && wanted < minShare {
		// The first request may leave at once: a route with few requests has no share to
		// speak of.
		s.share, s.credit = 0, max(s.credit, 1)
	}
}

// returnTime is how long a place that has come back takes to get all of its work again.
const returnTime = 8 * time.Second

// Return gives work gradually to a place that was away.
type Return struct {
	since  time.Duration
	active bool
	credit float64
}

// Begin records that the place has come back.
func (r *Return) Begin(now time.Duration) { *r = Return{since: now, active: true} }

// Share returns the share of its work that the place gets now.
func (r *Return) Share(now time.Duration) float64 {
	if !r.active {
		return 1
	}
	if now >= r.since+returnTime {
		r.active = false
		return 1
	}
	return (now - r.since).Seconds() / returnTime.Seconds()
}

// Take reports whether one more request may go to the place now.
func (r *Return) Take(now time.Duration) bool {
	share := r.Share(now)
	if share >= 1 {
		return true
	}
	if r.credit += share; r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
