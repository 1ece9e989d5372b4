package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform/standin"
)

// A host is stopped as planned while callers send requests on kept and on new
// connections until the balancer has noticed. Every request that it has read is answered,
// and no connection with a request on it is closed without an answer.
func TestPlannedStopUnderLoadCutsNoRequest(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		time.Sleep(100 * time.Millisecond)
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "done", "")
		return true
	})
	n, url, stop, served := serveUntilStopped(t, 6*time.Second, target)

	var sent, answered, cut atomic.Int64
	var wg sync.WaitGroup
	stoppedAt := make(chan struct{})
	// The balancer needs two checks, a second apart, to send no more connections.
	const noticed = 2200 * time.Millisecond
	for caller := range 24 {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: caller%2 == 0}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stoppedAt:
					return
				default:
				}
				r, err := http.NewRequest(http.MethodPost, url+unsafePath, strings.NewReader("x"))
				assert.Check(t, err)
				r.Host = "host.example"
				r.Header.Set(standin.HeaderID, fmt.Sprintf("id-%d-%d", caller, i))
				r.Header.Set(standin.HeaderDeadline, "1500")
				sent.Add(1)
				resp, err := client.Do(r)
				if err != nil {
					cut.Add(1)
					t.Logf("caller %d, request %d: %v", caller, i, err)
					continue
				}
				answered.Add(1)
				_ = resp.Body.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stop()
	time.Sleep(noticed)
	close(stoppedAt)
	wg.Wait()
	assert.NilError(t, <-served)
	t.Logf("%d requests, %d answered", sent.Load(), answered.Load())
	assert.Equal(t, cut.Load(), int64(0))
	assert.Equal(t, n.inFlight.Load(), int64(0))
}

// Guards against requests that are cut at the end of a planned stop: a caller connected
// before the stop and sends its request late in it.
func TestLateRequestInPlannedStopIsRefused(t *testing.T) {
	const stopTime = 5500 * time.Millisecond
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		time.Sleep(1200 * time.Millisecond)
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "done", "")
		return true
	})
	n, url, stop, served := serveUntilStopped(t, stopTime, target)
	late, soon := dialCaller(t, url), dialCaller(t, url)
	time.Sleep(50 * time.Millisecond) // both are accepted
	stop()

	time.Sleep(drainLinger - 100*time.Millisecond)
	writeRequest(t, soon, "soon")
	time.Sleep(600 * time.Millisecond)
	writeRequest(t, late, "late")
	resp, err := http.ReadResponse(bufio.NewReader(late), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close)
	resp, err = http.ReadResponse(bufio.NewReader(soon), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "the balancer may still send callers here")
	assert.NilError(t, <-served)
	assert.Equal(t, n.inFlight.Load(), int64(0), "requests are cut when the process exits")
	assert.DeepEqual(t, target.received(), []string{"soon"})
}

// A request that is taken during a planned stop ends with an answer before the process
// exits, also if its target is too slow.
func TestRequestInPlannedStopEndsBeforeExit(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	n, url := newServingNode(t, target)
	n.stopping.Store(true)
	n.stopPhases.Store(&stopPhases{refuseFrom: steadyClock() + time.Second, answerBy: steadyClock() + 500*time.Millisecond})
	began := time.Now()
	status, _, _, err := ask(t, url, unsafePath, "id", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(began) < 1400*time.Millisecond)
}

// serveUntilStopped starts a node that takes callers' requests at a URL until stop is
// called; a planned stop then takes the given time. served returns its result.
func serveUntilStopped(t *testing.T, stopTime time.Duration, target *scriptedTarget) (n *Node, url string, stop func(), served <-chan error) {
	t.Helper()
	n, _ = newServingNode(t, target)
	ports, err := standin.FreePorts(1)
	assert.NilError(t, err)
	settings := *n.settings.Load()
	settings.Callers = addrPortOf(ports[0])
	settings.Bounds.Stop = stopTime
	n.settings.Store(&settings)
	ctx, stop := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- n.serveCallers(ctx) }()
	awaitListener(t, ports[0])
	return n, fmt.Sprintf("http://127.0.0.1:%d", ports[0]), stop, result
}

func awaitListener(t *testing.T, port int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		conn, err := net.Dial("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the host does not listen")
}
