package e2e

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// Service is the keyed service that the tests use. ClientName is the client
// account whose requests reach it.
const (
	Service    = "katalog"
	ClientName = "usm"
)

// Options configures a cluster. A zero field takes its default.
type Options struct {
	Cells        int // number of cells, one per data centre; default 1
	Hosts        int // per cell; default 3
	Targets      int // of the keyed service, per cell; default 4
	Slots        int // per target; default 6
	Shards       uint32
	ChecksGrants bool
	LinkTargets  bool  // put a relay between gateways and targets, so that the connection can be cut
	LinkHosts    bool  // put relays between hosts, so that their connections can be cut
	RestartMS    int64 // delay before a crashed target restarts; 0 disables restarts
	HostLag      time.Duration
	DeadlineMS   int64
	WhenCut      template.CutPolicy // of the keyed service; default keep
	MaxBodyBytes int64              // of a caller's request; 0 for the product's default
	MemoryBytes  int64              // memory limit of each process; 0 for the product's default
	RouterFiles  int                // descriptors that a router process may open; 0 for the limit of the test
}

func (o Options) withDefaults() Options {
	if o.Cells == 0 {
		o.Cells = 1
	}
	if o.Hosts == 0 {
		o.Hosts = 3
	}
	if o.Targets == 0 {
		o.Targets = 4
	}
	if o.Slots == 0 {
		o.Slots = 6
	}
	if o.Shards == 0 {
		o.Shards = 16
	}
	if o.DeadlineMS == 0 {
		o.DeadlineMS = 3000
	}
	if o.WhenCut == "" {
		o.WhenCut = template.CutKeep
	}
	return o
}

// Cluster holds one or more cells with their platform and targets.
type Cluster struct {
	Hosts    []*Host
	Targets  []*Target
	Platform *standin.Platform

	opts     Options
	dir      string
	binaries Binaries
	server   *http.Server
	store    platform.Store
	network  network
}

// NewCluster starts all processes in dir and returns without waiting until they
// serve requests; use WaitServing for that. The caller must call Close, also
// after an error.
func NewCluster(b Binaries, dir string, opts Options) (*Cluster, error) {
	opts = opts.withDefaults()
	c := &Cluster{opts: opts, dir: dir, binaries: b}
	c.Platform = standin.NewPlatform(standin.PlatformOptions{
		WritesPerSecond: standin.DefaultPlatformOptions.WritesPerSecond,
		ReadsPerSecond:  standin.DefaultPlatformOptions.ReadsPerSecond,
		HostLag:         opts.HostLag,
	})
	c.store = c.Platform.View("e2e")
	for _, step := range []func() error{c.startPlatform, c.startTargets, c.writeConfig, c.startHosts} {
		if err := step(); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *Cluster) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	c.server = &http.Server{Addr: listener.Addr().String(), Handler: c.Platform.Handler()}
	go func() { _ = c.server.Serve(listener) }()
	return nil
}

func (c *Cluster) startTargets() error {
	for _, dc := range dataCentres[:c.opts.Cells] {
		for i := range c.opts.Targets {
			if err := c.startTarget(dc, i+1); err != nil {
				return err
			}
		}
	}
	c.PublishTargets(nil)
	return nil
}

func (c *Cluster) startTarget(dc dataCentre, number int) error {
	t, err := newTarget(c, dc, Service, number, c.opts.LinkTargets)
	if err != nil {
		return err
	}
	c.Targets = append(c.Targets, t)
	if err := t.writeSettings(c.opts); err != nil {
		return err
	}
	return t.Start()
}

// PublishTargets publishes all targets in the platform's host list. The targets
// named in leaving are listed as leaving, the others as live.
func (c *Cluster) PublishTargets(leaving map[string]bool) {
	var hosts []platform.TargetHost
	for _, t := range c.Targets {
		state := platform.HostLive
		if leaving[t.Name] {
			state = platform.HostLeaving
		}
		hosts = append(hosts, t.hostListEntry(state))
	}
	c.Platform.SetHosts(hosts)
}

// Config returns the initial configuration of the cluster.
func (c *Cluster) Config() template.Config {
	return template.Config{
		Version: 1,
		Templates: []template.Template{{
			Service: Service, Keyed: true, Shards: c.opts.Shards, Slots: c.opts.Slots, Connections: 110,
			ChecksGrants: c.opts.ChecksGrants, RefusesFirst: true, WhenCut: c.opts.WhenCut,
			QueueLimit: template.DefaultQueueLimit, QueueOrder: template.DefaultQueueOrder,
			Balancer: template.DefaultBalancer, RetryHorizonS: template.DefaultRetryHorizonS,
			ClockSkewMS: template.DefaultClockSkewMS,
			Routes: []template.Route{
				{Method: http.MethodGet, Path: "/holdings", Idempotent: true, DeadlineMS: c.opts.DeadlineMS},
				{Method: http.MethodPost, Path: "/loans", DeadlineMS: c.opts.DeadlineMS},
			},
		}},
		Clients: []template.Client{{Name: ClientName, Services: []string{Service}, Weight: template.DefaultWeight, Zone: template.DefaultZone}},
	}
}

func (c *Cluster) writeConfig() error {
	value, err := json.Marshal(c.Config())
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	_, err = c.store.Put(context.Background(), platform.ConfigObject, 0, value)
	return err
}

func (c *Cluster) startHosts() error {
	for _, dc := range dataCentres[:c.opts.Cells] {
		for i := range c.opts.Hosts {
			h, err := newHost(c, dc, i+1)
			if err != nil {
				return err
			}
			c.Hosts = append(c.Hosts, h)
		}
	}
	for _, h := range c.Hosts {
		if err := errors.Join(h.writeSettings(), h.StartPlacer(), h.StartRouter()); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and closes all links. It keeps the files.
func (c *Cluster) Close() {
	for _, p := range c.processes() {
		p.Kill()
	}
	for _, h := range c.Hosts {
		h.closeLinks()
	}
	for _, t := range c.Targets {
		if t.Link != nil {
			t.Link.Close()
		}
	}
	if c.server != nil {
		c.server.Close()
	}
}

// Remove closes the cluster and deletes its files, unless MANGOPOST_E2E_KEEP
// is set.
func (c *Cluster) Remove() {
	c.Close()
	if os.Getenv("MANGOPOST_E2E_KEEP") == "" {
		os.RemoveAll(c.dir)
	}
}

func (c *Cluster) processes() []*Process {
	var list []*Process
	for _, h := range c.Hosts {
		list = append(list, h.Router, h.Placer)
	}
	for _, t := range c.Targets {
		list = append(list, t.Process)
	}
	var running []*Process
	for _, p := range list {
		if p != nil && p.Running() {
			running = append(running, p)
		}
	}
	return running
}

// Runs returns the recorded runs of all targets.
func (c *Cluster) Runs() ([]judge.Run, error) {
	var all []judge.Run
	for _, t := range c.Targets {
		runs, err := t.Runs()
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// ShardMap returns the service's shard map from the store.
func (c *Cluster) ShardMap() (ownership.Page, error) {
	var page ownership.Page
	obj, err := c.Platform.Peek(platform.OwnersPrefix + Service)
	if err != nil {
		return page, err
	}
	return page, errors.Wrap(json.Unmarshal(obj.Value, &page), "decode shard map")
}

// Owner returns the target that owns a key according to the shard map in the
// store.
func (c *Cluster) Owner(key string) (string, error) {
	page, err := c.ShardMap()
	if err != nil {
		return "", err
	}
	n := ownership.ShardOf(key, uint32(len(page.Shards)))
	if int(n) >= len(page.Shards) {
		return "", errors.Newf("shard %d is not in the shard map", n)
	}
	return page.Shards[n].Target, nil
}

// OwnedShards returns the number of shards that a target owns according to the
// shard map in the store.
func (c *Cluster) OwnedShards(target string) (int, error) {
	page, err := c.ShardMap()
	n := 0
	for _, shard := range page.Shards {
		if shard.Target == target {
			n++
		}
	}
	return n, err
}
