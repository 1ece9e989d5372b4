package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// sendLimit is how long a client of a crowd sends.
	sendLimit = 4 * time.Second
	// holdTime is how long a crowd stays once its clients have sent.
	holdTime = 1500 * time.Millisecond
	// stopShort is the length of what is missing at the end of a body that does not end.
	stopShort = 100
	// manyConnections is more than the descriptors that the process may open.
	manyConnections = 600
	// legalHeadBytes is the length of a head that is just legal.
	legalHeadBytes = 16_000
)

// client sends what one client of a crowd sends. It returns when it is done with
// sending; its connection stays open until the crowd ends.
type client func(number int, conn net.Conn, e endpoint, l limits)

// crowds are the kinds of clients, and how many of them there are.
var crowds = []struct {
	name  string
	count int
	send  client
}{
	{"bodies in one piece", 32, func(n int, c net.Conn, e endpoint, l limits) { sendBody(n, c, e, l, 1<<20) }},
	{"bodies in small pieces", 32, func(n int, c net.Conn, e endpoint, l limits) { sendBody(n, c, e, l, 4<<10) }},
	{"bodies in chunks", 32, sendChunks},
	{"bodies over the limit", 16, sendOversized},
	{"many fields", 360, sendFields},
	{"requests sent ahead", 150, sendAhead},
	{"slow heads", manyConnections, sendSlowHead},
	{"slow bodies", manyConnections, sendSlowBody},
	{"stops in the head", manyConnections, func(n int, c net.Conn, e endpoint, _ limits) { write(c, e.head(http.MethodPost, n)) }},
	{"slow readers", 60, requestWithoutReading},
	{"connections without a request", manyConnections, func(int, net.Conn, endpoint, limits) {}},
}

func TestEntry(t *testing.T) {
	testCrowds(t, startEntry, []string{"route", "no-route", "readiness", "metrics"})
}

func TestRouter(t *testing.T) {
	testCrowds(t, startRouter, []string{"route", "no-route", "readiness"})
}

// testCrowds guards against a process that runs out of memory or descriptors, or that
// hangs, because of clients that go beyond what it can hold.
func testCrowds(t *testing.T, start func(*testing.T, limits) *system, endpoints []string) {
	for _, c := range crowds {
		for i, name := range endpoints {
			t.Run(c.name+"/"+name, func(t *testing.T) {
				s := start(t, smallLimits)
				testCrowd(t, s, c.count, s.endpoints[i], c.send)
			})
		}
	}
}

func testCrowd(t *testing.T, s *system, count int, e endpoint, send client) {
	stopWatch := s.watchFiles()
	var sending, open sync.WaitGroup
	end := make(chan struct{})
	for number := range count {
		sending.Add(1)
		open.Go(func() {
			conn := connectAndSend(number, e, s.limits, send)
			sending.Done()
			<-end
			if conn != nil {
				_ = conn.Close() // the process may have closed it
			}
		})
	}
	sending.Wait()
	time.Sleep(holdTime)
	close(end)
	open.Wait()
	s.check(t, stopWatch())
}

// connectAndSend returns the connection, or nil if there is none.
func connectAndSend(number int, e endpoint, l limits, send client) net.Conn {
	conn, err := net.DialTimeout("tcp", e.addr, 2*time.Second)
	if err != nil {
		return nil
	}
	_ = conn.SetDeadline(time.Now().Add(sendLimit))
	send(number, conn, e, l)
	return conn
}

// watchFiles watches the open descriptors until the function that it returns is called,
// which returns their highest number.
func (s *system) watchFiles() (stop func() int) {
	var peak atomic.Int64
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			peak.Store(max(peak.Load(), int64(s.openFiles())))
			select {
			case <-end:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() int {
		close(end)
		<-ended
		return int(peak.Load())
	}
}

// check checks that the process lives within its limits and serves.
func (s *system) check(t *testing.T, files int) {
	t.Helper()
	peak, err := s.peakMemory()
	assert.NilError(t, err, "the process has ended:\n%s", s.log())
	t.Logf("peak memory %d MiB of %d, %d descriptors of %d", peak>>20, s.limits.memory>>20, files, s.limits.files)
	assert.Check(t, peak <= s.limits.memory, "peak memory of %d MiB exceeds %d", peak>>20, s.limits.memory>>20)
	assert.Check(t, files < s.limits.files, "%d open descriptors of %d", files, s.limits.files)
	s.awaitAnswer(t)
	_, err = s.peakMemory()
	assert.NilError(t, err, "the process has ended:\n%s", s.log())
}

// write sends a text. The process may close the connection at any time.
func write(conn io.Writer, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// sendBody sends a body of legal size in pieces. One client in four sends it whole.
func sendBody(number int, conn net.Conn, e endpoint, l limits, piece int64) {
	write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", e.head(http.MethodPost, number), l.bodyBytes))
	left := l.bodyBytes - stopShort
	if number%4 == 0 {
		left = l.bodyBytes
	}
	buf := bytes.Repeat([]byte("b"), int(piece))
	for left > 0 {
		n, err := conn.Write(buf[:min(piece, left)])
		if err != nil {
			return
		}
		left -= int64(n)
	}
}

// sendChunks sends a body of legal size in chunks. One client in four sends it whole.
func sendChunks(number int, conn net.Conn, e endpoint, l limits) {
	write(conn, e.head(http.MethodPost, number)+"Transfer-Encoding: chunked\r\n\r\n")
	chunk := "1000\r\n" + strings.Repeat("c", 0x1000) + "\r\n"
	for range (l.bodyBytes - stopShort) / 0x1000 {
		if !write(conn, chunk) {
			return
		}
	}
	if number%4 == 0 {
		write(conn, "0\r\n\r\n")
	}
}

// sendOversized sends a body of many times the legal size, half of the clients without
// saying its length.
func sendOversized(number int, conn net.Conn, e endpoint, l limits) {
	size := 16 * l.bodyBytes
	head, piece := fmt.Sprintf("Content-Length: %d\r\n\r\n", size), strings.Repeat("d", 1<<16)
	if number%2 == 0 {
		head, piece = "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n"+piece+"\r\n"
	}
	write(conn, e.head(http.MethodPost, number)+head)
	for range size >> 16 {
		if !write(conn, piece) {
			return
		}
	}
}

// sendFields sends a head of legal size with as many short fields as fit. Half of the
// clients stop before its end, the others before the end of a short body.
func sendFields(number int, conn net.Conn, e endpoint, _ limits) {
	var head strings.Builder
	head.WriteString(e.head(http.MethodPost, number))
	if number%2 == 0 {
		head.WriteString("Content-Length: 10\r\n")
	}
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	for i := 0; head.Len() < legalHeadBytes; i++ {
		fmt.Fprintf(&head, "%c%c%c:\r\n", digits[i/36/36%36], digits[i/36%36], digits[i%36])
	}
	if number%2 == 0 {
		head.WriteString("\r\nshort")
	}
	write(conn, head.String())
}

// sendAhead sends requests with answers and does not read any.
func sendAhead(number int, conn net.Conn, e endpoint, _ limits) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // a kernel that refuses has a larger buffer
	for i := range 5000 {
		if !write(conn, e.head(http.MethodPost, number+i)+"Content-Length: 1000\r\n\r\n"+strings.Repeat("a", 1000)) {
			return
		}
	}
}

// sendSlowHead sends a byte of a head at a time.
func sendSlowHead(number int, conn net.Conn, e endpoint, _ limits) {
	sendSlowly(conn, e.head(http.MethodPost, number)+"X: "+strings.Repeat("x", 1000))
}

// sendSlowBody sends a byte of a body at a time, half of the clients up to its middle.
func sendSlowBody(number int, conn net.Conn, e endpoint, l limits) {
	write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", e.head(http.MethodPost, number), l.bodyBytes))
	if number%2 == 0 {
		sendSlowly(conn, strings.Repeat("x", 1000))
	}
}

// sendSlowly sends a byte every 200 ms until the crowd has sent for sendLimit.
func sendSlowly(conn net.Conn, text string) {
	for _, b := range []byte(text) {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// requestWithoutReading sends requests for large answers. Half of the clients read no
// byte of the answer, the others one at a time.
func requestWithoutReading(number int, conn net.Conn, e endpoint, _ limits) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // a kernel that refuses has a larger buffer
	e.get += e.largeAnswer
	write(conn, e.head(http.MethodGet, number)+"\r\n")
	if number%2 != 0 {
		time.Sleep(sendLimit)
		return
	}
	for one := make([]byte, 1); ; time.Sleep(100 * time.Millisecond) {
		if _, err := conn.Read(one); err != nil {
			return
		}
	}
}

// A single request inside the limits is served when the process is calm: a body of the
// largest size on the smallest host.
func TestEntryServesLargestBody(t *testing.T) { testLargestBody(t, startEntry(t, smallestHost)) }

func TestRouterServesLargestBody(t *testing.T) { testLargestBody(t, startRouter(t, routerDefaults)) }

func testLargestBody(t *testing.T, s *system) {
	for range 3 {
		assert.Equal(t, s.request(io.LimitReader(zeros{}, s.limits.bodyBytes), s.limits.bodyBytes), "200")
	}
	s.check(t, s.openFiles())
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
