package entry

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/admission/coldstart"
	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/routing"
)

// longCold is the remaining time of coldness from which the keys of a cold target move to
// warm ones: moves take seconds.
const longCold = 10 * time.Second

// coldConnectTime limits how long a request to a cold target waits for a connection.
// Requests that waited for a cut link would be written together when it is back. It is less
// than what the distance between two sends allows (sendDelay in admission/coldstart).
const coldConnectTime = 200 * time.Millisecond

// coldHosts is the number of hosts that may send to cold targets, as this host knows it.
type coldHosts struct {
	mu    sync.Mutex
	count coldstart.HostCount
}

// record records a count of the coordinator; 0 means that there was none.
func (h *coldHosts) record(count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count.Record(steadyClock(), count)
}

func (h *coldHosts) get() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count.Count(steadyClock())
}

// setColdLimits passes the limits of a service's cold targets to its pool.
func (n *Node) setColdLimits(s *service, cfg routing.Service) {
	settings := n.settings.Load()
	cold := pool.ColdConfig{
		Limits:     coldstart.Limits{Rate: cfg.ColdRate, Window: cfg.ColdRate*settings.Bounds.ColdOverage + settings.Bounds.ColdSlack},
		Duration:   cfg.ColdDuration,
		Host:       settings.Host,
		FirstStart: settings.FirstStart,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetCold(steadyClock(), cold)
}

// updateCold passes the number of hosts and the settings to the pools and logs which
// targets have turned cold or warm.
func (n *Node) updateCold() {
	table := n.table.Load()
	if table == nil {
		return
	}
	hosts := n.coldHosts.get()
	for name, s := range n.allServices() {
		n.setColdLimits(s, table.Services[name])
		for _, c := range s.updateCold(hosts) {
			if c.Remaining == 0 {
				n.log.Emit(evWarm, "service", name, "target", c.Target, "run", c.Run)
				continue
			}
			n.log.Emit(evCold, "service", name, "target", c.Target, "run", c.Run, "cold_ms", ms(c.Remaining),
				"hosts", hosts, "sends", c.IsSender)
		}
	}
}

func (n *Node) countColdTargets() int {
	count := 0
	for _, s := range n.allServices() {
		count += len(s.coldTargets().remaining)
	}
	return count
}

// coldTargets are the cold targets of a service.
type coldTargets struct {
	remaining map[string]time.Duration // how much longer each is cold
	rate      float64                  // requests per second that all hosts together send to each
}

func (s *service) coldTargets() coldTargets {
	s.mu.Lock()
	defer s.mu.Unlock()
	return coldTargets{remaining: s.pool.ColdTargets(steadyClock()), rate: s.pool.ColdMeanRate()}
}

// updateCold sets the number of hosts that may send to cold targets and returns the
// targets that have turned cold or warm.
func (s *service) updateCold(hosts int) []pool.ColdChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetColdHosts(steadyClock(), hosts)
	return s.pool.ColdChanges(steadyClock())
}

// recordRefused records that the address of a target refused a connection.
func (s *service) recordRefused(o keyrange.Owner) {
	if s.keyed {
		return // the next run holds no keys and refuses requests for them
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordRefused(steadyClock(), o.Target, o.Run)
}
