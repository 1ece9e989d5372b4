package memlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testMemory = 184 << 20

// A client that stopped half-way must give way to one that has just come, not the
// reverse: otherwise a crowd that came first keeps ordinary clients out.
func TestSlowestGivesWay(t *testing.T) {
	var reasons []string
	l := New(testMemory, func(reason string) { reasons = append(reasons, reason) })
	ended := make(chan struct{})
	var stopped *Holder
	stopped = l.Request(func() { stopped.Return(); close(ended) })
	assert.NilError(t, stopped.Take(t.Context(), 40<<20))
	stopped.progressAt = time.Now().Add(-2 * time.Second)
	quick := l.Request(func() { t.Error("the client that gets on gave way") })
	assert.NilError(t, quick.Take(t.Context(), 20<<20))
	newest := l.Request(func() { t.Error("the newest client gave way") })
	assert.NilError(t, newest.Take(t.Context(), 30<<20))
	<-ended
	assert.ErrorIs(t, stopped.Take(t.Context(), 1), ErrRefused)
	assert.DeepEqual(t, reasons, []string{ReasonMemory})
	for _, h := range []*Holder{stopped, quick, newest} {
		h.Close()
		h.Close()
	}
	assert.Equal(t, l.Used(), int64(0))
	assert.Equal(t, l.ending, int64(0))
}

// A request that was passed on, and an answer that is read from a target, do not give
// way: the one may have run, and the other must be delivered.
func TestKeptHoldersStay(t *testing.T) {
	l := New(testMemory, nil)
	kept := l.Request(func() { t.Error("a request that was passed on gave way") })
	assert.NilError(t, kept.Take(t.Context(), 60<<20))
	assert.Assert(t, kept.Keep())
	answer := l.Answer()
	assert.NilError(t, answer.Take(t.Context(), 32<<20), "one answer of the largest size always fits")
	kept.progressAt = time.Now().Add(-time.Minute)
	answer.progressAt = kept.progressAt
	next := l.Request(func() {})
	assert.ErrorIs(t, next.Take(t.Context(), 20<<20), ErrRefused, "it must not wait without end")
	small := l.Request(func() { t.Error("a small request gave way") })
	assert.NilError(t, small.Take(t.Context(), smallBytes), "room is reserved for small requests")
	assert.Assert(t, !next.Keep(), "a request that gave way must not be passed on")
}

// What can never fit is refused at once, and a wait ends with its context.
func TestTakeEnds(t *testing.T) {
	l := New(testMemory, nil)
	assert.ErrorIs(t, l.Request(func() {}).Take(t.Context(), l.Total()), ErrRefused)
	assert.NilError(t, l.Request(nil).Take(t.Context(), l.requests-l.total/smallReserveDivisor))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, l.Request(nil).Take(ctx, 1<<20), context.Canceled)
}

// Many holders at once never hold more than the bound, and return all.
func TestBoundHolds(t *testing.T) {
	l := New(testMemory, nil)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			var h *Holder
			if i%5 == 0 {
				h = l.Answer()
			} else {
				h = l.Request(func() {})
			}
			defer h.Close()
			for range 20 {
				if h.Take(t.Context(), 256<<10) != nil {
					return
				}
				assert.Check(t, l.Used() <= l.Total())
			}
		})
	}
	wg.Wait()
	assert.Equal(t, l.Used(), int64(0))
}

// startServer serves with the limits of a Listener.
func startServer(t *testing.T, l *Limit, max int, handler http.HandlerFunc) (*Listener, string) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := NewListener(inner, l, max)
	server := &http.Server{Handler: handler, ConnContext: WithConn, ConnState: ConnState}
	go func() { _ = server.Serve(listener) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return listener, inner.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

// A connection that sends nothing gives way to a new one, and one that has carried a
// request stays.
func TestSilentConnectionGivesWay(t *testing.T) {
	l := New(testMemory, nil)
	listener, addr := startServer(t, l, minConnections, func(w http.ResponseWriter, r *http.Request) { BeginRequest(r) })
	ordinary := dial(t, addr)
	ask := func() error {
		if _, err := fmt.Fprint(ordinary, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return err
		}
		_, err := http.ReadResponse(bufio.NewReader(ordinary), nil)
		return err
	}
	assert.NilError(t, ask())
	for range 4 * minConnections {
		dial(t, addr)
		time.Sleep(grace / 4)
		assert.Assert(t, listener.Open() <= minConnections+minConnections/connectionSlackParts+1)
	}
	assert.NilError(t, ask())
}

// The memory of heads with many fields is counted as what they take, not as their text,
// and returned with the end of the request.
func TestHeadsAreCounted(t *testing.T) {
	l := New(testMemory, nil)
	release := make(chan struct{})
	held := make(chan int64, 1)
	_, addr := startServer(t, l, minConnections, func(w http.ResponseWriter, r *http.Request) {
		BeginRequest(r)
		held <- l.Used()
		<-release
	})
	conn := dial(t, addr)
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: x\r\n%s\r\n", strings.Repeat("a:\r\n", 1000))
	assert.NilError(t, err)
	assert.Assert(t, <-held >= 1000*fieldBytes)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	for l.Used() > 0 { // until net/http has ended the request
		time.Sleep(time.Millisecond)
	}
}

// A request that gives way while its body is read can still be refused, and the client
// sees why.
func TestRequestThatGivesWayIsRefused(t *testing.T) {
	l := New(testMemory, nil)
	reading := make(chan *Holder, 1)
	_, addr := startServer(t, l, minConnections, func(w http.ResponseWriter, r *http.Request) {
		h := BeginRequest(r)
		reading <- h
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err != nil && !h.Keep())
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	conn := dial(t, addr)
	_, err := fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc")
	assert.NilError(t, err)
	h := <-reading
	l.mu.Lock()
	l.endHolder(h, ReasonMemory)
	l.mu.Unlock()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.NilError(t, resp.Body.Close())
}

// The smallest host must have room for one body and one answer of the largest size.
func TestLargestMessagesFit(t *testing.T) {
	l := New(testMemory, nil)
	h := l.Request(func() {})
	assert.NilError(t, h.Take(t.Context(), 1<<20), "a head of many fields")
	for range 64 << 20 / (256 << 10) {
		assert.NilError(t, h.Take(t.Context(), 256<<10))
	}
	assert.NilError(t, l.Answer().Take(t.Context(), 32<<20))
}
