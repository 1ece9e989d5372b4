package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform/standin"
)

// startRawTarget starts a target that handles each connection once the head of its first
// request has been read. The body is left unread.
func startRawTarget(t *testing.T, handle func(conn *net.TCPConn, id string)) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					handle(conn.(*net.TCPConn), r.Header.Get(standin.HeaderID))
				}
			}()
		}
	}()
	return &scriptedTarget{listener: l}
}

const (
	earlyBody = "the beginning"
	// uploadMemory is a process's memory, which has room for the uploads.
	uploadMemory = 284 << 20
)

// answerEarly sends an answer without a length.
func answerEarly(conn *net.TCPConn, id string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", standin.HeaderID, id, earlyBody)
	time.Sleep(15 * time.Millisecond)
}

// Guards against a part of an answer that reaches the caller as the whole (MIXED): a target
// answers a long upload at once, without a length, and resets the connection while the
// upload is still being sent.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	target := startRawTarget(t, func(conn *net.TCPConn, id string) {
		answerEarly(conn, id)
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	n, url := newServingNodeWithMemory(t, uploadMemory, target)
	n.table.Load().Limits.BodyBytes = 32 << 20
	for _, size := range []int{0, 300 << 10, 2 << 20, 20 << 20} {
		for i := range 6 {
			id := fmt.Sprintf("u-%d-%d", size, i)
			status, body, _, err := ask(t, url, unsafePath, id, bytes.NewReader(make([]byte, size)))
			assert.Assert(t, status != http.StatusServiceUnavailable)
			assert.Assert(t, err != nil || status >= 300, "upload of %d bytes: %d with %q", size, status, body)
		}
	}
}

// A target may answer an upload early, without a length, and end its answer cleanly.
func TestEarlyAnswerDuringUploadIsDelivered(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reads on":      func(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) },
		"stops reading": func(*net.TCPConn) { time.Sleep(200 * time.Millisecond) },
		"resets later": func(conn *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, func(conn *net.TCPConn, id string) {
				answerEarly(conn, id)
				_ = conn.CloseWrite()
				end(conn)
				_ = conn.Close()
			})
			n, url := newServingNodeWithMemory(t, uploadMemory, target)
			n.table.Load().Limits.BodyBytes = 32 << 20
			for _, size := range []int{0, 300 << 10, 20 << 20} {
				status, body, _, err := ask(t, url, unsafePath, fmt.Sprintf("e-%d", size), bytes.NewReader(make([]byte, size)))
				assert.NilError(t, err)
				assert.Equal(t, status, 200)
				assert.Equal(t, body, earlyBody)
			}
		})
	}
}

// brokenOff are answers that end too early, with the ID of the request in place of %s.
var brokenOff = map[string]string{
	"in the version":             "HTT",
	"in the status":              "HTTP/1.1 2",
	"in the reason":              "HTTP/1.1 200 O",
	"after the status line":      "HTTP/1.1 200 OK\r\n",
	"in a field's name":          "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Le",
	"in a field's value":         "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 1",
	"within a field's line end":  "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 0\r",
	"after a field":              "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 0\r\n",
	"within the empty line":      "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 0\r\n\r",
	"in an interim answer":       "HTTP/1.1 103 Early Hints\r\nLink: </a",
	"after an interim answer":    "HTTP/1.1 103 Early Hints\r\n\r\n",
	"in the head behind interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\n",
	"before the body":            "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 3\r\n\r\n",
	"in the body":                "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nContent-Length: 3\r\n\r\nab",
	"before the first chunk":     "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n",
	"in a chunk's size":          "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n1",
	"in a chunk":                 "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
	"after a chunk":              "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	"in the last chunk's size":   "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0",
	"after the last chunk":       "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
	"in the trailer":             "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-A: b",
	"behind the trailer":         "HTTP/1.1 200 OK\r\n" + standin.HeaderID + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-A: b\r\n",
}

// Guards against answers that stop in their middle and reach the caller as complete
// (MIXED), wherever they stop and however the connection ends.
func TestAnswerThatStopsIsNotComplete(t *testing.T) {
	for name, text := range brokenOff {
		for _, linger := range []int{-1, 0} {
			for _, path := range []string{safePath, unsafePath} {
				t.Run(fmt.Sprintf("%s %s, linger %d", path, name, linger), func(t *testing.T) {
					t.Parallel()
					target := startRawTarget(t, func(conn *net.TCPConn, id string) {
						_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", id))
						time.Sleep(5 * time.Millisecond) // a reset takes back what has not been read
						_ = conn.SetLinger(linger)
						_ = conn.Close()
					})
					_, url := newServingNode(t, target)
					status, body, _, err := ask(t, url, path, "stops", nil)
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusBadGateway, "%q", body)
				})
			}
		}
	}
}
