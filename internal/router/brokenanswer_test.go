package router

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	earlyBody = "the beginning"
	// maxUploadBytes is below the limit of a message between hosts, and above what the
	// kernel buffers of a connection whose peer does not read.
	maxUploadBytes = 3900 << 10
)

// rawTarget answers each request with the bytes that its path names, and then ends the
// connection. The body is left unread.
type rawTarget struct{}

// brokenOff are answers that end too early, with the ID of the request in place of %s.
var brokenOff = []string{
	"HTT",
	"HTTP/1.1 2",
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nContent-Le",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nContent-Length: 1",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nContent-Length: 0\r",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nContent-Length: 0\r\n",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nContent-Length: 0\r\n\r",
	"HTTP/1.1 103 Early Hints\r\nLink: </a",
	"HTTP/1.1 103 Early Hints\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\n",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nContent-Length: 3\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nContent-Length: 3\r\n\r\nab",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n1",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-A: b",
	"HTTP/1.1 200 OK\r\n" + headerRequestID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-A: b\r\n",
}

func (rawTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/mangopost/health" {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	tcp := conn.(*net.TCPConn)
	id := r.Header.Get(headerRequestID)
	kind, number, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "-")
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", headerRequestID, id, earlyBody)
	if i, err := strconv.Atoi(number); err == nil {
		text = strings.ReplaceAll(brokenOff[i], "%s", id)
	}
	_, _ = io.WriteString(tcp, text)
	time.Sleep(15 * time.Millisecond) // a reset takes back what has not been read
	switch kind {
	case "reset":
		_ = tcp.SetLinger(0)
	case "early":
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, tcp)
	}
}

func (p *pair) upload(t *testing.T, path string, size int) (status int, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.callers+"/katalog"+path, bytes.NewReader(make([]byte, size)))
	assert.NilError(t, err)
	request.Header.Set(headerClient, "usm")
	request.Header.Set(headerKey, "k1")
	request.Header.Set(headerDeadline, "3000")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Guards against a part of an answer that reaches the caller as the whole (MIXED): a target
// answers a long upload at once, without a length, and resets the connection while the
// upload is still being sent. An early answer that ends cleanly is complete.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	t.Parallel()
	p := startPair(t, rawTarget{}, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 32 << 20, ReadTimeout: 10 * time.Second}})
	for _, size := range []int{100, 300 << 10, maxUploadBytes} {
		for range 6 {
			status, body, err := p.upload(t, "/reset", size)
			assert.Assert(t, err != nil || status >= 500, "upload of %d bytes: %d with %q", size, status, body)
			status, body, err = p.upload(t, "/early", size)
			assert.NilError(t, err)
			assert.Equal(t, status, 200)
			assert.Equal(t, body, earlyBody)
		}
	}
}

// Guards against answers that stop in their middle and reach the caller as complete
// (MIXED), wherever they stop and however the connection ends.
func TestAnswerThatStopsIsNotComplete(t *testing.T) {
	const perPair = 3 // a target that fails often gets less
	for first := range brokenOff {
		if first%perPair != 0 {
			continue
		}
		t.Run(strconv.Itoa(first), func(t *testing.T) {
			t.Parallel()
			p := startPair(t, rawTarget{}, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}})
			for i := first; i < min(first+perPair, len(brokenOff)); i++ {
				for _, kind := range []string{"reset", "close"} {
					status, body := p.uploadUntilSent(t, fmt.Sprintf("/%s-%d", kind, i))
					assert.Equal(t, status, http.StatusBadGateway, "%s after %q: %q", kind, brokenOff[i], body)
				}
			}
		})
	}
}

// uploadUntilSent sends a short request again while it is refused as not run.
func (p *pair) uploadUntilSent(t *testing.T, path string) (status int, body string) {
	t.Helper()
	for range 200 {
		var err error
		status, body, err = p.upload(t, path, 100)
		assert.NilError(t, err)
		if status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return status, body
}
