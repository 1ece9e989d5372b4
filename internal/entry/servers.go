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

	"github.com/mangopost/mangopost/platform"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// callerIdle outlasts the idle time that any configuration allows callers, so
	// that a request does not cross this host's close.
	callerIdle = 5 * time.Minute
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes = 64 << 10
	// drainEnd is kept back of the time to stop, for what runs at the end.
	drainEnd = 1200 * time.Millisecond
	// drainLinger is how long after the signal new connections are still taken: the
	// balancer needs two questions, a second apart, to notice.
	drainLinger = 3 * time.Second
)

// listen opens a listener, which a predecessor's connections may still hold.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}

// serveCallers takes requests until ctx ends, then drains: it goes on answering
// for as long as the balancer may send callers here and what it has read needs.
func (n *Node) serveCallers(ctx context.Context) error {
	s := n.settings.Load()
	listener, err := listen(ctx, s.Callers.String())
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           n,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // broken connections of callers
		// A request outlives the signal to stop.
		BaseContext: func(net.Listener) context.Context { return context.WithoutCancel(ctx) },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "callers")
	case <-ctx.Done():
	}
	n.stopping.Store(true)
	n.log.Emit(evStopping, "in_flight", n.inFlight.Load(), "stop_ms", ms(s.Bounds.Stop))
	time.Sleep(drainLinger)
	drain := time.AfterFunc(s.Bounds.Stop-drainLinger-drainEnd, n.drainServices)
	defer drain.Stop()
	ended, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Bounds.Stop-drainLinger-drainEnd/2)
	defer cancel()
	if err := server.Shutdown(ended); err != nil {
		n.log.Emit(evStopping, "in_flight", n.inFlight.Load(), "error", err.Error())
	}
	return nil
}

// drainServices refuses every request that waits for a target.
func (n *Node) drainServices() {
	for _, s := range n.allServices() {
		s.drain()
	}
}

// serve serves until the process is about to end, which is after callers
// were drained.
func (n *Node) serve(ctx context.Context, addr string, handler http.Handler) error {
	listener, err := listen(ctx, addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	stop := context.AfterFunc(ctx, func() {
		time.Sleep(drainLinger)
		_ = server.Close() // nothing is lost: the process ends
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", addr)
	}
	return nil
}

// serveReadiness answers the balancer.
func (n *Node) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return n.serve(ctx, n.settings.Load().Readiness.String(), mux)
}

// serveMetrics shows counters and histograms as text.
func (n *Node) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.counters.set.WritePrometheus(w) })
	return n.serve(ctx, n.metrics.String(), mux)
}

// settingsPoll is how often the settings file is read for a silent change.
const settingsPoll = 5 * time.Second

// watchSettings reads the settings again at SIGHUP and now and then.
func (n *Node) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPoll)
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

// reload takes changed settings in. Addresses on which the process listens stay
// until it starts again.
func (n *Node) reload(told bool) {
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		n.log.Emit(evBadReload, "error", err.Error())
		return
	}
	old := n.settings.Load()
	changed := !reflect.DeepEqual(s, old)
	if !changed && !told {
		return
	}
	n.settings.Store(s)
	n.store.SetAddr(s.Store.String())
	n.log.Emit(evReloaded, "changed", changed, "told", told, "store", s.Store.String())
}
