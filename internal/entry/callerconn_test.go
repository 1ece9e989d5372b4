package entry

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform/standin"
)

func dialCaller(t *testing.T, url string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func writeRequest(t *testing.T, w io.Writer, id string) {
	t.Helper()
	_, err := fmt.Fprintf(w, "GET %sx HTTP/1.1\r\nHost: host.example\r\n%s: %s\r\n%s: 1500\r\n\r\n", safePath, standin.HeaderID, id, standin.HeaderDeadline)
	assert.NilError(t, err)
}

// A caller sends further requests before the first answer, each in a segment of its
// own, and disconnects. Its running search must be cancelled within half a second, and
// the further requests must not reach a target.
func TestCallerThatPipelinesAndLeavesIsNoticed(t *testing.T) {
	for name, further := range map[string]int{"alone": 0, "one more": 1, "many more": 30} {
		t.Run(name, func(t *testing.T) {
			arrived, left := make(chan struct{}, 10), make(chan time.Time, 10)
			target := startScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				arrived <- struct{}{}
				_, _ = conn.Read(make([]byte, 1)) // until the search is cancelled
				left <- time.Now()
				return false
			})
			_, url := newServingNode(t, target)
			conn := dialCaller(t, url)
			writeRequest(t, conn, "id-0")
			<-arrived
			for i := range further {
				time.Sleep(20 * time.Millisecond / time.Duration(further))
				writeRequest(t, conn, fmt.Sprintf("id-%d", i+1))
			}
			time.Sleep(50 * time.Millisecond)
			closedAt := time.Now()
			assert.NilError(t, conn.Close())
			select {
			case at := <-left:
				assert.Assert(t, at.Sub(closedAt) < 500*time.Millisecond, "cancelled after %v", at.Sub(closedAt))
			case <-time.After(2 * time.Second):
				t.Fatal("the search is not cancelled")
			}
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, target.received(), []string{"id-0"})
		})
	}
}

// A caller closes its sending direction and still reads: it counts as gone, and must not
// get an empty success in place of the answer that is no longer awaited.
func TestCallerThatLeftGetsNoSuccess(t *testing.T) {
	for _, further := range []int{0, 1} {
		arrived := make(chan struct{}, 1)
		target := startScriptedTarget(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			arrived <- struct{}{}
			_, _ = conn.Read(make([]byte, 1)) // until the search is cancelled
			return false
		})
		_, url := newServingNode(t, target)
		conn := dialCaller(t, url)
		writeRequest(t, conn, "id-0")
		<-arrived
		for range further {
			writeRequest(t, conn, "id-1")
			time.Sleep(20 * time.Millisecond)
		}
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		got, err := io.ReadAll(conn)
		assert.Assert(t, !strings.Contains(string(got), "200"), "%v: %s", err, got)
	}
}

// Pipelined requests are answered in order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		time.Sleep(10 * time.Millisecond)
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "body of "+r.Header.Get(standin.HeaderID), "")
		return true
	})
	_, url := newServingNode(t, target)
	conn := dialCaller(t, url)
	const requests = 40
	go func() {
		for i := range requests {
			writeRequest(t, conn, fmt.Sprintf("id-%d", i))
			if i%3 == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
	}()
	reader := bufio.NewReader(conn)
	for i := range requests {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), fmt.Sprintf("body of id-%d", i))
	}
}

// Requests arrive at any moment of the handling of earlier ones. Each must be answered
// with its own answer, and none with an empty success.
func TestPipelinesWithRequestsAtAnyMoment(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "body of "+r.Header.Get(standin.HeaderID), "")
		return true
	})
	_, url := newServingNode(t, target)
	const callers, requests = 8, 300
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			conn := dialCaller(t, url)
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			go func() {
				for i := range requests {
					writeRequest(t, conn, fmt.Sprintf("id-%d-%d", caller, i))
					time.Sleep(time.Duration(random.IntN(1500)) * time.Microsecond)
				}
			}()
			reader := bufio.NewReader(conn)
			for i := range requests {
				resp, err := http.ReadResponse(reader, nil)
				if !assert.Check(t, err, "answer %d", i) {
					return
				}
				body, err := io.ReadAll(resp.Body)
				if !assert.Check(t, err) || !assert.Check(t, resp.StatusCode == 503 || string(body) == fmt.Sprintf("body of id-%d-%d", caller, i), "%d: %s", resp.StatusCode, body) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// A host that stops closes each connection with its last answer. Requests behind that
// answer are not passed on, and the answer arrives although they were not read.
func TestRequestBehindLastAnswerIsNotPassedOn(t *testing.T) {
	const longAnswer = 8 << 20 // more than the sockets' buffers hold
	arrived, answer := make(chan struct{}, 10), make(chan struct{})
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		arrived <- struct{}{}
		<-answer
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), strings.Repeat("x", longAnswer), "")
		return true
	})
	n, url := newServingNode(t, target)
	n.stopping.Store(true)
	conn := dialCaller(t, url)
	writeRequest(t, conn, "id-0")
	<-arrived
	for i := range 600 { // more than is read ahead
		writeRequest(t, conn, fmt.Sprintf("id-%d", i+1))
	}
	time.Sleep(50 * time.Millisecond)
	close(answer)
	time.Sleep(50 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), longAnswer)
	assert.DeepEqual(t, target.received(), []string{"id-0"})
}

// A body that comes a byte at a time ends with a refusal at the request's deadline.
func TestSlowBodyIsRefusedAtDeadline(t *testing.T) {
	target := startScriptedTarget(t, func(net.Conn, *http.Request, int) bool { return false })
	_, url := newServingNode(t, target)
	conn := dialCaller(t, url)
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: host.example\r\n%s: a\r\n%s: 300\r\nContent-Length: 1000\r\n\r\n", unsafePath, standin.HeaderID, standin.HeaderDeadline)
	assert.NilError(t, err)
	go func() {
		var err error
		for err == nil {
			_, err = conn.Write([]byte("x"))
			time.Sleep(20 * time.Millisecond)
		}
	}()
	began := time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, len(target.received()), 0, "it must not run")
}

// stepConn is a connection whose reads return what the test sends.
type stepConn struct {
	net.Conn
	started chan struct{}
	results chan error // nil for one byte
}

func (c *stepConn) Read(p []byte) (int, error) {
	c.started <- struct{}{}
	if err := <-c.results; err != nil {
		return 0, err
	}
	p[0] = 'x'
	return 1, nil
}

func (c *stepConn) SetReadDeadline(time.Time) error { return nil }

// Guards against callers that send requests ahead and are cut off without an answer: the
// deadline with which net/http ends its watch of a connection interrupted a read that
// returned only when the next request was awaited.
func TestOutdatedDeadlineDoesNotEndNextRead(t *testing.T) {
	inner := &stepConn{started: make(chan struct{}), results: make(chan error)}
	c := &callerConn{Conn: inner, handling: true}
	c.changed.L = &c.mu
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	<-inner.started
	inner.results <- nil
	assert.NilError(t, <-read)
	<-inner.started // reads ahead
	assert.NilError(t, c.SetReadDeadline(time.Unix(1, 0)))
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	for waits := false; !waits; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		waits = c.waiting
		c.mu.Unlock()
	}
	inner.results <- os.ErrDeadlineExceeded
	select {
	case err := <-read:
		t.Fatalf("the read ended with %v", err)
	case <-inner.started: // the read goes on
	}
	inner.results <- nil
	assert.NilError(t, <-read)
	<-inner.started
	inner.results <- io.EOF
}
