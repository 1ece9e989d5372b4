package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

const katalog = "katalog"

var (
	placeA = ownership.Place{Cell: "kl", Target: "a"}
	placeB = ownership.Place{Cell: "kl", Target: "b"}
)

// newTestPage returns a page with the given number of shards, owned by target a and
// changed now.
func newTestPage(t *testing.T, shards uint32) ownership.Page {
	t.Helper()
	page, err := ownership.NewPage(katalog, shards, []ownership.Place{placeA}, newAgedChange(0))
	assert.NilError(t, err)
	return page
}

func newAgedChange(age time.Duration) ownership.Change {
	return ownership.Change{NowMS: time.Now().Add(-age).UnixMilli()}
}

func withMove(t *testing.T, page ownership.Page, to ownership.Place, kind ownership.MoveKind, age time.Duration) ownership.Page {
	t.Helper()
	page, err := ownership.BeginMove(page, 0, to, kind, nil, newAgedChange(age))
	assert.NilError(t, err)
	return page
}

// receiveVoteRequest passes a gateway's vote request to the placer now.
func receiveVoteRequest(p *Placer, seq uint64, m lease.VoteRequest) {
	m.Cell, m.Seq = "kl", seq
	m.Holder = lease.Incarnation{Host: "kl-1", Run: 9}
	p.voting.step(m.Holder, m)
	p.liveness.observeClaims(p.now(), p.cfg.Timing.Suspicion, p.voting.holders())
}

func newShardEpochs(n uint32, epoch ownership.Epoch) []lease.ShardEpoch {
	return []lease.ShardEpoch{{Shard: ownership.ShardRef{Service: katalog, Shard: n}, Epoch: epoch}}
}

func newClaims(target string, alive, drained bool) []lease.Claim {
	return []lease.Claim{{Target: target, Epoch: 1, Alive: alive, Drained: drained}}
}

func TestForceMoves(t *testing.T) {
	other := ownership.Place{Cell: "jb", Target: "z"}
	cases := []struct {
		name     string
		to       ownership.Place
		kind     ownership.MoveKind
		age      time.Duration
		requests []lease.VoteRequest
		forced   bool
	}{
		{"within the time limit", placeB, ownership.MovePlanned, 0, nil, false},
		{"past the time limit", placeB, ownership.MovePlanned, time.Minute, nil, true},
		{"owner already lost", placeB, ownership.MoveLost, time.Minute, nil, false},
		{"into another cell, past the time limit", other, ownership.MovePlanned, time.Minute, nil, true},
		{"epoch cannot be released", placeB, ownership.MovePlanned, 0, []lease.VoteRequest{{Unreleased: newShardEpochs(0, 1)}}, true},
		{"another epoch cannot be released", placeB, ownership.MovePlanned, 0, []lease.VoteRequest{{Unreleased: newShardEpochs(0, 7)}}, false},
		{"old owner lost", placeB, ownership.MovePlanned, 0, []lease.VoteRequest{
			{Claims: newClaims("a", true, false)}, {Claims: newClaims("a", false, false)},
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, store := newTestPlacer(answerLost)
			page := withMove(t, newTestPage(t, 2), c.to, c.kind, c.age)
			store.set(t, pageName(katalog), page)
			for i, m := range c.requests {
				receiveVoteRequest(p, uint64(i+1), m)
			}
			assert.NilError(t, p.forceMoves(t.Context(), template.Template{}, page))
			assert.Equal(t, store.puts > 0, c.forced)
			after := stored[ownership.Page](t, store, pageName(katalog))
			if c.forced {
				assert.Equal(t, after.Shards[0].Move.Kind, ownership.MoveLost)
				assert.Equal(t, store.puts, 1, "the update is recognised although its answer was lost")
			}
			assert.Equal(t, len(ownership.CheckStep(page, after)), 0)
		})
	}
}

// TestPinIsForcedWithItsShard: a pin waits for the release of its key's old shard and for
// no release of its own.
func TestPinIsForcedWithItsShard(t *testing.T) {
	p, _ := newTestPlacer()
	page, err := ownership.Pin(newTestPage(t, 1), "hot", placeB, ownership.Change{NowMS: time.Now().UnixMilli()})
	assert.NilError(t, err)
	assert.Equal(t, len(p.stuckMoves(page, time.Minute)), 0)
	receiveVoteRequest(p, 1, lease.VoteRequest{Unreleased: newShardEpochs(0, 7)})
	assert.Equal(t, len(p.stuckMoves(page, time.Minute)), 0, "another epoch cannot be released")
	receiveVoteRequest(p, 2, lease.VoteRequest{Unreleased: newShardEpochs(0, 1)})
	assert.DeepEqual(t, p.stuckMoves(page, time.Minute), []uint32{0, 1})
}

// TestMovesBetweenOtherCellsAreNotForced: a move between two other cells is forced by
// those cells.
func TestMovesBetweenOtherCellsAreNotForced(t *testing.T) {
	p, _ := newTestPlacer()
	page := withMove(t, newTestPage(t, 1), placeB, ownership.MovePlanned, time.Minute)
	p.cfg.Cell = "jb"
	assert.Equal(t, len(p.stuckMoves(page, time.Second)), 0)
}

// TestRenewStoppedEpochs: a shard gets a higher epoch only after its gateway has reported
// for stoppedEpochTimeout that the present one is stopped.
func TestRenewStoppedEpochs(t *testing.T) {
	p, store := newTestPlacer(requestLost)
	page := newTestPage(t, 2)
	store.set(t, pageName(katalog), page)
	renew := func(seq uint64, stopped []lease.ShardEpoch) ownership.Shard {
		receiveVoteRequest(p, seq, lease.VoteRequest{Stopped: stopped})
		assert.NilError(t, p.renewStoppedEpochs(t.Context(), page))
		return stored[ownership.Page](t, store, pageName(katalog)).Shards[1]
	}
	assert.Equal(t, renew(1, newShardEpochs(1, 1)).Epoch, ownership.Epoch(1), "just reported")
	p.start = p.start.Add(-2 * stoppedEpochTimeout)
	assert.Equal(t, renew(2, nil).Epoch, ownership.Epoch(1), "no longer reported")
	assert.Equal(t, renew(3, newShardEpochs(1, 1)).Epoch, ownership.Epoch(1), "reported again")
	p.start = p.start.Add(-2 * stoppedEpochTimeout)
	after := renew(4, newShardEpochs(1, 1))
	assert.Equal(t, after.Epoch, ownership.Epoch(2))
	assert.Equal(t, after.Place(), placeA)
	assert.Equal(t, store.puts, 2, "the lost request is repeated once")
	assert.Equal(t, renew(5, newShardEpochs(1, 1)).Epoch, ownership.Epoch(2), "the report is about the previous epoch")
}

// TestRenewEpochs: the epochs of this cell that a floor stops are agreed anew above it.
// Epochs that have risen since the floor was read stay unchanged.
func TestRenewEpochs(t *testing.T) {
	p, store := newTestPlacer(answerLost, answerLost)
	page := newTestPage(t, 3)
	page.Shards[1].Cell = "jb"
	router := []lease.Incarnation{{Host: "kl-1", Run: 9}}
	record := membership.Record{Cell: "kl", Number: 1, Gateways: []membership.Gateway{
		{Target: "a", First: 1, Candidates: router},
		{Target: "b", First: 1, Candidates: router},
		{Target: "none", First: 1},
	}}
	floor := membership.FloorStops(record, []ownership.Page{page})
	record.Gateways[1].First = 4
	page.Shards[2].Epoch = 9
	store.set(t, p.recordName(), record)
	store.set(t, pageName(katalog), page)

	assert.NilError(t, p.renewEpochs(t.Context(), floor, []ownership.Page{page}))
	gateways := stored[membership.Record](t, store, p.recordName()).Gateways
	assert.DeepEqual(t, []lease.GatewayEpoch{gateways[0].First, gateways[1].First, gateways[2].First}, []lease.GatewayEpoch{2, 4, 1})
	after := stored[ownership.Page](t, store, pageName(katalog))
	assert.DeepEqual(t, []ownership.Epoch{after.Shards[0].Epoch, after.Shards[1].Epoch, after.Shards[2].Epoch}, []ownership.Epoch{2, 1, 9})
	assert.Equal(t, store.puts, 2)
}

// TestFloorIsNotSetBeforeEpochsAreRenewed: a voter without its stops does not answer while
// the store has not accepted the higher epochs.
func TestFloorIsNotSetBeforeEpochsAreRenewed(t *testing.T) {
	p, store := newTestPlacer(storeGoesDown)
	before := membership.Host{Name: "kl-1", PlacerRun: 4}
	record := membership.Record{
		Cell: "kl", Number: 2, Hosts: []membership.Host{p.selfHost()}, Old: []membership.Host{before},
		Gateways: []membership.Gateway{{Target: "a", First: 1, Candidates: []lease.Incarnation{{Host: "kl-1", Run: 9}}}},
	}
	store.set(t, p.recordName(), record)
	p.voting.setRecord(record)
	p.voting.tick()
	p.start = p.start.Add(-time.Second)
	assert.Assert(t, p.voting.needsFloor())
	p.recoverLostStops(t.Context(), record)
	assert.Assert(t, !p.voting.isReady())

	store.down = false
	p.recoverLostStops(t.Context(), record)
	assert.Assert(t, p.voting.isReady())
	assert.Equal(t, stored[membership.Record](t, store, platform.CellPrefix+"kl").Gateways[0].First, lease.GatewayEpoch(2))
	assert.Equal(t, p.voting.gatewayStop("a"), lease.GatewayEpoch(1))
}

// TestMoveFromSilentGatewayIsForced: waiting would double the time, as the successor of
// the silent gateway would first have to take over before it could report that it cannot
// release the shard.
func TestMoveFromSilentGatewayIsForced(t *testing.T) {
	p, _ := newTestPlacer()
	page := withMove(t, newTestPage(t, 1), placeB, ownership.MovePlanned, 0)
	from := page.Shards[0].Move.From.Target
	p.voting.voter.SetTargets(p.now(), []string{from})
	assert.Equal(t, len(p.stuckMoves(page, time.Minute)), 0)
	p.start = p.start.Add(-2 * lease.DefaultTiming.Suspicion)
	assert.Equal(t, len(p.stuckMoves(page, time.Minute)), 1)
}

// TestMoveFromReplacedGatewayIsForced: the successor claims the target, so that its
// gateway is no longer silent, but needs a while until it can report on its shards.
func TestMoveFromReplacedGatewayIsForced(t *testing.T) {
	for _, c := range []struct {
		epoch  lease.GatewayEpoch
		forced int
	}{{1, 0}, {2, 1}} {
		p, _ := newTestPlacer()
		receiveVoteRequest(p, 1, lease.VoteRequest{Claims: []lease.Claim{{Target: "a", Epoch: 1, Alive: true}}})
		p.start = p.start.Add(-2 * time.Second)
		page := withMove(t, newTestPage(t, 1), placeB, ownership.MovePlanned, time.Second)
		receiveVoteRequest(p, 2, lease.VoteRequest{Claims: []lease.Claim{{Target: "a", Epoch: c.epoch, Alive: true}}})
		assert.Equal(t, len(p.stuckMoves(page, time.Minute)), c.forced, "epoch %d", c.epoch)
	}
}
