package router

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/record"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/kernel"
)

const (
	dedupHorizon = time.Hour
	dedupSkew    = 250 * time.Millisecond
	// drainGrace is how long a stopping router waits for requests in flight.
	drainGrace = 30 * time.Second
	// readyGrace is how long readiness is down before the listeners close, so that
	// the load balancer stops sending callers.
	readyGrace = 500 * time.Millisecond
)

// Router is the router process of one host.
type Router struct {
	cfg          Config
	listen       func(network, addr string) (net.Listener, error)
	start        time.Time
	store        platform.Store // for quarantine records; may be nil
	log          *kernel.EventLog
	logsRequests bool // the log level includes the lines of each request
	metrics      *routerMetrics
	memory       *memlimit.Limit
	heldLog      memlimit.Refusals
	cache        *state.Cache
	table        atomic.Pointer[table]
	dialer       *wire.Dialer
	gateway      *gateway
	leases       *leases
	hints        *hints
	budget       *retryBudget
	balancers    *balancers
	regions      *regionLinks
	quarantine   *quarantine
	explain      *explainer
	activity     *activity
	stopping     atomic.Bool
	recorder     *record.Recorder // if nil, nothing is recorded
}

// New returns a router that does nothing until Run is called.
func New(cfg Config, store platform.Store, logger hclog.Logger) *Router {
	r := &Router{
		cfg:          cfg,
		listen:       net.Listen,
		start:        time.Now(),
		store:        store,
		log:          kernel.NewEventLog(logger),
		logsRequests: logger.IsInfo(),
		cache:        state.NewCache(),
		dialer:       &wire.Dialer{Self: cfg.Self, TLS: cfg.ClientTLS, Source: wire.SourceOf(cfg.Peers)},
		hints:        newHints(),
		budget:       newRetryBudget(),
		balancers:    newBalancers(cfg.Self.Run),
		explain:      &explainer{host: cfg.Self.Host},
	}
	r.table.Store(compileTable(r.cache.View()))
	r.memory = memlimit.New(memoryForClients(cfg), r.recordHeldRefusal)
	r.metrics = newMetrics(r)
	r.regions = newRegionLinks(r)
	r.dialer.Meter = r.regions.count
	r.quarantine = newQuarantine(r)
	r.gateway = newGateway(r)
	r.recorder = record.NewDaemonRecorder("router", cfg.Self, cfg.Record)
	r.leases = newLeases(r)
	r.activity = newActivity(r)
	return r
}

func newGateway(r *Router) *gateway {
	table := newDedupTable(dedup.Config{Bytes: r.cfg.DedupBytes, Horizon: dedupHorizon, Skew: dedupSkew})
	table.onHandover = r.recordDedupHandover
	return &gateway{router: r, dedup: table, workers: make(map[string]*runningWorker)}
}

// now returns the monotonic clock reading of this process.
func (r *Router) now() time.Duration { return time.Since(r.start) }

// Run serves until ctx ends, then drains: it reports not ready, hands its targets over
// to other routers, and waits for requests in flight. It keeps leases that no other
// router took over until those requests have ended.
func (r *Router) Run(ctx context.Context) error {
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	r.log.Emit(evStarted, "host", r.cfg.Self.Host, "run", r.cfg.Self.Run, "cell", r.cfg.Cell)
	controlEnded := make(chan error, 1)
	go func() { controlEnded <- kernel.Run(control, r.controlDuties()...) }()
	callers, stopCallers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCallers()
	callersEnded := make(chan error, 1)
	go func() { callersEnded <- kernel.Run(callers, r.callerDuties()...) }()
	select {
	case err := <-controlEnded:
		return err
	case err := <-callersEnded:
		return err
	case <-ctx.Done():
	}
	r.stopping.Store(true)
	r.log.Emit(evStopping, "host", r.cfg.Self.Host)
	r.leases.leave()
	time.Sleep(readyGrace)
	stopCallers()
	err := <-callersEnded
	r.awaitHandover()
	r.gateway.drain(drainGrace)
	stopControl()
	<-controlEnded
	r.dialer.Close()
	return err
}

func (r *Router) controlDuties() []kernel.Duty {
	return []kernel.Duty{
		{Name: "log", Run: r.log.Run},
		{Name: "sync", Run: r.serveSync},
		{Name: "table", Run: r.serveTable},
		{Name: "shards", Run: r.serveShards},
		{Name: "leases", Run: r.leases.serve},
		{Name: "peers", Run: r.servePeers},
		{Name: "activity", Run: r.activity.serve},
		{Name: "quarantine", Run: r.quarantine.serve},
		{Name: "quarantine store", Run: r.quarantine.serveStore},
		{Name: "operators", Run: r.serveOperators},
		{Name: "trace", Run: r.serveTrace},
		{Name: "collector", Run: r.serveCollector},
	}
}

// serveTrace writes the trace. A write error ends the trace, but not the router.
func (r *Router) serveTrace(ctx context.Context) error {
	if err := r.recorder.Run(ctx); err != nil {
		r.log.Emit(evRecordEnded, "error", err.Error())
	}
	return nil
}

// callerDuties returns a duty for each callers' listener. An additional duty only waits
// for ctx to end, so that a router without listeners, which serves only as a gateway,
// does not end at once.
func (r *Router) callerDuties() []kernel.Duty {
	duties := []kernel.Duty{{Name: "callers", Run: func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}}}
	for _, l := range r.cfg.Callers {
		duties = append(duties, kernel.Duty{
			Name: "callers " + l.Addr,
			Run:  func(ctx context.Context) error { return r.serveCallers(ctx, l) },
		})
	}
	return duties
}

// serveCallers runs a callers' listener. The ingress is not behind an http.ServeMux,
// as that would answer some paths itself.
func (r *Router) serveCallers(ctx context.Context, l Listener) error {
	listener, err := r.listen("tcp", l.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", l.Addr)
	}
	server := &http.Server{
		Handler:                      &ingress{router: r, listener: l},
		ReadTimeout:                  l.ReadTimeout,
		ReadHeaderTimeout:            l.ReadTimeout,
		MaxHeaderBytes:               l.MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withCallerConn,
		ConnState:                    resetIdleConn,
		ErrorLog:                     hclog.NewNullLogger().StandardLogger(nil),
	}
	bounded := memlimit.NewListener(newCallerListener(listener, r, l.MaxConnections), r.memory, r.connections().Clients)
	return serveOn(ctx, server, bounded, drainGrace)
}

func (r *Router) serveOperators(ctx context.Context) error {
	server := &http.Server{
		Addr:              r.cfg.Operators,
		Handler:           r.operatorsMux(),
		ReadHeaderTimeout: operatorsHeaderTimeout,
		MaxHeaderBytes:    operatorsHeaderBytes,
		ConnState:         memlimit.ConnState,
	}
	l, err := r.listen("tcp", server.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", server.Addr)
	}
	return serveOn(ctx, server, memlimit.NewListener(l, r.memory, r.connections().Operators), time.Second)
}
