package entry

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/membership/aggregators"
	"github.com/mangopost/mangopost/placement/demand"
)

// aggregation is a host's work as the aggregator of its data centre: it sums up the
// reports of its neighbours for the coordinator and passes on the replies.
type aggregation struct {
	mu        sync.Mutex
	active    bool
	group     *demand.Group
	contactAt time.Duration       // when the coordinator last replied, on steadyClock
	settled   []*pb.SettledRanges // of its last reply
}

func newAggregation() *aggregation { return &aggregation{} }

func (a *aggregation) isActive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// setActive begins or ends the work. It reports whether that is a change.
func (a *aggregation) setActive(active bool) (changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.active == active {
		return false
	}
	a.active, a.group, a.settled = active, nil, nil
	if active {
		a.group, a.contactAt = demand.NewGroup(reportValidity), steadyClock()
	}
	return true
}

// combine adds this host's own report and returns the sum for the coordinator, or the
// report itself if the host is not an aggregator.
func (a *aggregation) combine(own demand.Report) demand.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active {
		return own
	}
	a.group.Add(steadyClock(), own)
	return a.group.Combined(own.Host)
}

// setReply records the coordinator's reply to the sum, or nil if there was none, and
// returns this host's own part of it.
func (a *aggregation) setReply(host string, reply *pb.ReportReply, slots demand.Slots) (map[string]demand.Shares, demand.HostSummary) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active {
		if reply == nil {
			return nil, demand.HostSummary{}
		}
		return decodeShares(reply), decodeHosts(reply)
	}
	if reply == nil {
		a.group.SetShares(nil, demand.HostSummary{})
	} else {
		a.group.SetShares(decodeShares(reply), decodeHosts(reply))
		a.contactAt, a.settled = steadyClock(), reply.Settled
	}
	return a.group.Shares(host, slots)
}

// addReport records a neighbour's report and returns the reply without relays, or false
// if this host is not an aggregator.
func (a *aggregation) addReport(r demand.Report, slots demand.Slots) (*pb.ReportReply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.active {
		return nil, false
	}
	a.group.Add(steadyClock(), r)
	out := encodeReply(a.group.Shares(r.Host, slots))
	out.Settled = a.settled
	out.ContactMs = uint64(ms(steadyClock() - a.contactAt))
	return out, true
}

// reportRoute is the route of this host's reports; the reports duty decides on it and
// the feeds read it.
type reportRoute struct {
	mu    sync.Mutex
	route aggregators.Route
}

func (r *reportRoute) next(coordinator string) (addr string, viaAggregator bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route.Next(steadyClock(), coordinator)
}

func (r *reportRoute) assigned(aggregator string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.Assigned(steadyClock(), aggregator)
}

func (r *reportRoute) relayed(contactAge time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.Relayed(contactAge)
}

func (r *reportRoute) failed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.route.Failed(steadyClock())
}

func (r *reportRoute) unreachable() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route.Unreachable(steadyClock())
}

// hasAggregator reports whether this host reports to an aggregator.
func (r *reportRoute) hasAggregator() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.route.HasAggregator()
}
