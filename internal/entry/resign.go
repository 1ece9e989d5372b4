package entry

import (
	"context"

	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/ownership/grants"
)

// hasFaster reports whether the role is to be given to a faster host.
func (c *candidate) hasFaster() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := leaseClock()
	return c.term != nil && now > c.termBegan+settleTerm && now > c.keepsUntil &&
		c.hosts.Cores > fasterHost*c.n.settings.Load().Cores
}

// resign gives the role up, once what this host has sent is settled, and tells the
// next coordinator until when it counts.
func (c *candidate) resign(ctx context.Context, why string) {
	c.mu.Lock()
	t := c.term
	c.mu.Unlock()
	if t == nil {
		return
	}
	floor := t.quiesce()
	c.setTerm(ctx, false)
	w, ok := c.resignation(ctx, floor)
	ok = ok && c.write(ctx, w)
	c.n.log.Emit(evResigned, "reason", why, "written", ok, "end_ms", w.Record.EndMs, "unclear_ms", w.Record.UnclearMs)
}

// resignation returns the write that gives the role up, when no renewal is under
// way. ok is false when the lease has ended before.
func (c *candidate) resignation(ctx context.Context, floor grants.Floor) (w coordinator.Write, ok bool) {
	for {
		c.mu.Lock()
		now := leaseClock()
		w, ok = c.election.Resign(now, floor.End-now, floor.Unclear-now)
		held := c.election.Holds(now)
		c.keepsUntil = now + keepRole
		c.mu.Unlock()
		if ok || !held || !sleep(ctx, underWayCheck) {
			return w, ok
		}
	}
}
