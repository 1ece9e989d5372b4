package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform/standin"
	"github.com/mangopost/mangopost/routing"

	"github.com/mangopost/mangopost/membership/directory"
)

// A target sends a second copy of an answer, late, when the connection has been used
// for the next request. The copy must not reach the next caller, whatever it says.
func TestSecondCopyOfAnAnswerReachesNobody(t *testing.T) {
	for name, copied := range map[string]func(io.Writer, string){
		"of an answer":            func(w io.Writer, id string) { writeAnswer(w, 200, id, "first", "") },
		"of a refusal":            func(w io.Writer, id string) { writeAnswer(w, 503, id, "", standin.LineNotRun) },
		"of a refusal without ID": func(w io.Writer, _ string) { _, _ = io.WriteString(w, "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			first := ""
			target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, number int) bool {
				id := r.Header.Get(standin.HeaderID)
				if number == 0 {
					first = id
					writeAnswer(conn, 200, id, "first", "")
					return true
				}
				copied(conn, first)
				writeAnswer(conn, 200, id, "second", "")
				return true
			})
			_, url := newServingNode(t, target)
			status, body, _, err := ask(t, url, unsafePath, "id-1", strings.NewReader("x"))
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(status, body), "200first")
			status, body, _, err = ask(t, url, unsafePath, "id-2", strings.NewReader("x"))
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(status, body), "200second")
			assert.DeepEqual(t, target.received(), []string{"id-1", "id-2"})
		})
	}
}

// A target that does not hold the key refuses a request and sends a second copy of the
// refusal, late. The request is sent there again and runs: the copy must not be taken
// for its answer, or it would run once more.
func TestCopyOfRefusalIsNotTakenForAnswerToRepeat(t *testing.T) {
	sends := 0
	var mu sync.Mutex
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, number int) bool {
		id := r.Header.Get(standin.HeaderID)
		mu.Lock()
		sends++
		first := sends == 1
		mu.Unlock()
		if first {
			writeAnswer(conn, 421, id, "", "")
			return true
		}
		if number > 0 {
			writeAnswer(conn, 421, id, "", "") // the second copy
		}
		writeAnswer(conn, 200, id, "ran", "")
		return true
	})
	_, url := newServingNode(t, target)
	status, body, _, err := ask(t, url, unsafePath, "id-1", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(status, body), "200ran")
	assert.Equal(t, len(target.received()), 2)
}

// Bytes without end, in place of an answer or in it, end the request with a failure
// that is true and in time, and the process's memory stays within its bound.
func TestAnswerWithoutEnd(t *testing.T) {
	endless := func(start, part string) targetScript {
		return func(conn net.Conn, r *http.Request, _ int) bool {
			id := r.Header.Get(standin.HeaderID)
			_, err := io.WriteString(conn, strings.ReplaceAll(start, "ID", id))
			chunk := bytes.Repeat([]byte(part), max(1, 4096/len(part)))
			for err == nil {
				_, err = conn.Write(chunk)
			}
			return false
		}
	}
	slow := func(conn net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
		for err == nil {
			_, err = conn.Write([]byte("x"))
			time.Sleep(20 * time.Millisecond)
		}
		return false
	}
	ok := "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": ID\r\n"
	for name, script := range map[string]targetScript{
		"no answer":           endless("", "x"),
		"status line":         endless("HTTP/1.1 200 ", "x"),
		"header line":         endless(ok+"X: ", "x"),
		"header lines":        endless(ok, "X: y\r\n"),
		"interim answers":     endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
		"body":                endless(ok+"\r\n", "x"),
		"chunks":              endless(ok+"Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"),
		"chunk extension":     endless(ok+"Transfer-Encoding: chunked\r\n\r\n4;", "x"),
		"trailers":            endless(ok+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
		"a byte now and then": slow,
	} {
		t.Run(name, func(t *testing.T) {
			const requests = 24
			target := startScriptedTarget(t, script)
			n, url := newServingNode(t, target)
			bound := n.memory.AnswerTotal()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					status, _, _, err := ask(t, url, unsafePath, fmt.Sprintf("id-%d", i), strings.NewReader("x"))
					if err == nil && status != http.StatusServiceUnavailable {
						assert.Check(t, status == http.StatusBadGateway || status == http.StatusGatewayTimeout, "status %d", status)
					}
				})
			}
			peak := uint64(0)
			done := make(chan struct{})
			go func() { wg.Wait(); close(done) }()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				runtime.ReadMemStats(&after)
				peak = max(peak, after.HeapInuse)
			}
			// The collector runs when the heap has doubled, and a buffer that grows
			// is copied.
			assert.Assert(t, peak < before.HeapInuse+4*uint64(bound), "heap of %d MB, bound %d MB", peak>>20, bound>>20)
			assert.Assert(t, time.Since(began) < 10*time.Second)
			sent := make(map[string]int)
			for _, id := range target.received() {
				if sent[id]++; sent[id] > 1 {
					t.Errorf("request %s, which must not run twice, was sent twice", id)
				}
			}
		})
	}
}

// An answer that breaks off must not reach the caller as a complete success.
func TestBrokenAnswerIsNoSuccess(t *testing.T) {
	for name, text := range map[string]string{
		"short of its length":  "Content-Length: 9\r\n\r\nabc",
		"in the middle of one": "Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"between chunks":       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"in the headers":       "Content-Le",
		"no length, reset":     "\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", standin.HeaderID, r.Header.Get(standin.HeaderID), text)
				time.Sleep(50 * time.Millisecond) // the bytes arrive before the reset
				if strings.HasSuffix(name, "reset") {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			_, url := newServingNode(t, target)
			status, _, _, err := ask(t, url, unsafePath, "id-1", strings.NewReader("x"))
			assert.Assert(t, err != nil || status >= http.StatusInternalServerError, "status %d", status)
			assert.Assert(t, status != http.StatusServiceUnavailable, "it may have run")
			assert.Equal(t, len(target.received()), 1, "it must not run twice")
		})
	}
}

// A target that says in an answer that it is leaving gets no further request, although
// its entry in the store still says otherwise.
func TestTargetThatSaysItIsLeavingGetsNoRequest(t *testing.T) {
	answering := func(extra string) targetScript {
		return func(conn net.Conn, r *http.Request, _ int) bool {
			writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "done", extra)
			return true
		}
	}
	leaving, staying := startScriptedTarget(t, answering(standin.LineLeaving)), startScriptedTarget(t, answering(""))
	n, url := newServingNode(t, leaving, staying)
	for i := range 50 {
		status, _, _, err := ask(t, url, safePath, fmt.Sprintf("id-%d", i), nil)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		n.mu.Lock()
		n.directory.Put(directory.Entry{
			Name: "t0", Service: "s", Addr: leaving.listener.Addr().String(), DataCentre: "here", Slots: 4, Run: 1, Heartbeat: uint64(i),
		})
		n.updateTargets()
		n.mu.Unlock()
	}
	assert.Assert(t, len(leaving.received()) <= 1, "%d requests", len(leaving.received()))
	assert.DeepEqual(t, n.recentMarks(), []directory.Run{{Target: "t0", Run: 1}})
}

// A target that asks for a pause gets no request until its end. The request that it
// refused runs elsewhere.
func TestTargetThatAsksForPauseGetsNoRequest(t *testing.T) {
	var mu sync.Mutex
	var pausedAt time.Time
	var during []time.Duration
	paused := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		if pausedAt.IsZero() {
			pausedAt = time.Now()
		} else {
			during = append(during, time.Since(pausedAt))
		}
		writeAnswer(conn, 503, r.Header.Get(standin.HeaderID), "", standin.LineNotRun+"Retry-After: 0.6\r\n")
		return true
	})
	other := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "done", "")
		return true
	})
	_, url := newServingNode(t, paused, other)
	for i, end := 0, time.Now().Add(900*time.Millisecond); time.Now().Before(end); i++ {
		status, _, _, err := ask(t, url, unsafePath, fmt.Sprintf("id-%d", i), strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, !pausedAt.IsZero())
	for _, after := range during {
		assert.Assert(t, after >= 590*time.Millisecond, "a request came %v after the refusal", after)
	}
}

// All targets ask for a pause: callers are told at once to return at its end.
func TestCallersReturnAfterPause(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, 503, r.Header.Get(standin.HeaderID), "", standin.LineNotRun+"Retry-After: 7\r\n")
		return true
	})
	_, url := newServingNode(t, target)
	for i := range 5 {
		began := time.Now()
		status, _, header, err := ask(t, url, unsafePath, fmt.Sprintf("id-%d", i), strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, status, 503)
		assert.Assert(t, time.Since(began) < time.Second, "not refused at once")
		var seconds float64
		_, err = fmt.Sscan(header.Get("Retry-After"), &seconds)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 6 && seconds < 15, "Retry-After %v", seconds)
	}
	assert.Equal(t, len(target.received()), 1)
}

// Guards against a refusal of a request that has run: a target writes an earlier refusal
// once more, when the request is sent to it again after another one on the connection. The
// case is repeated if the other request arrived too late, or used a different connection.
func TestCopyOfRefusalBehindOtherAnswerIsNotTaken(t *testing.T) {
	for range 20 {
		ids, shared := playCopyOfRefusal(t)
		assert.Equal(t, strings.Count(ids, "id-a"), 2, "%s: the request ran twice", ids)
		if ids == "id-a id-b id-a" && shared {
			return
		}
	}
	t.Fatal("the other request never came between the two sends, on the connection of the first")
}

// playCopyOfRefusal plays the case once. It returns the IDs that reached the target, and
// whether the other request came on the connection that carried the refusal.
func playCopyOfRefusal(t *testing.T) (ids string, shared bool) {
	t.Helper()
	refused, answered := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var refusing net.Conn // the connection that carried the refusal, on which a copy may come
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get(standin.HeaderID)
		mu.Lock()
		first := id == "id-a" && refusing == nil
		if first {
			refusing = conn
		}
		sameConn := conn == refusing
		shared = shared || id == "id-b" && sameConn
		mu.Unlock()
		if first {
			writeAnswer(conn, 421, id, "", "")
			close(refused)
			return true
		}
		if id == "id-a" && sameConn {
			writeAnswer(conn, 421, id, "", "") // the second copy
		}
		writeAnswer(conn, 200, id, "ran "+id, "")
		return true
	})
	_, url := newServingNode(t, target)
	go func() {
		defer close(answered)
		<-refused
		status, body, _, err := ask(t, url, unsafePath, "id-b", strings.NewReader("x"))
		assert.Check(t, err)
		assert.Check(t, fmt.Sprint(status, body) == "200ran id-b")
	}()
	status, body, _, err := ask(t, url, unsafePath, "id-a", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(status, body), "200ran id-a")
	<-answered
	return strings.Join(target.received(), " "), shared
}

// Guards against a request that runs with another path or host: a path that begins with
// two slashes was sent on as an absolute URL.
func TestPathIsSentOnUnchanged(t *testing.T) {
	type line struct{ uri, host string }
	seen := make(chan line, 1)
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		seen <- line{r.RequestURI, r.Host}
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "ok", "")
		return true
	})
	n, url := newServingNode(t, target)
	n.configure(routing.NewTable(2, []routing.Route{{
		Name: "all", Host: "host.example", Prefix: "/", MaxAttempts: 1, Timeout: time.Second, LatencyGoal: time.Second,
		Parts: []routing.Part{{Service: "s", Weight: 1}},
	}}, []routing.Service{{Name: "s"}}, routing.CallerLimits{}))
	for i, path := range []string{"//packs/17/refund", "///x", "//", "/a//b?q=//c", "/%2f%2Fx", "/x?", "/a%20b?c=d%20e&&"} {
		conn := dialCaller(t, url)
		_, err := fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: host.example\r\n%s: p%d\r\nContent-Length: 1\r\n\r\nx", path, standin.HeaderID, i)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, <-seen, line{path, "host.example"})
	}
}
