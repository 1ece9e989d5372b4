package ownership_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/ownership"
)

var (
	t1 = ownership.Place{Cell: "x", Target: "t1"}
	t2 = ownership.Place{Cell: "x", Target: "t2"}
	t3 = ownership.Place{Cell: "y", Target: "t3"}
)

func newPage(t *testing.T) ownership.Page {
	t.Helper()
	page, err := ownership.NewPage("s", 4, []ownership.Place{t1, t2}, ownership.Change{NowMS: 5, Reason: "first"})
	assert.NilError(t, err)
	return page
}

func TestNewPageAssignsShardsRoundRobin(t *testing.T) {
	page := newPage(t)
	for n, want := range []ownership.Place{t1, t2, t1, t2} {
		assert.Equal(t, page.Shards[n].Assignment, want.At(1))
	}
	assert.Equal(t, len(ownership.Check(page)), 0)
	_, err := ownership.NewPage("s", 4, nil, ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrNoTarget)
}

func TestBeginMoveStopsEpochOfAgreedNextOwner(t *testing.T) {
	page := newPage(t)
	page, err := ownership.SetNext(page, 0, t2, ownership.Change{})
	assert.NilError(t, err)
	moved, err := ownership.BeginMove(page, 0, t3, ownership.MoveLost, nil, ownership.Change{NowMS: 9, Reason: "lost"})
	assert.NilError(t, err)
	s := moved.Shards[0]
	assert.Equal(t, s.Assignment, t3.At(3))
	assert.DeepEqual(t, *s.Move, ownership.Move{From: t1.At(1), Kind: ownership.MoveLost, Stop: 2})
	assert.Equal(t, s.SinceMS, int64(9))
	assert.Equal(t, page.Shards[0].Epoch, ownership.Epoch(1), "the original page must not change")
}

func TestSupersedingMoveKeepsCellsOfEarlierOwners(t *testing.T) {
	page := newPage(t)
	page, err := ownership.BeginMove(page, 0, t3, ownership.MoveLost, nil, ownership.Change{})
	assert.NilError(t, err)
	_, err = ownership.BeginMove(page, 0, t1, ownership.MovePlanned, nil, ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrMoving)
	page, err = ownership.BeginMove(page, 0, t2, ownership.MoveLost, nil, ownership.Change{})
	assert.NilError(t, err)
	assert.DeepEqual(t, page.Shards[0].Cells(), []string{"x", "y"})
	assert.DeepEqual(t, *page.Shards[0].Move, ownership.Move{
		From: t3.At(2), Kind: ownership.MoveLost, Stop: 2, Cells: []string{"x"},
	})
}

func TestNextOwnerMustBeInSameCell(t *testing.T) {
	_, err := ownership.SetNext(newPage(t), 0, t3, ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrNextCell)
	_, err = ownership.BeginMove(newPage(t), 0, t3, ownership.MoveLost, &t1, ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrNextCell)
}

func TestReplacedNextOwnerGetsHigherEpoch(t *testing.T) {
	page, err := ownership.BeginMove(newPage(t), 0, t1, ownership.MoveLost, &t2, ownership.Change{})
	assert.NilError(t, err)
	assert.Equal(t, page.Shards[0].Next.Epoch, ownership.Epoch(3))
	page, err = ownership.SetNext(page, 0, ownership.Place{Cell: "x", Target: "t9"}, ownership.Change{})
	assert.NilError(t, err)
	assert.Equal(t, page.Shards[0].Next.Epoch, ownership.Epoch(4))
}

func TestCompleteMove(t *testing.T) {
	page, err := ownership.BeginMove(newPage(t), 0, t2, ownership.MoveLost, &t1, ownership.Change{})
	assert.NilError(t, err)
	_, err = ownership.CompleteMove(page, 0, 1, ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrEpoch)
	_, err = ownership.CompleteMove(page, 9, 1, ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrNoShard)
	done, err := ownership.CompleteMove(page, 0, 2, ownership.Change{})
	assert.NilError(t, err)
	assert.Assert(t, done.Shards[0].Move == nil)
	taken, err := ownership.CompleteMove(page, 0, 3, ownership.Change{})
	assert.NilError(t, err)
	assert.Equal(t, taken.Shards[0].Assignment, t1.At(3))
	assert.Assert(t, taken.Shards[0].Next == nil)
}

func TestPinReusesFreePin(t *testing.T) {
	page, err := ownership.Pin(newPage(t), "hot", t3, ownership.Change{})
	assert.NilError(t, err)
	n, s := page.Lookup("hot")
	assert.Equal(t, n, uint32(4))
	assert.Equal(t, s.Assignment, t3.At(1))
	home := ownership.ShardOf("hot", 4)
	assert.DeepEqual(t, s.Move.AlsoStop, []ownership.ShardStop{{Shard: home, Epoch: 1, Cells: []string{"x"}}})
	_, err = ownership.Pin(page, "hot", t1, ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrPinned)
	_, err = ownership.Unpin(page, "hot", ownership.Change{})
	assert.ErrorIs(t, err, ownership.ErrMoving)

	page = completeMove(t, page, home, 2)
	page = completeMove(t, page, 4, 1)
	page, err = ownership.Unpin(page, "hot", ownership.Change{})
	assert.NilError(t, err)
	n, _ = page.Lookup("hot")
	assert.Equal(t, n, home)
	page = completeMove(t, page, home, 3)
	page, err = ownership.Pin(page, "hot", t1, ownership.Change{})
	assert.NilError(t, err)
	n, s = page.Lookup("hot")
	assert.Equal(t, n, uint32(4))
	assert.Assert(t, s.Epoch > 1, "a reused pin must get an epoch above its earlier ones")
}

func completeMove(t *testing.T, page ownership.Page, shard uint32, epoch ownership.Epoch) ownership.Page {
	t.Helper()
	page, err := ownership.CompleteMove(page, shard, epoch, ownership.Change{})
	assert.NilError(t, err)
	return page
}

func TestCheckReportsEveryViolation(t *testing.T) {
	page := newPage(t)
	page.Shards = page.Shards[:3]
	page.Shards[0].Epoch = 0
	page.Shards[1].Target = ""
	next := t3.At(1)
	page.Shards[2].Next = &next
	page.Shards[2].Move = &ownership.Move{From: t1.At(1), Kind: "odd", Stop: 1}
	var lines []string
	for _, finding := range ownership.Check(page) {
		lines = append(lines, finding.String())
	}
	assert.DeepEqual(t, lines, []string{
		"shard 0: the number of shards, 3, is not a power of two",
		"shard 0: the shard has no epoch",
		"shard 1: the shard has no owner",
		"shard 2: the next owner's epoch is not above the owner's",
		"shard 2: the next owner is of another cell than the owner",
		"shard 2: the move stops the epoch of its new owner",
		`shard 2: unknown kind of move "odd"`,
	})
}

// TestRandomChangesKeepInvariants applies random sequences of changes and checks
// every page and every step.
func TestRandomChangesKeepInvariants(t *testing.T) {
	places := []ownership.Place{t1, t2, t3}
	rapid.Check(t, func(rt *rapid.T) {
		page := newPage(t)
		for range 40 {
			next, err := randomChange(rt, page, places)
			if err != nil {
				continue
			}
			assert.DeepEqual(rt, ownership.Check(next), []ownership.Finding(nil))
			assert.DeepEqual(rt, ownership.CheckStep(page, next), []ownership.Finding(nil))
			page = next
		}
	})
}

func randomChange(rt *rapid.T, page ownership.Page, places []ownership.Place) (ownership.Page, error) {
	n := rapid.Uint32Range(0, uint32(len(page.Shards)+len(page.Pins))-1).Draw(rt, "shard")
	place := rapid.SampledFrom(places).Draw(rt, "place")
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
	s, _ := page.Shard(n)
	if s.Target == "" {
		return page, nil
	}
	switch rapid.IntRange(0, 6).Draw(rt, "change") {
	case 0:
		return ownership.BeginMove(page, n, place, ownership.MoveLost, nil, ownership.Change{})
	case 1:
		return ownership.BeginMove(page, n, place, ownership.MovePlanned, &place, ownership.Change{})
	case 2:
		return ownership.SetNext(page, n, place, ownership.Change{})
	case 3:
		return ownership.CompleteMove(page, n, s.HighestEpoch(), ownership.Change{})
	case 4:
		return ownership.CompleteMove(page, n, s.Epoch, ownership.Change{})
	case 5:
		return ownership.Pin(page, key, place, ownership.Change{})
	default:
		return ownership.Unpin(page, key, ownership.Change{})
	}
}

func TestConfirm(t *testing.T) {
	own := ownership.Stamp{Host: "a", Incarnation: 1, Write: 7}
	other := ownership.Stamp{Host: "b", Incarnation: 1, Write: 2}
	cases := []struct {
		name    string
		stamp   ownership.Stamp
		version uint64
		want    ownership.Outcome
	}{
		{"own write is in place", own, 11, ownership.OutcomeApplied},
		{"object is unchanged", other, 10, ownership.OutcomeNotApplied},
		{"another writer wrote before or after", other, 12, ownership.OutcomeSuperseded},
		{"earlier write of the same incarnation", ownership.Stamp{Host: "a", Incarnation: 1, Write: 6}, 11, ownership.OutcomeSuperseded},
		{"write of an earlier incarnation", ownership.Stamp{Host: "a", Write: 7}, 11, ownership.OutcomeSuperseded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, ownership.Confirm(own, 10, c.stamp, c.version), c.want)
		})
	}
}

// losingStore applies conditional updates but loses every answer.
type losingStore struct {
	page    ownership.Page
	version uint64
}

func (s *losingStore) put(expected uint64, page ownership.Page) {
	if expected == s.version {
		s.page = page
		s.version++
	}
}

// TestConfirmAfterLostAnswer moves a shard in a store that loses the answer. A
// writer that reads the object back must learn the true outcome; one that
// treats a missing answer as failure gets it wrong, which shows that the test
// detects the fault.
func TestConfirmAfterLostAnswer(t *testing.T) {
	readsBack := func(s *losingStore, stamp ownership.Stamp, expected uint64) bool {
		return ownership.Confirm(stamp, expected, s.page.Stamp, s.version) == ownership.OutcomeApplied
	}
	givesUp := func(*losingStore, ownership.Stamp, uint64) bool { return false }
	reportsTrueOutcome := func(accepted func(*losingStore, ownership.Stamp, uint64) bool) bool {
		store := &losingStore{page: newPage(t), version: 3}
		stamp := ownership.Stamp{Host: "a", Incarnation: 1, Write: 1}
		page, err := ownership.BeginMove(store.page, 0, t2, ownership.MoveLost, nil, ownership.Change{Stamp: stamp})
		assert.NilError(t, err)
		store.put(3, page)
		applied := store.page.Shards[0].Target == t2.Target
		return accepted(store, stamp, 3) == applied
	}
	assert.Assert(t, reportsTrueOutcome(readsBack))
	assert.Assert(t, !reportsTrueOutcome(givesUp), "the test does not detect a lost answer that is treated as failure")
}

func TestPageJSONRoundTrip(t *testing.T) {
	page, err := ownership.Pin(newPage(t), "hot", t3, ownership.Change{Stamp: ownership.Stamp{Host: "a", Write: 1}})
	assert.NilError(t, err)
	data, err := json.Marshal(page)
	assert.NilError(t, err)
	var decoded ownership.Page
	assert.NilError(t, json.Unmarshal(data, &decoded))
	assert.Assert(t, ownership.EqualIgnoringStamp(page, decoded))
}
