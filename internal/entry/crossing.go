package entry

import (
	"time"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing/crossing"
)

// CrossingMode says how it is decided that a request leaves its data centre.
type CrossingMode string

const (
	// CrossingFixed adds a constant to the expected time at targets elsewhere.
	CrossingFixed CrossingMode = "fixed"
	// CrossingLearned compares what the caller gains with what the crossing costs.
	CrossingLearned CrossingMode = "learned"
	// CrossingAuto is learned where the settings name the contract `places`.
	CrossingAuto CrossingMode = "auto"
)

// Crossing holds the options of leaving the data centre. The zero value stands for
// CrossingAuto and the default rate of the link.
type Crossing struct {
	Mode               CrossingMode
	LinkBytesPerSecond float64 // of the link to the other region, in each direction; 0: routing.LinkBytesPerSecond
}

// SetCrossing sets how requests leave the data centre. Call it before Run.
func (n *Node) SetCrossing(c Crossing) { n.crossing = c }

// crossingConfig returns the configuration of a service's pool.
func (n *Node) crossingConfig() pool.CrossingConfig {
	mode := n.crossing.Mode
	if mode == "" || mode == CrossingAuto {
		mode = CrossingFixed
		if n.settings.Load().HasContract(platform.ContractPlaces) {
			mode = CrossingLearned
		}
	}
	return pool.CrossingConfig{Learned: mode == CrossingLearned, Prices: crossing.DefaultPrices, Link: &n.link}
}

// updateCrossing sets this host's share of the link and logs the routes whose requests
// begin or cease to leave.
func (n *Node) updateCrossing() {
	s := n.settings.Load()
	regions := make(map[string]bool)
	for _, region := range s.Regions {
		regions[region] = true
	}
	n.link.SetRate(n.crossing.LinkBytesPerSecond, int(n.hostCount.Load())/max(1, len(regions)))
	for name, service := range n.allServices() {
		for _, c := range service.crossingChanges() {
			event := evLeavingBegins
			if c.Share == 0 {
				event = evLeavingEnds
			}
			n.log.EmitFields(event, crossingFields(name, c)...)
		}
	}
}

func crossingFields(service string, c pool.CrossingChange) []kernel.Field {
	thousandths := func(v float64) int64 { return int64(1000 * v) }
	in := c.Inputs
	return []kernel.Field{
		kernel.String("service", service), kernel.String("route", c.Route), kernel.String("to", c.Distance.String()),
		kernel.Int("share_pm", thousandths(c.Share)), kernel.Int("gain_pm", thousandths(in.Gain)), kernel.Int("cost_pm", thousandths(in.Cost)),
		kernel.Int("here_ms", ms(in.Here)), kernel.Int("there_ms", ms(in.There)), kernel.Int("free", int64(in.Free)),
		kernel.Int("report_age_ms", ms(in.Age)), kernel.Int("bytes", int64(in.Bytes)), kernel.Int("link_bytes_per_s", int64(in.LinkBytesPerSecond)),
	}
}

func (s *service) crossingChanges() []pool.CrossingChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.CrossingChanges(steadyClock())
}

// recordCrossing counts a request that was sent, with the bytes of its body and its
// answer, and passes them to the pool.
func (c *call) recordCrossing(a pool.Action, t attempt) {
	bytes := partsLength(c.outbound.body)
	if t.answer != nil {
		bytes += t.answer.length()
	}
	c.node.counters.countSent(c.service.name, a, bytes)
	c.service.recordCrossing(a, t.took, bytes, t.result)
}

func (s *service) recordCrossing(a pool.Action, took time.Duration, bytes int, result pool.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.RecordCrossing(steadyClock(), a, took, bytes, result)
}
