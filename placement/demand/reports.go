package demand

import "time"

// ServiceUse holds the requests of a host, or of several, for one service.
type ServiceUse struct {
	Keys    map[int]int        // number of requests by key since the last report
	Running map[string]int     // running requests by target
	Wanted  map[string]int     // running and waiting requests by target
	Paused  map[string]int     // number of hosts from which a target wants no requests for a while
	Seconds map[string]float64 // duration of a request in seconds, by target
}

// Report is a host's report of its requests, or the sum of the reports of several
// hosts.
type Report struct {
	Host     string  // sender
	Hosts    int     // number of hosts that the report sums up; 0: the sender alone
	Cores    float64 // cores that the process of one host may use, the maximum of the hosts
	Fast     int     // number of hosts with about that many cores, if there are several
	Services map[string]ServiceUse
}

// hostCount returns the number of hosts that the report sums up.
func (r Report) hostCount() int { return max(1, r.Hosts) }

// fastCount returns the number of these hosts with about r.Cores cores.
func (r Report) fastCount() int { return max(1, r.Fast) }

// HostSummary summarises all hosts whose reports are valid.
type HostSummary struct {
	Count int     // number of hosts
	Cores float64 // largest number of cores that a host may use
	Fast  int     // number of hosts that may use at least fastCoreShare of that number
}

// fastCoreShare is the share of the largest number of cores from which a host
// counts as fast.
const fastCoreShare = 0.75

// serviceTotals holds the sums of all valid reports for each target of a service.
type serviceTotals struct {
	running, wanted, paused map[string]int
}

// reportSet holds the valid reports and their totals. The totals are kept up to date
// with each report, so that its cost does not grow with the number of hosts.
type reportSet struct {
	lifetime time.Duration // time for which a report is valid
	reports  map[string]timedReport
	totals   map[string]*serviceTotals // by service
}

type timedReport struct {
	Report
	receivedAt time.Duration
}

func newReportSet(lifetime time.Duration) reportSet {
	return reportSet{lifetime: lifetime, reports: make(map[string]timedReport), totals: make(map[string]*serviceTotals)}
}

// put replaces a sender's report and drops those that are no longer valid.
func (s *reportSet) put(now time.Duration, r Report) {
	s.remove(r.Host)
	for host, old := range s.reports {
		if now-old.receivedAt > s.lifetime {
			s.remove(host)
		}
	}
	s.reports[r.Host] = timedReport{r, now}
	s.sum(r, 1)
}

func (s *reportSet) remove(host string) {
	if old, ok := s.reports[host]; ok {
		s.sum(old.Report, -1)
		delete(s.reports, host)
	}
}

// sum adds a report to the totals, or subtracts it if sign is -1.
func (s *reportSet) sum(r Report, sign int) {
	for name, use := range r.Services {
		totals := s.totals[name]
		if totals == nil {
			totals = &serviceTotals{running: make(map[string]int), wanted: make(map[string]int), paused: make(map[string]int)}
			s.totals[name] = totals
		}
		addCounts(totals.running, use.Running, sign)
		addCounts(totals.wanted, use.Wanted, sign)
		addCounts(totals.paused, use.Paused, sign)
	}
}

func addCounts(totals, counts map[string]int, sign int) {
	for target, count := range counts {
		if totals[target] += sign * count; totals[target] == 0 {
			delete(totals, target)
		}
	}
}

// summary returns the summary of all hosts.
func (s *reportSet) summary() HostSummary {
	var hosts HostSummary
	for _, r := range s.reports {
		hosts.Count += r.hostCount()
		hosts.Cores = max(hosts.Cores, r.Cores)
	}
	for _, r := range s.reports {
		if r.Cores >= fastCoreShare*hosts.Cores {
			hosts.Fast += r.fastCount()
		}
	}
	return hosts
}
