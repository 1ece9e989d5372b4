package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/lease/era"
)

var timing = coordinator.Timing{Term: 2500 * time.Millisecond, Margin: 400 * time.Millisecond, Renew: 800 * time.Millisecond, Yield: time.Second}

const ms = time.Millisecond

func record(host int) coordinator.Record {
	return coordinator.Record{Holder: fmt.Sprintf("h%d", host), Run: int64(host), Addr: fmt.Sprintf("10.0.0.%d:1", host)}
}

func TestMissingRecordIsTakenAtOnce(t *testing.T) {
	e := coordinator.New(record(1), timing)
	_, due := e.Next(0)
	assert.Assert(t, !due, "the record was not read yet")
	e.Observe(0, 0, coordinator.Record{})
	w, due := e.Next(0)
	assert.Assert(t, due)
	assert.Equal(t, w.Expected, uint64(0))
	assert.Assert(t, !e.Holds(0), "the write was not acknowledged")
	e.Acknowledged(50*time.Millisecond, 10*time.Millisecond, 7, w)
	assert.Assert(t, e.Holds(10*time.Millisecond+timing.Term-1))
	assert.Assert(t, !e.Holds(10*time.Millisecond+timing.Term), "the term counts from the send")
}

func TestAnotherHostWaitsForTermAndMargin(t *testing.T) {
	e := coordinator.New(record(2), timing)
	e.Observe(time.Second, 7, record(1))
	_, due := e.Next(time.Second + timing.Term)
	assert.Assert(t, !due)
	e.Observe(2*time.Second, 8, record(1))
	_, due = e.Next(time.Second + timing.Term + timing.Margin)
	assert.Assert(t, !due, "it was renewed since")
	w, due := e.Next(2*time.Second + timing.Term + timing.Margin)
	assert.Assert(t, due)
	assert.Equal(t, w.Expected, uint64(8))
}

func TestProcessTakesOverFromPredecessorAtOnce(t *testing.T) {
	before := record(1)
	before.Run = 99
	e := coordinator.New(record(1), timing)
	e.Observe(0, 7, before)
	_, due := e.Next(0)
	assert.Assert(t, due)

	elsewhere := before
	elsewhere.Addr = "10.0.0.9:1"
	e = coordinator.New(record(1), timing)
	e.Observe(0, 7, elsewhere)
	_, due = e.Next(0)
	assert.Assert(t, !due, "a host of that name at another address may still run")
}

func TestUnansweredWriteDoesNotGiveRole(t *testing.T) {
	e := coordinator.New(record(1), timing)
	e.Observe(0, 0, coordinator.Record{})
	w, _ := e.Next(0)
	e.Failed(time.Second)
	e.Observe(1100*time.Millisecond, 7, w.Record) // the write took effect after all
	assert.Assert(t, !e.Holds(1100*time.Millisecond))
	w, due := e.Next(2 * time.Second)
	assert.Assert(t, due, "the holder renews to learn whether it holds the role")
	assert.Equal(t, w.Expected, uint64(7))
}

// The coordinator stops as planned, or gives the role to a host with more capacity.
func TestResignedRoleIsTakenAfterStagger(t *testing.T) {
	e := coordinator.New(record(1), timing)
	e.Observe(0, 0, coordinator.Record{})
	w, _ := e.Next(0)
	e.Acknowledged(0, 0, 7, w)
	w, ok := e.Resign(time.Second, 1500*time.Millisecond, time.Microsecond)
	assert.Assert(t, ok)
	assert.Assert(t, !e.Holds(time.Second), "a resigned host does not hold the role")
	e.Acknowledged(time.Second, time.Second, 8, w)
	assert.Assert(t, !e.Holds(time.Second))

	other := coordinator.New(record(2), timing)
	other.SetStagger(100 * time.Millisecond)
	other.Observe(2*time.Second, 8, w.Record)
	_, due := other.Next(2*time.Second + 99*time.Millisecond)
	assert.Assert(t, !due)
	taken, due := other.Next(2*time.Second + 100*time.Millisecond)
	assert.Assert(t, due)
	other.Acknowledged(2200*time.Millisecond, 2100*time.Millisecond, 9, taken)
	before, seenAt := other.Predecessor()
	assert.Equal(t, seenAt, 2*time.Second)
	assert.Equal(t, before.EndMs, int64(1500))
	assert.Equal(t, before.UnclearMs, int64(1), "rounded up")
	assert.Assert(t, !taken.Record.Resigned)

	_, due = e.Next(time.Second + timing.Term + timing.Margin)
	assert.Assert(t, !due, "other hosts come first")
	_, due = e.Next(time.Second + timing.Term + timing.Margin + timing.Yield)
	assert.Assert(t, due, "no other host took the role")
}

// The store was unreachable for longer than a term, and all hosts check at once whether
// it is back. The hosts with a short stagger must come first, not the one that checks
// first.
// A host takes over from one that resigned, loses the role in an outage of the store, and
// takes it again. What the resigned one left behind says nothing about the grants of its
// own lapsed term: it is its own predecessor then, one that has not resigned.
func TestHostThatRetakesLapsedRoleIsItsOwnPredecessor(t *testing.T) {
	resigned := record(1)
	resigned.Resigned, resigned.EndMs = true, 4739
	e := coordinator.New(record(2), timing)
	e.Observe(0, 7, resigned)
	w, due := e.Next(0)
	assert.Assert(t, due)
	e.Acknowledged(ms, 0, 8, w)
	before, _ := e.Predecessor()
	assert.Assert(t, before.Resigned)

	w, due = e.Next(timing.Renew)
	assert.Assert(t, due)
	e.Acknowledged(timing.Renew+ms, timing.Renew, 9, w)
	before, _ = e.Predecessor()
	assert.Assert(t, before.Resigned, "a renewal in time changes nothing")

	_, due = e.Next(2 * timing.Renew)
	assert.Assert(t, due)
	e.Failed(2*timing.Renew + ms) // the store is away
	lapsed := timing.Renew + timing.Term
	assert.Assert(t, !e.Holds(lapsed))
	e.StoreAnswered(lapsed + time.Second)
	w, due = e.Next(lapsed + time.Second)
	assert.Assert(t, due)
	e.Acknowledged(lapsed+time.Second+ms, lapsed+time.Second, 10, w)
	assert.Assert(t, e.Holds(lapsed+time.Second+ms))
	before, seenAt := e.Predecessor()
	assert.Assert(t, !before.Resigned, "%+v", before)
	assert.Equal(t, before.Holder, record(2).Holder)
	assert.Equal(t, seenAt, timing.Renew+ms)
}

func TestStaggerDelaysRetryWhenStoreIsBack(t *testing.T) {
	slow := coordinator.New(record(1), timing)
	slow.SetStagger(3 * time.Second)
	slow.Observe(0, 7, record(9))
	_, due := slow.Next(6 * time.Second)
	assert.Assert(t, due)
	slow.Failed(6100 * time.Millisecond)
	_, due = slow.Next(10 * time.Second)
	assert.Assert(t, !due, "the store has not answered")
	slow.StoreAnswered(11 * time.Second)
	_, due = slow.Next(13900 * time.Millisecond)
	assert.Assert(t, !due)
	_, due = slow.Next(14 * time.Second)
	assert.Assert(t, due)
}

func TestOlderObservationIsIgnored(t *testing.T) {
	e := coordinator.New(record(2), timing)
	e.Observe(0, 8, record(3))
	e.Observe(time.Second, 7, record(1))
	assert.Equal(t, e.LastRecord().Holder, "h3")
}

const firstEra = 1

// observeInEra2 lets a host that has seen a record in the first era see another one, or
// none, in the second.
func observeInEra2(e *coordinator.Election, now time.Duration, revision uint64, r coordinator.Record) {
	first := record(3)
	first.Era = firstEra
	e.Observe(0, era.Version(firstEra, 7), first)
	e.Observe(now, era.Version(2, revision), r)
}

// The last holder before a restore may run for another Term, also where the store shows
// that the role was resigned, that this host had it, or nothing.
func TestRestoredRecordProvesNothing(t *testing.T) {
	own, resigned, previousRun := record(2), record(1), record(2)
	resigned.Resigned, previousRun.Run = true, 99
	for name, shown := range map[string]struct {
		revision uint64
		record   coordinator.Record
	}{
		"another holder": {5, record(1)}, "resigned": {5, resigned}, "own": {5, own}, "previous run": {5, previousRun}, "none": {0, coordinator.Record{}},
		"a higher revision": {9, resigned},
	} {
		t.Run(name, func(t *testing.T) {
			shown.record.Era = firstEra
			e := coordinator.New(own, timing)
			observeInEra2(e, time.Second, shown.revision, shown.record)
			_, due := e.Next(time.Second + timing.Term + timing.Margin - ms)
			assert.Assert(t, !due)
			now := time.Second + timing.Term + timing.Margin
			w, due := e.Next(now)
			assert.Assert(t, due)
			assert.Equal(t, w.Expected, era.Version(2, shown.revision))
			assert.Equal(t, w.Record.Era, uint64(2))
			e.Acknowledged(now, now, era.Version(2, 10), w)
			assert.Assert(t, e.Holds(now))
			before, _ := e.Predecessor()
			assert.Equal(t, before, coordinator.Record{}, "its grants are unknown")
		})
	}
}

// A process that starts after the restore has seen no earlier era, and must wait too.
func TestNewHostInLaterEra(t *testing.T) {
	e := coordinator.New(record(2), timing)
	e.Observe(0, era.Version(2, 0), coordinator.Record{})
	_, due := e.Next(timing.Term)
	assert.Assert(t, !due)
	// Without a restore the role is free at once.
	e = coordinator.New(record(2), timing)
	e.Observe(0, era.Version(firstEra, 0), coordinator.Record{})
	_, due = e.Next(0)
	assert.Assert(t, due)
}

// A coordinator ends at once when it hears of a new era, and neither a late answer of the
// era before nor its own record in the restored store brings the role back.
func TestRoleEndsWithEra(t *testing.T) {
	e := coordinator.New(record(1), timing)
	e.Observe(0, era.Version(firstEra, 0), coordinator.Record{})
	w, _ := e.Next(0)
	e.Acknowledged(0, 0, era.Version(firstEra, 7), w)
	assert.Assert(t, e.Holds(ms))
	renewal, due := e.Next(timing.Renew)
	assert.Assert(t, due)
	e.ObserveEra(timing.Renew, 2)
	assert.Assert(t, !e.Holds(timing.Renew))
	e.Acknowledged(timing.Renew, timing.Renew, era.Version(firstEra, 8), renewal)
	assert.Assert(t, !e.Holds(timing.Renew))
	e.Observe(time.Second, era.Version(2, 7), w.Record)
	assert.Assert(t, !e.Holds(time.Second))
	e.Observe(time.Second, era.Version(firstEra, 9), record(3))
	assert.Equal(t, e.LastRecord().Holder, "h1", "an answer of an earlier era is ignored")
}

// The host whose role ended with the era takes it again at once, unless another one was
// first.
func TestLastHolderKeepsRole(t *testing.T) {
	holder := func() (*coordinator.Election, coordinator.Write) {
		e := coordinator.New(record(1), timing)
		e.Observe(0, era.Version(firstEra, 0), coordinator.Record{})
		w, _ := e.Next(0)
		e.Acknowledged(0, 0, era.Version(firstEra, 7), w)
		assert.Assert(t, !e.FollowsItself())
		e.ObserveEra(time.Second, 2)
		assert.Assert(t, e.KeepsRole() && !e.Holds(time.Second))
		return e, w
	}
	e, w := holder()
	e.Observe(time.Second, era.Version(2, 5), w.Record)
	w, due := e.Next(time.Second)
	assert.Assert(t, due)
	e.Acknowledged(time.Second, time.Second, era.Version(2, 6), w)
	assert.Assert(t, e.Holds(time.Second) && e.FollowsItself() && !e.KeepsRole())

	e, _ = holder()
	other := record(3)
	other.Era = 2
	e.Observe(time.Second, era.Version(2, 8), other)
	assert.Assert(t, !e.KeepsRole())
	_, due = e.Next(time.Second + timing.Term)
	assert.Assert(t, !due)

	e, _ = holder()
	e.ObserveEra(time.Second+timing.Term, 3) // nothing is known of who had it in the second
	assert.Assert(t, !e.KeepsRole())
}

// model is a store and hosts whose clocks continue while their processes are paused.
type model struct {
	now        time.Duration
	era        uint64
	revision   uint64
	record     coordinator.Record
	copies     []copyOfStore
	hosts      []*host
	lateWrites []lateWrite
	runs       int64

	calm  int // steps between two restores
	awake int // steps of a host between two freezes
}

// copyOfStore is what the store may come back with.
type copyOfStore struct {
	revision uint64
	record   coordinator.Record
}

type host struct {
	*coordinator.Election
	pausedUntil   time.Duration
	unreadAnswers []func(now time.Duration) // not yet read by the host
}

type lateWrite struct {
	at time.Duration
	w  coordinator.Write
}

func (w *model) version() uint64 { return era.Version(w.era, w.revision) }

// put applies a write as the store does, which compares revisions alone: one of an
// earlier era may match.
func (w *model) put(write coordinator.Write) (uint64, bool) {
	if era.Revision(write.Expected) != w.revision {
		return 0, false
	}
	w.copies = append(w.copies, copyOfStore{w.revision, w.record})
	w.revision++
	w.record = write.Record
	return w.version(), true
}

// restore lets the store come back from one of its last copies, or empty.
func (w *model) restore(t *rapid.T) {
	w.era++
	c := copyOfStore{}
	if back := rapid.IntRange(0, 6).Draw(t, "writes lost"); back < len(w.copies) {
		c = w.copies[len(w.copies)-1-back]
	}
	w.revision, w.record = c.revision, c.record
}

// restart replaces a host's process by another one at the same address.
func (w *model) restart(i int) {
	self := record(i)
	w.runs++
	self.Run = 100 + w.runs
	w.hosts[i] = &host{Election: coordinator.New(self, timing)}
}

// step lets one host act, with randomly drawn lost answers, late writes, stale reads
// and pauses.
func (w *model) step(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
	for len(w.lateWrites) > 0 && w.lateWrites[0].at <= w.now {
		w.put(w.lateWrites[0].w)
		w.lateWrites = w.lateWrites[1:]
	}
	// rapid draws small numbers more often than others.
	switch w.calm - rapid.IntRange(0, w.calm).Draw(t, "event") {
	case 3:
		w.restore(t)
	case 4:
		w.restart(rapid.IntRange(0, len(w.hosts)-1).Draw(t, "restarted"))
	}
	h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
	if w.now < h.pausedUntil {
		return
	}
	for _, answer := range h.unreadAnswers {
		answer(w.now)
	}
	h.unreadAnswers = nil
	if rapid.IntRange(0, 9).Draw(t, "read") < 7 {
		h.Observe(w.now, w.version(), w.record)
	}
	if write, due := h.Next(w.now); due {
		w.send(t, h, write)
	}
	if rapid.IntRange(0, 19).Draw(t, "resign") == 0 {
		if write, ok := h.Resign(w.now, time.Second, 0); ok {
			w.send(t, h, write)
		}
	}
	if rapid.IntRange(0, w.awake).Draw(t, "freeze") == 0 {
		h.pausedUntil = w.now + time.Duration(rapid.IntRange(100, 6000).Draw(t, "freeze ms"))*time.Millisecond
	}
}

func (w *model) send(t *rapid.T, h *host, write coordinator.Write) {
	sentAt := w.now
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0: // not applied
		h.unreadAnswers = append(h.unreadAnswers, func(now time.Duration) { h.Failed(now) })
	case 1: // applied, not answered
		w.put(write)
		h.unreadAnswers = append(h.unreadAnswers, func(now time.Duration) { h.Failed(now) })
	case 2: // applied later, if its condition still holds
		w.lateWrites = append(w.lateWrites, lateWrite{w.now + 2*time.Second, write})
		h.unreadAnswers = append(h.unreadAnswers, func(now time.Duration) { h.Failed(now) })
	default:
		version, ok := w.put(write)
		// The client compares the era of the answer with that of the condition.
		ok = ok && era.Of(write.Expected) == w.era
		h.unreadAnswers = append(h.unreadAnswers, func(now time.Duration) {
			if ok {
				h.Acknowledged(now, sentAt, version, write)
			} else {
				h.Failed(now)
			}
		})
	}
}

// TestAtMostOneCoordinator fails for an election that counts its term from the
// acknowledgement, takes a record before Term, treats an unanswered write as applied,
// applies an older version, or trusts what a restored store shows of the last holder.
func TestAtMostOneCoordinator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{era: firstEra, calm: rapid.SampledFrom([]int{19, 59}).Draw(t, "calm"), awake: rapid.SampledFrom([]int{3, 19}).Draw(t, "awake")}
		for i := range 3 {
			w.hosts = append(w.hosts, &host{Election: coordinator.New(record(i), timing)})
		}
		for range 300 {
			w.step(t)
			holders := 0
			for _, h := range w.hosts {
				if h.Holds(w.now) {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d coordinators at %v", holders, w.now)
			}
		}
	})
}
