package placer

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

const (
	stopsInterval = 200 * time.Millisecond
	// stewardTurn is how much longer each next cell, in the order of their
	// names, leaves a stop to the cells before it. One cell at a time then
	// writes the stop's object, however many there are.
	stewardTurn = 500 * time.Millisecond
)

// stewardWait is a step of a stop that this cell could take.
type stewardWait struct {
	stop    string
	entries int // of the stop's history, so that each step waits anew
}

// stops returns the planned stops that have still to happen or to end.
func (p *Placer) stops() []maintenance.Stop {
	var stops []maintenance.Stop
	for name, o := range p.cache.View().Other {
		if !strings.HasPrefix(name, platform.StopsPrefix) {
			continue
		}
		var s maintenance.Stop
		if json.Unmarshal(o.Value, &s) == nil && s.Active() {
			stops = append(stops, s)
		}
	}
	return stops
}

// stoppingTargets returns the targets that a planned stop keeps from new work.
func (p *Placer) stoppingTargets() map[string]bool {
	stopping := make(map[string]bool)
	for _, s := range p.stops() {
		for _, d := range maintenance.Effects(s) {
			stopping[d.Name] = true
		}
	}
	return stopping
}

// serveStops begins planned stops whose time has come and reports what they
// have drained, where this host is the acting placer.
func (p *Placer) serveStops(ctx context.Context) error {
	return every(ctx, stopsInterval, func(ctx context.Context) {
		if !p.acting() || !p.watch.hearing() || !p.hostsKnown() {
			return
		}
		for _, s := range p.stops() {
			p.report("stop "+s.ID, p.advance(ctx, s))
		}
	})
}

func (p *Placer) advance(ctx context.Context, s maintenance.Stop) error {
	refresh := p.refresh()
	due := maintenance.IsDue(s, time.Now())
	if (due || p.changes(s, refresh)) && p.isSteward(s) {
		if due {
			return p.begin(ctx, s)
		}
		return p.send(ctx, s.ID, refresh.Meta, refresh)
	}
	drained := p.newlyDrained(s)
	if len(drained) == 0 {
		return nil
	}
	meta := p.meta("drained")
	return p.send(ctx, s.ID, meta, maintenance.Drained{Meta: meta, Targets: drained})
}

// isSteward reports whether it is this cell's turn to take the next step of a
// stop.
func (p *Placer) isSteward(s maintenance.Stop) bool {
	wait := stewardWait{stop: s.ID, entries: len(s.History)}
	since, waits := p.stewards[wait]
	if !waits {
		since = p.now()
		p.stewards[wait] = since
	}
	return p.now()-since >= time.Duration(p.cellRank())*stewardTurn
}

// cellRank returns how many cells come before this one in the order of names.
func (p *Placer) cellRank() int {
	rank := 0
	for name := range p.cache.View().Records {
		if name < p.cfg.Cell {
			rank++
		}
	}
	return rank
}

// refresh tells a stop of the configuration and host list as known here, by
// which a client that was added after the calls is called as well.
func (p *Placer) refresh() maintenance.Refresh {
	snap := maintenance.Snapshot{Config: p.cache.View().Config.Value}
	for _, h := range p.hosts.Load().targets {
		snap.Targets = append(snap.Targets, maintenance.Target{Name: h.Name, Service: h.Service, DataCentre: h.DataCentre})
	}
	return maintenance.Refresh{Meta: p.meta("refresh"), Snapshot: snap}
}

// changes reports whether an event changes a stop.
func (p *Placer) changes(s maintenance.Stop, e maintenance.Event) bool {
	next, err := maintenance.Apply(s, e, time.Now())
	return err == nil && maintenance.Changed(s, next)
}

// begin sends Begin or Confirm, with a configuration and host list read from
// the store for it. The configuration is no older than the stop: a client that
// was accepted before is seen.
func (p *Placer) begin(ctx context.Context, s maintenance.Stop) error {
	snap, err := p.snapshot(ctx, p.cache.Object(platform.StopsPrefix+s.ID).Version)
	if err != nil {
		return err
	}
	if s.State == maintenance.Draining {
		meta := p.meta("confirm")
		return p.send(ctx, s.ID, meta, maintenance.Confirm{Meta: meta, Snapshot: snap})
	}
	meta := p.meta("begin")
	return p.send(ctx, s.ID, meta, maintenance.Begin{Meta: meta, Snapshot: snap})
}

// snapshot returns the configuration as of a revision or later, with the host
// list as it shows now.
func (p *Placer) snapshot(ctx context.Context, revision uint64) (maintenance.Snapshot, error) {
	var snap maintenance.Snapshot
	cfg, _, err := readSince[template.Config](ctx, p, platform.ConfigObject, revision)
	if err != nil {
		return snap, err
	}
	snap.Config = cfg
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	hosts, err := p.store.Hosts(ctx)
	if err != nil {
		return snap, err
	}
	for _, h := range hosts {
		snap.Targets = append(snap.Targets, maintenance.Target{Name: h.Name, Service: h.Service, DataCentre: h.DataCentre})
	}
	return snap, nil
}

// meta names one event of this process; two of them never have the same ID.
func (p *Placer) meta(what string) maintenance.Meta {
	n := p.writes.Add(1)
	return maintenance.Meta{
		ID: fmt.Sprintf("%s-%s-%d-%d", what, p.cfg.Self.Host, p.cfg.Self.Run, n),
		By: p.cfg.Self.Host,
	}
}

// send applies an event to a stop by a conditional update. A stop that has gone
// on meanwhile refuses it, which is no fault.
func (p *Placer) send(ctx context.Context, id string, meta maintenance.Meta, e maintenance.Event) error {
	name := platform.StopsPrefix + id
	wrote := func(s maintenance.Stop, _ ownership.Stamp) bool {
		_, found := s.Find(meta.ID)
		return found
	}
	return update(ctx, p, name, wrote, func(s maintenance.Stop, _ ownership.Stamp) (maintenance.Stop, error) {
		next, err := maintenance.Apply(s, e, time.Now())
		var refused *maintenance.RefusedError
		if errors.As(err, &refused) || err == nil && !maintenance.Changed(s, next) {
			return s, errNoChange
		}
		if err == nil {
			p.log.Emit(evStopAdvanced, "stop", id, "state", string(next.State), "confirmed", next.Confirmed)
		}
		return next, err
	})
}

// newlyDrained returns the targets of this cell on which nothing runs any more,
// as their gateways say, and which own nothing.
func (p *Placer) newlyDrained(s maintenance.Stop) []string {
	var drained []string
	for _, d := range maintenance.Effects(s) {
		if d.Drained || d.DataCentre != p.cfg.DataCentre || p.ownsShards(d.Target) {
			continue
		}
		if p.sight.drained(d.Name, p.now(), p.longestRequest(d.Service)) {
			drained = append(drained, d.Name)
		}
	}
	return drained
}

// longestRequest returns how long a request of a service may run.
func (p *Placer) longestRequest(service string) time.Duration {
	templates := p.cache.View().Config.Value.Templates
	i := slices.IndexFunc(templates, func(t template.Template) bool { return t.Service == service })
	if i < 0 {
		return defaultDeadline + releaseSlack
	}
	return releaseLimit(templates[i])
}

func (p *Placer) ownsShards(t maintenance.Target) bool {
	page := p.cache.View().Pages[t.Service].Value
	owns := func(s ownership.Shard) bool {
		return s.Target == t.Name || s.Move != nil && s.Move.From.Target == t.Name
	}
	return slices.ContainsFunc(page.Shards, owns) || slices.ContainsFunc(page.Pins, owns)
}
