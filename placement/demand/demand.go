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
	set            reportSet
	loads          map[string]*hotrange.Loads
	lastDecay      time.Duration                 // time at which loads were last aged
	requestSeconds map[string]map[string]float64 // duration of a request in seconds, by service and target
	ownerLoads     map[string]map[string]float64 // requests per second for the keys of each owner, by service
}

// NewTable returns a table in which a report is valid for reportLifetime.
func NewTable(reportLifetime time.Duration) *Table {
	return &Table{
		set:            newReportSet(reportLifetime),
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
func (t *Table) admittedShares(service string, running map[string]int, slots map[string]int) map[string]float64 {
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
		if maximum := maxOwnerRequestsPerSlot * float64(count); float64(running[target]) > maximum {
			share *= maximum / float64(running[target])
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

// Capacity returns the requests per second that a target can process, less the part of
// the hosts from which it wants none for a while. The mean duration at the service's
// other targets is used if none was reported for it.
func (t *Table) Capacity(service, target string, slots int) float64 {
	seconds, ok := t.requestSeconds[service][target]
	if !ok || seconds <= 0 {
		seconds = t.meanRequestSeconds(service)
	}
	return float64(slots) / seconds * t.unpausedPart(service, target)
}

// minUnpausedPart is the least part of its capacity that a target counts with while it
// wants no requests from some hosts.
const minUnpausedPart = 0.1

// unpausedPart returns the part of the hosts from which a target wants requests.
func (t *Table) unpausedPart(service, target string) float64 {
	totals := t.set.totals[service]
	if totals == nil || totals.paused[target] == 0 {
		return 1
	}
	return max(minUnpausedPart, 1-float64(totals.paused[target])/float64(max(1, t.set.summary().Count)))
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

// AddReport records a report. It returns the shares of its hosts of each service and a
// summary of all hosts.
func (t *Table) AddReport(now time.Duration, r Report, slots Slots) (shares map[string]Shares, hosts HostSummary) {
	t.decay(now)
	t.set.put(now, r)
	for name, use := range r.Services {
		t.addUse(name, use)
	}
	hosts = t.set.summary()
	shares = make(map[string]Shares)
	for name, totals := range t.set.totals {
		s := totals.shares(r.Services[name], slots(name), float64(r.hostCount())/float64(hosts.Count))
		if t.ownerLoads[name] != nil {
			s.Limit, s.Admit = nil, t.admittedShares(name, totals.running, slots(name))
		}
		if len(s.Others)+len(s.Limit)+len(s.Admit) > 0 {
			shares[name] = s
		}
	}
	return shares, hosts
}

// Remove drops the report of a host that reports to an aggregator from now on.
func (t *Table) Remove(host string) { t.set.remove(host) }

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

// shares returns the shares of one or more hosts: the number of other hosts' requests
// at busy targets and, in proportion to their demand, their limits at full targets.
// hostPart is the part of all hosts that they are.
func (d *serviceTotals) shares(use ServiceUse, slots map[string]int, hostPart float64) Shares {
	s := Shares{Others: make(map[string]float64), Limit: make(map[string]float64)}
	for target, running := range d.running {
		others := running - use.Running[target]
		if others > 0 && float64(running) >= busySlotShare*float64(slots[target]) {
			s.Others[target] = float64(others)
		}
	}
	for target, wanted := range d.wanted {
		divisibleSlots := fullSlotShare * float64(slots[target])
		if divisibleSlots == 0 || float64(wanted) <= divisibleSlots {
			continue
		}
		own := max(float64(use.Wanted[target]), minEvenShare*float64(wanted)*hostPart)
		s.Limit[target] = own / float64(wanted) * divisibleSlots
	}
	return s
}
