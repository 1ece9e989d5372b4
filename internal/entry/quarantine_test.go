package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform/standin"
	"github.com/mangopost/mangopost/routing"
)

// endingTargets returns targets that behave as end says when a request for "poison"
// arrives; each answers other requests.
func endingTargets(t *testing.T, count int, end func(s *scriptedTarget, conn net.Conn)) []*scriptedTarget {
	t.Helper()
	targets := make([]*scriptedTarget, count)
	var mu sync.Mutex // held until targets is complete
	mu.Lock()
	defer mu.Unlock()
	for i := range targets {
		targets[i] = startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
			if !strings.HasSuffix(r.URL.Path, "poison") {
				writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "ok", "")
				return true
			}
			mu.Lock()
			s := targets[i]
			mu.Unlock()
			end(s, conn)
			return false
		})
	}
	return targets
}

// arrivals returns the number of requests for "poison" that reached targets.
func arrivals(targets []*scriptedTarget) (count int) {
	for _, target := range targets {
		for _, id := range target.received() {
			if strings.HasPrefix(id, "p-") {
				count++
			}
		}
	}
	return count
}

// sendPoison sends the same request again and again, calls after each one, and returns
// the number of refusals as not run.
func sendPoison(t *testing.T, url, path string, after func()) (refused int) {
	t.Helper()
	for i := range 8 {
		status, _, header, err := ask(t, url, path+"poison", fmt.Sprintf("p-%d", i), strings.NewReader("the same"))
		assert.NilError(t, err)
		if status == http.StatusServiceUnavailable {
			refused++
			assert.Assert(t, header.Get("Retry-After") != "")
		}
		after()
	}
	return refused
}

// ends returns the number of ends that the node knows of.
func (n *Node) ends() (count int) {
	n.quarantine.mu.Lock()
	defer n.quarantine.mu.Unlock()
	for _, s := range n.quarantine.table.Export() {
		count += len(s.Crashes)
	}
	return count
}

func crash(s *scriptedTarget, conn net.Conn) {
	_ = s.listener.Close()
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// Guards against a request that ends one target after the other (review/5): with each
// target that runs it, all work there is lost.
func TestRequestThatEndsTargetsIsQuarantined(t *testing.T) {
	for path, atMost := range map[string]int{unsafePath: suspects.CrashThreshold, safePath: suspects.CrashThreshold + 1} {
		t.Run(path, func(t *testing.T) {
			targets := endingTargets(t, 8, crash)
			n, url := newServingNode(t, targets...)
			out := logTo(t, n)
			refused := sendPoison(t, url, path, func() {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if n.ends() < arrivals(targets) {
						return poll.Continue("%d of %d ends are known", n.ends(), arrivals(targets))
					}
					return poll.Success()
				}, poll.WithDelay(2*time.Millisecond))
			})
			arrived := arrivals(targets)
			assert.Assert(t, arrived >= suspects.CrashThreshold && arrived <= atMost, "%d arrived", arrived)
			assert.Assert(t, refused >= 8-arrived, "%d of 8 refused", refused)
			for i := range 5 {
				status, _, _, err := ask(t, url, path+"poison", fmt.Sprintf("other-%d", i), strings.NewReader("another body"))
				if err == nil && status != http.StatusServiceUnavailable {
					break // it reached a target, as it should
				}
				assert.Assert(t, i < 4, "a request with another body is refused")
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result { // the log is written in the background
				if out.lineWith("MP6106") == "" {
					return poll.Continue("not logged")
				}
				return poll.Success()
			}, poll.WithDelay(2*time.Millisecond))
		})
	}
}

// Connections that a link or a target resets, and the planned end of a target, are no
// sign of a request that ends targets.
func TestBrokenConnectionsDoNotQuarantine(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		targets := endingTargets(t, 8, func(_ *scriptedTarget, conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) })
		n, url := newServingNode(t, targets...)
		refused := sendPoison(t, url, unsafePath, func() { time.Sleep(50 * time.Millisecond) })
		assert.Equal(t, arrivals(targets), 8)
		assert.Equal(t, refused, 0)
		assert.Equal(t, n.ends(), 0)
	})
	t.Run("leaving", func(t *testing.T) {
		n, _ := newServingNode(t)
		owner := keyrange.Owner{Target: "t0", Run: 1, Addr: "127.0.0.1:1"} // nothing listens there
		n.directory.Put(directory.Entry{Name: "t0", Run: 1, Service: "s", Leaving: true})
		n.recordEnd("id", 7, owner)
		assert.Equal(t, n.quarantine.ends(7), 0)
	})
}

// A request that only happened to run when targets ended is cleared by its next run
// that comes to an answer, on any host.
func TestRunThatAnswersClearsSuspect(t *testing.T) {
	const fp = routing.Fingerprint(9)
	ends := func(q *quarantine, targets ...string) {
		for _, name := range targets {
			q.recordEnd(fp, keyrange.Owner{Target: name, Run: 1})
		}
	}
	coordinator, a, b := newQuarantine(), newQuarantine(), newQuarantine()
	ends(a, "t1", "t2")
	exchangeSuspects(coordinator, a)
	exchangeSuspects(coordinator, b)
	assert.Equal(t, b.ends(fp), 2, "b may be the one that sees it run")
	b.recordRun(fp)
	assert.Assert(t, b.isEmpty())
	exchangeSuspects(coordinator, b)
	assert.Assert(t, coordinator.isEmpty())
	ends(a, "t3")
	assert.Assert(t, a.holds(fp))
	a.recordRun(fp) // of a run that began before
	assert.Assert(t, a.holds(fp), "a quarantined request is not cleared")
}

// exchangeSuspects plays one report of a host and the reply.
func exchangeSuspects(coordinator, host *quarantine) {
	report := &pb.Report{}
	host.addToReport(report)
	coordinator.merge(report.Suspects, report.Survived)
	host.merge(coordinator.sharedWith(report.KnownSuspects), nil)
}

// What hosts learn adds up at the coordinator and reaches every host, also one that
// starts later; it is bounded and forgotten.
func TestSuspectsReachAllHosts(t *testing.T) {
	const fp = routing.Fingerprint(11)
	coordinator := newQuarantine()
	hosts := []*quarantine{newQuarantine(), newQuarantine(), newQuarantine()}
	for i, h := range hosts {
		h.recordEnd(fp, keyrange.Owner{Target: fmt.Sprintf("t%d", i), Run: 1})
		exchangeSuspects(coordinator, h)
	}
	for _, h := range hosts {
		exchangeSuspects(coordinator, h)
		assert.Assert(t, h.holds(fp))
	}
	clear(coordinator.changedAt)
	late := newQuarantine()
	exchangeSuspects(coordinator, late)
	assert.Assert(t, late.holds(fp))
	assert.Equal(t, len(coordinator.sharedWith(1)), 0, "a host that knows it is not told again")

	late.table.RemoveOld(timeOf(steadyClock() + suspects.Retention + time.Second))
	assert.Assert(t, late.isEmpty())
	late.merge([]*pb.Suspect{{Fingerprint: 1, AgeMs: 1 << 62}}, nil)
	assert.Assert(t, late.isEmpty(), "an age beyond the retention")
	for i := range 2 * suspects.MaxEntries {
		late.recordEnd(routing.Fingerprint(i+100), keyrange.Owner{Target: "t", Run: 1})
	}
	assert.Equal(t, late.table.Len(), suspects.MaxEntries)
}
