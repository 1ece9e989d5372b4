package e2e_test

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

const (
	// inForceLimit is the time within which a change must be in force
	// everywhere.
	inForceLimit = 12 * time.Second
	// leavingDuration is how long a target is listed as leaving.
	leavingDuration = 6 * time.Second
	// briefFailure is how long a failure lasts that ends before the measurement
	// does.
	briefFailure        = time.Second
	inForcePollInterval = 10 * time.Millisecond
)

// leavingMeasurement measures how long the first key's owner still gets new work
// after the host list shows it as leaving, during or after a failure.
type leavingMeasurement struct {
	failure e2e.Inject
	target  string
}

// inject injects the failure, then marks the target as leaving. Healing reverts
// both.
func (l *leavingMeasurement) inject(c *e2e.Cluster, keys []string) (e2e.Failure, error) {
	owner, err := c.Owner(keys[0])
	if err != nil {
		return e2e.Failure{}, err
	}
	l.target = owner
	failure, err := l.failure(c, keys)
	if err != nil {
		return failure, err
	}
	c.PublishTargets(map[string]bool{owner: true})
	at := time.Now().UnixNano()
	heal := func() error {
		c.MarkAllLive()
		return failure.Heal()
	}
	return e2e.Failure{At: at, Heal: heal}, nil
}

// injectHidden is for a failure that hides the leaving from the cell. It heals
// the failure after briefFailure and measures from there.
func (l *leavingMeasurement) injectHidden(c *e2e.Cluster, keys []string) (e2e.Failure, error) {
	failure, err := l.inject(c, keys)
	if err != nil {
		return failure, err
	}
	time.Sleep(briefFailure)
	c.Platform.SetFaults(standin.PlatformFaults{})
	failure.At = time.Now().UnixNano()
	return failure, nil
}

// injectBrief heals the failure of a target after briefFailure, while the
// target is still leaving.
func (l *leavingMeasurement) injectBrief(c *e2e.Cluster, keys []string) (e2e.Failure, error) {
	var failure e2e.Failure
	injectTargetFailure := l.failure
	inner := leavingMeasurement{failure: func(c *e2e.Cluster, keys []string) (e2e.Failure, error) {
		var err error
		failure, err = injectTargetFailure(c, keys)
		return e2e.Failure{At: failure.At, Heal: func() error { return nil }}, err
	}}
	leaving, err := inner.inject(c, keys)
	if err != nil {
		return leaving, err
	}
	l.target = inner.target
	time.Sleep(briefFailure)
	return leaving, failure.Heal()
}

func (l *leavingMeasurement) measure(runs []judge.Run, _ []string, f e2e.Failure, healed int64) ([]time.Duration, error) {
	last := f.At
	for _, run := range runs {
		if run.Target == l.target && run.Start < healed {
			last = max(last, run.Start)
		}
	}
	return []time.Duration{time.Duration(last - f.At)}, nil
}

// inForceMeasurement measures the time from the end of a failure until an accepted
// change is in force at every daemon.
type inForceMeasurement struct {
	failure e2e.Inject
	changes int
	elapsed time.Duration
}

// inject makes a change during the failure.
func (r *inForceMeasurement) inject(c *e2e.Cluster, keys []string) (e2e.Failure, error) {
	failure, err := r.failure(c, keys)
	if err != nil {
		return failure, err
	}
	version, err := r.change(c)
	if err != nil {
		return failure, errors.Join(err, failure.Heal())
	}
	return r.awaitInForce(c, failure, version)
}

// injectAfter makes a change and injects the failure right after it.
func (r *inForceMeasurement) injectAfter(c *e2e.Cluster, keys []string) (e2e.Failure, error) {
	version, err := r.change(c)
	if err != nil {
		return e2e.Failure{}, err
	}
	failure, err := r.failure(c, keys)
	if err != nil {
		return failure, err
	}
	return r.awaitInForce(c, failure, version)
}

// change applies a change as an operator and returns the version under which it
// was accepted.
func (r *inForceMeasurement) change(c *e2e.Cluster) (uint64, error) {
	r.changes++
	file, err := c.ClientFile(e2e.ClientName, r.changes)
	if err != nil {
		return 0, err
	}
	result := c.RunCommand("ann", "client", "apply", file)
	version, ok := result.Accepted()
	if !ok {
		return 0, errors.Newf("change was not accepted: %+v", result)
	}
	return version, nil
}

// awaitInForce heals the failure after briefFailure and waits until the change
// is in force.
func (r *inForceMeasurement) awaitInForce(c *e2e.Cluster, failure e2e.Failure, version uint64) (e2e.Failure, error) {
	time.Sleep(briefFailure)
	if err := failure.Heal(); err != nil {
		return failure, err
	}
	ended := time.Now()
	for len(c.DaemonsBehind(version)) > 0 && time.Since(ended) < 2*inForceLimit {
		time.Sleep(inForcePollInterval)
	}
	r.elapsed = time.Since(ended)
	failure.Heal = func() error { return nil }
	return failure, nil
}

func (r *inForceMeasurement) measure([]judge.Run, []string, e2e.Failure, int64) ([]time.Duration, error) {
	if r.elapsed > inForceLimit {
		return []time.Duration{r.elapsed}, fmt.Errorf("change was not in force after %v", r.elapsed)
	}
	return []time.Duration{r.elapsed}, nil
}

// namedFailure is a failure with its name in the results table.
type namedFailure struct {
	name   string
	inject e2e.Inject
}

var linkedTargets = e2e.Options{ChecksGrants: true, LinkTargets: true}

// stopProofs returns the proofs for leaving targets, configuration changes and
// concurrent operators.
func stopProofs() []proof {
	rows := append(leavingProofs(), inForceProofs()...)
	return append(rows, raceProofs()...)
}

func leavingProofs() []proof {
	newProof := func(f namedFailure, inject func(*leavingMeasurement) e2e.Inject) proof {
		m := &leavingMeasurement{failure: f.inject}
		return proof{
			guarantee: "no new work at a leaving target", failureName: "leaving, " + f.name, opts: linkedTargets,
			inject: inject(m), duration: leavingDuration, limit: leavingLimit, measure: m.measure, claimed: true,
		}
	}
	lasting := func(l *leavingMeasurement) e2e.Inject { return l.inject }
	brief := func(l *leavingMeasurement) e2e.Inject { return l.injectBrief }
	hidden := func(l *leavingMeasurement) e2e.Inject { return l.injectHidden }
	return []proof{
		newProof(namedFailure{"its gateway paused", (*e2e.Cluster).PauseRouter}, lasting),
		newProof(namedFailure{"acting placer paused", (*e2e.Cluster).PauseActingPlacer}, lasting),
		newProof(namedFailure{"acting placer cut from the platform", (*e2e.Cluster).CutPlatform}, lasting),
		newProof(namedFailure{"store loses every answer", e2e.PlatformFaults(standin.PlatformFaults{LoseAnswerEvery: 1})}, lasting),
		newProof(namedFailure{"operators race", (*e2e.Cluster).RaceOperators}, lasting),
		newProof(namedFailure{"it is paused and returns", (*e2e.Cluster).PauseTarget}, brief),
		newProof(namedFailure{"it is cut off and returns", (*e2e.Cluster).CutTarget}, brief),
		newProof(namedFailure{"it crashes and returns", (*e2e.Cluster).KillTarget}, brief),
		newProof(namedFailure{"from the end of a store outage", e2e.PlatformFaults(standin.PlatformFaults{Down: true})}, hidden),
	}
}

func inForceProofs() []proof {
	newProof := func(f namedFailure, inject func(*inForceMeasurement) e2e.Inject) proof {
		m := &inForceMeasurement{failure: f.inject}
		return proof{
			guarantee: "configuration in force everywhere", failureName: "changed, " + f.name, opts: linkedTargets,
			inject: inject(m), limit: inForceLimit, measure: m.measure, claimed: true,
		}
	}
	during := func(r *inForceMeasurement) e2e.Inject { return r.inject }
	after := func(r *inForceMeasurement) e2e.Inject { return r.injectAfter }
	return []proof{
		newProof(namedFailure{"router restarted", (*e2e.Cluster).KillRouter}, during),
		newProof(namedFailure{"acting placer restarted", (*e2e.Cluster).KillActingPlacer}, during),
		newProof(namedFailure{"router paused and resumed", (*e2e.Cluster).PauseRouter}, during),
		newProof(namedFailure{"acting placer paused and resumed", (*e2e.Cluster).PauseActingPlacer}, during),
		newProof(namedFailure{"store down right after", e2e.PlatformFaults(standin.PlatformFaults{Down: true})}, after),
		newProof(namedFailure{"reads stale right after", e2e.PlatformFaults(standin.PlatformFaults{StaleMS: staleReadMS})}, after),
	}
}

func raceProofs() []proof {
	newProof := func(f namedFailure) proof {
		return proof{
			guarantee: "key served again", failureName: f.name + ", operators race", opts: linkedTargets,
			inject:   e2e.Combine((*e2e.Cluster).RaceOperators, delayBeforeFailure, f.inject),
			duration: 1500 * time.Millisecond, limit: servedAgainLimit, measure: measureRecovery, claimed: true,
		}
	}
	return []proof{
		newProof(namedFailure{"router killed", (*e2e.Cluster).KillRouter}),
		newProof(namedFailure{"target killed", (*e2e.Cluster).KillTarget}),
	}
}
