package router

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// routerMetrics holds the router's own metrics; docs/METRICS.md lists them.
type routerMetrics struct {
	set              *metrics.Set
	services         sync.Map // *serviceMetrics by service
	leaseInboxFull   *metrics.Counter
	suspectsDropped  *metrics.Counter
	grantsStandalone *metrics.Counter
	grantsCarried    *metrics.Counter
	heldRefusals     map[string]*metrics.Counter // by reason; not changed
}

func newMetrics(r *Router) *routerMetrics {
	m := &routerMetrics{set: metrics.NewSet()}
	m.leaseInboxFull = m.set.NewCounter("mangopost_lease_inbox_full_total")
	m.suspectsDropped = m.set.NewCounter("mangopost_crash_suspects_dropped_total")
	m.grantsStandalone = m.set.NewCounter(`mangopost_grants_total{sent="alone"}`)
	m.grantsCarried = m.set.NewCounter(`mangopost_grants_total{sent="with_request"}`)
	m.set.NewGauge("mangopost_log_events_dropped_total", func() float64 { return float64(r.log.Dropped()) })
	m.set.NewGauge("mangopost_config_version", func() float64 { return float64(r.table.Load().configVersion) })
	m.set.NewGauge("mangopost_held_bytes", func() float64 { return float64(r.memory.Used()) })
	m.set.NewGauge("mangopost_held_bytes_max", func() float64 { return float64(r.memory.Total()) })
	// Created in advance: the Limit, which is locked when it counts, must not wait for the
	// lock of the set.
	m.heldRefusals = make(map[string]*metrics.Counter)
	for _, cause := range memlimit.Reasons {
		m.heldRefusals[cause] = m.set.NewCounter(fmt.Sprintf(`mangopost_held_refusals_total{reason=%q}`, cause))
	}
	return m
}

// serviceMetrics holds the metrics of one service's requests.
type serviceMetrics struct {
	requestsTotal  map[pb.Outcome]*metrics.Counter
	requestSeconds *metrics.Histogram
	queueSeconds   *metrics.Histogram
	targetSeconds  *metrics.Histogram
}

var outcomes = []pb.Outcome{pb.Outcome_OUTCOME_RAN, pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_UNKNOWN}

func newServiceMetrics(set *metrics.Set, service string) *serviceMetrics {
	m := &serviceMetrics{
		requestsTotal:  make(map[pb.Outcome]*metrics.Counter),
		requestSeconds: set.GetOrCreateHistogram(fmt.Sprintf(`mangopost_request_seconds{service=%q}`, service)),
		queueSeconds:   set.GetOrCreateHistogram(fmt.Sprintf(`mangopost_queue_seconds{service=%q}`, service)),
		targetSeconds:  set.GetOrCreateHistogram(fmt.Sprintf(`mangopost_target_seconds{service=%q}`, service)),
	}
	for _, o := range outcomes {
		name := fmt.Sprintf(`mangopost_requests_total{service=%q,outcome=%q}`, service, outcomeName(o))
		m.requestsTotal[o] = set.GetOrCreateCounter(name)
	}
	return m
}

// forService returns a service's metrics. Services come from the configuration, so
// their number is bounded.
func (m *routerMetrics) forService(service string) *serviceMetrics {
	if existing, ok := m.services.Load(service); ok {
		return existing.(*serviceMetrics)
	}
	added, _ := m.services.LoadOrStore(service, newServiceMetrics(m.set, service))
	return added.(*serviceMetrics)
}

// recordRouted counts a request at its ingress and records its total time.
func (m *routerMetrics) recordRouted(service string, outcome pb.Outcome, took time.Duration) {
	s := m.forService(service)
	c := s.requestsTotal[outcome]
	if c == nil {
		c = s.requestsTotal[pb.Outcome_OUTCOME_UNKNOWN]
	}
	c.Inc()
	s.requestSeconds.Update(took.Seconds())
}

// recordRun records a request's time in the queue and at the target, at its gateway.
func (m *routerMetrics) recordRun(service string, waited, took time.Duration) {
	s := m.forService(service)
	s.queueSeconds.Update(waited.Seconds())
	s.targetSeconds.Update(took.Seconds())
}

// recordRefused counts a request that the ingress refused.
func (m *routerMetrics) recordRefused(cause reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_ingress_refused_total{reason=%q}`, string(cause))).Inc()
}

// recordDedupHandover counts a dedup table that was received from another gateway.
func (m *routerMetrics) recordDedupHandover(applied bool) {
	result := "dropped"
	if applied {
		result = "applied"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_dedup_tables_handed_total{result=%q}`, result)).Inc()
}

// recordLearnedHandover counts the state of a target's queue that was received from
// another gateway.
func (m *routerMetrics) recordLearnedHandover(adopted bool) {
	result := "dropped"
	if adopted {
		result = "applied"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`mangopost_learned_handed_total{result=%q}`, result)).Inc()
}

func (m *routerMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
