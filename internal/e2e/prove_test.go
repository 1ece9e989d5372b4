package e2e_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// Proofs are run with MANGOPOST_PROVE=1 (make prove). MANGOPOST_PROVE_LOSSES
// sets how often each failure is injected. MANGOPOST_PROVE_ONLY selects the
// rows whose failure name contains it.
const (
	proveVariable  = "MANGOPOST_PROVE"
	lossesVariable = "MANGOPOST_PROVE_LOSSES"
	filterVariable = "MANGOPOST_PROVE_ONLY"
	defaultLosses  = 10

	servedAgainLimit     = time.Second
	leavingLimit         = 2 * time.Second
	proofRequestInterval = 25 * time.Millisecond
	delayBetweenLosses   = 1500 * time.Millisecond // between two injections
	leavingFailure       = "host list shows it as leaving"
	storeDelayMS         = 30 // one way, like a store in another region
)

// proof is a guarantee that is measured under a failure. Its result is one row of
// the results table.
type proof struct {
	guarantee   string
	failureName string
	opts        e2e.Options
	inject      e2e.Inject
	duration    time.Duration
	limit       time.Duration
	// measure returns the durations measured for one injection.
	measure func(runs []judge.Run, keys []string, f e2e.Failure, healed int64) ([]time.Duration, error)
	claimed bool // the test fails if the guarantee does not hold
}

// measureRecovery measures the time until each key that lost its owner or
// gateway is served again. It measures all keys if the failure lists none.
func measureRecovery(runs []judge.Run, keys []string, f e2e.Failure, _ int64) ([]time.Duration, error) {
	if len(f.LostKeys) > 0 {
		keys = f.LostKeys
	}
	times, missing := e2e.RecoveryTimes(runs, keys, f.At)
	if len(missing) > 0 {
		return times, fmt.Errorf("keys never served again: %v", missing)
	}
	return times, nil
}

// measureLongestGap measures the longest time for which any key was not served
// during the failure.
func measureLongestGap(runs []judge.Run, keys []string, f e2e.Failure, healed int64) ([]time.Duration, error) {
	return []time.Duration{e2e.LongestGap(runs, keys, f.At, healed)}, nil
}

// measureLongestGapOfLostKeys is like measureLongestGap, but only for the keys
// that the failure lists as lost.
func measureLongestGapOfLostKeys(runs []judge.Run, _ []string, f e2e.Failure, healed int64) ([]time.Duration, error) {
	return []time.Duration{e2e.LongestGap(runs, f.LostKeys, f.At, healed)}, nil
}

func proofs() []proof {
	const (
		servedAgain      = "key served again"
		servedThroughout = "key served throughout"
		duration         = 1500 * time.Millisecond
		outage           = 3 * time.Second
		shortDelay       = 300 * time.Millisecond
		longDelay        = 8 * time.Second
		checksGrants     = true
	)
	checkingTargets := e2e.Options{ChecksGrants: checksGrants}
	uncheckedTargets := e2e.Options{}
	linked := e2e.Options{ChecksGrants: checksGrants, LinkTargets: true}
	down := e2e.PlatformFaults(standin.PlatformFaults{Down: true})
	slow := e2e.PlatformFaults(standin.PlatformFaults{SlowMS: 2 * storeDelayMS})
	rows := []proof{
		{servedAgain, "router killed", checkingTargets, (*e2e.Cluster).KillRouter, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "router killed, unchecked targets", uncheckedTargets, (*e2e.Cluster).KillRouter, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "router paused", checkingTargets, (*e2e.Cluster).PauseRouter, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "host killed", checkingTargets, (*e2e.Cluster).KillHost, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "target killed", checkingTargets, (*e2e.Cluster).KillTarget, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "target killed, unchecked targets", uncheckedTargets, (*e2e.Cluster).KillTarget, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "target paused", checkingTargets, (*e2e.Cluster).PauseTarget, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "target cut off", linked, (*e2e.Cluster).CutTarget, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "target killed, store 30 ms away", checkingTargets, e2e.Combine(slow, shortDelay, (*e2e.Cluster).KillTarget), duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "router killed, store 30 ms away", checkingTargets, e2e.Combine(slow, shortDelay, (*e2e.Cluster).KillRouter), duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "router killed, store long down", checkingTargets, e2e.Combine(down, longDelay, (*e2e.Cluster).KillRouter), duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "target killed, store long down", checkingTargets, e2e.Combine(down, longDelay, (*e2e.Cluster).KillTarget), duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "router killed, store just down", checkingTargets, e2e.Combine(down, shortDelay, (*e2e.Cluster).KillRouter), duration, servedAgainLimit, measureRecovery, true},
		{servedThroughout, "router ends at SIGTERM", checkingTargets, (*e2e.Cluster).StopRouter, outage, servedAgainLimit, measureLongestGapOfLostKeys, true},
		{servedThroughout, "router ends at SIGTERM, unchecked targets", uncheckedTargets, (*e2e.Cluster).StopRouter, outage, servedAgainLimit, measureLongestGapOfLostKeys, true},
		{servedThroughout, "router is back", checkingTargets, (*e2e.Cluster).RestartRouter, longDelay, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "placer killed", checkingTargets, (*e2e.Cluster).KillActingPlacer, duration, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "store down", checkingTargets, down, outage, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "store 500 ms slow", checkingTargets, e2e.PlatformFaults(standin.PlatformFaults{SlowMS: 500}), outage, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "store loses answers", checkingTargets, e2e.PlatformFaults(standin.PlatformFaults{LoseAnswerEvery: 1}), outage, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "acting placer cut from store", checkingTargets, (*e2e.Cluster).CutPlatform, outage, servedAgainLimit, measureLongestGap, true},
	}
	return append(rows, stopProofs()...)
}

func lossCount(t *testing.T) int {
	text := os.Getenv(lossesVariable)
	if text == "" {
		return defaultLosses
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

func TestProofs(t *testing.T) {
	if os.Getenv(proveVariable) == "" {
		t.Skip("runs with " + proveVariable + "=1 only: its verdicts depend on timing")
	}
	var rows []*row
	for _, p := range append(proofs(), cutProofs()...) {
		if !strings.Contains(p.failureName, os.Getenv(filterVariable)) {
			continue
		}
		t.Run(p.guarantee+", "+p.failureName, func(t *testing.T) { rows = append(rows, runProof(t, p, lossCount(t))) })
	}
	if strings.Contains(leavingFailure, os.Getenv(filterVariable)) {
		t.Run(leavingFailure, func(t *testing.T) { rows = append(rows, runLeavingProof(t, lossCount(t))) })
	}
	fmt.Println(tableHeader)
	for _, r := range rows {
		fmt.Println(r)
	}
}

func runProof(t *testing.T, p proof, n int) *row {
	r := &row{guarantee: p.guarantee, failure: p.failureName, limit: p.limit, claimed: p.claimed}
	keys := e2e.Keys(16)
	c := startCluster(t, p.opts, keys)
	traffic := c.StartTraffic(keys, proofRequestInterval, 3)
	for range n {
		time.Sleep(delayBetweenLosses)
		failure, err := p.inject(c, keys)
		if err != nil {
			r.problems = append(r.problems, err.Error())
			break
		}
		time.Sleep(p.duration)
		healed := time.Now().UnixNano()
		assert.NilError(t, failure.Heal())
		r.losses++
		r.addFigures(c, traffic, p, keys, failure, healed)
	}
	r.checkRecords(c, traffic.Stop())
	r.report(t)
	return r
}

// runLeavingProof measures how long a target still gets new work after the host
// list shows it as leaving.
func runLeavingProof(t *testing.T, n int) *row {
	r := &row{guarantee: "no new work at a leaving target", failure: leavingFailure, limit: leavingLimit, claimed: true}
	keys := e2e.Keys(16)
	c := startCluster(t, e2e.Options{ChecksGrants: true}, keys)
	traffic := c.StartTraffic(keys, proofRequestInterval, 3)
	const duration = 4 * time.Second
	for range n {
		time.Sleep(delayBetweenLosses)
		target, at, err := c.MarkLeaving(keys)
		assert.NilError(t, err)
		time.Sleep(duration)
		runs, err := c.Runs()
		assert.NilError(t, err)
		c.MarkAllLive()
		r.losses++
		r.figures = append(r.figures, max(0, time.Duration(e2e.LastRunStart(runs, target)-at)))
	}
	r.checkRecords(c, traffic.Stop())
	r.report(t)
	return r
}
