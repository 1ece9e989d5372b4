package entry

import (
	"context"
	"io"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
)

// fakeOrders hands each order to the test and waits for its answer.
type fakeOrders struct {
	sent     chan platform.Order // release: Hold is 0
	answers  chan error
	identity string
}

func (f *fakeOrders) Identity(context.Context, string, string) (string, error) {
	return f.identity, nil
}

func (f *fakeOrders) Grant(_ context.Context, o platform.Order) error {
	f.sent <- o
	return <-f.answers
}

func (f *fakeOrders) Release(_ context.Context, o platform.Order) (string, error) {
	o.Hold = 0
	f.sent <- o
	return "h", <-f.answers
}

var (
	ownerA = keyrange.Owner{Target: "a", Run: 1, Addr: "127.0.0.1:1"}
	ownerB = keyrange.Owner{Target: "b", Run: 1, Addr: "127.0.0.1:2"}
)

// newTestTerm returns a term of a host that holds the lease, with one range of
// ownerA in force.
func newTestTerm(t *testing.T) (*term, *fakeOrders) {
	t.Helper()
	addr := netip.MustParseAddrPort("127.0.0.1:9")
	s := &platform.Settings{Host: "h", IP: addr.Addr(), Store: addr, Peers: addr, Heartbeat: time.Second}
	n := New(s, 0, nil, hclog.New(&hclog.LoggerOptions{Output: io.Discard}))
	n.candidate.election.Observe(leaseClock(), 0, coordinator.Record{})
	w, due := n.candidate.election.Next(leaseClock())
	assert.Assert(t, due)
	n.candidate.election.Acknowledged(leaseClock(), leaseClock()+time.Hour, 1, w)
	tm := newTerm(t.Context(), n.candidate)
	tm.ledger = grants.NewLedger(-time.Hour, 0, 0) // no earlier coordinator
	fake := &fakeOrders{sent: make(chan platform.Order), answers: make(chan error)}
	tm.orders = fake
	tm.setOwned("s", &ownedMap{keys: keyrange.New("s", []keyrange.Owner{ownerA}, []float64{1}), version: 1})
	return tm, fake
}

// A renewal is under way while a part of its range is given to another owner.
// The release must wait for it: a grant that arrived after the release would
// make two owners. Found on pinjam-antara-grown, trouble-3, at 50.5 s.
func TestAReleaseWaitsForTheRenewalUnderWay(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.owned("s").keys.Ranges[0]
	state, mine := tm.begin("s", whole)
	assert.Assert(t, mine)
	go tm.grant("s", whole, state)
	renewal := <-fake.sent
	assert.Assert(t, renewal.Hold > 0)

	next := tm.owned("s").keys.Clone()
	next.Assign(100, 200, ownerB)
	tm.setOwned("s", &ownedMap{keys: next, version: 2})
	moved := next.Ranges[next.At(100)]
	movedState, _ := tm.begin("s", moved)
	go tm.move("s", moved, movedState)
	select {
	case o := <-fake.sent:
		t.Fatalf("sent while the renewal is under way: %+v", o)
	case <-time.After(5 * underWayCheck):
	}
	fake.answers <- nil
	release := <-fake.sent
	assert.Equal(t, release.Hold, time.Duration(0))
	assert.Equal(t, release.Target, "a")
	fake.answers <- nil
	grant := <-fake.sent
	assert.Equal(t, grant.Target, "b")
	assert.Equal(t, grant.Handover, "h")
	tm.end()
	fake.answers <- context.Canceled
}

// A renewal that has not begun when its range is split is not sent any more.
func TestARangeThatWasSplitIsNotRenewed(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.owned("s").keys.Ranges[0]
	next := tm.owned("s").keys.Clone()
	next.Assign(100, 200, ownerB)
	tm.setOwned("s", &ownedMap{keys: next, version: 2})
	state, _ := tm.begin("s", whole)
	done := make(chan bool, 1)
	go func() { done <- tm.grant("s", whole, state) }()
	select {
	case granted := <-done:
		assert.Assert(t, !granted)
	case o := <-fake.sent:
		t.Fatalf("sent: %+v", o)
	}
}

// A move completes while the store does not answer: the new owner's grants are
// prolonged, the hosts are told, and a map that is written at the same time keeps
// it. Found on pinjam-antara-grown, trouble-3, 18 to 26 s.
func TestAMoveCompletesWithoutTheStore(t *testing.T) {
	tm, fake := newTestTerm(t)
	next := tm.owned("s").keys.Clone()
	next.Assign(100, 200, ownerB)
	tm.setOwned("s", &ownedMap{keys: next, version: 2})
	moved := next.Ranges[next.At(100)]
	state, _ := tm.begin("s", moved)
	done := make(chan struct{})
	go func() {
		defer close(done)
		tm.move("s", moved, state)
	}()
	<-fake.sent // the grant; nothing was granted to the owner before
	fake.answers <- nil
	<-done
	assert.Assert(t, !tm.owned("s").keys.Moving(moved.ID()))
	assert.DeepEqual(t, tm.settled(), map[string][]keyrange.ID{"s": {moved.ID()}})
	state.renewed = 0
	go tm.renew("s")
	renewed := map[string]bool{}
	for range 3 { // the range and its two neighbours
		renewed[(<-fake.sent).Target] = true
		fake.answers <- nil
	}
	assert.Assert(t, renewed["b"])

	tm.acknowledged("s", &ownedMap{keys: next, version: 3}) // as it was before
	assert.Assert(t, !tm.owned("s").keys.Moving(moved.ID()))
	assert.Equal(t, len(tm.settled()["s"]), 1)
	tm.acknowledged("s", &ownedMap{keys: tm.owned("s").keys, version: 4})
	assert.Equal(t, len(tm.settled()), 0)
}

// A leaving target refuses connections and still works on what it holds. Found
// on pinjam-antara-grown, trouble-3, at 29.0 s.
func TestARefusedConnectionAloneDoesNotProveAnEnd(t *testing.T) {
	for name, c := range map[string]struct {
		entry directory.Entry
		gone  bool
		ended bool
	}{
		"stays, silent":   {entry: directory.Entry{Name: "a", Run: 1, Service: "s"}, ended: true},
		"leaving, silent": {entry: directory.Entry{Name: "a", Run: 1, Service: "s", Leaving: true}},
		"entry gone":      {gone: true},
		"restarted":       {entry: directory.Entry{Name: "a", Run: 2, Service: "s"}},
	} {
		t.Run(name, func(t *testing.T) {
			tm, _ := newTestTerm(t)
			d := tm.n.directory
			d.Heard(0)
			if !c.gone {
				d.Put(0, c.entry)
			}
			d.Heard(10 * time.Second)
			for range refusals {
				tm.refusedBy(ownerA)
			}
			assert.Equal(t, tm.isDown(ownerA), c.ended)
		})
	}
	assert.Assert(t, refused(syscall.ECONNREFUSED))
	assert.Assert(t, !refused(syscall.ECONNRESET), "a cap resets")
}

// An address is given to another target only after its own has ended. Found in
// the incident of magnolia-labels: keys of such targets had no owner for 11 s.
func TestAnotherTargetAtTheAddressProvesAnEnd(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		identity string
		ended    bool
	}{
		"answers for another":          {err: platform.ErrOtherTarget, ended: true},
		"takes no orders, is another":  {err: platform.ErrRefusedOrder, identity: "x", ended: true},
		"takes no orders, is the same": {err: platform.ErrRefusedOrder, identity: "a"},
		"takes no orders, names none":  {err: platform.ErrRefusedOrder},
		"has seen a higher fence":      {err: platform.ErrFenced, identity: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			tm, fake := newTestTerm(t)
			fake.identity = c.identity
			tm.noteFailure(ownerA, c.err)
			assert.Equal(t, tm.isDown(ownerA), c.ended)
		})
	}
}

// A coordinator that resigns sends nothing more, and waits for what is under way: its
// successor moves keys at once and relies on both.
func TestAResigningCoordinatorSettlesWhatItSent(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.owned("s").keys.Ranges[0]
	state, _ := tm.begin("s", whole)
	go tm.grant("s", whole, state)
	<-fake.sent
	floors := make(chan grants.Floor)
	go func() { floors <- tm.quiesce() }()
	select {
	case <-floors:
		t.Fatal("a grant is under way")
	case <-time.After(5 * underWayCheck):
	}
	assert.Assert(t, !tm.grant("s", whole, state), "no further grant")
	_, err := tm.release(whole, keyrange.Previous{Owner: ownerA, Fence: whole.Fence})
	assert.ErrorContains(t, err, "lease has ended")
	fake.answers <- nil
	floor := <-floors
	assert.Assert(t, floor.End > leaseClock())
	assert.Assert(t, floor.Unclear <= leaseClock(), "every grant was answered")
}

// Pattern: a change of the coordinator by plan. Its grants end when it told, and none
// may be applied late unless it told so.
func TestASuccessorTrustsWhatTheCoordinatorTold(t *testing.T) {
	told := newLedger(coordinator.Record{Resigned: true, EndMs: 3000, UnclearMs: 1000}, time.Minute)
	end, _ := told.EndOf(ownerA, 7)
	assert.Equal(t, end, time.Minute+3*time.Second+grants.Margin)
	unclear, _ := told.EndOfUnclear(ownerA, 7)
	assert.Equal(t, unclear, time.Minute+time.Second+grants.Margin)
	silent := newLedger(coordinator.Record{EndMs: 1, UnclearMs: 1}, time.Minute)
	unclear, _ = silent.EndOfUnclear(ownerA, 7)
	assert.Assert(t, unclear > leaseClock()+longHold, "it did not resign")
}

// Pattern: a target falls silent, and renewals find no connection. Its keys are free
// when the last grant that it can have got has ended, not after the last try.
func TestRenewalsThatWereNotSentProlongNothing(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.owned("s").keys.Ranges[0]
	state, _ := tm.begin("s", whole)
	send := func(err error) time.Duration {
		done := make(chan struct{})
		go func() {
			tm.grant("s", whole, state)
			close(done)
		}()
		<-fake.sent
		fake.answers <- err
		<-done
		end, ok := tm.ledger.EndOf(whole.Owner, whole.Fence)
		assert.Assert(t, ok)
		return end
	}
	answered := send(nil)
	assert.Equal(t, send(platform.ErrNotSent), answered)
	assert.Assert(t, send(context.DeadlineExceeded) > answered, "one that was sent may have arrived")
}
