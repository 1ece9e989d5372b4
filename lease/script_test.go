package lease_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

// script is a sequence of events written for one rule: without the rule it ends with
// two owners or two gateways.
type script struct {
	name           string
	faults         lease.Faults
	assumesSuccess bool
	spares         []string
	play           func(t *testing.T, w *model)
}

var scripts = []script{
	{name: "the wait counts from the store's update", faults: lease.WaitFromStart, play: playLateMajority},
	{name: "a restarted voter votes after one lease", faults: lease.JoinAfterLease, play: playRestartedVoterLosesStop},
	{name: "a restarted voter votes at once", faults: lease.JoinWithoutWait, play: playRestartedVoterLosesStop},
	{name: "votes under an old record count", faults: lease.AnswerOldRecord, spares: []string{"d", "e"}, play: playOldMajority},
	{name: "a move does not stop the agreed next epoch", faults: lease.SkipNext, play: playUnknownNext},
	{name: "votes requested before the end of the wait count", faults: lease.StaleActivation, play: playRenewedDuringWait},
	{name: "a pinned key's owner does not stop the key's old shard", faults: lease.SkipPinned, play: playPinnedKey},
	{name: "a grant counts from its receipt", faults: lease.GrantFromReceipt, play: playFrozenTarget},
	{name: "a grant outlives its gateway's votes", faults: lease.GrantOutlivesVote, play: playCutOffTarget},
	{name: "a lost answer is taken as success", faults: lease.NoFault, assumesSuccess: true, play: playLostAnswer},
}

// TestScripts runs each script with and without its rule.
func TestScripts(t *testing.T) {
	for _, s := range scripts {
		t.Run(s.name, func(t *testing.T) {
			w := s.run(t, lease.NoFault, false)
			assert.Equal(t, w.violation, "")
			w = s.run(t, s.faults, s.assumesSuccess)
			assert.Assert(t, w.violation != "", "the script does not detect the disabled rule")
			t.Log("caught:", w.violation)
		})
	}
}

func (s script) run(t *testing.T, faults lease.Faults, assumesSuccess bool) *model {
	w := newModel(1, faults, s.spares...)
	w.assumesSuccess = assumesSuccess
	w.noFailures = true
	w.scripted = true
	w.advance(time.Second)
	s.play(t, w)
	return w
}

// advance lets time pass until a deadline or until a condition holds.
func (w *model) advance(d time.Duration, until ...func() bool) bool {
	for end := w.now + d; w.now < end; {
		w.step()
		for _, met := range until {
			if met() {
				return true
			}
		}
	}
	return false
}

func (w *model) host(name string) *host {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })]
}

func (w *model) putRecordOrFail(t *testing.T, r membership.Record, err error) {
	t.Helper()
	assert.NilError(t, err)
	w.store.record = r
}

// playLateMajority: the new owner's gateway reaches a majority only half a second after
// the update, just after the old gateway last did.
func playLateMajority(t *testing.T, w *model) {
	a, b := w.host("a"), w.host("b")
	r, err := membership.RenewGateway(w.store.record, checkingTarget, []lease.Incarnation{a.router.inc}, w.stamp(a))
	w.putRecordOrFail(t, r, err)
	w.advance(time.Second)
	b.isLagging = true
	w.isolate(a)
	page, err := ownership.BeginMove(w.store.page, 1, ownership.Place{Cell: cell, Target: checkingTarget}, ownership.MoveLost, nil, w.change(a))
	assert.NilError(t, err)
	w.store.page = page
	w.advance(600 * time.Millisecond)
	clear(w.cutLinks)
	w.isolate(b)
	w.advance(time.Second)
}

// playRestartedVoterLosesStop: a voter that stopped a gateway is restarted, the other
// one is cut off, and the stopped gateway resumes.
func playRestartedVoterLosesStop(t *testing.T, w *model) {
	b, c := w.host("b"), w.host("c")
	w.pause(b.router)
	w.pause(b.placer)
	w.cutLink(b, "c")
	served := w.advance(2*time.Second, func() bool { return w.lastRun[plainTarget].sender.Host == "c" })
	assert.Assert(t, served, "no takeover")
	w.isolate(c)
	w.cutLink(c, checkingTarget)
	w.pause(c.router)
	a := w.host("a")
	w.restartPlacer(a)
	r, err := membership.Join(w.store.record, membership.Host{Name: "a", PlacerRun: a.placer.inc.Run, RouterRun: 1}, w.stamp(a))
	w.putRecordOrFail(t, r, err)
	w.resume(b.placer)
	w.resume(b.router)
	w.advance(2 * time.Second)
}

// playOldMajority: the cell's hosts are replaced one by one while a gateway still has
// only the first record.
func playOldMajority(t *testing.T, w *model) {
	b := w.host("b")
	b.isLagging = true
	for _, name := range []string{"d", "e"} {
		r, err := membership.Join(w.store.record, membership.Host{Name: name, PlacerRun: 1, RouterRun: 1}, w.stamp(b))
		w.putRecordOrFail(t, r, err)
		w.settle(t)
	}
	for _, name := range []string{"a", "b"} {
		r, err := membership.Leave(w.store.record, name, w.stamp(b))
		w.putRecordOrFail(t, r, err)
		w.settle(t)
	}
	w.pause(w.host("c").placer)
	w.advance(2 * time.Second)
	assert.Assert(t, w.lastRun[plainTarget].sender.Host == "c" || w.violation != "", "%+v\n%s", w.lastRun, w.describe())
}

func (w *model) settle(t *testing.T) {
	t.Helper()
	settled := w.advance(2*time.Second, func() bool {
		return slices.ContainsFunc(w.hosts, func(h *host) bool {
			v := h.placer.voter
			return v.Record() == w.store.record.Number && v.Settled()
		})
	})
	assert.Assert(t, settled, w.describe())
	r, err := membership.Settle(w.store.record, w.store.record.Number, w.stamp(w.host("a")))
	w.putRecordOrFail(t, r, err)
}

// playUnknownNext: while the store is down the agreed next owner takes over; then an
// operator who cannot know of it moves the shard.
func playUnknownNext(t *testing.T, w *model) {
	b := w.host("b")
	b.isLagging = true
	w.store.down = true
	w.target.paused = true
	served := w.advance(3*time.Second, func() bool { return w.lastRun["shard 0"].owner == 2 })
	assert.Assert(t, served, "the next owner did not take over\n%s", w.describe())
	w.store.down = false
	w.resumeTarget()
	page, err := ownership.BeginMove(w.store.page, 0, ownership.Place{Cell: cell, Target: checkingTarget}, ownership.MoveLost, nil, w.change(b))
	assert.NilError(t, err)
	w.store.page = page
	w.advance(2 * time.Second)
	assert.Equal(t, w.lastRun["shard 0"].owner, ownership.Epoch(3), w.describe())
}

// playRenewedDuringWait: a candidate waits while the gateway that it replaces gets a
// higher epoch, and is then cut off.
func playRenewedDuringWait(t *testing.T, w *model) {
	b, c := w.host("b"), w.host("c")
	c.isLagging = true
	b.isTargetUnreachable = true
	waiting := w.advance(2*time.Second, func() bool { return w.phase(c, plainTarget) == lease.PhaseWaiting })
	assert.Assert(t, waiting, w.describe())
	w.advance(160 * time.Millisecond)
	w.isolate(c)
	r, err := membership.RenewGateway(w.store.record, plainTarget, []lease.Incarnation{b.router.inc}, w.stamp(b))
	w.putRecordOrFail(t, r, err)
	served := w.advance(150*time.Millisecond, func() bool { return w.lastRun[plainTarget].gateway > 3 })
	assert.Assert(t, served, "the renewed gateway had to wait\n%s", w.describe())
	w.advance(time.Second)
}

func (w *model) phase(h *host, target string) lease.Phase {
	for _, s := range h.router.holder.Targets(h.router.clock.read(w.now)) {
		if s.Target == target {
			return s.Phase
		}
	}
	return ""
}

// moveAsLost moves a shard to the target that does not check grants, as if its owner
// were lost, and waits until it is served there.
func (w *model) moveAsLost(t *testing.T, shard uint32) {
	t.Helper()
	b := w.host("b")
	page, err := ownership.BeginMove(w.store.page, shard, ownership.Place{Cell: cell, Target: plainTarget}, ownership.MoveLost, nil, w.change(b))
	w.putPage(b, page, err)
	served := w.advance(2*time.Second, func() bool {
		return w.lastRun[fmt.Sprint("shard ", shard)].target == plainTarget || w.violation != ""
	})
	assert.Assert(t, served, w.describe())
}

// playFrozenTarget: grants stay in the buffer of a paused target, which resumes after
// its shard was moved.
func playFrozenTarget(t *testing.T, w *model) {
	w.target.paused = true
	w.advance(200 * time.Millisecond)
	w.cutLink(w.host("a"), checkingTarget)
	w.moveAsLost(t, 0)
	w.resumeTarget()
	w.advance(500 * time.Millisecond)
}

// playCutOffTarget: the target cannot learn that its shard was moved.
func playCutOffTarget(t *testing.T, w *model) {
	w.cutLink(w.host("a"), checkingTarget)
	w.moveAsLost(t, 0)
	w.advance(500 * time.Millisecond)
}

// playLostAnswer: the store loses the answer to one operator's move; another operator
// moves the shard later.
func playLostAnswer(t *testing.T, w *model) {
	w.store.losesAnswers = true
	w.moveAsLost(t, 0)
	w.store.losesAnswers = false
	a := w.host("a")
	page, err := ownership.BeginMove(w.store.page, 0, ownership.Place{Cell: cell, Target: checkingTarget}, ownership.MoveLost, nil, w.change(a))
	w.putPage(a, page, err)
	w.advance(2 * time.Second)
}

// playPinnedKey: a key is pinned while its shard's gateway has only the preceding page.
func playPinnedKey(t *testing.T, w *model) {
	home, _ := w.store.page.Lookup(hotKey)
	owner, other := w.store.page.Shards[home].Place(), ownership.Place{Cell: cell, Target: checkingTarget}
	if owner == other {
		other.Target = plainTarget
	}
	gateway := w.gatewayOf(owner.Target)
	gateway.isLagging = true
	page, err := ownership.Pin(w.store.page, hotKey, other, w.change(gateway))
	w.putPage(gateway, page, err)
	w.advance(2 * time.Second)
}

// gatewayOf returns the host whose router may send to a target.
func (w *model) gatewayOf(target string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool {
		_, _, ok := h.router.holder.Right(h.router.clock.read(w.now), target)
		return ok
	})
	return w.hosts[i]
}
