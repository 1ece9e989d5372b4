package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/routing"
)

// probeLife is how long a host that took the probe of a quarantined request may run
// it. After that an operator has to look at the request.
const probeLife = time.Minute

// probes are those that this host took or is about to take. It is guarded by the
// quarantine's mutex.
type probes struct {
	asked map[routing.Fingerprint]bool      // of the store, without an answer yet
	taken map[routing.Fingerprint]time.Time // until when they may run
	run   map[routing.Fingerprint]bool      // they do now
}

func newProbes() probes {
	return probes{
		asked: make(map[routing.Fingerprint]bool),
		taken: make(map[routing.Fingerprint]time.Time),
		run:   make(map[routing.Fingerprint]bool),
	}
}

// livedRun is that a target ran a request and lived.
type livedRun struct {
	fp    routing.Fingerprint
	probe bool // of a quarantined one
}

// clears reports whether a record is void: it has too few crashes for a quarantine,
// or none after the probe was taken.
func (l livedRun) clears(s routing.Suspect) bool {
	if len(s.Crashes) < routing.DefaultPoison.CrashThreshold {
		return true
	}
	return l.probe && s.ProbeMS > 0 && len(s.Crashes) == routing.DefaultPoison.CrashThreshold
}

// refuses reports whether a request is quarantined, or else whether it is let
// through as the probe. It has the probe taken when that is due.
func (q *quarantine) refuses(f *pb.Forward) (refused, probe bool) {
	fp := routing.Fingerprint(f.Fingerprint)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.table.Quarantined(now, fp) {
		return false, false
	}
	until, taken := q.probes.taken[fp]
	if taken && now.After(until) {
		delete(q.probes.taken, fp)
		taken = false
	}
	if taken && !q.probes.run[fp] {
		q.probes.run[fp] = true
		return false, true
	}
	if q.table.ProbeDue(now, fp) && !q.probes.asked[fp] {
		q.askProbe(fp)
	}
	return true, false
}

func (q *quarantine) askProbe(fp routing.Fingerprint) {
	select {
	case q.due <- fp:
		q.probes.asked[fp] = true
	default:
		q.router.metrics.suspectsDropped.Inc()
	}
}

// ended notes the end of a probe. One that ran lifts the quarantine, one that was not
// run may be tried again, and any other was the last.
func (q *quarantine) ended(f *pb.Forward, a *pb.Answer) {
	fp := routing.Fingerprint(f.Fingerprint)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.probes.run, fp)
	if isNotRun(a) || a.Replayed {
		return
	}
	delete(q.probes.taken, fp)
	q.router.log.Emit(evProbeEnded, "request", f.Id, "fingerprint", fp.String(), "outcome", outcomeName(a.Outcome))
	if a.Outcome == pb.Outcome_OUTCOME_RAN {
		q.table.Release(fp)
		q.withdrawLater(livedRun{fp: fp, probe: true})
	}
}

// takeProbe takes the probe of a fingerprint by a conditional update of its object,
// unless another host did. Without an answer it is not taken here.
func (q *quarantine) takeProbe(ctx context.Context, fp routing.Fingerprint) error {
	taken, err := q.claimProbe(ctx, fp)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.probes.asked, fp)
	if err != nil || !taken {
		return err
	}
	q.probes.taken[fp] = time.Now().Add(probeLife)
	q.router.log.Emit(evProbeTaken, "fingerprint", fp.String())
	return nil
}

func (q *quarantine) claimProbe(ctx context.Context, fp routing.Fingerprint) (taken bool, err error) {
	if q.router.store == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	name := platform.PoisonPrefix + fp.String()
	o, err := q.router.store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	merged, due := q.dueAfter(fp, o)
	if !due {
		return false, nil
	}
	merged.ProbeMS = time.Now().UnixMilli()
	value, err := json.Marshal(merged)
	if err != nil {
		return false, errors.Wrap(err, "encode suspect")
	}
	_, err = q.router.store.Put(ctx, name, o.Version, value)
	if errors.Is(err, platform.ErrConflict) {
		return false, nil // another host counted, cleared or took it
	}
	if err != nil {
		return false, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Merge(merged)
	return true, nil
}

// dueAfter returns the record of an object with what is known here, and whether its
// probe is still due.
func (q *quarantine) dueAfter(fp routing.Fingerprint, o platform.Object) (routing.Suspect, bool) {
	var stored routing.Suspect
	if json.Unmarshal(o.Value, &stored) != nil {
		return stored, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	merged, _ := q.table.Merge(stored)
	return merged, q.table.ProbeDue(time.Now(), fp)
}
