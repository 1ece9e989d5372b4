package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// askedPlacers returns the placers that a router tries in order if each try fails at
// once.
func askedPlacers(r *Router, tries int) []string {
	var addrs []string
	own := true
	for i := range tries {
		addrs = append(addrs, r.placerAddr(own, i))
		own = r.shouldTryOwnPlacer(own, i)
	}
	return addrs
}

// TestPlacersAlternateAfterFailure checks that the router alternates between its own
// host's placer, which may be paused so that a try takes long, and the others. Before
// the router has a configuration it first repeats its own host's placer, which may be
// starting.
func TestPlacersAlternateAfterFailure(t *testing.T) {
	r := &Router{cfg: Config{Placers: []string{"own", "b", "c"}}}
	r.table.Store(&table{})
	assert.DeepEqual(t, askedPlacers(r, 6), []string{"own", "own", "own", "c", "own", "b"})
	r.table.Store(&table{configVersion: 1})
	assert.DeepEqual(t, askedPlacers(r, 5), []string{"own", "b", "own", "c", "own"})
	r.cfg.Placers = r.cfg.Placers[:1]
	assert.DeepEqual(t, askedPlacers(r, 2), []string{"own", "own"})
}
