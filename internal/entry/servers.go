package entry

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/platform"
)

const (
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is longer than the idle time that any configuration allows
	// callers, so that a request does not cross this host's close.
	callerIdleTimeout = 5 * time.Minute
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// drainReserve is the part of the stop time reserved for the last steps of the
	// shutdown.
	drainReserve = 1200 * time.Millisecond
	// drainLinger is how long new connections are still accepted after the stop
	// signal: the balancer needs two readiness checks, a second apart, to notice.
	drainLinger = 3 * time.Second
	// flushTime is how long the last answers may take to be written once their requests
	// have been handled.
	flushTime = 100 * time.Millisecond
	// inFlightPollInterval is how often a stopping host checks whether requests are
	// still being handled.
	inFlightPollInterval = 20 * time.Millisecond
)

// listen opens a TCP listener on an address that connections of a previous process
// may still use.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}

// serveCallers serves requests until ctx ends and then drains: it keeps answering
// while the balancer may still send callers here, and until the requests already read
// have been answered or the stop time ends.
func (n *Node) serveCallers(ctx context.Context) error {
	s := n.settings.Load()
	accepting, err := listen(ctx, s.Callers.String())
	if err != nil {
		return err
	}
	callers := &callerListener{Listener: accepting}
	listener := memlimit.NewListener(callers, n.memory, n.connections().Clients)
	n.counters.gaugeConnections(listener.Open)
	server := &http.Server{
		Handler:           n,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // silences broken connections of callers
		// Requests are not cancelled by the stop signal.
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
		ConnContext: connContext,
		ConnState:   memlimit.ConnState,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	n.beginStop(s.Bounds.Stop)
	time.Sleep(drainLinger)
	drain := time.AfterFunc(s.Bounds.Stop-drainLinger-drainReserve, n.drainServices)
	defer drain.Stop()
	_ = accepting.Close()              // ends Serve
	server.SetKeepAlivesEnabled(false) // closes the idle connections
	if !n.awaitAnswers(s.Bounds.Stop - drainLinger - drainReserve/2) {
		n.log.Emit(evStopping, "in_flight", n.inFlight.Load(), "error", "requests are cut off: the time to stop has passed")
		return nil // the rest of the time is needed to exit
	}
	// From Shutdown on, net/http drops requests that it reads, so it comes last.
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTime)
	defer cancel()
	if err := server.Shutdown(flushCtx); err != nil {
		_ = server.Close() // connections without a request are left
	}
	callers.awaitLingering()
	return nil
}

// awaitAnswers waits up to limit until no request is being handled.
func (n *Node) awaitAnswers(limit time.Duration) bool {
	for until := steadyClock() + limit; n.inFlight.Load() > 0; time.Sleep(inFlightPollInterval) {
		if steadyClock() >= until {
			return false
		}
	}
	return true
}

// stopPhases says how requests are handled during a planned stop. Times are readings of
// steadyClock.
type stopPhases struct {
	refuseFrom time.Duration // requests that arrive later are refused: the balancer sends no more
	answerBy   time.Duration // the others end with an answer by then, before the process exits
}

// beginStop begins a planned stop of the given length.
func (n *Node) beginStop(length time.Duration) {
	now := steadyClock()
	n.stopPhases.Store(&stopPhases{refuseFrom: now + drainLinger, answerBy: now + length - drainReserve/2 - 2*answerGrace})
	n.stopping.Store(true)
	n.log.Emit(evStopping, "in_flight", n.inFlight.Load(), "stop_ms", ms(length))
}

// applyStop limits the request to what a planned stop leaves time for. If it reports
// false, the caller has been answered.
func (c *call) applyStop() bool {
	phases := c.node.stopPhases.Load()
	if phases == nil {
		return true
	}
	if c.arrived >= phases.refuseFrom {
		c.refuse("stopping", shedRetryAfter)
		return false
	}
	c.deadline = min(c.deadline, phases.answerBy)
	return true
}

// drainServices refuses every request that waits for a target.
func (n *Node) drainServices() {
	for _, s := range n.allServices() {
		s.drain()
	}
}

// serve runs an HTTP server for readiness checks or metrics until ctx ends.
func (n *Node) serve(ctx context.Context, addr string, handler http.Handler) error {
	listener, err := listen(ctx, addr)
	if err != nil {
		return err
	}
	server := newOperatorServer(handler, log.New(io.Discard, "", 0))
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // nothing is lost: the process exits
	defer stop()
	bounded := memlimit.NewListener(listener, n.memory, n.connections().Operators)
	if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", addr)
	}
	return nil
}

// serveReadiness answers the balancer's readiness checks.
func (n *Node) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return n.serve(ctx, n.settings.Load().Readiness.String(), mux)
}

// serveMetrics serves counters and histograms in the Prometheus text format.
func (n *Node) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.counters.set.WritePrometheus(w) })
	return n.serve(ctx, n.metricsAddr.String(), mux)
}

// settingsPollInterval is how often the settings file is checked for changes made
// without SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings at SIGHUP and at every settingsPollInterval.
func (n *Node) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.hangups:
			n.reload(true)
		case <-ticker.C:
			n.reload(false)
		case <-ctx.Done():
			return nil
		}
	}
}

// reload applies changed settings. Listen addresses change only when the process
// restarts.
func (n *Node) reload(signalled bool) {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		n.log.Emit(evBadReload, "error", err.Error())
		return
	}
	old := n.settings.Load()
	changed := !reflect.DeepEqual(s, old)
	if !changed && !signalled {
		return
	}
	n.settings.Store(s)
	n.store.SetAddr(s.Store.String())
	n.log.Emit(evReloaded, "changed", changed, "told", signalled, "store", s.Store.String())
}
