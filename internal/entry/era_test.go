package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

const (
	keyedService = "k"
	keyedTargets = 3
	keyedKeys    = 8 // keys that the tests request and watch
)

func testKey(i int) int { return i * (maxKey + 1) / keyedKeys }

// keyedFleet is a fleet with a keyed service, whose keys are watched for two holders.
type keyedFleet struct {
	*testFleet
	recorder *standin.Recorder
	targets  []*standin.Target
}

func keyedRoutes(version int) func(s *standin.Store) {
	return func(s *standin.Store) {
		standin.SetConfiguration(s, version, []standin.Route{{Name: "x", Service: fleetService}, {Name: "k", Service: keyedService, Idempotent: true}},
			map[string]bool{fleetService: false, keyedService: true})
	}
}

// newKeyedFleet starts hosts at a store that names the given era, or none if it is 0.
func newKeyedFleet(t *testing.T, hosts int, named uint64) *keyedFleet {
	t.Helper()
	f := &keyedFleet{recorder: standin.NewRecorder()}
	f.testFleet = newTestFleet(t, hosts, keyedRoutes(2), func(s *standin.Store) {
		s.SetEra(named)
		for i := range keyedTargets {
			f.addTarget(t, s, fmt.Sprintf("k%d", i))
		}
	})
	f.await("ready", awaitLimit, (*Node).isReady)
	f.awaitServed()
	stop, watched := make(chan struct{}), sync.WaitGroup{}
	watched.Go(func() { f.watchHolders(stop) })
	t.Cleanup(func() {
		close(stop)
		watched.Wait()
		assert.Equal(t, len(f.recorder.Violations()), 0, "%v", f.recorder.Violations())
		for _, target := range f.targets {
			target.Stop()
		}
	})
	return f
}

func (f *keyedFleet) addTarget(t *testing.T, s *standin.Store, name string) {
	target, err := standin.StartTarget(s, f.recorder, &standin.Target{
		Name: name, Service: keyedService, Zone: "dc0", Slots: 4, Keyed: true, Born: time.Now().UnixMilli(),
	})
	assert.NilError(t, err)
	f.targets = append(f.targets, target)
}

// watchHolders reports keys with two holders until stop is closed.
func (f *keyedFleet) watchHolders(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for i := range keyedKeys {
			if holders := f.recorder.Holders(keyedService, testKey(i)); len(holders) > 1 {
				f.t.Errorf("key %d is held by %v", testKey(i), holders)
				return
			}
		}
	}
}

// awaitServed waits until every host serves every key.
func (f *keyedFleet) awaitServed() {
	f.t.Helper()
	for _, h := range f.hosts {
		for i := range keyedKeys {
			for end := time.Now().Add(awaitLimit); !f.serves(h, testKey(i)); time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					f.t.Fatalf("%s does not serve key %d", h.settings.Host, testKey(i))
				}
			}
		}
	}
}

func (f *keyedFleet) serves(h *testHost, key int) bool {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+h.settings.Callers.String()+"/k/", http.NoBody)
	assert.NilError(f.t, err)
	standin.SetCallerHeaders(r, fmt.Sprintf("%s-%d-%d", h.settings.Host, key, time.Now().UnixNano()), key)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// fences returns the lowest and the highest fence of the keys' owners at a host.
func fences(n *Node) (low, high uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	low = ^uint64(0)
	for _, r := range n.owners[keyedService].keys.Ranges {
		low, high = min(low, r.Fence), max(high, r.Fence)
	}
	return low, high
}

func (f *keyedFleet) highestFence() (highest uint64) {
	for _, h := range f.hosts {
		_, high := fences(h.node)
		highest = max(highest, high)
	}
	return highest
}

func (f *keyedFleet) coordinator() *testHost {
	for _, h := range f.hosts {
		if h.node.candidate.holdsLease() {
			return h
		}
	}
	return nil
}

// moveKeys lets keys move under higher fences, which a copy of before does not show.
func (f *keyedFleet) moveKeys() {
	f.t.Helper()
	before := f.highestFence()
	f.targets[0].Leave()
	f.addTarget(f.t, f.store, "k9")
	f.await("moved keys", awaitLimit, func(n *Node) bool {
		_, high := fences(n)
		return high > before
	})
	f.awaitServed()
}

// awaitEra waits until all hosts have a map of the era, and checks what must hold then.
func (f *keyedFleet) awaitEra(named, highestBefore uint64) {
	f.t.Helper()
	f.await("owners of the new era", awaitLimit, func(n *Node) bool {
		low, _ := fences(n)
		return era.Of(n.ownersVersion(keyedService)) == named && low > era.FenceFloor(named)
	})
	for _, h := range f.hosts {
		low, _ := fences(h.node)
		assert.Assert(f.t, low > highestBefore, "%s: fence %d, before %d", h.settings.Host, low, highestBefore)
		assert.Equal(f.t, h.node.table.Load().Version, uint64(3), "a configuration never goes back")
	}
	f.awaitServed()
	assert.Equal(f.t, f.coordinator().node.candidate.holder().Era, named)
}

// After the store came back without the last moves, or without everything that the
// system wrote, no key may have two owners, no fence may fall, and requests are served
// again.
func TestStoreRestored(t *testing.T) {
	for name, test := range map[string]struct {
		named    uint64
		losesAll bool
	}{
		"no era before": {0, false}, "later era": {1, false}, "nothing was written": {1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newKeyedFleet(t, 3, test.named)
			c := f.store.Copy()
			f.moveKeys()
			keyedRoutes(3)(f.store)
			f.await("configuration 3", awaitLimit, func(n *Node) bool { return n.table.Load().Version == 3 })
			before := f.highestFence()
			if test.losesAll {
				c = standin.NewStore().Copy()
			}
			f.store.Restore(c)
			keyedRoutes(3)(f.store) // the operator writes again
			f.awaitEra(test.named+1, before)
		})
	}
}

// A coordinator that is cut off from the store when it comes back does not see the new
// era: it must stop by its own lease, and not act when it reaches the store again.
func TestStoreRestoredWithoutCoordinator(t *testing.T) {
	t.Parallel()
	f := newKeyedFleet(t, 3, 1)
	c := f.store.Copy()
	f.moveKeys()
	keyedRoutes(3)(f.store)
	f.await("configuration 3", awaitLimit, func(n *Node) bool { return n.table.Load().Version == 3 })
	before := f.highestFence()
	old := f.coordinator()
	old.node.store.SetAddr("127.0.0.1:1")
	f.store.Restore(c)
	keyedRoutes(3)(f.store)
	all := f.hosts
	f.hosts = slices.DeleteFunc(slices.Clone(all), func(h *testHost) bool { return h == old })
	f.awaitEra(2, before)
	f.hosts = all
	assert.Assert(t, !old.node.candidate.holdsLease())
	old.node.store.SetAddr(f.addr.String())
	f.awaitEra(2, before)
}

// newTermInEra returns a term in the second era of a store.
func newTermInEra(t *testing.T) (*term, *fakeOrders, *standin.Store) {
	t.Helper()
	tm, fake := newTestTerm(t)
	store := standin.NewStore()
	store.SetEra(2)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	n := tm.node
	n.store.SetAddr(server.Listener.Addr().String())
	n.store.ObserveEra(2)
	n.candidate.observeListing()
	w, due := n.candidate.election.Next(leaseClock() + 2*time.Hour)
	assert.Assert(t, due)
	n.candidate.election.Acknowledged(leaseClock(), leaseClock()+time.Hour, era.Version(2, 1), w)
	assert.Assert(t, n.candidate.holdsLease())
	tm = newTerm(t.Context(), n.candidate)
	tm.orders = fake
	return tm, fake, store
}

// planMap plans with a map that the store holds, and returns the next step for its keys.
func planMap(t *testing.T, tm *term, store *standin.Store, m *keyrange.Map) grants.Decision {
	t.Helper()
	store.Set(ownersPrefix+"s", m)
	tm.setMap("s", nil)
	assert.NilError(t, tm.planService("s"))
	r := tm.mapOf("s").keys.Ranges[0]
	assert.Assert(t, r.Fence > era.FenceFloor(2))
	assert.Assert(t, len(r.Prev) == 1 && r.Prev[0].IsUnknown())
	return tm.nextStep(grants.NewTransfer("s", r, r.Prev[0]))
}

// Guards against two owners: the owner that a restored map names need not be the last.
func TestRestoredMapIsNotGranted(t *testing.T) {
	tm, fake, store := newTermInEra(t)
	restored := keyrange.New("s", []keyrange.Owner{ownerA}, []float64{1})
	d := planMap(t, tm, store, restored)
	assert.Equal(t, d.Step, grants.StepWait)
	assert.Assert(t, d.Until > leaseClock()+longGrantHold-time.Second)

	assert.Assert(t, !sendsOrder(fake))

	// A write of before the restore may replace the map of this term, whose grants are
	// then not those of the map, and which are later than the term's start.
	tm, fake, store = newTermInEra(t)
	tm.ledger = grants.NewLedger(-time.Hour, 0, 0)
	tm.sentMaps["s"] = keyrange.NewAbove(era.FenceFloor(2), "s", []keyrange.Owner{ownerB}, []float64{1})
	d = planMap(t, tm, store, restored)
	assert.Equal(t, d.Step, grants.StepWait)
	assert.Assert(t, d.Until > leaseClock()+longGrantHold)
	assert.Assert(t, !sendsOrder(fake))
}

// sendsOrder reports whether an order is sent within a few checks of moves.
func sendsOrder(fake *fakeOrders) bool {
	select {
	case <-fake.sent:
		return true
	case <-time.After(2 * moveRetryInterval):
		return false
	}
}

// A coordinator sends nothing more once any answer has named a later era, and writes
// nothing that is conditional on the era before.
func TestTermEndsWithEra(t *testing.T) {
	tm, fake, store := newTermInEra(t)
	owned := &ownedMap{keys: keyrange.NewAbove(era.FenceFloor(2), "s", []keyrange.Owner{ownerA}, []float64{1}), version: era.Version(2, 1)}
	tm.setMap("s", owned)
	store.Restore(store.Copy())
	assert.NilError(t, tm.node.store.Probe(t.Context(), coordinatorObject))
	whole := owned.keys.Ranges[0]
	state, _ := tm.claimRange("s", whole)
	assert.Assert(t, !tm.grant("s", whole, state))
	_, err := tm.release(whole, keyrange.Previous{Owner: ownerB, Fence: 1})
	assert.Assert(t, err != nil)
	assert.Assert(t, tm.saveMap("s", owned.keys) != nil)
	assert.Assert(t, !sendsOrder(fake))
	assert.Assert(t, !tm.node.candidate.holdsLease())
}

// Guards against seconds without owners after each restore: the last holder of the role
// goes on from its own maps and grants, of which the store shows an older state or none.
// Once another host had the role, what was kept counts no more.
func TestLastHolderGoesOn(t *testing.T) {
	for name, isFollowed := range map[string]bool{"at once": false, "after another host": true} {
		t.Run(name, func(t *testing.T) {
			tm, _, store := newTermInEra(t)
			c, n := tm.node.candidate, tm.node
			tm.ledger = grants.NewLedger(-time.Hour, 0, 0)
			keys := keyrange.NewAbove(era.FenceFloor(2), "s", []keyrange.Owner{ownerA, ownerB}, []float64{1, 1})
			store.Set(ownersPrefix+"s", keys)
			assert.NilError(t, tm.loadMap("s"))
			c.term = tm
			store.Restore(standin.NewStore().Copy())
			assert.NilError(t, n.store.Probe(t.Context(), coordinatorObject))
			assert.Assert(t, !c.holdsLease())
			c.keepTerm()
			c.updateTerm(t.Context(), false)

			n.candidate.observeListing()
			if isFollowed {
				c.observeRecord(era.Version(3, 1), coordinator.Record{Holder: "other", Era: 3})
			}
			w, due := c.election.Next(leaseClock() + 2*time.Hour)
			assert.Assert(t, due)
			c.applyAcknowledgement(leaseClock()+time.Hour, era.Version(3, 2), w)
			next := newTerm(t.Context(), c)
			if isFollowed {
				assert.Equal(t, len(next.keptMaps), 0)
				floor, _ := next.ledger.Floor()
				assert.Assert(t, floor.End > leaseClock()+grantHold, "grants of the other host are not known")
				return
			}
			assert.NilError(t, next.planService("s"))
			for i, r := range next.mapOf("s").keys.Ranges {
				assert.Equal(t, r.Owner, keys.Ranges[i].Owner)
				assert.Equal(t, len(r.Prev), 0)
				assert.Assert(t, r.Fence > era.FenceFloor(3))
				_, ok := next.ledger.EndOf(holdOf("s", r), r.Fence)
				end, _ := next.ledger.EndOfUnanswered(holdOf("s", r), r.Fence)
				assert.Assert(t, ok && end < leaseClock(), "a release counts at once")
			}
		})
	}
}

// A feed takes older revisions in a new era, and no answer of an earlier era afterwards.
func TestFeedFollowsEra(t *testing.T) {
	tm, _, store := newTermInEra(t)
	f := tm.node.feedOf(platform.TargetPrefix)
	for i := range 3 {
		store.Set(fmt.Sprintf("servers/t%d", i), standin.TargetEntry("s", ownerA.Addr, "here", 4, "ready", 2, 2))
	}
	assert.NilError(t, f.listFresh(t.Context()))
	late, err := tm.node.store.List(t.Context(), platform.TargetPrefix)
	assert.NilError(t, err)
	copied := standin.NewStore()
	copied.Set("servers/t0", standin.TargetEntry("s", ownerA.Addr, "here", 4, "ready", 9, 1))
	store.Restore(copied.Copy())
	assert.Assert(t, errors.Is(f.listOrWatch(t.Context()), objectstore.ErrCompacted))
	assert.NilError(t, f.listFresh(t.Context()))
	assert.Equal(t, f.revision(), era.Version(3, 1))
	f.applyBatch(late, true, 0)
	assert.Equal(t, f.revision(), era.Version(3, 1))
	assert.Assert(t, f.checkEra(late) != nil)
	e, _ := tm.node.directory.Get("t0")
	assert.Equal(t, e.Run, int64(2), "the entry of an earlier run does not count while targets write theirs again")
	assert.Equal(t, tm.node.directory.Len(), 3)
}
