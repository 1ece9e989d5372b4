package entry

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease/era"
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
