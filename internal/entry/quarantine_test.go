package entry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
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
func endingTargets(t *testing.T, count int, end func(s *scriptedTarget, conn net.Conn, id string)) []*scriptedTarget {
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
			end(s, conn, r.Header.Get(standin.HeaderID))
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

// answerStages are what a target may have sent of an answer when its connection ends.
var answerStages = map[string]string{
	"nothing":             "",
	"part of status line": "HTTP/1.1 2",
	"status line":         "HTTP/1.1 200 OK\r\n",
	"interim answer":      "HTTP/1.1 103 Early Hints\r\n\r\n",
	"part of a field":     "HTTP/1.1 200 OK\r\nContent-Len",
	"head":                "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 4000\r\n\r\n",
	"part of the body":    "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 4000\r\n\r\nabc",
	"part of a chunk":     "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
	"last chunk":          "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
}

// endAfter sends what a stage says, and then ends the connection.
func endAfter(stage string, end func(s *scriptedTarget, conn net.Conn)) func(s *scriptedTarget, conn net.Conn, id string) {
	return func(s *scriptedTarget, conn net.Conn, id string) {
		_, _ = conn.Write([]byte(strings.ReplaceAll(answerStages[stage], "%s", id)))
		time.Sleep(10 * time.Millisecond) // a reset takes back what the host has not read yet
		end(s, conn)
	}
}

// crashSlowly ends the connection some time before nothing listens any more.
func crashSlowly(s *scriptedTarget, conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	time.AfterFunc(endCheckTime/3, s.end)
}

// Guards against a request that ends one target after the other (review/5, review/7): with
// each target that runs it, all work there is lost. It does not matter what the target had
// sent by then, nor that its connections end before its listener.
func TestRequestThatEndsTargetsIsQuarantined(t *testing.T) {
	for stage := range answerStages {
		for name, end := range map[string]func(*scriptedTarget, net.Conn){"": crash, ", slow end": crashSlowly} {
			for path, atMost := range map[string]int{unsafePath: suspects.CrashThreshold, safePath: suspects.CrashThreshold + 1} {
				t.Run(path+" "+stage+name, func(t *testing.T) {
					t.Parallel()
					testRequestThatEndsTargets(t, path, atMost, endAfter(stage, end))
				})
			}
		}
	}
}

func testRequestThatEndsTargets(t *testing.T, path string, atMost int, end func(*scriptedTarget, net.Conn, string)) {
	t.Helper()
	targets := endingTargets(t, 8, end)
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
}

// Connections that a link or a target resets, and the planned end of a target, are no
// sign of a request that ends targets.
func TestBrokenConnectionsDoNotQuarantine(t *testing.T) {
	for stage := range answerStages {
		for name, end := range map[string]func(*scriptedTarget, net.Conn){
			"reset": func(_ *scriptedTarget, conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) },
			"close": func(*scriptedTarget, net.Conn) {},
		} {
			t.Run(name+" after "+stage, func(t *testing.T) {
				t.Parallel()
				targets := endingTargets(t, 8, endAfter(stage, end))
				n, url := newServingNode(t, targets...)
				refused := sendPoison(t, url, unsafePath, func() { time.Sleep(50 * time.Millisecond) })
				assert.Equal(t, arrivals(targets), 8)
				assert.Equal(t, refused, 0)
				assert.Equal(t, n.ends(), 0)
			})
		}
	}
	t.Run("leaving", func(t *testing.T) {
		n, _ := newServingNode(t)
		owner := keyrange.Owner{Target: "t0", Run: 1, Addr: "127.0.0.1:1"} // nothing listens there
		n.directory.Put(directory.Entry{Name: "t0", Run: 1, Service: "s", Leaving: true})
		n.recordEnd("id", 7, owner)
		assert.Equal(t, n.quarantine.ends(7), 0)
	})
}

// A request that only happened to run when targets ended is cleared by any answer, on any
// host, and every host learns of it, also once it is quarantined.
func TestRunThatAnswersClearsSuspect(t *testing.T) {
	const fp, quarantined = routing.Fingerprint(9), routing.Fingerprint(10)
	ends := func(q *quarantine, fp routing.Fingerprint, targets ...string) {
		for _, name := range targets {
			q.recordEnd(fp, keyrange.Owner{Target: name, Run: 1})
		}
	}
	coordinator, a, b := newQuarantine(), newQuarantine(), newQuarantine()
	ends(a, fp, "t1", "t2")
	exchangeSuspects(coordinator, a)
	exchangeSuspects(coordinator, b)
	assert.Equal(t, b.ends(fp), 2, "b may be the one that sees it run")
	b.recordAnswer(fp)
	assert.Equal(t, b.ends(fp), 0)
	exchangeSuspects(coordinator, b)
	exchangeSuspects(coordinator, a)
	assert.Equal(t, coordinator.ends(fp), 0)
	assert.Equal(t, a.ends(fp), 0)

	ends(a, quarantined, "t3", "t4", "t5")
	exchangeSuspects(coordinator, a)
	exchangeSuspects(coordinator, b)
	for _, q := range []*quarantine{a, b, coordinator} {
		assert.Assert(t, q.check(quarantined).Refused)
	}
	a.recordAnswer(quarantined) // of a run that began before
	exchangeSuspects(coordinator, a)
	exchangeSuspects(coordinator, b)
	for _, q := range []*quarantine{a, b, coordinator} {
		assert.Assert(t, !q.check(quarantined).Refused)
	}
}

// sameRequests sends the same request a number of times at once and returns the number of
// answers by status.
func sameRequests(t *testing.T, url, path string, count int) map[int]int {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	byStatus := make(map[int]int)
	for i := range count {
		wg.Go(func() {
			status, _, _, _ := ask(t, url, path, fmt.Sprintf("same-%s-%d", t.Name(), i), strings.NewReader("the same"))
			mu.Lock()
			defer mu.Unlock()
			byStatus[status]++
		})
	}
	wg.Wait()
	return byStatus
}

// Guards against a popular request that is refused for minutes (review/10): three of its
// targets end at one moment, for a cause outside, while it runs at all of them.
func TestTargetsThatEndAtOnceDoNotQuarantine(t *testing.T) {
	const ending = 3
	for name, answeredBefore := range map[string]bool{"answered before": true, "answered by others at the time": false} {
		t.Run(name, func(t *testing.T) {
			var isArmed atomic.Bool
			var running sync.WaitGroup
			release := make(chan struct{})
			targets := make([]*scriptedTarget, 5)
			var mu sync.Mutex // held until targets is complete
			mu.Lock()
			for i := range targets {
				targets[i] = startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
					if isArmed.Load() {
						running.Done()
						<-release
						mu.Lock()
						defer mu.Unlock()
						if i < ending {
							crash(targets[i], conn)
							return false
						}
					}
					writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "ok", "")
					return true
				})
			}
			mu.Unlock()
			n, url := newServingNode(t, targets...)
			if answeredBefore {
				assert.Equal(t, sameRequests(t, url, unsafePath+"popular", 1)[200], 1)
			}
			const copies = 15 // of 20 slots: each target runs some
			running.Add(copies)
			isArmed.Store(true)
			go func() {
				running.Wait()
				isArmed.Store(false)
				close(release)
			}()
			sameRequests(t, url, unsafePath+"popular", copies)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if count := n.ends(); count < ending {
					return poll.Continue("%d of %d ends are known", count, ending)
				}
				return poll.Success()
			}, poll.WithDelay(2*time.Millisecond))
			assert.Equal(t, sameRequests(t, url, unsafePath+"popular", 4)[http.StatusServiceUnavailable], 0)
		})
	}
}

// Guards against a request that nothing ever clears: it was not answered before its targets
// ended at one moment. One probe is run when targets are there again, and every host may
// run the request once it is answered.
func TestProbeClearsQuarantinedRequest(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "ok", "")
		return true
	})
	n, url := newServingNode(t, target)
	store := httptest.NewServer(standin.NewStore())
	t.Cleanup(store.Close)
	n.store.SetAddr(store.Listener.Addr().String())
	out := logTo(t, n)
	fp := quarantineSameRequest(t, n, url)
	status, _, header, err := ask(t, url, unsafePath+"popular", "r-1", strings.NewReader("the same"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Retry-After"), "1.000")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !n.quarantine.check(fp).ProbeDue {
			return poll.Continue("no probe is due")
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
	byStatus := sameRequests(t, url, unsafePath+"popular", 20)
	assert.Assert(t, byStatus[200] >= 1 && byStatus[200]+byStatus[http.StatusServiceUnavailable] == 20, "%v", byStatus)
	assert.Equal(t, sameRequests(t, url, unsafePath+"popular", 4)[200], 4)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the log is written in the background
		if out.lineWith("MP6107") == "" || out.lineWith("MP6109") == "" {
			return poll.Continue("not logged")
		}
		return poll.Success()
	}, poll.WithDelay(2*time.Millisecond))
}

// quarantineSameRequest lets three targets count as ended, at one moment, with the request
// of sameRequests.
func quarantineSameRequest(t *testing.T, n *Node, url string) routing.Fingerprint {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+unsafePath+"popular", nil)
	assert.NilError(t, err)
	c := &call{node: n, r: r, outbound: &outboundRequest{
		method: http.MethodPost, host: "host.example", uri: unsafePath + "popular", body: [][]byte{[]byte("the same")},
	}}
	r.RemoteAddr = "127.0.0.1:1"
	for _, name := range []string{"x", "y", "z"} {
		n.quarantine.recordEnd(c.fingerprint(), keyrange.Owner{Target: name, Run: 1})
	}
	assert.Assert(t, n.quarantine.check(c.fingerprint()).Refused)
	return c.fingerprint()
}

// The probes of all hosts are counted together: of hosts that know of the same number, one
// takes the next. A probe that reached no target may be used again.
func TestHostsShareProbes(t *testing.T) {
	store := httptest.NewServer(standin.NewStore())
	t.Cleanup(store.Close)
	var nodes []*Node
	var fp routing.Fingerprint
	for range 4 {
		n, url := newServingNode(t)
		n.store.SetAddr(store.Listener.Addr().String())
		fp = quarantineSameRequest(t, n, url)
		nodes = append(nodes, n)
	}
	due := routing.Verdict{Refused: true, HasProbe: true, ProbeDue: true}
	var taken []*Node
	for _, n := range nodes {
		if n.takeProbe(t.Context(), "id", fp, due) {
			taken = append(taken, n)
		}
		assert.Equal(t, n.quarantine.check(fp).Probes, 1, "each host knows now")
		v := n.quarantine.check(fp)
		assert.Assert(t, !v.ProbeDue)
		assert.Equal(t, quarantineRetryAfter(v), minQuarantineRetryAfter, "its answer may come at any moment")
	}
	assert.Equal(t, len(taken), 1)
	n := taken[0]
	assert.Assert(t, !n.takeProbe(t.Context(), "id", fp, due), "it runs")
	n.quarantine.endClaim(fp, true)
	assert.Assert(t, n.takeProbe(t.Context(), "id", fp, routing.Verdict{Refused: true}), "it reached no target")
	n.quarantine.endClaim(fp, false)
	assert.Assert(t, !n.takeProbe(t.Context(), "id", fp, routing.Verdict{Refused: true}))

	store.Close()
	other := nodes[1]
	other.quarantine.endClaim(fp, false)
	other.quarantine.claims[fp].at -= claimRetryInterval
	assert.Assert(t, !other.takeProbe(t.Context(), "id", fp, due), "the store does not answer")
}

// exchangeSuspects plays one report of a host and the reply.
func exchangeSuspects(coordinator, host *quarantine) {
	report := &pb.Report{}
	host.addToReport(report)
	coordinator.merge(report.Suspects)
	host.merge(coordinator.sharedWith(report.KnownSuspects))
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
		assert.Assert(t, h.check(fp).Refused)
	}
	clear(coordinator.changedAt)
	late := newQuarantine()
	exchangeSuspects(coordinator, late)
	assert.Assert(t, late.check(fp).Refused)
	assert.Equal(t, len(coordinator.sharedWith(1)), 0, "a host that knows it is not told again")

	late.table.RemoveOld(timeOf(steadyClock() + suspects.Retention + time.Second))
	assert.Assert(t, late.isEmpty())
	late.merge([]*pb.Suspect{{Fingerprint: 1, AgeMs: 1 << 62}})
	assert.Assert(t, late.isEmpty(), "an age beyond the retention")
	for i := range 2 * suspects.MaxEntries {
		late.recordEnd(routing.Fingerprint(i+100), keyrange.Owner{Target: "t", Run: 1})
	}
	assert.Equal(t, late.table.Len(), suspects.MaxEntries)
}
