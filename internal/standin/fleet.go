package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// FleetOptions configure the targets of one process. They are read from a TOML
// file or built from command-line flags.
type FleetOptions struct {
	Targets []TargetOptions `toml:"target"`
}

// Check returns the validation errors of all targets, joined.
func (o FleetOptions) Check() error {
	var errs []error
	seen := make(map[string]bool, len(o.Targets))
	for _, target := range o.Targets {
		errs = append(errs, target.WithDefaults().Check())
		if seen[target.Name] {
			errs = append(errs, errors.Newf("duplicate target %q", target.Name))
		}
		seen[target.Name] = true
	}
	return errors.Join(errs...)
}

// Replicate returns options for count copies of template, named
// SERVICE-DATACENTRE-N with N from 1. Ports and seeds count up from those of
// template; port 0 is kept.
func Replicate(template TargetOptions, count int) (FleetOptions, error) {
	base, err := netip.ParseAddrPort(template.Listen)
	if err != nil {
		return FleetOptions{}, errors.Wrap(err, "listen")
	}
	var fleet FleetOptions
	for i := range count {
		target := template
		target.Name = fmt.Sprintf("%s-%s-%d", template.Service, template.DataCentre, i+1)
		target.Seed = template.Seed + int64(i)
		if base.Port() != 0 {
			target.Listen = netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i)).String()
		}
		fleet.Targets = append(fleet.Targets, target)
	}
	return fleet, nil
}

// Fleet holds the targets of one process and their states in the host list.
type Fleet struct {
	targets []*Target

	mu         sync.Mutex
	hostStates map[string]platform.HostState
}

// NewFleet returns a fleet whose targets are not started.
func NewFleet(opts FleetOptions) (*Fleet, error) {
	if err := opts.Check(); err != nil {
		return nil, err
	}
	f := &Fleet{hostStates: make(map[string]platform.HostState)}
	for _, target := range opts.Targets {
		t, err := NewTarget(target)
		if err != nil {
			return nil, err
		}
		f.targets = append(f.targets, t)
		f.hostStates[t.opts.Name] = platform.HostLive
	}
	return f, nil
}

// SetRunSink makes all targets write their runs to sink, too. It must be called
// before Start.
func (f *Fleet) SetRunSink(sink *RunSink) {
	for _, t := range f.targets {
		t.runs.sink = sink
	}
}

// SetEventSink sends the events of all targets to sink. It must be called before Start.
func (f *Fleet) SetEventSink(sink EventSink) {
	for _, t := range f.targets {
		t.events = sink
	}
}

// Start starts every target.
func (f *Fleet) Start() error {
	var errs []error
	for _, t := range f.targets {
		errs = append(errs, t.Start())
	}
	return errors.Join(errs...)
}

// Stop crashes every target without a restart.
func (f *Fleet) Stop() {
	for _, t := range f.targets {
		t.opts.RestartMS = 0
		t.Crash()
	}
}

// Targets returns the targets in the order of the options.
func (f *Fleet) Targets() []*Target { return slices.Clone(f.targets) }

// Target returns the target with the given name, or nil.
func (f *Fleet) Target(name string) *Target {
	for _, t := range f.targets {
		if t.opts.Name == name {
			return t
		}
	}
	return nil
}

// Runs returns the recorded runs of all targets.
func (f *Fleet) Runs() []judge.Run {
	var runs []judge.Run
	for _, t := range f.targets {
		runs = append(runs, t.Runs()...)
	}
	return runs
}

// Hosts returns the host list entries of the targets.
func (f *Fleet) Hosts() []platform.TargetHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make([]platform.TargetHost, 0, len(f.targets))
	for _, t := range f.targets {
		hosts = append(hosts, platform.TargetHost{
			Name: t.opts.Name, Service: t.opts.Service, DataCentre: t.opts.DataCentre,
			Addr: t.Addr(), State: f.hostStates[t.opts.Name],
		})
	}
	return hosts
}

func (f *Fleet) setHostState(name string, state platform.HostState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostStates[name] = state
}

const (
	registerTimeout       = 2 * time.Second
	registerRetryInterval = 200 * time.Millisecond
)

// Register adds the targets to the host list of the platform stand-in at addr.
// It retries until it succeeds or ctx ends.
func (f *Fleet) Register(ctx context.Context, addr string) error {
	for {
		err := f.register(ctx, addr)
		if err == nil {
			return nil
		}
		if sleep(ctx, registerRetryInterval) != nil {
			return err
		}
	}
}

func (f *Fleet) register(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(HostChange{Hosts: f.Hosts()})
	if err != nil {
		return errors.Wrap(err, "encode host change")
	}
	return adminCall(ctx, http.MethodPut, "http://"+addr+"/v1/hosts", body)
}

func adminCall(ctx context.Context, method, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create admin request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call admin API")
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxAdminBytes))
	if resp.StatusCode/100 != 2 {
		return errors.Newf("%s %s: status %d: %s", method, url, resp.StatusCode, text)
	}
	return nil
}
