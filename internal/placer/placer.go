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
	cfg     Config
	start   time.Time
	store   platform.Store
	log     *kernel.EventLog
	metrics *placerMetrics
	links   *linkMeter
	cache   *state.Cache
	dialer  *wire.Dialer
	voting  *voting
	watch   *watch
	syncer  *syncer.Server
	routers chan syncer.Router
	hosts   atomic.Pointer[hostList]
	writes  atomic.Uint64
	sight   *sightings
	loads   *loads
	lost    chan struct{}    // wakes the shards duty: a target was seen to be lost
	tape    *record.Recorder // nil: nothing is recorded

	unsettled unsettledRecord               // owned by the members duty
	stewards  map[stewardWait]time.Duration // owned by the stops duty
	plans     restingPlans                  // owned by the shards duty
	// restingGateways is what the last plan of gateways rested on that changed
	// nothing; owned by the gateways duty.
	restingGateways gatewayBasis
	ownLease        ownLease   // owned by the store lease duty
	leaseSight      leaseSight // likewise
}

// New returns a placer that does nothing until Run.
func New(cfg Config, store platform.Store, logger hclog.Logger) *Placer {
	p := &Placer{
		cfg:     cfg,
		start:   time.Now(),
		store:   store,
		log:     kernel.NewEventLog(logger),
		cache:   state.NewCache(),
		dialer:  &wire.Dialer{Self: cfg.Self, TLS: cfg.ClientTLS, Source: wire.SourceOf(cfg.Peers)},
		routers: make(chan syncer.Router, routerRingSize),
		sight:   newSightings(),
		lost:    make(chan struct{}, 1),
		loads:   newLoads(),

		stewards: make(map[stewardWait]time.Duration),
		plans:    make(restingPlans),
	}
	p.hosts.Store(&hostList{})
	p.metrics = newMetrics(p)
	p.links = newLinkMeter(p)
	p.dialer.Meter = p.links.count
	p.tape = record.NewDaemonRecorder("placer", cfg.Self, cfg.Record)
	p.voting = newVoting(p)
	p.watch = newWatch(p)
	p.syncer = &syncer.Server{
		Cache:    p.cache,
		StoreAge: p.watch.storeAge,
		CutOff:   p.watch.cutOff,
		Told:     p.watch.answers.change,
		OnRouter: p.noteRouter,
	}
	return p
}

// now returns the monotonic reading of this process.
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
		kernel.Duty{Name: "record", Run: p.serveRecord},
		kernel.Duty{Name: "voter", Run: p.voting.serve},
		kernel.Duty{Name: "members", Run: p.serveMembers},
		kernel.Duty{Name: "peers alive", Run: p.servePeersAlive},
		kernel.Duty{Name: "hosts", Run: p.serveHosts},
		kernel.Duty{Name: "gateways", Run: p.serveGateways},
		kernel.Duty{Name: "shards", Run: p.serveShards},
		kernel.Duty{Name: "store lease", Run: p.serveStoreLease},
		kernel.Duty{Name: "stops", Run: p.serveStops},
		kernel.Duty{Name: "operators", Run: p.serveOperators},
		kernel.Duty{Name: "trace", Run: p.serveTape},
	)
}

// serveTape writes the trace. One that cannot be written any more ends; the
// placer goes on.
func (p *Placer) serveTape(ctx context.Context) error {
	if err := p.tape.Run(ctx); err != nil {
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

// serveRecord gives the voter each new record of its cell.
func (p *Placer) serveRecord(ctx context.Context) error {
	for {
		changed := p.cache.Changed()
		if record, ok := p.cache.View().Records[p.cfg.Cell]; ok {
			p.voting.update(record.Value)
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

// every calls round at once, then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, round func(context.Context)) error {
	return everyOr(ctx, interval, nil, round)
}

// everyOr is every with further rounds when it is woken.
func everyOr(ctx context.Context, interval time.Duration, wake <-chan struct{}, round func(context.Context)) error {
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
