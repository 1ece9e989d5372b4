package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/hotrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// newLateWriteTest returns a term that granted ownerA the two ranges of the stored map,
// with the fences 1 and 2.
func newLateWriteTest(t *testing.T) (*term, *targetOrders, *standin.Store) {
	t.Helper()
	tm, _ := newTestTerm(t)
	orders := &targetOrders{}
	tm.orders = orders
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	tm.node.store.SetAddr(server.Listener.Addr().String())
	store.Set(ownersPrefix+"s", keyrange.New("s", []keyrange.Owner{ownerA, ownerA}, []float64{1, 1}))
	assert.NilError(t, tm.loadMap("s"))
	for _, r := range tm.mapOf("s").keys.Ranges {
		state, claimed := tm.claimRange("s", r)
		assert.Assert(t, claimed)
		assert.Assert(t, tm.grant("s", r, state))
		tm.unclaimRange(state)
	}
	orders.log = nil
	return tm, orders, store
}

// Guards against keys with two owners (review/6): the store carries out a write that an
// earlier coordinator sent, in the middle of the next one's term. The next one granted the
// keys under the fences of the map before, and moves some when it has read the new map.
func TestLateWriteOfOtherCoordinatorDoesNotEndHold(t *testing.T) {
	for name, late := range map[string]func(m *keyrange.Map){
		"ranges merged": func(m *keyrange.Map) {
			assert.Equal(t, m.Merge(1, func(keyrange.Range) bool { return false }), 1)
		},
		"fences renumbered": func(m *keyrange.Map) { m.Renumber(10) },
		"range split": func(m *keyrange.Map) {
			m.Assign(150, 300, ownerA)
			m.Ranges[m.IndexOf(150)].Prev = nil // as after the move was completed
		},
		"keys moved": func(m *keyrange.Map) { m.Assign(150, 300, ownerB) },
	} {
		t.Run(name, func(t *testing.T) {
			tm, orders, store := newLateWriteTest(t)
			orders.release = func(platform.Order) error { return errRefused }
			next := tm.mapOf("s").keys.Clone()
			late(next)
			store.Set(ownersPrefix+"s", next)
			moves := []hotrange.Move{{From: 100, To: 200, Owner: ownerB}}
			assert.ErrorIs(t, tm.assign("s", tm.mapOf("s").keys, moves), objectstore.ErrConflict)
			assert.NilError(t, tm.loadMap("s"))
			assert.NilError(t, tm.assign("s", tm.mapOf("s").keys, moves))
			orders.await(t, 4)
			assert.DeepEqual(t, orders.sent(), []string{"release a"})
			tm.endGrants()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if sent := orders.sent(); sent[len(sent)-1] != "grant b" {
					return poll.Continue("orders: %v", sent)
				}
				return poll.Success()
			}, poll.WithDelay(5*time.Millisecond))
		})
	}
}

// Guards against keys with two owners: a write of before a restore of the store replaces
// a map under which this term granted keys, though another coordinator had written it.
func TestGrantsUnderReplacedMapAreAwaited(t *testing.T) {
	tm, _, store := newTermInEra(t)
	tm.orders = &targetOrders{}
	tm.ledger = grants.NewLedger(-time.Hour, 0, 0)
	of := keyrange.NewAbove(era.FenceFloor(2), "s", []keyrange.Owner{ownerB}, []float64{1})
	store.Set(ownersPrefix+"s", of)
	tm.setMap("s", nil)
	assert.NilError(t, tm.loadMap("s"))
	whole := tm.mapOf("s").keys.Ranges[0]
	state, _ := tm.claimRange("s", whole)
	assert.Assert(t, tm.grant("s", whole, state))

	d := planMap(t, tm, store, keyrange.New("s", []keyrange.Owner{ownerA}, []float64{1}))
	assert.Equal(t, d.Step, grants.StepWait)
	assert.Assert(t, d.Until > leaseClock()+grantHold-time.Second)
	assert.Assert(t, tm.mapOf("s").keys.Ranges[0].Fence > of.Fence, "a fence is given out twice")
}

// Guards against keys with two owners, and fences that are given out twice: the map under
// which this term granted keys is no longer in the store.
func TestGrantsUnderMissingMapAreAwaited(t *testing.T) {
	tm, _, store := newLateWriteTest(t)
	store.Remove(ownersPrefix + "s")
	tm.setMap("s", nil)
	assert.NilError(t, tm.loadMap("s"))
	assert.Assert(t, tm.mapOf("s").keys == nil)
	first := tm.firstMap("s", []hotrange.Target{{Owner: ownerB, Capacity: 1}})
	assert.Assert(t, first.Ranges[0].Fence > 2)
	assert.Assert(t, first.Ranges[0].Prev[0].IsUnknown())
	d := tm.nextStep(grants.NewTransfer("s", first.Ranges[0], first.Ranges[0].Prev[0]))
	assert.Equal(t, d.Step, grants.StepWait)
}
