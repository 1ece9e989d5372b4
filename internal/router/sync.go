package router

import (
	"context"
	"slices"
	"time"

	"github.com/mangopost/mangopost/internal/syncer"
)

const (
	syncRetryDelay = 100 * time.Millisecond
	// initialOwnTries is how often this host's placer is tried at startup before any
	// other.
	initialOwnTries = 2
	// storeDownDelay is how long placers may report the store as unreachable before
	// shards go to the owners that are agreed for that case.
	storeDownDelay = time.Second
)

// serveSync subscribes to this host's placer, or to another one while that fails.
func (r *Router) serveSync(ctx context.Context) error {
	client := &syncer.Client{
		Cache:  r.cache,
		Dialer: r.dialer,
		Router: &syncer.Router{Run: r.cfg.Self, Addr: r.cfg.advertised()},
		OnBeat: r.storeBeatHandler(),
	}
	own := true
	for tries := 0; ctx.Err() == nil; tries++ {
		addr := r.placerAddr(own, tries)
		err := client.Subscribe(ctx, addr)
		if ctx.Err() == nil {
			r.log.Emit(evSyncLost, "placer", addr, "error", err.Error())
		}
		own = r.shouldTryOwnPlacer(own, tries)
		sleep(ctx, syncRetryDelay)
	}
	return nil
}

// shouldTryOwnPlacer reports whether to try this host's placer next. It alternates, as
// each try of a paused placer takes long. At startup, when both processes are starting,
// this host's placer is tried a few times first.
func (r *Router) shouldTryOwnPlacer(own bool, tries int) bool {
	if r.table.Load().configVersion == 0 && tries < initialOwnTries {
		return true
	}
	return !own
}

// placerAddr returns the address of this host's placer, or of another one, cycling
// through the configured placers and those of the cell.
func (r *Router) placerAddr(own bool, tries int) string {
	others := r.otherPlacers()
	if own || len(others) == 0 {
		return r.cfg.Placers[0]
	}
	return others[(tries/2)%len(others)]
}

func (r *Router) otherPlacers() []string {
	addrs := slices.Clone(r.cfg.Placers)
	for _, record := range r.table.Load().records {
		if record.Cell != r.cfg.Cell {
			continue
		}
		for _, h := range record.Hosts {
			addrs = append(addrs, h.PlacerAddr)
		}
	}
	own := r.cfg.Placers[0]
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == own })
}

// storeBeatHandler returns the function that records whether the placers reach the
// store.
func (r *Router) storeBeatHandler() func(age time.Duration, reachable bool) {
	lastReachable := r.now()
	return func(_ time.Duration, reachable bool) {
		if reachable {
			lastReachable = r.now()
		}
		r.leases.setStoreDown(r.now()-lastReachable > storeDownDelay)
	}
}

// serveTable compiles and applies the routing table at each change of the objects.
func (r *Router) serveTable(ctx context.Context) error {
	for {
		changed := r.cache.Changed()
		v := r.cache.View()
		t := compileTable(v)
		r.table.Store(t)
		r.leases.update(t)
		r.gateway.update(ctx, t)
		r.quarantine.apply(v)
		r.log.Emit(evTableApplied, "config_version", t.configVersion, "targets", len(t.targets), "cells", len(t.records))
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// weight returns a client's weight in fair queueing, 1 if the client is unknown.
func (r *Router) weight(client string) int {
	if c, ok := r.table.Load().config.Client(client); ok {
		return c.Weight
	}
	return 1
}
