// Package demand sums up what the hosts of a system tell of their work, so that
// the capacity of targets is shared without a message for each request. It is
// pure: reports and times go in, shares come out. It is not safe for concurrent
// use.
//
// Pattern of load that it answers to: many hosts whose requests meet at few
// targets, so that each host alone sees room where all together have none.
package demand

import (
	"time"

	"github.com/mangopost/mangopost/placement/hotrange"
)

const (
	// loadWindow smooths the loads of keys, in seconds: a hot spot is to be
	// answered within a second or two.
	loadWindow = 1.5
	// decayEvery is how often rates are aged: a small part of their window.
	decayEvery = 100 * time.Millisecond
	// guessedSeconds is the time of a request at targets of which no host has
	// learned it yet.
	guessedSeconds = 0.15
	// measuredSmoothing is the weight of one report in the time of a request.
	measuredSmoothing = 0.1
	// busyShare is the part of a target's slots in use from which on hosts are
	// told what others run there.
	busyShare = 0.5
	// fullShare is the part of a target's slots that may be asked for before they
	// are divided among the hosts: what waits there keeps its slots busy.
	fullShare = 1.5
	// admitLoad is the part of its capacity up to which an owner of keys is sent
	// requests: a little more than it gets through, so that it is never idle, while
	// admitRunning bounds what gathers there.
	admitLoad = 1.2
	// admitRunning is the number of requests at an owner, as a multiple of its slots,
	// from which on it is sent fewer.
	admitRunning = 2
	// leastShare is the part of an even share that a host without requests gets,
	// so that its first one need not wait for a report.
	leastShare = 0.25
)

// Use is a host's work at one service.
type Use struct {
	Keys    map[int]int        // requests by key since the last report
	Running map[string]int     // by target
	Wanted  map[string]int     // by target: running and waiting
	Seconds map[string]float64 // time of a request, by target
}

// Report is a host's work.
type Report struct {
	Host     string
	Cores    float64 // that the host's process may use
	Services map[string]Use
}

// Shares are what a host is told of one service.
type Shares struct {
	Others map[string]float64 // requests of other hosts, by busy target
	Limit  map[string]float64 // requests that the host may run, by full target
	Admit  map[string]float64 // part of the requests that may be sent, by owner of keys that are asked for too often
}

// Slots returns the slots of a service's targets.
type Slots func(service string) map[string]int

// Table is what the coordinator was told.
type Table struct {
	keep     time.Duration
	reports  map[string]timed
	loads    map[string]*hotrange.Loads
	decayed  time.Duration
	measured map[string]map[string]float64 // seconds, by service and target
	owned    map[string]map[string]float64 // requests a second for the keys of each owner, by service
}

type timed struct {
	Report
	at time.Duration
}

// NewTable returns a table in which a report counts for keep.
func NewTable(keep time.Duration) *Table {
	return &Table{
		keep:     keep,
		reports:  make(map[string]timed),
		loads:    make(map[string]*hotrange.Loads),
		measured: make(map[string]map[string]float64),
		owned:    make(map[string]map[string]float64),
	}
}

// SetOwned takes in the requests a second for the keys of each owner of a keyed
// service.
func (t *Table) SetOwned(service string, loads map[string]float64) { t.owned[service] = loads }

// admit returns the part of the requests that each owner with too many may be
// sent. All hosts get the same part: whichever they are, together they send what
// the owner gets through, however few come to each.
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

// Loads returns a copy of the loads of a service's keys.
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

// Capacity returns the requests a second that a target gets through.
func (t *Table) Capacity(service, target string, slots int) float64 {
	seconds, ok := t.measured[service][target]
	if !ok || seconds <= 0 {
		seconds = t.mean(service)
	}
	return float64(slots) / seconds
}

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

// Hosts is what is known of all hosts that report.
type Hosts struct {
	Count int
	Cores float64 // the most that one may use
	Fast  int     // those that may use about as much
}

// fastPart is the part of the most cores from which on a host counts as fast.
const fastPart = 0.75

// Take takes a host's report in. It returns what to tell the host of each
// service, and what is known of all hosts.
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

// sum is what all hosts run and want at each target of a service.
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

// shares returns what to tell a host: what others run at busy targets, and its
// part of full ones, by its part of the demand.
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
