// Package aggregators decides which host of each data centre is its aggregator: the
// host that sums up the reports of its neighbours for the coordinator and relays to
// them what the coordinator relays. It is pure: decisions depend only on what is passed
// in. It is not safe for concurrent use.
//
// Without aggregators, the coordinator's work, its connections and the traffic between
// regions grow with the number of hosts, and so do the calls to the store when the
// coordinator is lost.
package aggregators

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MinHosts is the number of hosts from which data centres have aggregators: fewer
	// report to the coordinator themselves.
	MinHosts = 20
	// minNeighbours is the number of hosts of a data centre from which it has one.
	minNeighbours = 3
	// silence is how long an aggregator may send no report before it is replaced.
	silence = 800 * time.Millisecond
	// complaintTime is how long a host's complaint counts that an aggregator did not
	// answer it.
	complaintTime = 2 * time.Second
	// maxComplaints is the number of complaining hosts from which an aggregator is
	// replaced: fewer may be at fault themselves.
	maxComplaints = 2
	// fasterRatio is how many times as many cores another host must have to replace an
	// aggregator that answers.
	fasterRatio = 2
	// exclusionTime is how long a replaced aggregator is not chosen again.
	exclusionTime = 8 * time.Second
)

// Host is a host that reported to the coordinator.
type Host struct {
	Name       string
	DataCentre string
	Addr       string // at which it accepts reports
	Cores      float64
	Hosts      int  // number of hosts that its report sums up; 0: it is not an aggregator
	Stopping   bool // it is about to exit
}

// Assignment is what a host is told.
type Assignment struct {
	Aggregate bool   // it is the aggregator of its data centre
	ReportTo  string // address of its data centre's aggregator; empty: it reports to the coordinator
}

// Aggregator is the aggregator of a data centre, as recorded in the store.
type Aggregator struct {
	Host string `json:"host"`
	Addr string `json:"addr"`
}

type member struct {
	Host
	reportedAt time.Duration
	isReferred bool // it was told to report to an aggregator
}

// Table is the coordinator's view of the hosts that report to it.
type Table struct {
	lifetime   time.Duration // of a report
	members    map[string]member
	chosen     map[string]string                   // name of the aggregator, by data centre
	complaints map[string]map[string]time.Duration // by aggregator, then by the host that complained
	excluded   map[string]time.Duration            // by host: it is not chosen before this time
}

// NewTable returns a table in which a report is valid for lifetime.
func NewTable(lifetime time.Duration) *Table {
	return &Table{
		lifetime: lifetime, members: make(map[string]member), chosen: make(map[string]string),
		complaints: make(map[string]map[string]time.Duration), excluded: make(map[string]time.Duration),
	}
}

// Report records that a host reported to the coordinator and returns what to tell it.
// unreachable is the address of the aggregator that did not answer the host, or empty.
func (t *Table) Report(now time.Duration, h Host, unreachable string) Assignment {
	t.expire(now)
	t.members[h.Name] = member{Host: h, reportedAt: now}
	if h.DataCentre == "" || h.Addr == "" {
		return Assignment{}
	}
	t.recordComplaint(now, h, unreachable)
	aggregator, ok := t.aggregatorOf(now, h.DataCentre)
	switch {
	case !ok || h.Stopping || aggregator.Addr == unreachable:
		return Assignment{}
	case aggregator.Name == h.Name:
		return Assignment{Aggregate: true}
	case aggregator.Hosts == 0:
		return Assignment{} // it does not know yet that others will report to it
	default:
		t.members[h.Name] = member{Host: h, reportedAt: now, isReferred: true}
		return Assignment{ReportTo: aggregator.Addr}
	}
}

// expire drops hosts whose last report is no longer valid.
func (t *Table) expire(now time.Duration) {
	for name, m := range t.members {
		if now-m.reportedAt > t.lifetime {
			delete(t.members, name)
		}
	}
}

// recordComplaint records that an aggregator did not answer a host, and excludes it
// once enough hosts say so.
func (t *Table) recordComplaint(now time.Duration, h Host, unreachable string) {
	name := t.chosen[h.DataCentre]
	if unreachable == "" || t.members[name].Addr != unreachable {
		return
	}
	if t.complaints[name] == nil {
		t.complaints[name] = make(map[string]time.Duration)
	}
	t.complaints[name][h.Name] = now
	count := 0
	for _, at := range t.complaints[name] {
		if now-at <= complaintTime {
			count++
		}
	}
	if count >= maxComplaints {
		t.excluded[name] = now + exclusionTime
		delete(t.complaints, name)
	}
}

// aggregatorOf returns the aggregator of a data centre, and chooses one if it has none.
func (t *Table) aggregatorOf(now time.Duration, dataCentre string) (member, bool) {
	total, neighbours := 0, 0
	for _, m := range t.members {
		total += max(1, m.Hosts)
		if m.DataCentre == dataCentre {
			neighbours += max(1, m.Hosts)
		}
	}
	var candidates []member
	aggregates := false
	for _, m := range t.members {
		if m.DataCentre == dataCentre && t.isCandidate(now, m) {
			candidates = append(candidates, m)
			aggregates = aggregates || m.Hosts > 0
		}
	}
	// A new coordinator has not heard of all hosts yet: a host that is an aggregator
	// goes on, also one that has just started as the store named it.
	enough := aggregates || total >= MinHosts && neighbours >= minNeighbours
	if len(candidates) == 0 || !enough {
		delete(t.chosen, dataCentre)
		return member{}, false
	}
	best := slices.MinFunc(candidates, compareCandidates)
	if current, ok := t.members[t.chosen[dataCentre]]; ok && t.isCandidate(now, current) && best.Cores < fasterRatio*current.Cores {
		return current, true
	}
	t.chosen[dataCentre] = best.Name
	return best, true
}

func (t *Table) isCandidate(now time.Duration, m member) bool {
	return !m.Stopping && !m.isReferred && now >= t.excluded[m.Name] && now-m.reportedAt <= silence
}

// compareCandidates prefers the host with the most cores, then one that others report
// to already.
func compareCandidates(a, b member) int {
	return cmp.Or(
		cmp.Compare(b.Cores, a.Cores),
		cmp.Compare(min(b.Hosts, 2), min(a.Hosts, 2)),
		cmp.Compare(a.Name, b.Name),
	)
}

// Chosen returns the aggregators by data centre.
func (t *Table) Chosen() map[string]Aggregator {
	out := make(map[string]Aggregator)
	for dataCentre, name := range t.chosen {
		if m, ok := t.members[name]; ok {
			out[dataCentre] = Aggregator{Host: name, Addr: m.Addr}
		}
	}
	return out
}
