package placer

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const operatorsHeaderTimeout = 5 * time.Second

// placerMetrics holds the placer's own metrics; docs/METRICS.md lists them.
type placerMetrics struct {
	set   *metrics.Set
	moves *metrics.Counter
}

func newMetrics(p *Placer) *placerMetrics {
	m := &placerMetrics{set: metrics.NewSet()}
	m.moves = m.set.NewCounter("mangopost_shard_moves_total")
	m.set.NewGauge("mangopost_log_events_dropped_total", func() float64 { return float64(p.log.Dropped()) })
	m.set.NewGauge("mangopost_store_heard", func() float64 { return boolToFloat(p.watch.isStoreReachable()) })
	m.set.NewGauge("mangopost_acting", func() float64 { return boolToFloat(p.isActing()) })
	return m
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// stateDump is the response body of GET /state on the operators' listener.
type stateDump struct {
	Host          string `json:"host"`
	Cell          string `json:"cell"`
	Run           uint64 `json:"run"`
	ConfigVersion uint64 `json:"config_version"`
	Acting        bool   `json:"acting"`
	StoreHeard    bool   `json:"store_heard"`
	Record        uint64 `json:"record"`
	Voting        bool   `json:"voting"`
}

func (p *Placer) operatorsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !p.voting.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.state())
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (p *Placer) state() stateDump {
	view := p.cache.View()
	return stateDump{
		Host:          p.cfg.Self.Host,
		Cell:          p.cfg.Cell,
		Run:           p.cfg.Self.Run,
		ConfigVersion: view.Config.Value.Version,
		Acting:        p.isActing(),
		StoreHeard:    p.watch.isStoreReachable(),
		Record:        view.Records[p.cfg.Cell].Value.Number,
		Voting:        p.voting.isReady(),
	}
}
