// Package demand aggregates the hosts' reports of their requests and divides the
// capacity of targets among the hosts, without a message for each request. It is
// pure: the shares depend only on the reports and on the times that are passed
// in. It is not safe for concurrent use.
//
// It addresses the load pattern of many hosts that send requests to few targets:
// each host by itself sees free capacity although all hosts together exceed it.
package demand

import (
	"time"

	"github.com/mangopost/mangopost/placement/hotrange"
)

const (
	// loadWindowSeconds is the smoothing window of the loads of keys, in
	// seconds. It is short enough to react to a hot spot within a second or
	// two.
	loadWindowSeconds = 1.5
	// decayInterval is the interval at which rates are aged, a small part of the
	// smoothing window.
	decayInterval = 100 * time.Millisecond
	// defaultRequestSeconds is the assumed duration of a request at targets for
	// which no host has reported one yet.
	defaultRequestSeconds = 0.15
	// requestTimeSmoothing is the weight of one report in the smoothed duration
	// of a request.
	requestTimeSmoothing = 0.1
	// busySlotShare is the share of a target's slots in use from which hosts
	// are sent the number of other hosts' requests there.
	busySlotShare = 0.5
	// fullSlotShare is the demand for a target, as a share of its slots, above
	// which its slots are divided among the hosts. It exceeds 1 so that waiting
	// requests keep the slots busy.
	fullSlotShare = 1.5
	// maxOwnerLoadShare is the highest load of an owner of keys, as a share of its
	// capacity, before its requests are limited. It is slightly above what the
	// owner can process, so that the owner is never idle;
	// maxOwnerRequestsPerSlot bounds the resulting queue.
	maxOwnerLoadShare = 1.2
	// maxOwnerRequestsPerSlot is the number of requests at an owner, as a
	// multiple of its slots, above which its requests are limited.
	maxOwnerRequestsPerSlot = 2
	// minEvenShare is the share of an even division that a host without requests
	// gets, so that its first request need not wait for a report.
	minEvenShare = 0.25
)

// ServiceUse holds a host's requests for one service.
type ServiceUse struct {
	Keys    map[int]int        // number of requests by key since the last report
	Running map[string]int     // running requests by target
	Wanted  map[string]int     // running and waiting requests by target
	Seconds map[string]float64 // duration of a request in seconds, by target
}

// Report is a host's report of its requests.
type Report struct {
	Host     string
	Cores    float64 // cores that the host's process may use
	Services map[string]ServiceUse
}

// Shares holds what a host is sent about one service.
type Shares struct {
	Others map[string]float64 // number of other hosts' running requests, by busy target
	Limit  map[string]float64 // number of requests that the host may run, by full target
	Admit  map[string]float64 // share of requests that may be sent, by overloaded owner of keys
}

// Slots returns the number of slots of each target of a service.
type Slots func(service string) map[string]int

// Table holds the reports that the coordinator received.
type Table struct {
	reportLifetime time.Duration // time for which a report is valid
	reports        map[string]timedReport
	loads          map[string]*hotrange.Loads
	lastDecay      time.Duration                 // time at which loads were last aged
	requestSeconds map[string]map[string]float64 // duration of a request in seconds, by service and target
	ownerLoads     map[string]map[string]float64 // requests per second for the keys of each owner, by service
}

type timedReport struct {
	Report
	receivedAt time.Duration
}

// NewTable returns a table in which a report is valid for reportLifetime.
func NewTable(reportLifetime time.Duration) *Table {
	return &Table{
		reportLifetime: reportLifetime,
		reports:        make(map[string]timedReport),
		loads:          make(map[string]*hotrange.Loads),
		requestSeconds: make(map[string]map[string]float64),
		ownerLoads:     make(map[string]map[string]float64),
	}
}

// SetOwnerLoads sets the requests per second for the keys of each owner of a keyed
// service.
func (t *Table) SetOwnerLoads(service string, loads map[string]float64) {
	t.ownerLoads[service] = loads
}

// admittedShares returns the share of the requests that may be sent to each
// overloaded owner. All hosts get the same share, so together they send what the
// owner can process, regardless of how few requests each host has.
func (t *Table) admittedShares(service string, running map[string]float64, slots map[string]int) map[string]float64 {
	admitted := make(map[string]float64)
	for target, load := range t.ownerLoads[service] {
		count := slots[target]
		if count == 0 {
			continue
		}
		share := 1.0
		if maximum := maxOwnerLoadShare * t.Capacity(service, target, count); load > maximum {
			share = maximum / load
		}
		if maximum := maxOwnerRequestsPerSlot * float64(count); running[target] > maximum {
			share *= maximum / running[target]
		}
		if share < 1 {
			admitted[target] = share
		}
	}
	return admitted
}

// Loads returns a copy of the loads of a service's keys at now.
func (t *Table) Loads(now time.Duration, service string) *hotrange.Loads {
	t.decay(now)
	copied := *t.loadsOf(service)
	return &copied
}

func (t *Table) loadsOf(service string) *hotrange.Loads {
	loads := t.loads[service]
	if loads == nil {
		loads = &hotrange.Loads{}
		t.loads[service] = loads
	}
	return loads
}

func (t *Table) decay(now time.Duration) {
	if now < t.lastDecay+decayInterval {
		return
	}
	for _, loads := range t.loads {
		loads.Decay((now - t.lastDecay).Seconds(), loadWindowSeconds)
	}
	t.lastDecay = now
}

// Capacity returns the requests per second that a target can process. The mean
// duration at the service's other targets is used if none was reported for it.
func (t *Table) Capacity(service, target string, slots int) float64 {
	seconds, ok := t.requestSeconds[service][target]
	if !ok || seconds <= 0 {
		seconds = t.meanRequestSeconds(service)
	}
	return float64(slots) / seconds
}

// meanRequestSeconds returns the mean duration of a request of a service, in
// seconds.
func (t *Table) meanRequestSeconds(service string) float64 {
	sum := 0.0
	for _, s := range t.requestSeconds[service] {
		sum += s
	}
	if sum == 0 {
		return defaultRequestSeconds
	}
	return sum / float64(len(t.requestSeconds[service]))
}

// HostSummary summarises all hosts whose reports are valid.
type HostSummary struct {
	Count int     // number of hosts
	Cores float64 // largest number of cores that a host may use
	Fast  int     // number of hosts that may use at least fastCoreShare of that number
}

// fastCoreShare is the share of the largest number of cores from which a host
// counts as fast.
const fastCoreShare = 0.75

// AddReport records a host's report. It returns the host's shares of each service
// and a summary of all hosts.
func (t *Table) AddReport(now time.Duration, r Report, slots Slots) (shares map[string]Shares, hosts HostSummary) {
	t.decay(now)
	t.reports[r.Host] = timedReport{r, now}
	for name, use := range r.Services {
		t.addUse(name, use)
	}
	totalsByService := make(map[string]*serviceTotals)
	for host, h := range t.reports {
		if now-h.receivedAt > t.reportLifetime {
			delete(t.reports, host)
			continue
		}
		hosts.Count++
		hosts.Cores = max(hosts.Cores, h.Cores)
		sumUses(totalsByService, h.Report)
	}
	for _, h := range t.reports {
		if h.Cores >= fastCoreShare*hosts.Cores {
			hosts.Fast++
		}
	}
	shares = make(map[string]Shares)
	for name, totals := range totalsByService {
		s := totals.shares(r.Services[name], slots(name), hosts.Count)
		if t.ownerLoads[name] != nil {
			s.Limit, s.Admit = nil, t.admittedShares(name, totals.running, slots(name))
		}
		if len(s.Others)+len(s.Limit)+len(s.Admit) > 0 {
			shares[name] = s
		}
	}
	return shares, hosts
}

// addUse adds a host's requests for a service to the loads of its keys and
// updates the duration of requests.
func (t *Table) addUse(name string, use ServiceUse) {
	if len(use.Keys) > 0 {
		loads := t.loadsOf(name)
		for key, count := range use.Keys {
			loads.Add(key, float64(count), loadWindowSeconds)
		}
	}
	requestSeconds := t.requestSeconds[name]
	if requestSeconds == nil {
		requestSeconds = make(map[string]float64)
		t.requestSeconds[name] = requestSeconds
	}
	for target, seconds := range use.Seconds {
		if old, ok := requestSeconds[target]; ok {
			seconds = old + requestTimeSmoothing*(seconds-old)
		}
		requestSeconds[target] = seconds
	}
}

// serviceTotals holds the running and wanted requests of all hosts for each
// target of a service.
type serviceTotals struct {
	running, wanted map[string]float64
}

func sumUses(totalsByService map[string]*serviceTotals, r Report) {
	for name, use := range r.Services {
		totals := totalsByService[name]
		if totals == nil {
			totals = &serviceTotals{running: make(map[string]float64), wanted: make(map[string]float64)}
			totalsByService[name] = totals
		}
		for target, count := range use.Running {
			totals.running[target] += float64(count)
		}
		for target, count := range use.Wanted {
			totals.wanted[target] += float64(count)
		}
	}
}

// shares returns the shares of a host: the number of other hosts' requests at busy
// targets and, in proportion to its demand, its limits at full targets.
func (d *serviceTotals) shares(hostUse ServiceUse, slots map[string]int, hosts int) Shares {
	s := Shares{Others: make(map[string]float64), Limit: make(map[string]float64)}
	for target, running := range d.running {
		others := running - float64(hostUse.Running[target])
		if others > 0 && running >= busySlotShare*float64(slots[target]) {
			s.Others[target] = others
		}
	}
	for target, wanted := range d.wanted {
		divisibleSlots := fullSlotShare * float64(slots[target])
		if divisibleSlots == 0 || wanted <= divisibleSlots {
			continue
		}
		own := max(float64(hostUse.Wanted[target]), minEvenShare*wanted/float64(hosts))
		s.Limit[target] = own / wanted * divisibleSlots
	}
	return s
}
