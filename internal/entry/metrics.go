package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/internal/memlimit"
)

// counters are the metrics of an entry process; docs/METRICS.md lists them.
type counters struct {
	set          *metrics.Set
	heldRefusals map[string]*metrics.Counter // by reason; not changed
}

func newCounters(n *Node) *counters {
	c := &counters{set: metrics.NewSet()}
	c.heldRefusals = newHeldRefusals(c.set)
	gauge := func(name string, f func() float64) { c.set.NewGauge(name, f) }
	gauge("mangopost_entry_ready", func() float64 { return boolToFloat(n.isReady()) })
	gauge("mangopost_entry_coordinator", func() float64 { return boolToFloat(n.candidate.holdsLease()) })
	gauge("mangopost_entry_requests_in_flight", func() float64 { return float64(n.inFlight.Load()) })
	gauge("mangopost_entry_held_bytes", func() float64 { return float64(n.memory.Used()) })
	gauge("mangopost_entry_open_files", func() float64 { return float64(memlimit.OpenFiles()) })
	gauge("mangopost_entry_held_bytes_max", func() float64 { return float64(n.memory.Total()) })
	gauge("mangopost_entry_configuration_version", func() float64 {
		if t := n.table.Load(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	gauge("mangopost_entry_cold_targets", func() float64 { return float64(n.countColdTargets()) })
	gauge("mangopost_entry_data_centres_evacuated", func() float64 { return float64(n.evacuationCount()) })
	gauge("mangopost_entry_link_bytes_per_second", func() float64 { return n.link.Sent(steadyClock()) })
	gauge("mangopost_entry_store_age_seconds", func() float64 { return n.storeAge().Seconds() })
	gauge("mangopost_entry_store_era", func() float64 { return float64(n.store.Era()) })
	gauge("mangopost_entry_store_calls_total", func() float64 { return float64(n.store.Calls()) })
	gauge("mangopost_entry_log_dropped_total", func() float64 { return float64(n.log.Dropped()) })
	gauge("mangopost_entry_log_sampled_out_total", func() float64 { return float64(n.answerSampler.skipped.Load()) })
	return c
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (c *counters) countAnswer(service string, status int, took time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_answers_total{service=%q,status="%d"}`, service, status)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf(`mangopost_entry_answer_seconds{service=%q}`, service)).Update(took.Seconds())
}

func (c *counters) countEnded(how, service string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_ended_total{how=%q,service=%q}`, how, service)).Inc()
}

func (c *counters) countOwnAnswer(status int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_own_answers_total{status="%d"}`, status)).Inc()
}

func (c *counters) countTry(r pool.Result) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_tries_total{result=%q}`, r.String())).Inc()
}

func (c *counters) countLeaving(source string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_targets_leaving_total{source=%q}`, source)).Inc()
}

func (c *counters) countPanic(duty string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_panics_total{duty=%q}`, duty)).Inc()
}

func (c *counters) countStoreCall(call, kind string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_store_calls_by_kind_total{call=%q,kind=%q}`, call, kind)).Inc()
}

func (c *counters) countPause() {
	c.set.GetOrCreateCounter(`mangopost_entry_pauses_total`).Inc()
}

// countCold counts a decision on a request if it is due to a cold target.
func (c *counters) countCold(service string, a pool.Action) {
	if a.Cold {
		c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_cold_sends_total{service=%q}`, service)).Inc()
	}
	if a.Reason == pool.Cold {
		c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_cold_refusals_total{service=%q}`, service)).Inc()
	}
}

func (c *counters) countReserved(service string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_refused_reserved_total{service=%q}`, service)).Inc()
}

// countSent counts a request that was sent to a target, and the bytes of its body and its
// answer, by the target's distance and the reason for it.
func (c *counters) countSent(service string, a pool.Action, bytes int) {
	labels := fmt.Sprintf(`{service=%q,distance=%q,reason=%q}`, service, a.Distance.String(), a.CrossReason)
	c.set.GetOrCreateCounter(`mangopost_entry_sends_total` + labels).Inc()
	c.set.GetOrCreateCounter(`mangopost_entry_sent_bytes_total` + labels).Add(bytes)
}

func (c *counters) countLoadReport(service string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_load_reports_total{service=%q}`, service)).Inc()
}

func (c *counters) countPastGoal(service string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_refused_past_goal_total{service=%q}`, service)).Inc()
}

func (c *counters) countQuarantined() {
	c.set.GetOrCreateCounter(`mangopost_entry_requests_quarantined_total`).Inc()
}

func (c *counters) countGrant(result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_grants_total{result=%q}`, result)).Inc()
}

func (c *counters) countMove(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_entry_moves_total{reason=%q}`, reason)).Inc()
}

// newHeldRefusals creates the counters in advance: the Limit, which is locked when it
// counts, must not wait for the lock of the set.
func newHeldRefusals(set *metrics.Set) map[string]*metrics.Counter {
	out := make(map[string]*metrics.Counter)
	for _, reason := range memlimit.Reasons {
		out[reason] = set.NewCounter(fmt.Sprintf(`mangopost_entry_held_refusals_total{reason=%q}`, reason))
	}
	return out
}

// gaugeConnections reports the number of callers' connections.
func (c *counters) gaugeConnections(open func() int) {
	c.set.GetOrCreateGauge("mangopost_entry_caller_connections", func() float64 { return float64(open()) })
}
