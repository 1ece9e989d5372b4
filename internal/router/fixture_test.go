package router

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
	_ "github.com/mangopost/mangopost/plugin/balance"
	_ "github.com/mangopost/mangopost/plugin/queue"
	"github.com/mangopost/mangopost/template"
)

// Incarnations of the fixture: host a is the ingress, host b is the target's gateway,
// and b's voter is the only one of the cell.
var (
	ingressRun = lease.Incarnation{Host: "a", Run: 1}
	gatewayRun = lease.Incarnation{Host: "b", Run: 2}
	voterRun   = lease.Incarnation{Host: "b", Run: 3}
)

// pair holds two routers in one process: callers -> a -> yamux -> b -> target.
type pair struct {
	a, b    *Router
	callers string // address of a's callers' listener
}

// pairOptions configures the routers that startPair builds.
type pairOptions struct {
	listener     Listener // of a; startPair sets its address
	logger       hclog.Logger
	slots        int
	checksGrants bool      // the target checks grants
	record       io.Writer // trace of the gateway's leases
}

const testShards = 8

func testConfig(slots int) template.Config {
	return template.Config{
		Version: 1,
		Templates: []template.Template{
			{
				Service: "katalog", Keyed: true, Shards: testShards, Slots: slots, Connections: slots + 8, QueueLimit: 1000,
				Routes: []template.Route{
					{Method: "GET", Path: "/", Idempotent: true, DeadlineMS: 5000},
					{Method: "POST", Path: "/", DeadlineMS: 5000},
					{Method: "POST", Path: "/held", DeadlineMS: 3_600_000},
					{Method: "GET", Path: "/lama", Idempotent: true, DeadlineMS: 3_600_000},
				},
			},
			{
				Service: "pentadbir", Keyed: true, Shards: testShards, Slots: slots, Connections: slots + 8, QueueLimit: 1000,
				Routes: []template.Route{{Method: "GET", Path: "/", Idempotent: true}},
			},
		},
		Clients: []template.Client{{Name: "usm", Services: []string{"katalog"}, Weight: 1}},
	}
}

func testPage() ownership.Page {
	page := ownership.Page{Service: "katalog"}
	for range testShards {
		owner := ownership.Assignment{Cell: "kl", Target: "t1", Epoch: 1}
		page.Shards = append(page.Shards, ownership.Shard{Assignment: owner})
	}
	return page
}

func testRecord(voter, gateway, target string) membership.Record {
	return membership.Record{
		Cell: "kl", DataCentre: "kl", Region: "semenanjung", Number: 1, Settled: true,
		Hosts: []membership.Host{{
			Name: "b", PlacerRun: voterRun.Run, RouterRun: gatewayRun.Run, PlacerAddr: voter, RouterAddr: gateway,
		}},
		Gateways: []membership.Gateway{{
			Target: "t1", Service: "katalog", Addr: target, First: 1, Candidates: []lease.Incarnation{gatewayRun},
		}},
	}
}

func objects(t testing.TB, values map[string]any) []platform.Object {
	t.Helper()
	var all []platform.Object
	for name, value := range values {
		raw, err := json.Marshal(value)
		assert.NilError(t, err)
		all = append(all, platform.Object{Name: name, Version: 1, Value: raw})
	}
	return all
}

// refusingAddr is a loopback address without a listener: the kernel never assigns so
// low a port automatically.
const refusingAddr = "127.0.0.1:1"

// listenerSet holds listeners by address. They are opened before their routers start
// and stay open, as an outgoing connection could take the port of a closed one.
type listenerSet map[string]net.Listener

// open opens a listener, adds it to the set and returns its address.
func (s listenerSet) open(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s[l.Addr().String()] = l
	return l.Addr().String()
}

// listen returns the open listener for addr, else it calls net.Listen.
func (s listenerSet) listen(network, addr string) (net.Listener, error) {
	if l, ok := s[addr]; ok {
		return l, nil
	}
	return net.Listen(network, addr)
}

// startVoter serves leases as a placer does. It returns its address and a function
// that applies a membership record.
func startVoter(ctx context.Context, t testing.TB) (string, func(membership.Record)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	began := time.Now()
	var mu sync.Mutex
	voter := lease.NewVoter(lease.VoterConfig{Cell: "kl", Self: voterRun, Timing: lease.DefaultTiming})
	step := func(from lease.Incarnation, m lease.Message) []lease.Envelope {
		mu.Lock()
		defer mu.Unlock()
		voter.Tick(time.Since(began))
		return voter.Step(time.Since(began), from, m)
	}
	server := wire.Server{Self: voterRun, Handler: func(_ context.Context, s *wire.Stream) error { return answerLeases(s, step) }}
	go func() { _ = server.Serve(ctx, l) }()
	return l.Addr().String(), func(r membership.Record) {
		mu.Lock()
		defer mu.Unlock()
		voter.SetElectorate(time.Since(began), r.Electorate())
		voter.SetTargets(time.Since(began), []string{"t1"})
	}
}

func answerLeases(s *wire.Stream, step func(lease.Incarnation, lease.Message) []lease.Envelope) error {
	if s.Kind != pb.StreamKind_STREAM_KIND_LEASE {
		return nil
	}
	for {
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		m, ok := wire.DecodeLeaseMessage(frame)
		if !ok {
			continue
		}
		for _, e := range step(s.From, m) {
			reply, err := wire.LeaseFrame(e.Msg)
			if err != nil {
				return err
			}
			if err := s.Send(reply); err != nil {
				return err
			}
		}
	}
}

// startPair starts a target and runs both routers in front of it until the test ends.
func startPair(t testing.TB, target http.Handler, o pairOptions) *pair {
	t.Helper()
	server := httptest.NewServer(target)
	ctx, cancel := context.WithCancel(context.Background())
	voter, setRecord := startVoter(ctx, t)
	opened := make(listenerSet)
	gatewayAddr := opened.open(t)
	record := testRecord(voter, gatewayAddr, server.Listener.Addr().String())
	setRecord(record)
	if o.logger == nil {
		o.logger = hclog.NewNullLogger()
	}
	if o.slots == 0 {
		o.slots = 64
	}
	o.listener.Addr = opened.open(t)
	config := testConfig(o.slots)
	config.Templates[0].ChecksGrants = o.checksGrants
	known := objects(t, map[string]any{
		platform.ConfigObject:             config,
		platform.CellPrefix + "kl":        record,
		platform.OwnersPrefix + "katalog": testPage(),
	})
	base := Config{
		DataCentre: "kl", Region: "semenanjung", Cell: "kl", Placers: []string{voter},
		Operators: "127.0.0.1:0", DedupBytes: 1 << 20, Timing: lease.DefaultTiming,
	}
	first, second := base, base
	first.Self, first.Peers, first.Callers = ingressRun, "127.0.0.1:0", []Listener{o.listener}
	second.Self, second.Peers, second.Callers = gatewayRun, gatewayAddr, []Listener{{Addr: "127.0.0.1:0"}}
	second.Record = o.record
	p := &pair{a: New(first, nil, o.logger), b: New(second, nil, o.logger), callers: o.listener.Addr}
	var running sync.WaitGroup
	for _, r := range []*Router{p.a, p.b} {
		r.listen = opened.listen
		r.cache.Apply(known)
		running.Go(func() {
			if err := r.Run(ctx); err != nil {
				t.Errorf("router %v: %v", r.cfg.Self, err)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		running.Wait()
		server.Close()
	})
	p.awaitService(t)
	return p
}

// awaitService waits until the gateway has a lease and the ingress accepts connections.
func (p *pair) awaitService(t testing.TB) {
	t.Helper()
	for range 500 {
		if _, ok := p.b.leases.line(ownership.ShardRef{Service: "katalog", Shard: 0}); ok {
			if conn, err := net.Dial("tcp", p.callers); err == nil {
				_ = conn.Close()
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the gateway got no lease: %+v", p.b.leases.holder.Targets(p.b.now()))
}

// echoTarget echoes the request ID, as a target must, and records the requests that
// reach it.
type echoTarget struct {
	mu   sync.Mutex
	seen []*http.Request
}

func (e *echoTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/mangopost/health" {
		return
	}
	e.mu.Lock()
	e.seen = append(e.seen, r)
	e.mu.Unlock()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	_, _ = w.Write([]byte("good\n"))
}

// requests returns the requests that reached the target since the last call.
func (e *echoTarget) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.seen
	e.seen = nil
	return seen
}
