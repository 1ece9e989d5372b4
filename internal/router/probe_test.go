package router

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/routing"
)

const quarantinedFingerprint = routing.Fingerprint(7)

// newSharedQuarantine returns a host's quarantine of a request that crashed two targets
// at the given time. It is written to the store.
func newSharedQuarantine(t *testing.T, store platform.Store, host string, at time.Time) *quarantine {
	t.Helper()
	r := New(Config{Self: ingressRun}, store, hclog.NewNullLogger())
	for run, target := range []string{"t1", "t2"} {
		crash := routing.Crash{Target: target, Run: uint64(run), AtMS: at.UnixMilli()}
		record, _ := r.quarantine.table.RecordCrash(quarantinedFingerprint, "katalog", host, crash)
		assert.NilError(t, r.quarantine.share(t.Context(), record))
	}
	return r.quarantine
}

func (q *quarantine) tryRequest() (f *pb.Forward, refused bool) {
	f = &pb.Forward{Id: "r1", Fingerprint: uint64(quarantinedFingerprint)}
	refused, _ = q.checkRequest(f)
	return f, refused
}

// tryProbe claims the probe and returns the request that is let through.
func (q *quarantine) tryProbe(t *testing.T) *pb.Forward {
	t.Helper()
	_, refused := q.tryRequest()
	assert.Assert(t, refused, "the probe is not claimed yet")
	assert.NilError(t, q.acquireProbe(t.Context(), <-q.probesToClaim))
	f, refused := q.tryRequest()
	assert.Assert(t, !refused)
	_, refused = q.tryRequest()
	assert.Assert(t, refused, "a second probe was let through")
	return f
}

// crashTimeOfDueProbe returns the time of a crash whose probation has passed.
func crashTimeOfDueProbe() time.Time {
	return time.Now().Add(-routing.DefaultPoison.Probation - time.Second)
}

func TestCompletedProbeLiftsQuarantine(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{}).View("kl-1")
	q := newSharedQuarantine(t, store, "a", crashTimeOfDueProbe())
	f := q.tryProbe(t)
	q.recordProbeEnd(f, notMine("r1", reasonNoLease))
	f, refused := q.tryRequest()
	assert.Assert(t, !refused, "a probe that was not run may be tried again")
	q.recordProbeEnd(f, &pb.Answer{Outcome: pb.Outcome_OUTCOME_RAN})
	_, refused = q.tryRequest()
	assert.Assert(t, !refused)
	assert.NilError(t, q.withdraw(t.Context(), <-q.toWithdraw))
	_, err := store.Get(t.Context(), platform.PoisonPrefix+quarantinedFingerprint.String())
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

// A probe with an unknown outcome is the last one, on every host.
func TestFailedProbeIsNotRepeated(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{}).View("kl-1")
	q, other := newSharedQuarantine(t, store, "a", crashTimeOfDueProbe()), newSharedQuarantine(t, store, "b", crashTimeOfDueProbe())
	f := q.tryProbe(t)
	_, refused := other.tryRequest()
	assert.Assert(t, refused)
	assert.NilError(t, other.acquireProbe(t.Context(), <-other.probesToClaim))
	q.recordProbeEnd(f, unknown("r1", reasonTargetLost))
	for _, host := range []*quarantine{q, other} {
		_, refused = host.tryRequest()
		assert.Assert(t, refused)
		assert.Equal(t, len(host.probesToClaim), 0)
	}
	assert.Assert(t, !survivedRun{fp: quarantinedFingerprint, isProbe: true}.clears(routing.Suspect{ProbeMS: 1, Crashes: make([]routing.Crash, 3)}))
}

func TestProbeIsRefusedDuringProbationAndAfterExpiry(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{}).View("kl-1")
	q := newSharedQuarantine(t, store, "a", time.Now())
	_, refused := q.tryRequest()
	assert.Assert(t, refused)
	assert.Equal(t, len(q.probesToClaim), 0)
	q.probes.claimedUntil[quarantinedFingerprint] = time.Now().Add(-1)
	_, refused = q.tryRequest()
	assert.Assert(t, refused, "the claim of the probe has expired")
}
