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

// probeTimeout is how long a host that claimed the probe of a quarantined request may
// run it. After that the request stays quarantined until an operator releases it.
const probeTimeout = time.Minute

// probes is the state of the probes that this host has claimed or is about to claim.
// The quarantine's mutex guards it.
type probes struct {
	requested    map[routing.Fingerprint]bool      // claim requested from the store, no answer yet
	claimedUntil map[routing.Fingerprint]time.Time // when the claim expires
	running      map[routing.Fingerprint]bool      // the probe is running
}

func newProbes() probes {
	return probes{
		requested:    make(map[routing.Fingerprint]bool),
		claimedUntil: make(map[routing.Fingerprint]time.Time),
		running:      make(map[routing.Fingerprint]bool),
	}
}

// survivedRun is a run of a request that its target survived.
type survivedRun struct {
	fp      routing.Fingerprint
	isProbe bool // it was the probe of a quarantined request
}

// clears reports whether the run clears a record: the record has too few crashes for a
// quarantine, or no crash after the probe was claimed.
func (r survivedRun) clears(s routing.Suspect) bool {
	if len(s.Crashes) < routing.DefaultPoison.CrashThreshold {
		return true
	}
	return r.isProbe && s.ProbeMS > 0 && len(s.Crashes) == routing.DefaultPoison.CrashThreshold
}

// checkRequest reports whether a request is quarantined, or else whether it is let
// through as the probe. It requests the claim of a probe that is due.
func (q *quarantine) checkRequest(f *pb.Forward) (isRefused, isProbe bool) {
	fp := routing.Fingerprint(f.Fingerprint)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.table.Quarantined(now, fp) {
		return false, false
	}
	expiresAt, isClaimed := q.probes.claimedUntil[fp]
	if isClaimed && now.After(expiresAt) {
		delete(q.probes.claimedUntil, fp)
		isClaimed = false
	}
	if isClaimed && !q.probes.running[fp] {
		q.probes.running[fp] = true
		return false, true
	}
	if q.table.ProbeDue(now, fp) && !q.probes.requested[fp] {
		q.requestProbe(fp)
	}
	return true, false
}

func (q *quarantine) requestProbe(fp routing.Fingerprint) {
	select {
	case q.probesToClaim <- fp:
		q.probes.requested[fp] = true
	default:
		q.router.metrics.suspectsDropped.Inc()
	}
}

// recordProbeEnd records the end of a probe. A probe that ran lifts the quarantine, one
// that was not run may be tried again, and any other outcome makes it the last probe.
func (q *quarantine) recordProbeEnd(f *pb.Forward, a *pb.Answer) {
	fp := routing.Fingerprint(f.Fingerprint)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.probes.running, fp)
	if isNotRun(a) || a.Replayed {
		return
	}
	delete(q.probes.claimedUntil, fp)
	q.router.log.Emit(evProbeEnded, "request", f.Id, "fingerprint", fp.String(), "outcome", outcomeName(a.Outcome))
	if a.Outcome == pb.Outcome_OUTCOME_RAN {
		q.table.Release(fp)
		q.queueWithdrawal(survivedRun{fp: fp, isProbe: true})
	}
}

// acquireProbe claims the probe of a fingerprint by a conditional update of its object,
// unless another host has claimed it. Without an answer from the store the probe is not
// claimed.
func (q *quarantine) acquireProbe(ctx context.Context, fp routing.Fingerprint) error {
	isClaimed, err := q.storeProbeClaim(ctx, fp)
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.probes.requested, fp)
	if err != nil || !isClaimed {
		return err
	}
	q.probes.claimedUntil[fp] = time.Now().Add(probeTimeout)
	q.router.log.Emit(evProbeStarted, "fingerprint", fp.String())
	return nil
}

func (q *quarantine) storeProbeClaim(ctx context.Context, fp routing.Fingerprint) (isClaimed bool, err error) {
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
	merged, isDue := q.mergeAndCheckDue(fp, o)
	if !isDue {
		return false, nil
	}
	merged.ProbeMS = time.Now().UnixMilli()
	value, err := json.Marshal(merged)
	if err != nil {
		return false, errors.Wrap(err, "encode suspect")
	}
	_, err = q.router.store.Put(ctx, name, o.Version, value)
	if errors.Is(err, platform.ErrConflict) {
		return false, nil // another host counted, cleared or claimed it
	}
	if err != nil {
		return false, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Merge(merged)
	return true, nil
}

// mergeAndCheckDue merges the stored record of a fingerprint with the local one, and
// reports whether its probe is still due.
func (q *quarantine) mergeAndCheckDue(fp routing.Fingerprint, o platform.Object) (routing.Suspect, bool) {
	var stored routing.Suspect
	if json.Unmarshal(o.Value, &stored) != nil {
		return stored, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	merged, _ := q.table.Merge(stored)
	return merged, q.table.ProbeDue(time.Now(), fp)
}
