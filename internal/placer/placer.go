package placer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/record"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/internal/syncer"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/kernel"
)

// Placer is the placer process of one host.
type Placer struct {
	cfg         Config
	start       time.Time
	store       platform.Store
	log         *kernel.EventLog
	metrics     *placerMetrics
	links       *linkMeter
	cache       *state.Cache
	dialer      *wire.Dialer
	voting      *voting
	watch       *watch
	syncer      *syncer.Server
	routerQueue chan syncer.Router
	hosts       atomic.Pointer[hostList]
	writeSeq    atomic.Uint64
	liveness    *livenessTracker
	loads       *loadTracker
	targetLost  chan struct{}    // wakes the shards duty when a target is reported lost
	recorder    *record.Recorder // nil: nothing is recorded

	unsettled     unsettledRecord            // owned by the members duty
	stopStepSince map[stopStep]time.Duration // when the step became possible; owned by the stops duty
	emptyPlans    emptyPlans                 // owned by the shards duty
	// emptyGatewayPlan holds the inputs of the last gateway plan that changed nothing;
	// owned by the gateways duty.
	emptyGatewayPlan gatewayPlanInputs
	ownLease         ownLease      // owned by the store lease duty
	leaseObserver    leaseObserver // owned by the store lease duty
}

// New returns a placer that is idle until Run is called.
func New(cfg Config, store platform.Store, logger hclog.Logger) *Placer {
	p := &Placer{
		cfg:         cfg,
		start:       time.Now(),
		store:       store,
		log:         kernel.NewEventLog(logger),
		cache:       state.NewCache(),
		dialer:      &wire.Dialer{Self: cfg.Self, TLS: cfg.ClientTLS, Source: wire.SourceOf(cfg.Peers)},
		routerQueue: make(chan syncer.Router, routerQueueSize),
		liveness:    newLivenessTracker(),
		targetLost:  make(chan struct{}, 1),
		loads:       newLoadTracker(),

		stopStepSince: make(map[stopStep]time.Duration),
		emptyPlans:    make(emptyPlans),
	}
	p.hosts.Store(&hostList{})
	p.metrics = newMetrics(p)
	p.links = newLinkMeter(p)
	p.dialer.Meter = p.links.count
	p.recorder = record.NewDaemonRecorder("placer", cfg.Self, cfg.Record)
	p.voting = newVoting(p)
	p.watch = newWatch(p)
	p.syncer = &syncer.Server{
		Cache:    p.cache,
		StoreAge: p.watch.storeAge,
		IsCutOff: p.watch.isCutOff,
		BeatDue:  p.watch.monitor.changedChan,
		OnRouter: p.enqueueRouter,
	}
	return p
}

// now returns the time since this process started, by the monotonic clock.
func (p *Placer) now() time.Duration { return time.Since(p.start) }

// Run serves until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	p.log.Emit(evStarted, "host", p.cfg.Self.Host, "run", p.cfg.Self.Run, "cell", p.cfg.Cell)
	defer p.dialer.Close()
	context.AfterFunc(ctx, func() { p.log.Emit(evStopping, "host", p.cfg.Self.Host) })
	return kernel.Run(ctx,
		kernel.Duty{Name: "log", Run: p.log.Run},
		kernel.Duty{Name: "peers", Run: p.servePeers},
		kernel.Duty{Name: "watch", Run: p.watch.serve},
		kernel.Duty{Name: "upstream", Run: p.watch.serveUpstream},
		kernel.Duty{Name: "record", Run: p.serveVoterRecord},
		kernel.Duty{Name: "voter", Run: p.voting.serve},
		kernel.Duty{Name: "members", Run: p.serveMembers},
		kernel.Duty{Name: "peers alive", Run: p.servePeerProbes},
		kernel.Duty{Name: "hosts", Run: p.serveHosts},
		kernel.Duty{Name: "gateways", Run: p.serveGateways},
		kernel.Duty{Name: "shards", Run: p.serveShards},
		kernel.Duty{Name: "store lease", Run: p.serveStoreLease},
		kernel.Duty{Name: "stops", Run: p.serveStops},
		kernel.Duty{Name: "operators", Run: p.serveOperators},
		kernel.Duty{Name: "trace", Run: p.serveTrace},
	)
}

// serveTrace writes the trace. A write error ends the recording, but not the placer.
func (p *Placer) serveTrace(ctx context.Context) error {
	if err := p.recorder.Run(ctx); err != nil {
		p.log.Emit(evRecordEnded, "error", err.Error())
	}
	return nil
}

func (p *Placer) servePeers(ctx context.Context) error {
	l, err := net.Listen("tcp", p.cfg.Peers)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", p.cfg.Peers)
	}
	server := wire.Server{
		Self:    p.cfg.Self,
		TLS:     p.cfg.ServerTLS,
		Handler: p.servePeerStream,
		Meter:   p.links.count,
		OnDrop: func(addr string, err error) {
			p.log.Emit(evPeerDropped, "addr", addr, "error", err.Error())
		},
	}
	return server.Serve(ctx, l)
}

func (p *Placer) servePeerStream(ctx context.Context, s *wire.Stream) error {
	switch s.Kind {
	case pb.StreamKind_STREAM_KIND_LEASE:
		return p.voting.serveStream(ctx, s)
	case pb.StreamKind_STREAM_KIND_SYNC:
		return p.syncer.Serve(ctx, s)
	default:
		return nil
	}
}

// serveVoterRecord passes each new record of the cell to the voter.
func (p *Placer) serveVoterRecord(ctx context.Context) error {
	for {
		changed := p.cache.Changed()
		if record, ok := p.cache.View().Records[p.cfg.Cell]; ok {
			p.voting.setRecord(record.Value)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Placer) serveOperators(ctx context.Context) error {
	server := &http.Server{
		Addr:              p.cfg.Operators,
		Handler:           p.operatorsMux(),
		ReadHeaderTimeout: operatorsHeaderTimeout,
	}
	l, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", server.Addr)
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil {
		return errors.Wrapf(err, "serve %s", server.Addr)
	}
	return nil
}

// runEvery calls round immediately and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, round func(context.Context)) error {
	return runEveryOrWoken(ctx, interval, nil, round)
}

// runEveryOrWoken is like runEvery and also calls round on each receive from wake.
func runEveryOrWoken(ctx context.Context, interval time.Duration, wake <-chan struct{}, round func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		round(ctx)
		select {
		case <-ticker.C:
		case <-wake:
		case <-ctx.Done():
			return nil
		}
	}
}
