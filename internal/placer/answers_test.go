package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
)

// clock is a monotonic clock that a test sets.
type clock time.Duration

func (c *clock) now() time.Duration { return time.Duration(*c) }

// TestSlowStoreIsNotSilent: an overdue answer counts only after answerTimeout, and not if
// another call has been answered since it was due.
func TestSlowStoreIsNotSilent(t *testing.T) {
	const due = time.Hour
	now := clock(due)
	a := newAnswerMonitor(now.now)
	done := a.trackCall(due)
	now = clock(due + 500*time.Millisecond)
	done(nil)
	a.answerMissed(due)
	assert.Assert(t, !a.isSilentSince(0), "answered 500 ms late")

	late := due + time.Second
	now = clock(late + answerTimeout)
	a.answerMissed(late)
	assert.Assert(t, a.isSilentSince(0))
	assert.Assert(t, !a.isSilentSince(now.now()), "found silent before the given time")

	changed := a.changedChan()
	a.answerReceived()
	<-changed
	assert.Assert(t, !a.isSilentSince(0), "it answers again")
	a.answerMissed(late)
	assert.Assert(t, !a.isSilentSince(0), "a call was answered since the missing answer was due")
}

// TestErrorDoesNotCountAsAnswer: a call that fails does not keep the store from being
// found silent.
func TestErrorDoesNotCountAsAnswer(t *testing.T) {
	now := clock(time.Hour)
	a := newAnswerMonitor(now.now)
	silent := a.changedChan()
	a.trackCall(now.now() - answerTimeout)(platform.ErrUnavailable)
	<-silent
	assert.Assert(t, a.isSilentSince(0))
}

// TestOverdueAnswerMeansCutOff: the placer that calls the store counts as cut off when one
// answer is overdue, long before cutOffTimeout has passed without any answer.
func TestOverdueAnswerMeansCutOff(t *testing.T) {
	p := newTestWatch("kl-1", threeHosts).placer
	p.watch.directAnswerAt.Store(int64(p.now()))
	assert.Assert(t, !p.watch.isCutOff())
	p.watch.monitor.answerMissed(p.now())
	assert.Assert(t, p.watch.isCutOff())
	assert.Assert(t, p.watch.upstreamAddr(0) != "", "it follows others, so that its router is kept up to date")
	p.watch.monitor.answerReceived()
	assert.Assert(t, !p.watch.isCutOff())
}

// TestHostsAreReadMidwayBetweenWatchAnswers: an answer of the store is due every half
// second without additional calls.
func TestHostsAreReadMidwayBetweenWatchAnswers(t *testing.T) {
	const watchDue = time.Hour
	for offset := time.Duration(0); offset < WatchWait; offset += 10 * time.Millisecond {
		now := watchDue - offset
		for range 10 {
			next := nextHostsRead(now, watchDue)
			assert.Assert(t, next-now >= minHostsInterval && next-now <= hostsInterval+hostsCheckInterval, "%v", next-now)
			now = next
		}
		assert.Equal(t, (now-watchDue)%WatchWait, WatchWait/2, "offset %v", offset)
	}
}
