package entry

import (
	"bufio"
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

// dialNode connects to a node and sends the beginning of a request.
func dialNode(t *testing.T, url, begin string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(conn, begin)
	assert.NilError(t, err)
	return conn
}

// A request whose body has no room is refused, and a refusal means that no target got a
// byte of it.
func TestBodyWithoutRoomIsNotRun(t *testing.T) {
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), "", "")
		return true
	})
	n, url := newServingNode(t, target)
	all := n.memory.Request(nil)
	for all.Take(t.Context(), 64<<10) == nil { // until nothing large has room
	}
	body := strings.Repeat("x", 800<<10)
	for i, encode := range []string{"Content-Length: 819200\r\n\r\n" + body, "Transfer-Encoding: chunked\r\n\r\nc8000\r\n" + body + "\r\n0\r\n\r\n"} {
		conn := dialNode(t, url, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: host.example\r\n%s: id-%d\r\n", unsafePath, standin.HeaderID, i))
		go func() { _, _ = io.WriteString(conn, encode) }() // the node may close the connection
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
	}
	assert.Equal(t, len(target.received()), 0)
	status, _, _, err := ask(t, url, unsafePath, "small", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, "a small request has room")
	all.Close()
	status, _, _, err = ask(t, url, unsafePath, "long", strings.NewReader(body))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.DeepEqual(t, target.received(), []string{"small", "long"})
}

// An answer that is cut off, because its reader is slow and others need the memory, must
// not look whole.
func TestCutAnswerDoesNotLookWhole(t *testing.T) {
	const size = 24 << 20
	target := startScriptedTarget(t, func(conn net.Conn, r *http.Request, _ int) bool {
		writeAnswer(conn, 200, r.Header.Get(standin.HeaderID), strings.Repeat("x", size), "")
		return true
	})
	n, url := newServingNode(t, target)
	conn := dialNode(t, url, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: host.example\r\n%s: id\r\n\r\n", safePath, standin.HeaderID))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	other := n.memory.Answer()
	assert.NilError(t, other.Take(t.Context(), 30<<20), "the slow reader did not give way")
	length, err := io.Copy(io.Discard, resp.Body)
	assert.Assert(t, err != nil && length < size, "%d bytes, %v", length, err)
}
