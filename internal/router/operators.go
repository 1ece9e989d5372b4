package router

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	operatorsHeaderTimeout = 5 * time.Second
	operatorsHeaderBytes   = 16 << 10
)

// stateDump is the answer to GET /state on the operators' listener.
type stateDump struct {
	Host          string        `json:"host"`
	Cell          string        `json:"cell"`
	Run           uint64        `json:"run"`
	ConfigVersion uint64        `json:"config_version"`
	Targets       []targetState `json:"targets"`
	LogDropped    uint64        `json:"log_events_dropped"`
}

type targetState struct {
	Target       string `json:"target"`
	GatewayEpoch uint64 `json:"gateway_epoch"`
	Gateway      bool   `json:"gateway"`
	Alive        bool   `json:"alive"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Concurrency  int    `json:"concurrency"`
}

func (r *Router) operatorsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { r.metrics.write(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.state()) })
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, req *http.Request) {
		writeJSON(w, r.explain.find(req.URL.Query().Get("id")))
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// ready reports whether a load balancer may send callers to this router: it has the
// configuration and the shard maps, it serves the targets whose first candidate it is,
// and it is not stopping.
func (r *Router) ready() bool {
	t := r.table.Load()
	if r.stopping.Load() || t.configVersion == 0 {
		return false
	}
	for _, s := range t.services {
		if !s.hasPage || len(s.targets) == 0 {
			return false
		}
	}
	return r.servesOwnTargets(t)
}

func (r *Router) servesOwnTargets(t *table) bool {
	for _, dst := range t.targets {
		if len(dst.candidates) == 0 || dst.candidates[0] != r.cfg.Self {
			continue
		}
		if _, ok := r.leases.right(dst.name); !ok {
			return false
		}
	}
	return true
}

func (r *Router) state() stateDump {
	dump := stateDump{
		Host:          r.cfg.Self.Host,
		Cell:          r.cfg.Cell,
		Run:           r.cfg.Self.Run,
		ConfigVersion: r.table.Load().configVersion,
		LogDropped:    r.log.Dropped(),
	}
	for _, w := range r.gateway.allWorkers() {
		epoch, ok := r.leases.right(w.name)
		stats := w.stats.Load()
		dump.Targets = append(dump.Targets, targetState{
			Target:       w.name,
			GatewayEpoch: uint64(epoch),
			Gateway:      ok,
			Alive:        w.health.isAlive(r.now(), r.cfg.Timing.Suspicion),
			Running:      stats.Running,
			Waiting:      stats.Waiting,
			Concurrency:  stats.Concurrency,
		})
	}
	return dump
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveOn runs an HTTP server on a listener until ctx ends, then waits at most grace
// for requests in flight.
func serveOn(ctx context.Context, server *http.Server, l net.Listener, grace time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return errors.Wrapf(err, "serve %s", l.Addr())
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	return nil
}
