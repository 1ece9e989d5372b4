package router

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/routing"
)

func TestRepeatWaitsForPendingCrashCandidates(t *testing.T) {
	q := newQuarantine(&Router{start: time.Now()})
	f := &pb.Forward{Fingerprint: 7}
	q.awaitPending(t.Context(), 7) // no candidate is pending
	q.addCandidate("t1", f)
	q.addCandidate("t1", f)

	waited := make(chan struct{})
	go func() {
		q.awaitPending(context.Background(), 7)
		close(waited)
	}()
	q.resolveCandidate(<-q.candidates)
	select {
	case <-waited:
		t.Fatal("did not wait for the second candidate")
	case <-time.After(10 * time.Millisecond):
	}
	q.resolveCandidate(<-q.candidates)
	<-waited

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	q.addCandidate("t1", f)
	q.awaitPending(ended, 7)
}

func TestClearedSuspectIsWithdrawn(t *testing.T) {
	store := standin.NewPlatform(standin.PlatformOptions{}).View("kl-1")
	q := newQuarantine(&Router{start: time.Now(), store: store})
	put := func(fp routing.Fingerprint, crashes ...routing.Crash) string {
		value, err := json.Marshal(routing.Suspect{Fingerprint: fp.String(), Crashes: crashes})
		assert.NilError(t, err)
		_, err = store.Put(t.Context(), platform.PoisonPrefix+fp.String(), 0, value)
		assert.NilError(t, err)
		return platform.PoisonPrefix + fp.String()
	}
	first, second := routing.Crash{Target: "t1", Run: 1}, routing.Crash{Target: "t2", Run: 2}
	suspect, quarantined := put(1, first), put(2, first, second)
	for fp := range 3 {
		assert.NilError(t, q.withdraw(t.Context(), survivedRun{fp: routing.Fingerprint(fp)}))
	}
	_, err := store.Get(t.Context(), suspect)
	assert.ErrorIs(t, err, platform.ErrNotFound)
	_, err = store.Get(t.Context(), quarantined)
	assert.NilError(t, err)
}
