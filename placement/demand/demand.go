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
	// loadWindow is the smoothing window of the loads of keys, in seconds. It is
	// short enough to react to a hot spot within a second or two.
	loadWindow = 1.5
	// decayEvery is the interval at which rates are aged, a small part of the
	// smoothing window.
	decayEvery = 100 * time.Millisecond
	// guessedSeconds is the assumed duration of a request at targets for which no
	// host has reported one yet.
	guessedSeconds = 0.15
	// measuredSmoothing is the weight of one report in the smoothed duration of a
	// request.
	measuredSmoothing = 0.1
	// busyShare is the share of a target's slots in use from which hosts are sent
	// the number of other hosts' requests there.
	busyShare = 0.5
	// fullShare is the demand for a target, as a share of its slots, above which
	// its slots are divided among the hosts. It exceeds 1 so that waiting requests
	// keep the slots busy.
	fullShare = 1.5
	// admitLoad is the highest load of an owner of keys, as a share of its
	// capacity, before its requests are limited. It is slightly above what the
	// owner can process, so that the owner is never idle; admitRunning bounds the
	// resulting queue.
	admitLoad = 1.2
	// admitRunning is the number of requests at an owner, as a multiple of its
	// slots, above which its requests are limited.
	admitRunning = 2
	// leastShare is the share of an even division that a host without requests
	// gets, so that its first request need not wait for a report.
	leastShare = 0.25
)

// Use holds a host's requests for one service.
type Use struct {
	Keys    map[int]int        // number of requests by key since the last report
	Running map[string]int     // running requests by target
	Wanted  map[string]int     // running and waiting requests by target
	Seconds map[string]float64 // duration of a request in seconds, by target
}

// Report is a host's report of its requests.
type Report struct {
	Host     string
	Cores    float64 // cores that the host's process may use
	Services map[string]Use
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
	keep     time.Duration // time for which a report is valid
	reports  map[string]timed
	loads    map[string]*hotrange.Loads
	decayed  time.Duration                 // time at which loads were last aged
	measured map[string]map[string]float64 // duration of a request in seconds, by service and target
	owned    map[string]map[string]float64 // requests per second for the keys of each owner, by service
}

type timed struct {
	Report
	at time.Duration
}

// NewTable returns a table in which a report is valid for keep.
func NewTable(keep time.Duration) *Table {
	return &Table{
		keep:     keep,
		reports:  make(map[string]timed),
		loads:    make(map[string]*hotrange.Loads),
		measured: make(map[string]map[string]float64),
		owned:    make(map[string]map[string]float64),
	}
}

// SetOwned sets the requests per second for the keys of each owner of a keyed
// service.
func (t *Table) SetOwned(service string, loads map[string]float64) { t.owned[service] = loads }

// admit returns the share of the requests that may be sent to each overloaded
// owner. All hosts get the same share, so together they send what the owner can
// process, regardless of how few requests each host has.
func (t *Table) admit(service string, running map[string]float64, slots map[string]int) map[string]float64 {
	out := make(map[string]float64)
	for target, load := range t.owned[service] {
		count := slots[target]
		if count == 0 {
			continue
		}
		part := 1.0
		if most := admitLoad * t.Capacity(service, target, count); load > most {
			part = most / load
		}
		if most := admitRunning * float64(count); running[target] > most {
			part *= most / running[target]
		}
		if part < 1 {
			out[target] = part
		}
	}
	return out
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
	if now < t.decayed+decayEvery {
		return
	}
	for _, loads := range t.loads {
		loads.Decay((now - t.decayed).Seconds(), loadWindow)
	}
	t.decayed = now
}

// Capacity returns the requests per second that a target can process. The mean
// duration at the service's other targets is used if none was reported for it.
func (t *Table) Capacity(service, target string, slots int) float64 {
	seconds, ok := t.measured[service][target]
	if !ok || seconds <= 0 {
		seconds = t.mean(service)
	}
	return float64(slots) / seconds
}

// mean returns the mean duration of a request of a service, in seconds.
func (t *Table) mean(service string) float64 {
	sum := 0.0
	for _, s := range t.measured[service] {
		sum += s
	}
	if sum == 0 {
		return guessedSeconds
	}
	return sum / float64(len(t.measured[service]))
}

// Hosts summarises all hosts whose reports are valid.
type Hosts struct {
	Count int     // number of hosts
	Cores float64 // largest number of cores that a host may use
	Fast  int     // number of hosts that may use nearly as many
}

// fastPart is the share of the largest number of cores from which a host counts
// as fast.
const fastPart = 0.75

// Take records a host's report. It returns the host's shares of each service and
// a summary of all hosts.
func (t *Table) Take(now time.Duration, r Report, slots Slots) (shares map[string]Shares, hosts Hosts) {
	t.decay(now)
	t.reports[r.Host] = timed{r, now}
	for name, use := range r.Services {
		t.takeUse(name, use)
	}
	sums := make(map[string]*sum)
	for host, h := range t.reports {
		if now-h.at > t.keep {
			delete(t.reports, host)
			continue
		}
		hosts.Count++
		hosts.Cores = max(hosts.Cores, h.Cores)
		addUse(sums, h.Report)
	}
	for _, h := range t.reports {
		if h.Cores >= fastPart*hosts.Cores {
			hosts.Fast++
		}
	}
	shares = make(map[string]Shares)
	for name, d := range sums {
		s := d.shares(r.Services[name], slots(name), hosts.Count)
		if t.owned[name] != nil {
			s.Limit, s.Admit = nil, t.admit(name, d.running, slots(name))
		}
		if len(s.Others)+len(s.Limit)+len(s.Admit) > 0 {
			shares[name] = s
		}
	}
	return shares, hosts
}

// takeUse adds a host's requests for a service to the loads of its keys and
// updates the duration of requests.
func (t *Table) takeUse(name string, use Use) {
	if len(use.Keys) > 0 {
		loads := t.loadsOf(name)
		for key, count := range use.Keys {
			loads.Add(key, float64(count), loadWindow)
		}
	}
	measured := t.measured[name]
	if measured == nil {
		measured = make(map[string]float64)
		t.measured[name] = measured
	}
	for target, seconds := range use.Seconds {
		if old, ok := measured[target]; ok {
			seconds = old + measuredSmoothing*(seconds-old)
		}
		measured[target] = seconds
	}
}

// sum holds the running and wanted requests of all hosts for each target of a
// service.
type sum struct {
	running, wanted map[string]float64
}

func addUse(sums map[string]*sum, r Report) {
	for name, use := range r.Services {
		d := sums[name]
		if d == nil {
			d = &sum{running: make(map[string]float64), wanted: make(map[string]float64)}
			sums[name] = d
		}
		for target, count := range use.Running {
			d.running[target] += float64(count)
		}
		for target, count := range use.Wanted {
			d.wanted[target] += float64(count)
		}
	}
}

// shares returns the shares of a host: the number of other hosts' requests at busy
// targets and, in proportion to its demand, its limits at full targets.
func (d *sum) shares(mine Use, slots map[string]int, hosts int) Shares {
	s := Shares{Others: make(map[string]float64), Limit: make(map[string]float64)}
	for target, running := range d.running {
		others := running - float64(mine.Running[target])
		if others > 0 && running >= busyShare*float64(slots[target]) {
			s.Others[target] = others
		}
	}
	for target, wanted := range d.wanted {
		room := fullShare * float64(slots[target])
		if room == 0 || wanted <= room {
			continue
		}
		own := max(float64(mine.Wanted[target]), leastShare*wanted/float64(hosts))
		s.Limit[target] = own / wanted * room
	}
	return s
}
