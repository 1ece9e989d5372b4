package e2e_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/template"
)

const (
	connectedDC = 0 // the data centre that still reaches the platform
	isolatedDC  = 1 // the data centre that is cut off
	// takeoverTimeout fails a test whose keys are never taken over. It exceeds
	// the store lease, the wait before a takeover and a lost move, and does not
	// limit the speed of a takeover.
	takeoverTimeout = time.Minute
)

// twoDataCentres is a cluster of two cells under traffic. One of them gets cut
// off from the other and from the platform.
type twoDataCentres struct {
	*e2e.Cluster
	keys          []string
	connectedKeys []string
	isolatedKeys  []string
	traffic       *e2e.Traffic
}

func startTwoDataCentres(t *testing.T, opts e2e.Options) *twoDataCentres {
	t.Helper()
	opts.Cells, opts.Targets, opts.LinkHosts = 2, 2, true
	d := &twoDataCentres{keys: e2e.Keys(12)}
	d.Cluster = startCluster(t, opts, d.keys)
	var err error
	d.connectedKeys, err = d.KeysIn(connectedDC, d.keys)
	assert.NilError(t, err)
	d.isolatedKeys, err = d.KeysIn(isolatedDC, d.keys)
	assert.NilError(t, err)
	assert.Assert(t, len(d.connectedKeys) > 0 && len(d.isolatedKeys) > 0, "%d keys in the connected and %d in the isolated data centre", len(d.connectedKeys), len(d.isolatedKeys))
	d.traffic = d.StartTraffic(d.keys, 2*requestInterval, 3)
	time.Sleep(delayBeforeFailure)
	return d
}

// awaitServed waits until requests for all keys run through the hosts of a data
// centre.
func (d *twoDataCentres) awaitServed(t *testing.T, dc int, keys []string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), takeoverTimeout)
	defer cancel()
	assert.NilError(t, d.WaitServingAt(ctx, d.HostsIn(dc), keys))
}

// testCutDataCentreKeepsItsKeys checks that with when_cut = "keep" both data
// centres go on serving the keys that they own, the one that is cut off without
// access to the platform.
func testCutDataCentreKeepsItsKeys(t *testing.T) {
	d := startTwoDataCentres(t, e2e.Options{ChecksGrants: true, WhenCut: template.CutKeep})
	failure, err := d.CutDataCentre(isolatedDC)
	assert.NilError(t, err)
	for range 4 {
		time.Sleep(cutDuration) // leases granted before the cut have expired
		d.awaitServed(t, isolatedDC, d.isolatedKeys)
		d.awaitServed(t, connectedDC, d.connectedKeys)
	}
	runs, err := d.Runs()
	assert.NilError(t, err)
	for _, run := range runs {
		assert.Assert(t, run.Key == "" || d.IsTargetIn(isolatedDC, run.Target) == slices.Contains(d.isolatedKeys, run.Key), "%+v", run)
	}
	assert.NilError(t, failure.Heal())
	time.Sleep(delayAfterFailure)
	stopAndVerify(t, d.Cluster, d.traffic, d.keys)
}

// testCutDataCentreIsTakenOver checks that with when_cut = "move" the connected
// data centre takes over the keys of the one that is cut off, which stops
// serving them.
func testCutDataCentreIsTakenOver(t *testing.T) {
	d := startTwoDataCentres(t, e2e.Options{WhenCut: template.CutMove})
	failure, err := d.CutDataCentre(isolatedDC)
	assert.NilError(t, err)
	d.awaitServed(t, connectedDC, d.keys)
	time.Sleep(cutDuration)
	runs, err := d.Runs()
	assert.NilError(t, err)
	stale := e2e.RunsAtFormerOwner(runs, d.isolatedKeys, func(target string) bool { return d.IsTargetIn(connectedDC, target) })
	failIfAny(t, "runs at the isolated data centre after the takeover", stale)
	assert.NilError(t, failure.Heal())
	time.Sleep(delayAfterFailure)
	stopAndVerify(t, d.Cluster, d.traffic, d.keys)
}
