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

const quarantinedPrint = routing.Fingerprint(7)

// quarantinedAt is a host's quarantine of a request that crashed two targets at a
// time, which it shared.
func quarantinedAt(t *testing.T, store platform.Store, host string, at time.Time) *quarantine {
	t.Helper()
	r := New(Config{Self: ingressRun}, store, hclog.NewNullLogger())
	for run, target := range []string{"t1", "t2"} {
		crash := routing.Crash{Target: target, Run: uint64(run), AtMS: at.UnixMilli()}
		record, _ := r.poison.table.RecordCrash(quarantinedPrint, "katalog", host, crash)
		assert.NilError(t, r.poison.share(t.Context(), record))
	}
	return r.poison
}

func (q *quarantine) try() (f *pb.Forward, refused bool) {
	f = &pb.Forward{Id: "r1", Fingerprint: uint64(quarantinedPrint)}
	refused, _ = q.refuses(f)
	return f, refused
}

// tryProbe has the probe taken and returns the request that is let through.
func (q *quarantine) tryProbe(t *testing.T) *pb.Forward {
	t.Helper()
	_, refused := q.try()
	assert.Assert(t, refused, "the store has to be asked")
	assert.NilError(t, q.takeProbe(t.Context(), <-q.due))
	f, refused := q.try()
	assert.Assert(t, !refused)
	_, refused = q.try()
	assert.Assert(t, refused, "one at a time")
	return f
}

func longAgo() time.Time { return time.Now().Add(-routing.DefaultPoison.Probation - time.Second) }

func TestAProbeThatRanLiftsTheQuarantine(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{}).View("kl-1")
	q := quarantinedAt(t, store, "a", longAgo())
	f := q.tryProbe(t)
	q.ended(f, notMine("r1", reasonNoLease))
	f, refused := q.try()
	assert.Assert(t, !refused, "the probe was not run")
	q.ended(f, &pb.Answer{Outcome: pb.Outcome_OUTCOME_RAN})
	_, refused = q.try()
	assert.Assert(t, !refused)
	assert.NilError(t, q.withdraw(t.Context(), <-q.lived))
	_, err := store.Get(t.Context(), platform.PoisonPrefix+quarantinedPrint.String())
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

// TestAProbeThatCrashedIsTheLast, on every host.
func TestAProbeThatCrashedIsTheLast(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{}).View("kl-1")
	q, other := quarantinedAt(t, store, "a", longAgo()), quarantinedAt(t, store, "b", longAgo())
	f := q.tryProbe(t)
	_, refused := other.try()
	assert.Assert(t, refused)
	assert.NilError(t, other.takeProbe(t.Context(), <-other.due))
	q.ended(f, unknown("r1", reasonTargetLost))
	for _, host := range []*quarantine{q, other} {
		_, refused = host.try()
		assert.Assert(t, refused)
		assert.Equal(t, len(host.due), 0)
	}
	assert.Assert(t, !livedRun{fp: quarantinedPrint, probe: true}.clears(routing.Suspect{ProbeMS: 1, Crashes: make([]routing.Crash, 3)}))
}

func TestAProbeWaits(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{}).View("kl-1")
	q := quarantinedAt(t, store, "a", time.Now())
	_, refused := q.try()
	assert.Assert(t, refused)
	assert.Equal(t, len(q.due), 0)
	q.probes.taken[quarantinedPrint] = time.Now().Add(-1)
	_, refused = q.try()
	assert.Assert(t, refused, "it was taken too long ago")
}
