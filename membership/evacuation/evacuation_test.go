package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/membership/evacuation"
)

const (
	second = time.Second
	settle = 2 * second
	cold   = 10 * second
)

func entry(target string, run int64, heartbeat uint64) evacuation.Entry {
	return evacuation.Entry{Target: target, DataCentre: "x", Run: run, Heartbeat: heartbeat}
}

// endedAt0 returns a state with an evacuation of x that ended at 0, when the target a
// was known with heartbeat 7 of run 5.
func endedAt0(t *testing.T) *evacuation.State {
	t.Helper()
	s := evacuation.New(settle)
	assert.Equal(t, len(s.Set(-second, "x", true, nil)), 1)
	other := entry("b", 5, 7)
	other.DataCentre = "y"
	assert.Equal(t, len(s.Set(0, "x", false, []evacuation.Entry{entry("a", 5, 7), other})), 1)
	return s
}

// Several evacuations are in force at once, one ends and begins again, and a listing
// replaces what is known. A name that nothing is known of is only a name.
func TestEvacuationsBeginAndEnd(t *testing.T) {
	s := evacuation.New(settle)
	s.RecordAnswer()
	assert.Assert(t, !s.IsKnown())
	changes := s.Replace(0, []string{"x", "y"}, nil)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, s.IsKnown() && s.IsEvacuated("x") && s.IsEvacuated("y") && !s.IsEvacuated("z"))
	assert.Equal(t, len(s.Replace(second, []string{"y", "x"}, nil)), 0, "the same list")
	assert.DeepEqual(t, s.Set(second, "x", false, nil), []evacuation.Change{{DataCentre: "x"}})
	assert.Assert(t, !s.IsEvacuated("x") && s.IsEvacuated("y"))
	assert.Equal(t, len(s.Set(second, "x", false, nil)), 0, "removed twice")
	assert.Equal(t, len(s.Set(second, "nowhere", false, nil)), 0)
	assert.Equal(t, len(s.Set(second, "x", true, nil)), 1)
	assert.Assert(t, s.IsEvacuated("x"))
	assert.Equal(t, s.ColdFor(second, "a", "x", cold), time.Duration(0), "the former end has no effect while it is evacuated again")
	assert.Equal(t, s.Count(), 2)
	assert.Equal(t, len(s.Replace(2*second, nil, nil)), 2)
	assert.Equal(t, s.Count(), 0)
	assert.Equal(t, s.ColdFor(2*second, "a", "x", cold), cold, "the second end counts anew")
}

// A listing after the host's start shows no ends: nothing may be cold because of it.
func TestFirstListingIsNoEnd(t *testing.T) {
	s := evacuation.New(settle)
	s.Replace(0, nil, nil)
	assert.Equal(t, s.ColdFor(0, "a", "x", cold), time.Duration(0))
	assert.Assert(t, !s.IsKnown(), "the listing may be old")
}

// After an evacuation a target that has become cold must not get full load because of an
// entry from before the end, and one that says it is warm must not be spared.
func TestTargetsMayBeColdUntilTheyWriteAgain(t *testing.T) {
	for name, c := range map[string]struct {
		seen     evacuation.Entry
		at       time.Duration
		mayBe    bool
		reported bool
	}{
		"no entry of its own":          {entry("c", 1, 1), 3 * second, true, true},
		"same entry, listed again":     {entry("a", 5, 7), 3 * second, true, false},
		"earlier entry, relayed late":  {entry("a", 5, 6), 3 * second, true, false},
		"earlier run":                  {entry("a", 4, 99), 3 * second, true, false},
		"next entry at once":           {entry("a", 5, 8), second, true, false},
		"next entry":                   {entry("a", 5, 8), settle, false, true},
		"next run":                     {entry("a", 6, 1), settle, false, true},
		"entry of another data centre": {evacuation.Entry{Target: "a", DataCentre: "y", Run: 5, Heartbeat: 9}, 3 * second, true, false},
		"much later entry":             {entry("a", 5, 1<<60), 3 * second, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := endedAt0(t)
			assert.Equal(t, s.Observe(c.at, c.seen), c.reported)
			want := time.Duration(0)
			if c.mayBe {
				want = cold - c.at
			}
			assert.Equal(t, s.ColdFor(c.at, "a", "x", cold), want)
		})
	}
	s := endedAt0(t)
	assert.Equal(t, s.ColdFor(second, "b", "y", cold), time.Duration(0), "another data centre")
	assert.Equal(t, s.ColdFor(cold, "a", "x", cold), time.Duration(0), "no target is cold for longer")
	assert.Equal(t, s.ColdFor(second, "a", "x", 0), time.Duration(0), "a service without cold targets")
}

// The entry that is seen at once after the end may be from before it; the next is not.
func TestEntrySeenAtOnceCountsAsFromBefore(t *testing.T) {
	s := endedAt0(t)
	assert.Assert(t, !s.Observe(second, entry("a", 5, 9)))
	assert.Assert(t, !s.Observe(3*second, entry("a", 5, 9)))
	assert.Assert(t, s.ColdFor(3*second, "a", "x", cold) > 0)
	assert.Assert(t, s.Observe(3*second, entry("a", 5, 10)))
	assert.Assert(t, s.Observe(4*second, entry("a", 5, 11)), "hosts may have learnt of the end after the first")
	assert.Assert(t, !s.Observe(5*second, entry("a", 5, 12)), "heartbeats are not passed on for ever")
	assert.Equal(t, s.ColdFor(5*second, "a", "x", cold), time.Duration(0))
}

// Ends do not stay in memory for ever.
func TestOldEndsAreForgotten(t *testing.T) {
	s := endedAt0(t)
	s.Set(time.Hour, "z", true, nil)
	assert.Assert(t, !s.Observe(time.Hour, entry("a", 5, 100)))
}
