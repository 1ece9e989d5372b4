package aggregators

import "time"

const (
	// avoidTime is how long a host does not report to an aggregator that did not
	// answer it.
	avoidTime = 2 * time.Second
	// MaxContactAge is how long an aggregator may be without an answer of the
	// coordinator before its hosts try the coordinator themselves: about the time in
	// which another host takes over a lost coordinator's role.
	MaxContactAge = 4 * time.Second
	// directRetryTime is the time between two such attempts.
	directRetryTime = 3 * time.Second
)

// Route decides where one host sends its reports: to its data centre's aggregator, or
// to the coordinator if there is none or it does not answer. The zero value reports to
// the coordinator.
type Route struct {
	aggregator  string
	avoided     string        // aggregator that did not answer
	avoidUntil  time.Duration // until when it is avoided
	contactLost bool          // the aggregator has had no answer of the coordinator for long
	nextDirect  time.Duration // earliest next attempt at the coordinator in that case
}

// Next returns the address for the next report, or "" if none is known. viaAggregator
// reports whether it is the aggregator's.
func (r *Route) Next(now time.Duration, coordinator string) (addr string, viaAggregator bool) {
	switch {
	case r.aggregator == "":
		return coordinator, false
	case r.contactLost && coordinator != "" && now >= r.nextDirect:
		r.nextDirect = now + directRetryTime
		return coordinator, false
	default:
		return r.aggregator, true
	}
}

// Assigned records which aggregator the coordinator named, in its answer or in the
// store; "" means none.
func (r *Route) Assigned(now time.Duration, aggregator string) {
	if aggregator == r.avoided && now < r.avoidUntil {
		aggregator = ""
	}
	r.aggregator, r.contactLost = aggregator, false
}

// Relayed records an answer of the aggregator: how long ago the coordinator last
// answered it.
func (r *Route) Relayed(contactAge time.Duration) { r.contactLost = contactAge > MaxContactAge }

// Failed records that the aggregator did not answer, or that it refused a report.
func (r *Route) Failed(now time.Duration) {
	r.avoided, r.avoidUntil, r.aggregator = r.aggregator, now+avoidTime, ""
}

// Unreachable returns the aggregator that did not answer a short time ago, or "".
func (r *Route) Unreachable(now time.Duration) string {
	if now < r.avoidUntil {
		return r.avoided
	}
	return ""
}

// HasAggregator reports whether reports go to an aggregator.
func (r *Route) HasAggregator() bool { return r.aggregator != "" }
