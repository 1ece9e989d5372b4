package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

const stopName = platform.StopsPrefix + "swap"

var (
	desk    = template.Client{Name: "desk", Phone: "+60 3 0000 0101", Services: []string{katalog}}
	counter = template.Client{Name: "counter", Phone: "+60 3 0000 0102", Services: []string{katalog}}
)

// stopFixture is a placer and a store that holds a stop of target a.
type stopFixture struct {
	*testing.T
	p     *Placer
	store *fakeStore
}

// announcedStop returns a stop of target a that is due and whose client has not been
// called.
func announcedStop() maintenance.Stop {
	return maintenance.Stop{
		ID: "swap", Scope: maintenance.Scope{Targets: []string{"a"}}, State: maintenance.Announced,
		StartMS: time.Now().Add(-time.Minute).UnixMilli(), Services: []string{katalog}, ConfigVersion: 1,
		Calls: []maintenance.Call{{Client: desk.Name, Phone: desk.Phone}},
	}
}

// clearedStop returns the announced stop after its client was called.
func clearedStop() maintenance.Stop {
	s := announcedStop()
	s.State = maintenance.Cleared
	s.Calls[0].CalledAtMS = 1
	return s
}

func newStopFixture(t *testing.T, called bool, faults ...fault) *stopFixture {
	t.Helper()
	p, store := newTestPlacer(faults...)
	f := &stopFixture{t, p, store}
	store.hosts = []platform.TargetHost{{Name: "a", Service: katalog, DataCentre: "kl", State: platform.HostLive}}
	f.configure(1, desk)
	s := announcedStop()
	if called {
		s = clearedStop()
	}
	store.set(t, stopName, s)
	p.setHosts(store.hosts)
	return f
}

func (f *stopFixture) configure(version uint64, clients ...template.Client) {
	f.Helper()
	f.store.set(f.T, platform.ConfigObject, template.Config{Version: version, Clients: clients})
}

func (f *stopFixture) storedStop() maintenance.Stop {
	f.Helper()
	return stored[maintenance.Stop](f.T, f.store, stopName)
}

// advanceRounds lets the placer advance the stop n times, as it is stored.
func (f *stopFixture) advanceRounds(n int) maintenance.Stop {
	f.Helper()
	for range n {
		syncCache(f.T, f.p, f.store)
		for _, s := range f.p.activeStops() {
			_ = f.p.advanceStop(f.Context(), s) // updates whose answer was lost are retried in the next round
		}
	}
	return f.storedStop()
}

// countEvents returns the number of history entries of an event.
func countEvents(s maintenance.Stop, name string) int {
	n := 0
	for _, e := range s.History {
		if e.Event == name {
			n++
		}
	}
	return n
}

func TestStopDoesNotBeginBeforeCalls(t *testing.T) {
	f := newStopFixture(t, false)
	s := f.advanceRounds(3)
	assert.Equal(t, s.State, maintenance.Announced)
	assert.Equal(t, f.store.puts, 0)
	assert.Equal(t, len(f.p.stoppingTargets()), 0)
}

// TestClientAddedBeforeStartIsCalled: the placer begins a stop by the configuration in the
// store, which may be newer than the cached one.
func TestClientAddedBeforeStartIsCalled(t *testing.T) {
	f := newStopFixture(t, true)
	syncCache(t, f.p, f.store)
	f.configure(2, desk, counter)
	assert.NilError(t, f.p.advanceStop(t.Context(), f.storedStop()))
	s := f.storedStop()
	assert.Equal(t, s.State, maintenance.Calling)
	assert.Equal(t, countEvents(s, "begin"), 0)
}

// TestClientAddedBeforeConfirmRevertsStop: a client that is added between Begin and
// Confirm returns the stop to the calls, with no target drained.
func TestClientAddedBeforeConfirmRevertsStop(t *testing.T) {
	f := newStopFixture(t, true)
	s := f.advanceRounds(1)
	assert.Equal(t, s.State, maintenance.Draining)
	syncCache(t, f.p, f.store)
	assert.Equal(t, len(f.p.stoppingTargets()), 0, "the stop has begun but is not confirmed")
	f.configure(2, desk, counter)
	s = f.advanceRounds(1)
	assert.Equal(t, s.State, maintenance.Calling)
	assert.Equal(t, len(s.Targets), 0)
}

// TestStopBeginsOnce: each of Begin and Confirm takes effect once, even if requests or
// answers are lost.
func TestStopBeginsOnce(t *testing.T) {
	cases := map[string][]fault{
		"no fault":                     nil,
		"answer to Begin lost":         {answerLost},
		"answer to Confirm lost":       {accepted, answerLost},
		"both answers lost":            {answerLost, answerLost},
		"both requests lost":           {requestLost, accepted, requestLost},
		"answer lost, then store down": {answerLostThenDown},
		"store down at Confirm":        {accepted, storeGoesDown},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			f := newStopFixture(t, true, faults...)
			f.advanceRounds(2)
			f.store.down = false
			s := f.advanceRounds(3)
			assert.Equal(t, s.State, maintenance.Draining)
			assert.Assert(t, s.Confirmed)
			assert.Equal(t, countEvents(s, "begin"), 1)
			assert.Equal(t, countEvents(s, "confirm"), 1)
			assert.Assert(t, f.p.stoppingTargets()["a"])
		})
	}
}

func TestDrainedIsReportedOnce(t *testing.T) {
	f := newStopFixture(t, true, accepted, accepted, answerLost)
	page := newTestPage(t, 1)
	f.store.set(t, pageName(katalog), page)
	f.advanceRounds(2)
	advanceAfterClaim := func(seq uint64, isDrained bool) maintenance.Stop {
		receiveVoteRequest(f.p, seq, lease.VoteRequest{Claims: newClaims("a", true, isDrained)})
		return f.advanceRounds(2)
	}
	assert.Equal(t, len(advanceAfterClaim(1, true).Drained), 0, "it owns a shard")
	page = withMove(t, page, placeB, ownership.MovePlanned, 0)
	f.store.set(t, pageName(katalog), page)
	assert.Equal(t, len(advanceAfterClaim(2, true).Drained), 0, "it has not released the shard")
	page, err := ownership.CompleteMove(page, 0, 2, newAgedChange(0))
	assert.NilError(t, err)
	f.store.set(t, pageName(katalog), page)
	assert.Equal(t, len(advanceAfterClaim(3, false).Drained), 0, "a request is running")

	assert.Equal(t, len(advanceAfterClaim(4, true).Drained), 0, "requests that an earlier gateway sent may still run")
	f.p.start = f.p.start.Add(-f.p.maxRequestTime(katalog))

	s := advanceAfterClaim(5, true)
	assert.DeepEqual(t, s.Drained, []string{"a"})
	assert.Equal(t, s.State, maintenance.Stopped)
	assert.Equal(t, countEvents(advanceAfterClaim(6, true), "drained"), 1)
	assert.Equal(t, f.store.puts, 3)
}

// TestTargetsOfOtherCellsAreNotReportedDrained: only the cell of a target's own gateway
// reports the target as drained.
func TestTargetsOfOtherCellsAreNotReportedDrained(t *testing.T) {
	f := newStopFixture(t, true)
	f.advanceRounds(2)
	f.p.cfg.DataCentre = "jb"
	receiveVoteRequest(f.p, 1, lease.VoteRequest{Claims: newClaims("a", true, true)})
	assert.Equal(t, len(f.advanceRounds(2).Drained), 0)
}
