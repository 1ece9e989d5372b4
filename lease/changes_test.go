package lease_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// holderView holds the results that a router reads from its holder after each change.
type holderView struct {
	changes     uint64
	lines       []lease.Line
	claimed     []string
	leaving     []lease.Leaving
	unreachable []string
}

func viewOf(h *lease.Holder, now time.Duration) holderView {
	return holderView{
		changes:     h.Changes(),
		lines:       h.Lines(now),
		claimed:     h.Claimed(),
		leaving:     h.Leaving(),
		unreachable: h.ReportedUnreachable(),
	}
}

// equal reports whether both views have the same results.
func (o holderView) equal(p holderView) bool {
	return slices.Equal(o.lines, p.lines) && slices.Equal(o.claimed, p.claimed) &&
		slices.Equal(o.leaving, p.leaving) && slices.Equal(o.unreachable, p.unreachable)
}

// tickHolder ticks a holder and checks that nothing was due before NextTick.
func (w *model) tickHolder(h *host, p *process, now time.Duration) {
	due := p.holder.NextTick(now)
	out := p.holder.Tick(now)
	busy := due <= now+lease.DefaultTiming.Heartbeat/5
	if !busy && len(out) > 0 {
		w.fail("%v sends %+v before NextTick %v", p.inc, out, due)
	}
	w.checkReports(p, now, out)
	w.post(h, p, out)
	w.checkChanges(p, now)
}

// checkReports checks that vote requests carry the holder's current lists.
func (w *model) checkReports(p *process, now time.Duration, out []lease.Envelope) {
	serving, stopped, unreleased := p.holder.FreshReports(now)
	for _, e := range out {
		m, ok := e.Msg.(lease.VoteRequest)
		if !ok {
			continue
		}
		if !slices.Equal(m.Serving, serving) || !slices.Equal(m.Stopped, stopped) || !slices.Equal(m.Unreleased, unreleased) {
			w.fail("%v reports %+v, but its lists are serving %v, stopped %v and unreleased %v", p.inc, m, serving, stopped, unreleased)
		}
	}
}

// checkChanges checks that a holder that was just ticked has counted each change of
// what it serves.
func (w *model) checkChanges(p *process, now time.Duration) {
	next := viewOf(p.holder, now)
	if next.changes == p.view.changes && !next.equal(p.view) {
		w.fail("%v did not raise Changes although its view changed from %+v to %+v", p.inc, p.view, next)
	}
	p.view = next
	lines := 0
	for _, target := range next.claimed {
		lines += len(p.holder.LinesOf(now, target))
	}
	if lines != len(next.lines) {
		w.fail("%v has lines %v, but LinesOf returns %d in all", p.inc, next.lines, lines)
	}
}

// TestIdleHolderReportsNoChange checks that heartbeats alone do not raise Changes, so
// that nothing waiting for changes wakes up.
func TestIdleHolderReportsNoChange(t *testing.T) {
	holder, round := newBusyCell(4, 16)
	before := holder.Changes()
	for now := time.Second; now < 3*time.Second; now += 10 * ms {
		round(now)
	}
	assert.Equal(t, holder.Changes(), before)
	assert.Equal(t, len(holder.Lines(3*time.Second)), 16)
	assert.Equal(t, len(holder.LinesOf(3*time.Second, "t1")), 4)
}

// TestIdleHolderTicksAtHeartbeat checks that nothing but the heartbeat is due while
// everything is served.
func TestIdleHolderTicksAtHeartbeat(t *testing.T) {
	holder, round := newBusyCell(4, 16)
	now := time.Second
	for range 10 {
		now = holder.NextTick(now)
		round(now)
		assert.Equal(t, holder.NextTick(now), now+lease.DefaultTiming.Heartbeat)
	}
	holder.SetStoreDown(true)
	assert.Equal(t, holder.NextTick(now), now+lease.DefaultTiming.Heartbeat/5)
}

// TestSettledVoterTicksAtHeartbeat checks that only a voter that is still joining
// repeats its requests to its peers.
func TestSettledVoterTicksAtHeartbeat(t *testing.T) {
	v := lease.NewVoter(lease.VoterConfig{Cell: "x", Self: router("a"), Timing: lease.DefaultTiming})
	heartbeat := lease.DefaultTiming.Heartbeat
	assert.Equal(t, v.NextTick(0), heartbeat/5)
	v.SetElectorate(0, lease.Electorate{Cell: "x", Record: 1, Voters: []lease.Incarnation{router("a")}})
	assert.Equal(t, v.NextTick(0), heartbeat)
}
