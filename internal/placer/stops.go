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
	// stopTurnDelay is how much longer each further cell, in the order of names, leaves a
	// step of a stop to the cells before it. However many cells there are, only one at a
	// time then writes the stop's object.
	stopTurnDelay = 500 * time.Millisecond
)

// stopStep identifies a step of a stop that this cell could take.
type stopStep struct {
	stop       string
	historyLen int // length of the stop's history, so that the delay starts again for each step
}

// activeStops returns the planned stops that have not ended yet.
func (p *Placer) activeStops() []maintenance.Stop {
	var active []maintenance.Stop
	for name, o := range p.cache.View().Other {
		if !strings.HasPrefix(name, platform.StopsPrefix) {
			continue
		}
		var s maintenance.Stop
		if json.Unmarshal(o.Value, &s) == nil && s.Active() {
			active = append(active, s)
		}
	}
	return active
}

// stoppingTargets returns the targets that receive no new work because of a planned
// stop.
func (p *Placer) stoppingTargets() map[string]bool {
	stopping := make(map[string]bool)
	for _, s := range p.activeStops() {
		for _, d := range maintenance.Effects(s) {
			stopping[d.Name] = true
		}
	}
	return stopping
}

// serveStops begins planned stops when they are due and reports targets that have
// drained, while this host is the acting placer.
func (p *Placer) serveStops(ctx context.Context) error {
	return runEvery(ctx, stopsInterval, func(ctx context.Context) {
		if !p.isActing() || !p.watch.isStoreReachable() || !p.isHostListUsable() {
			return
		}
		for _, s := range p.activeStops() {
			p.logUpdateError("stop "+s.ID, p.advanceStop(ctx, s))
		}
	})
}

func (p *Placer) advanceStop(ctx context.Context, s maintenance.Stop) error {
	refresh := p.newRefresh()
	due := maintenance.IsDue(s, time.Now())
	if (due || p.wouldChange(s, refresh)) && p.isOwnTurn(s) {
		if due {
			return p.beginOrConfirm(ctx, s)
		}
		return p.applyEvent(ctx, s.ID, refresh.Meta, refresh)
	}
	drained := p.newlyDrained(s)
	if len(drained) == 0 {
		return nil
	}
	meta := p.newMeta("drained")
	return p.applyEvent(ctx, s.ID, meta, maintenance.Drained{Meta: meta, Targets: drained})
}

// isOwnTurn reports whether it is this cell's turn to take the next step of a stop.
func (p *Placer) isOwnTurn(s maintenance.Stop) bool {
	step := stopStep{stop: s.ID, historyLen: len(s.History)}
	since, known := p.stopStepSince[step]
	if !known {
		since = p.now()
		p.stopStepSince[step] = since
	}
	return p.now()-since >= time.Duration(p.cellRank())*stopTurnDelay
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

// newRefresh returns an event with the cached configuration and host list. It adds a call
// to the stop for each affected client that was added after the announcement.
func (p *Placer) newRefresh() maintenance.Refresh {
	snap := maintenance.Snapshot{Config: p.cache.View().Config.Value}
	for _, h := range p.hosts.Load().targets {
		snap.Targets = append(snap.Targets, maintenance.Target{Name: h.Name, Service: h.Service, DataCentre: h.DataCentre})
	}
	return maintenance.Refresh{Meta: p.newMeta("refresh"), Snapshot: snap}
}

// wouldChange reports whether an event would change a stop.
func (p *Placer) wouldChange(s maintenance.Stop, e maintenance.Event) bool {
	next, err := maintenance.Apply(s, e, time.Now())
	return err == nil && maintenance.Changed(s, next)
}

// beginOrConfirm applies Begin or Confirm with a configuration and a host list that are
// read from the store for it. The configuration is at least as new as the stop, so that
// it contains every client that was accepted before.
func (p *Placer) beginOrConfirm(ctx context.Context, s maintenance.Stop) error {
	snap, err := p.readSnapshot(ctx, p.cache.Object(platform.StopsPrefix+s.ID).Version)
	if err != nil {
		return err
	}
	if s.State == maintenance.Draining {
		meta := p.newMeta("confirm")
		return p.applyEvent(ctx, s.ID, meta, maintenance.Confirm{Meta: meta, Snapshot: snap})
	}
	meta := p.newMeta("begin")
	return p.applyEvent(ctx, s.ID, meta, maintenance.Begin{Meta: meta, Snapshot: snap})
}

// readSnapshot returns the configuration as of the given revision or later, and the
// current host list.
func (p *Placer) readSnapshot(ctx context.Context, revision uint64) (maintenance.Snapshot, error) {
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

// newMeta returns the metadata of one event, with an ID that is unique to it.
func (p *Placer) newMeta(event string) maintenance.Meta {
	n := p.writeSeq.Add(1)
	return maintenance.Meta{
		ID: fmt.Sprintf("%s-%s-%d-%d", event, p.cfg.Self.Host, p.cfg.Self.Run, n),
		By: p.cfg.Self.Host,
	}
}

// applyEvent applies an event to a stop by a conditional update. A stop that has
// advanced in the meantime refuses the event, which is not an error.
func (p *Placer) applyEvent(ctx context.Context, id string, meta maintenance.Meta, e maintenance.Event) error {
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

// newlyDrained returns the targets of this cell that own no shards and on which nothing
// runs any more according to their gateways.
func (p *Placer) newlyDrained(s maintenance.Stop) []string {
	var drained []string
	for _, d := range maintenance.Effects(s) {
		if d.Drained || d.DataCentre != p.cfg.DataCentre || p.ownsShards(d.Target) {
			continue
		}
		if p.liveness.isDrained(d.Name, p.now(), p.maxRequestTime(d.Service)) {
			drained = append(drained, d.Name)
		}
	}
	return drained
}

// maxRequestTime returns how long a request of a service may run.
func (p *Placer) maxRequestTime(service string) time.Duration {
	templates := p.cache.View().Config.Value.Templates
	i := slices.IndexFunc(templates, func(t template.Template) bool { return t.Service == service })
	if i < 0 {
		return defaultDeadline + releaseGrace
	}
	return releaseTimeout(templates[i])
}

func (p *Placer) ownsShards(t maintenance.Target) bool {
	page := p.cache.View().Pages[t.Service].Value
	owns := func(s ownership.Shard) bool {
		return s.Target == t.Name || s.Move != nil && s.Move.From.Target == t.Name
	}
	return slices.ContainsFunc(page.Shards, owns) || slices.ContainsFunc(page.Pins, owns)
}
