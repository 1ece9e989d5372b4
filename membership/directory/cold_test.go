package directory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/membership/directory"
)

// A target must not count as cold for longer because its entry is applied late or again,
// nor turn warm because a later listing shows the same entry.
func TestColdTimeCountsFromFirstSighting(t *testing.T) {
	d := newDirectory()
	e := directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 2, ColdFor: 3 * second}
	put := func(at time.Duration) {
		d.RecordSighting(at, e)
		d.Put(e)
	}
	put(9 * second) // relayed a second later
	assert.Equal(t, d.ColdFor(10*second, "a"), 2*second)
	put(11 * second)
	assert.Equal(t, d.ColdFor(11*second, "a"), second)
	assert.Equal(t, d.ColdFor(20*second, "a"), time.Duration(0))
	assert.Equal(t, d.ColdFor(8*second, "a"), 3*second)
	put(10 * second) // an older copy arrives later, such as from another host
	assert.Equal(t, d.ColdFor(11*second, "a"), second)
	e.Heartbeat = 3
	put(20 * second)
	assert.Equal(t, d.ColdFor(21*second, "a"), 2*second)
	d.Remove(21*second, "a")
	assert.Equal(t, d.ColdFor(21*second, "a"), time.Duration(0))
}

// Only changes that other hosts do not expect are relayed: the cold time of an entry
// shrinks with every heartbeat.
func TestColdChanges(t *testing.T) {
	const tolerance = second / 2
	for name, c := range map[string]struct {
		before, after time.Duration
		want          bool
	}{
		"stays warm":         {0, 0, false},
		"turns cold":         {0, 1, true},
		"shrinks in time":    {3 * second, 2 * second, false},
		"shrinks sooner":     {3 * second, second, false},
		"shrinks late":       {3 * second, 2*second + tolerance, false},
		"grows":              {3 * second, 2*second + tolerance + 1, true},
		"stays as it was":    {3 * second, 3 * second, true},
		"is warm in time":    {second / 2, 0, true},
		"cold again, longer": {second / 2, second, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory()
			e := directory.Entry{Name: "a", Service: "s", Run: 1, Heartbeat: 2, ColdFor: c.before}
			d.RecordSighting(0, e)
			d.Put(e)
			e.Heartbeat, e.ColdFor = 3, c.after
			assert.Equal(t, d.HasTurnedCold(second, tolerance, e), c.want)
		})
	}
}
