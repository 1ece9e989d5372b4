package demand

import (
	"maps"
	"time"
)

// Group sums up the reports of the hosts of one data centre into one for the
// coordinator, and divides among them what the coordinator grants to all of them. It is
// pure and not safe for concurrent use.
//
// It addresses the load pattern of hundreds of hosts: with a group for each data centre
// the coordinator receives as many reports as there are data centres, and the traffic
// between regions does not grow with the hosts.
type Group struct {
	set     reportSet
	keys    map[string]map[int]int        // requests by service and key since the last Combined
	seconds map[string]map[string]float64 // as last reported since then, by service and target
	shares  map[string]Shares             // of the whole group
	hosts   HostSummary                   // of all hosts; zero while not known
}

// NewGroup returns an empty group in which a report is valid for lifetime.
func NewGroup(lifetime time.Duration) *Group {
	return &Group{
		set: newReportSet(lifetime), keys: make(map[string]map[int]int), seconds: make(map[string]map[string]float64),
	}
}

// Add records a host's report.
func (g *Group) Add(now time.Duration, r Report) {
	g.set.put(now, r)
	for name, use := range r.Services {
		if len(use.Keys) > 0 {
			keys := mapOf(g.keys, name)
			for key, count := range use.Keys {
				keys[key] += count
			}
		}
		if len(use.Seconds) > 0 {
			maps.Copy(mapOf(g.seconds, name), use.Seconds)
		}
	}
}

func mapOf[K comparable, V any](byService map[string]map[K]V, service string) map[K]V {
	if byService[service] == nil {
		byService[service] = make(map[K]V)
	}
	return byService[service]
}

// Remove drops the report of a host that reports elsewhere.
func (g *Group) Remove(host string) { g.set.remove(host) }

// Combined returns the sum of all valid reports, with the requests by key since the
// last call. sender is the host that sends it.
func (g *Group) Combined(sender string) Report {
	own := g.set.summary()
	r := Report{Host: sender, Hosts: own.Count, Cores: own.Cores, Fast: own.Fast, Services: make(map[string]ServiceUse)}
	for name, totals := range g.set.totals {
		r.Services[name] = ServiceUse{
			Running: maps.Clone(totals.running), Wanted: maps.Clone(totals.wanted), Paused: maps.Clone(totals.paused),
			Keys: g.keys[name], Seconds: g.seconds[name],
		}
	}
	clear(g.keys)
	clear(g.seconds)
	return r
}

// SetShares sets what the coordinator replied to the last combined report. Shares are
// nil while it does not reply.
func (g *Group) SetShares(shares map[string]Shares, hosts HostSummary) {
	g.shares = shares
	if hosts.Count > 0 {
		g.hosts = hosts
	}
}

// Shares returns a host's part of the group's shares and the summary of all hosts.
func (g *Group) Shares(host string, slots Slots) (map[string]Shares, HostSummary) {
	out := make(map[string]Shares)
	r := g.set.reports[host]
	for name, totals := range g.set.totals {
		s := g.sharesOf(name, r.Services[name], totals, slots(name))
		if len(s.Others)+len(s.Limit)+len(s.Admit) > 0 {
			out[name] = s
		}
	}
	hosts := g.hosts
	if hosts.Count == 0 {
		hosts = g.set.summary()
	}
	return out, hosts
}

func (g *Group) sharesOf(service string, use ServiceUse, totals *serviceTotals, slots map[string]int) Shares {
	group := g.shares[service]
	s := Shares{Others: maps.Clone(group.Others), Limit: make(map[string]float64), Admit: group.Admit}
	if s.Others == nil {
		s.Others = make(map[string]float64)
	}
	for target, running := range totals.running {
		outside := group.Others[target]
		others := outside + float64(running-use.Running[target])
		if others > 0 && float64(running)+outside >= busySlotShare*float64(slots[target]) {
			s.Others[target] = others
		}
	}
	count := float64(max(1, len(g.set.reports)))
	for target, limit := range group.Limit {
		wanted := float64(totals.wanted[target])
		if wanted == 0 {
			s.Limit[target] = limit / count
			continue
		}
		s.Limit[target] = max(float64(use.Wanted[target]), minEvenShare*wanted/count) / wanted * limit
	}
	return s
}
