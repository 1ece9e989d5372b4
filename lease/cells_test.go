package lease_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// twoCells simulates two cells of three hosts with immediate message delivery. Host xa
// is the gateway of targets x1 and x2, ya the gateway of y1.
type twoCells struct {
	now     time.Duration
	voters  map[string]*lease.Voter
	holders map[string]*lease.Holder
	down    map[string]bool
	page    ownership.Page
}

var (
	placeX1 = ownership.Place{Cell: "x", Target: "x1"}
	placeX2 = ownership.Place{Cell: "x", Target: "x2"}
	placeY1 = ownership.Place{Cell: "y", Target: "y1"}
)

const ms = time.Millisecond

func router(host string) lease.Incarnation { return lease.Incarnation{Host: host, Run: 1} }

func newTwoCells(t *testing.T) *twoCells {
	r := &twoCells{
		voters:  make(map[string]*lease.Voter),
		holders: make(map[string]*lease.Holder),
		down:    make(map[string]bool),
	}
	for _, cell := range []string{"x", "y"} {
		for _, host := range []string{"a", "b", "c"} {
			self := router(cell + host)
			r.voters[self.Host] = lease.NewVoter(lease.VoterConfig{Cell: cell, Self: self, Timing: lease.DefaultTiming})
			r.voters[self.Host].SetElectorate(0, electorate(cell))
			r.voters[self.Host].SetTargets(0, []string{cell + "1"})
			r.holders[self.Host] = lease.NewHolder(lease.HolderConfig{Cell: cell, Self: self, Timing: lease.DefaultTiming})
		}
	}
	page, err := ownership.NewPage(service, 1, []ownership.Place{placeX1}, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(time.Second)
	assert.Assert(t, r.serves("xa"))
	return r
}

func electorate(cell string) lease.Electorate {
	voters := []lease.Incarnation{router(cell + "a"), router(cell + "b"), router(cell + "c")}
	return lease.Electorate{Cell: cell, Record: 1, Voters: voters}
}

// setPage gives every holder a page.
func (r *twoCells) setPage(t *testing.T, page ownership.Page, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Equal(t, len(ownership.Check(page)), 0, "%v", ownership.Check(page))
	r.page = page
	var shards []lease.ShardClaim
	for n := range uint32(len(page.Shards) + len(page.Pins)) {
		s, _ := page.Shard(n)
		shards = append(shards, lease.ShardClaim{Ref: ref(n), Shard: s})
	}
	for host, h := range r.holders {
		h.SetElectorate(r.now, electorate("x"))
		h.SetElectorate(r.now, electorate("y"))
		h.SetTargets(r.now, targetClaims(host))
		h.SetShards(r.now, shards)
	}
}

func targetClaims(host string) []lease.TargetClaim {
	switch host[0] {
	case 'x':
		candidates := []lease.Incarnation{router("xa"), router("xb")}
		return []lease.TargetClaim{{Target: "x1", First: 1, Candidates: candidates}, {Target: "x2", First: 1, Candidates: candidates}}
	default:
		return []lease.TargetClaim{{Target: "y1", First: 1, Candidates: []lease.Incarnation{router("ya")}}}
	}
}

func (r *twoCells) deliver(from string, out []lease.Envelope) {
	for _, e := range out {
		to := e.To.Host
		if r.down[from] || r.down[to] {
			continue
		}
		switch e.Msg.(type) {
		case lease.VoteReply, lease.StopReply:
			r.deliver(to, r.holders[to].Step(r.now, router(from), e.Msg))
		default:
			r.deliver(to, r.voters[to].Step(r.now, router(from), e.Msg))
		}
	}
}

func (r *twoCells) advance(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += 10 * time.Millisecond {
		for _, host := range slices.Sorted(maps.Keys(r.holders)) {
			r.deliver(host, r.voters[host].Tick(r.now))
			r.deliver(host, r.holders[host].Tick(r.now))
		}
	}
}

func (r *twoCells) serves(host string) bool { return r.servesShard(host, 0) }

func (r *twoCells) servesShard(host string, shard uint32) bool {
	_, _, ok := r.holders[host].Serves(r.now, ref(shard))
	return ok
}

func (r *twoCells) setCellDown(cell string, down bool) {
	for _, host := range []string{"a", "b", "c"} {
		r.down[cell+host] = down
	}
}

func TestLostMoveBetweenCells(t *testing.T) {
	r := newTwoCells(t)
	page, err := ownership.BeginMove(r.page, 0, placeY1, ownership.MoveLost, nil, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(300 * time.Millisecond)
	assert.Assert(t, !r.serves("xa") && !r.serves("ya"))
	r.advance(300 * time.Millisecond)
	assert.Assert(t, !r.serves("xa") && r.serves("ya"), "%+v", r.holders["ya"].Shards(r.now))
}

func TestCutOffCellKeepsItsShards(t *testing.T) {
	r := newTwoCells(t)
	page, err := ownership.BeginMove(r.page, 0, placeY1, ownership.MoveLost, nil, ownership.Change{})
	r.setCellDown("x", true)
	r.setPage(t, page, err)
	r.advance(3 * time.Second)
	assert.Assert(t, !r.serves("ya"))
	status := r.holders["ya"].Shards(r.now)
	assert.Equal(t, status[0].WhyNot, "no majority yet stopped earlier owners in cells [x]")
}

func TestSupersededMoveStopsBothCells(t *testing.T) {
	r := newTwoCells(t)
	page, err := ownership.BeginMove(r.page, 0, placeY1, ownership.MoveLost, nil, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(time.Second)
	assert.Assert(t, r.serves("ya"))
	r.setCellDown("y", true)
	page, err = ownership.BeginMove(r.page, 0, placeX2, ownership.MoveLost, nil, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(2 * time.Second)
	assert.Assert(t, !r.serves("xa"), "the shard's owner in the other cell was never stopped")
	r.setCellDown("y", false)
	r.advance(time.Second)
	assert.Assert(t, r.serves("xa") && !r.serves("ya"))
}

func TestPlannedMoveWaitsForRelease(t *testing.T) {
	r := newTwoCells(t)
	page, err := ownership.BeginMove(r.page, 0, placeY1, ownership.MovePlanned, nil, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(2 * time.Second)
	assert.Assert(t, !r.serves("xa") && !r.serves("ya"))
	assert.Equal(t, len(r.holders["xa"].Leaving()), 1)
	assert.NilError(t, r.holders["xa"].Release(r.now, ref(0), 1, 0))
	r.advance(150 * time.Millisecond)
	assert.Assert(t, r.serves("ya"), "%+v", r.holders["ya"].Shards(r.now))
	assert.Equal(t, len(r.holders["xa"].Leaving()), 0)
}

func TestForcedMoveNeedsNoRelease(t *testing.T) {
	r := newTwoCells(t)
	page, err := ownership.BeginMove(r.page, 0, placeY1, ownership.MovePlanned, nil, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(time.Second)
	page, err = ownership.ForceMove(r.page, 0, 2, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(time.Second)
	assert.Assert(t, r.serves("ya"))
	assert.Assert(t, r.holders["xa"].Release(r.now, ref(0), 1, 0) != nil)
}

func TestReleaseNeedsUnbrokenRight(t *testing.T) {
	r := newTwoCells(t)
	r.down["xa"] = true
	r.advance(2 * time.Second)
	assert.Assert(t, r.serves("xb"))
	r.down["xa"] = false
	page, err := ownership.BeginMove(r.page, 0, placeY1, ownership.MovePlanned, nil, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(time.Second)
	assert.ErrorIs(t, r.holders["xa"].Release(r.now, ref(0), 1, 0), lease.ErrNotServed)
	assert.NilError(t, r.holders["xb"].Release(r.now, ref(0), 1, 0))
}

func TestPinnedKeyHasOneOwner(t *testing.T) {
	r := newTwoCells(t)
	page, err := ownership.Pin(r.page, "hot", placeY1, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(time.Second)
	assert.Assert(t, !r.servesShard("xa", 0) && !r.servesShard("ya", 1), "the old shard is not released yet")
	assert.NilError(t, r.holders["xa"].Release(r.now, ref(0), 1, 0))
	r.advance(300 * time.Millisecond)
	assert.Assert(t, r.servesShard("xa", 0) && r.servesShard("ya", 1))

	page, err = ownership.CompleteMove(r.page, 0, 2, ownership.Change{})
	assert.NilError(t, err)
	page, err = ownership.CompleteMove(page, 1, 1, ownership.Change{})
	r.setPage(t, page, err)
	page, err = ownership.Unpin(r.page, "hot", ownership.Change{})
	r.setPage(t, page, err)
	r.advance(time.Second)
	assert.Assert(t, !r.servesShard("xa", 0) && !r.servesShard("ya", 1))
	assert.NilError(t, r.holders["xa"].Release(r.now, ref(0), 2, 0))
	r.advance(time.Second)
	assert.Assert(t, !r.servesShard("xa", 0), "the pin was not released")
	assert.NilError(t, r.holders["ya"].Release(r.now, ref(1), 1, 0))
	r.advance(300 * time.Millisecond)
	assert.Assert(t, r.servesShard("xa", 0) && !r.servesShard("ya", 1))
}

// A restarted holder numbers its requests from one again, so replies to its earlier run
// carry valid sequence numbers. It must not count them.
func TestRepliesToEarlierRunAreIgnored(t *testing.T) {
	before, self := lease.Incarnation{Host: "xa", Run: 1}, lease.Incarnation{Host: "xa", Run: 2}
	h := lease.NewHolder(lease.HolderConfig{Cell: "x", Self: self, Timing: lease.DefaultTiming})
	h.SetElectorate(0, electorate("x"))
	h.SetTargets(0, []lease.TargetClaim{{Target: "x1", First: 2, Candidates: []lease.Incarnation{self}}})
	for _, e := range h.Tick(0) {
		switch m := e.Msg.(type) {
		case lease.StopRequest:
			h.Step(0, e.To, lease.StopReply{Cell: "x", Record: 1, Voter: e.To, Holder: before, Seq: m.Seq, Done: true})
		case lease.VoteRequest:
			h.Step(0, e.To, lease.VoteReply{Cell: "x", Record: 1, Voter: e.To, Holder: before, Seq: m.Seq, Granted: m.Claims, StopsSeq: 9})
		}
	}
	assert.Equal(t, h.Targets(0)[0].Phase, lease.PhaseStopping)
	for _, e := range h.Tick(lease.DefaultTiming.Heartbeat) {
		if m, ok := e.Msg.(lease.VoteRequest); ok {
			assert.Equal(t, m.StopsSeen, uint64(0))
		}
	}
}

// The cell that takes over serves at once: it neither asks the voters of the cut-off
// cell nor waits for its lease.
func TestTakenShardNeedsNoStops(t *testing.T) {
	r := newTwoCells(t)
	r.setCellDown("x", true)
	r.advance(time.Second)
	page, err := ownership.BeginFencedMove(r.page, 0, placeY1, ownership.Change{})
	r.setPage(t, page, err)
	r.advance(150 * time.Millisecond)
	assert.Assert(t, r.serves("ya"), "%+v", r.holders["ya"].Shards(r.now))

	page, err = ownership.CompleteMove(page, 0, 2, ownership.Change{})
	assert.NilError(t, err)
	page, err = ownership.BeginMove(page, 0, placeY1, ownership.MoveLost, nil, ownership.Change{})
	r.setPage(t, page, err)
	assert.Equal(t, len(page.Shards[0].Move.Fenced), 0, "a completed move leaves no fence")
}

// A lost move that supersedes an unfinished takeover keeps the fence, unless the fenced
// cell itself is the preceding owner.
func TestFenceOutlivesSupersededMove(t *testing.T) {
	page, err := ownership.NewPage(service, 1, []ownership.Place{placeX1}, ownership.Change{})
	assert.NilError(t, err)
	page, err = ownership.BeginFencedMove(page, 0, placeY1, ownership.Change{})
	assert.NilError(t, err)
	page, err = ownership.BeginMove(page, 0, placeX2, ownership.MoveLost, nil, ownership.Change{})
	assert.NilError(t, err)
	assert.DeepEqual(t, page.Shards[0].Move.Fenced, []string{"x"})
	page, err = ownership.BeginMove(page, 0, placeY1, ownership.MoveLost, nil, ownership.Change{})
	assert.NilError(t, err)
	assert.Equal(t, len(page.Shards[0].Move.Fenced), 0)
	assert.Equal(t, len(ownership.Check(page)), 0)
}
