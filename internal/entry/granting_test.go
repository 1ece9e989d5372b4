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

// fakeOrders passes each order to the test and waits for the test's answer.
type fakeOrders struct {
	sent     chan platform.Order // Hold is 0 for a release
	answers  chan error
	identity string
}

func (f *fakeOrders) Identity(context.Context, string, string) (string, error) {
	return f.identity, nil
}

func (f *fakeOrders) Grant(_ context.Context, o platform.Order) (bool, error) {
	f.sent <- o
	return false, <-f.answers
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
	tm.setMap("s", &ownedMap{keys: keyrange.New("s", []keyrange.Owner{ownerA}, []float64{1}), version: 1})
	return tm, fake
}

// Guards against two owners of one key. A renewal is in flight while a part of its
// range is assigned to another owner: the release must wait for it, because a
// grant that arrived after the release would undo it.
func TestReleaseWaitsForRenewalInFlight(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.mapOf("s").keys.Ranges[0]
	state, claimed := tm.claimRange("s", whole)
	assert.Assert(t, claimed)
	go tm.grant("s", whole, state)
	renewal := <-fake.sent
	assert.Assert(t, renewal.Hold > 0)

	next := tm.mapOf("s").keys.Clone()
	next.Assign(100, 200, ownerB)
	tm.setMap("s", &ownedMap{keys: next, version: 2})
	moved := next.Ranges[next.IndexOf(100)]
	movedState, _ := tm.claimRange("s", moved)
	go tm.move("s", moved, movedState)
	select {
	case o := <-fake.sent:
		t.Fatalf("order sent while the renewal is in flight: %+v", o)
	case <-time.After(5 * inFlightCheckInterval):
	}
	fake.answers <- nil
	release := <-fake.sent
	assert.Equal(t, release.Hold, time.Duration(0))
	assert.Equal(t, release.Target, "a")
	fake.answers <- nil
	grant := <-fake.sent
	assert.Equal(t, grant.Target, "b")
	assert.Equal(t, grant.Handover, "h")
	tm.cancel()
	fake.answers <- context.Canceled
}

// A renewal that has not started when its range is split must not be sent.
func TestSplitRangeIsNotRenewed(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.mapOf("s").keys.Ranges[0]
	next := tm.mapOf("s").keys.Clone()
	next.Assign(100, 200, ownerB)
	tm.setMap("s", &ownedMap{keys: next, version: 2})
	state, _ := tm.claimRange("s", whole)
	done := make(chan bool, 1)
	go func() { done <- tm.grant("s", whole, state) }()
	select {
	case granted := <-done:
		assert.Assert(t, !granted)
	case o := <-fake.sent:
		t.Fatalf("renewal of a split range sent: %+v", o)
	}
}

// A move completes while the store does not answer: the grants of the new owner
// are renewed, the hosts are informed, and a map written at the same time keeps the
// move as complete.
func TestMoveCompletesWithoutStore(t *testing.T) {
	tm, fake := newTestTerm(t)
	next := tm.mapOf("s").keys.Clone()
	next.Assign(100, 200, ownerB)
	tm.setMap("s", &ownedMap{keys: next, version: 2})
	moved := next.Ranges[next.IndexOf(100)]
	state, _ := tm.claimRange("s", moved)
	done := make(chan struct{})
	go func() {
		defer close(done)
		tm.move("s", moved, state)
	}()
	<-fake.sent // the grant; no earlier owner was granted the range, so nothing is released
	fake.answers <- nil
	<-done
	assert.Assert(t, !tm.mapOf("s").keys.Moving(moved.ID()))
	assert.DeepEqual(t, tm.settledMoves(), map[string][]keyrange.ID{"s": {moved.ID()}})
	state.renewed = 0
	go tm.renew("s")
	renewed := map[string]bool{}
	for range 3 { // the range and its two neighbours
		renewed[(<-fake.sent).Target] = true
		fake.answers <- nil
	}
	assert.Assert(t, renewed["b"])

	tm.setAcknowledged("s", &ownedMap{keys: next, version: 3}) // a map from before the move completed
	assert.Assert(t, !tm.mapOf("s").keys.Moving(moved.ID()))
	assert.Equal(t, len(tm.settledMoves()["s"]), 1)
	tm.setAcknowledged("s", &ownedMap{keys: tm.mapOf("s").keys, version: 4})
	assert.Equal(t, len(tm.settledMoves()), 0)
}

// A target that refuses connections gets no further keys, so that requests for them do
// not wait in vain; after a while, or once it accepts an order, it gets some again.
func TestRefusingTargetGetsNoKeysForAWhile(t *testing.T) {
	tm, _ := newTestTerm(t)
	d := tm.node.directory
	d.RecordAnswer(0)
	d.Put(directory.Entry{Name: "a", Run: 1, Service: "s", Addr: ownerA.Addr})
	names := func() (out []string) {
		for _, target := range tm.targets("s") {
			out = append(out, target.Owner.Target)
		}
		return out
	}
	for range minRefusals {
		assert.DeepEqual(t, names(), []string{"a"})
		tm.recordRefusal(ownerA)
	}
	assert.Equal(t, len(names()), 0)
	assert.Assert(t, tm.isSuspect(ownerA, leaseClock()+suspicionTime-time.Second))
	assert.Assert(t, !tm.isSuspect(ownerA, leaseClock()+suspicionTime))
	tm.markReachable(ownerA)
	assert.DeepEqual(t, names(), []string{"a"})
	assert.Assert(t, isConnRefused(syscall.ECONNREFUSED))
	assert.Assert(t, !isConnRefused(syscall.ECONNRESET), "a target over its connection limit resets")
}

// Guards against keys that stay without an owner for the rest of a grant (11 s)
// after their target was replaced at its address: an address is reused only after
// its target has ended.
func TestOtherTargetAtAddressEndsEarlierGrants(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		identity string
		ended    bool
	}{
		"answers for another target":        {err: platform.ErrOtherTarget, ended: true},
		"refuses orders, has another name":  {err: platform.ErrRefusedOrder, identity: "x", ended: true},
		"refuses orders, has the same name": {err: platform.ErrRefusedOrder, identity: "a"},
		"refuses orders, gives no name":     {err: platform.ErrRefusedOrder},
		"has seen a higher fence":           {err: platform.ErrFenced, identity: "x"},
	} {
		t.Run(name, func(t *testing.T) {
			tm, fake := newTestTerm(t)
			fake.identity = c.identity
			keysOfA := holdOf("s", tm.mapOf("s").keys.Ranges[0])
			hasEnded := func() bool {
				end, settled := tm.ledger.EndOf(keysOfA, 1)
				return settled && leaseClock() >= end
			}
			grantA := func() {
				tm.ledger.BeginSend(keysOfA)
				tm.ledger.RecordAnswer(leaseClock(), keysOfA, grantHold)
			}
			grantA()
			sentAt := leaseClock()
			tm.recordOrderFailure(ownerA, sentAt, c.err)
			assert.Equal(t, hasEnded(), c.ended)
			assert.Equal(t, tm.isSuspect(ownerA, leaseClock()), c.ended)
			grantA()
			tm.recordOrderFailure(ownerA, sentAt, c.err)
			assert.Assert(t, c.err == platform.ErrRefusedOrder || !hasEnded(), "a later run of the target may have taken the second grant")
		})
	}
}

// A resigning coordinator sends no further order and waits for those in flight,
// because its successor moves keys at once and relies on both.
func TestResigningCoordinatorWaitsForGrantsInFlight(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.mapOf("s").keys.Ranges[0]
	state, _ := tm.claimRange("s", whole)
	go tm.grant("s", whole, state)
	<-fake.sent
	floors := make(chan grants.Floor)
	go func() { floors <- tm.quiesce() }()
	select {
	case <-floors:
		t.Fatal("quiesce returned while a grant is in flight")
	case <-time.After(5 * inFlightCheckInterval):
	}
	assert.Assert(t, !tm.grant("s", whole, state), "a grant was sent after quiesce")
	_, err := tm.release(whole, keyrange.Previous{Owner: ownerA, Fence: whole.Fence})
	assert.ErrorContains(t, err, "lease has ended")
	fake.answers <- nil
	floor := <-floors
	assert.Assert(t, floor.End > leaseClock())
	assert.Assert(t, floor.UnansweredEnd <= leaseClock(), "every grant was answered")
}

// After a planned change of the coordinator, its grants end when its record says,
// and none is assumed to be applied late unless the record says so. Without a
// resignation the longest grant is assumed.
func TestNewLedgerUsesFloorOfResignedCoordinator(t *testing.T) {
	keysOfA := grants.Hold{Service: "s", Owner: ownerA, To: keyrange.MaxKey}
	resigned := newLedger(coordinator.Record{Resigned: true, EndMs: 3000, UnclearMs: 1000}, time.Minute)
	end, _ := resigned.EndOf(keysOfA, 7)
	assert.Equal(t, end, time.Minute+3*time.Second+grants.Margin)
	unclear, _ := resigned.EndOfUnanswered(keysOfA, 7)
	assert.Equal(t, unclear, time.Minute+time.Second+grants.Margin)
	notResigned := newLedger(coordinator.Record{EndMs: 1, UnclearMs: 1}, time.Minute)
	unclear, _ = notResigned.EndOfUnanswered(keysOfA, 7)
	assert.Assert(t, unclear > leaseClock()+longGrantHold, "the predecessor did not resign")
}

// A target stops answering, and renewals find no connection. Its keys must become
// free when the last grant that it can have received ends, not after the last
// attempt to send one.
func TestUnsentRenewalDoesNotExtendGrant(t *testing.T) {
	tm, fake := newTestTerm(t)
	whole := tm.mapOf("s").keys.Ranges[0]
	state, _ := tm.claimRange("s", whole)
	send := func(err error) time.Duration {
		done := make(chan struct{})
		go func() {
			tm.grant("s", whole, state)
			close(done)
		}()
		<-fake.sent
		fake.answers <- err
		<-done
		end, ok := tm.ledger.EndOf(holdOf("s", whole), whole.Fence)
		assert.Assert(t, ok)
		return end
	}
	answered := send(nil)
	assert.Equal(t, send(platform.ErrNotSent), answered)
	assert.Assert(t, send(context.DeadlineExceeded) > answered, "a grant that was sent may have arrived")
}
