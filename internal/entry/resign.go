package entry

import (
	"context"

	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/ownership/grants"
)

// shouldYield reports whether the coordinator's role should be given to a faster
// host.
func (c *candidate) shouldYield() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := leaseClock()
	return c.term != nil && now > c.termStart+minTermTime && now > c.keepRoleUntil &&
		c.hosts.Cores > fasterHostRatio*c.node.settings.Load().Cores
}

// resign ends the term once all orders it sent are settled, and gives up the
// lease. The record tells the next coordinator until when this term's grants
// count.
func (c *candidate) resign(ctx context.Context, reason string) {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		return
	}
	floor := t.quiesce()
	c.updateTerm(ctx, false)
	w, ok := c.resignationWrite(ctx, floor)
	ok = ok && c.writeRecord(ctx, w)
	c.node.log.Emit(evResigned, "reason", reason, "written", ok, "end_ms", w.Record.EndMs, "unclear_ms", w.Record.UnclearMs)
}

// resignationWrite returns the write that gives up the lease, once no renewal is
// in flight. ok is false when the lease ended before.
func (c *candidate) resignationWrite(ctx context.Context, floor grants.Floor) (w coordinator.Write, ok bool) {
	for {
		c.mu.Lock()
		c.observeEra()
		now := leaseClock()
		w, ok = c.election.Resign(now, floor.End-now, floor.UnansweredEnd-now)
		held := c.election.Holds(now)
		c.keepRoleUntil = now + keepRoleTime
		c.mu.Unlock()
		if ok || !held || !sleep(ctx, inFlightCheckInterval) {
			return w, ok
		}
	}
}
