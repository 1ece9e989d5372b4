package router

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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

// Guards against a request that ends targets after they have begun to answer it (review/7):
// a connection that breaks within an answer makes it a candidate, like one that breaks before.
func TestRequestOfBrokenAnswerIsCrashCandidate(t *testing.T) {
	t.Parallel()
	p := startPair(t, &faultyTarget{}, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}})
	for _, path := range []string{"/gone", "/short", "/long-cut", "/long-cut-sized"} {
		var asked sync.WaitGroup
		asked.Go(func() {
			response := p.post(t, path)
			_, _ = io.Copy(io.Discard, response.Body) // a long one ends with an error
		})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			p.b.quarantine.mu.Lock()
			defer p.b.quarantine.mu.Unlock()
			if len(p.b.quarantine.pending) == 0 {
				return poll.Continue("%s: no candidate", path)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(2*time.Second))
		poll.WaitOn(t, func(poll.LogT) poll.Result { // the target has not ended
			p.b.quarantine.mu.Lock()
			defer p.b.quarantine.mu.Unlock()
			if len(p.b.quarantine.pending) > 0 || p.b.quarantine.table.Len() > 0 {
				return poll.Continue("%s: not evaluated", path)
			}
			return poll.Success()
		}, poll.WithDelay(10*time.Millisecond))
		asked.Wait()
	}
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
