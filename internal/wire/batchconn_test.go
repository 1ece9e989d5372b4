package wire

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	dataHeader  = []byte{0, muxTypeData, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3}
	emptyHeader = []byte{0, muxTypeData, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	pingHeader  = []byte{0, 2, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9}
	body        = []byte("abc")
)

// recordingConn records each write. It signals began when a write starts, and blocks
// the write until it receives a value from allow.
type recordingConn struct {
	net.Conn
	began chan struct{}
	allow chan error

	mu     sync.Mutex
	writes [][]byte
	closed bool
}

func newRecordingConn() *recordingConn {
	return &recordingConn{began: make(chan struct{}, 100), allow: make(chan error, 100)}
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.began <- struct{}{}
	if err := <-c.allow; err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, bytes.Clone(p))
	return len(p), nil
}

func (c *recordingConn) SetWriteDeadline(time.Time) error { return nil }

func (c *recordingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

func (c *recordingConn) recorded() ([][]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes, c.closed
}

func writeParts(t *testing.T, conn net.Conn, parts ...[]byte) {
	t.Helper()
	for _, p := range parts {
		n, err := conn.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
}

func concat(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

func TestHeaderIsWrittenWithItsBody(t *testing.T) {
	// A body of the size of a header must not be mistaken for a header.
	headerSizedBody := append(bytes.Clone(dataHeader[:11]), 12)
	frames := [][][]byte{{pingHeader}, {dataHeader, body}, {emptyHeader}, {headerSizedBody, dataHeader}, {dataHeader, body}}
	out := newRecordingConn()
	conn := newBatchConn(out)
	var want [][]byte
	for _, frame := range frames {
		writeParts(t, conn, frame...)
		<-out.began
		out.allow <- nil
		want = append(want, concat(frame...))
	}
	assert.NilError(t, conn.Close())
	writes, closed := out.recorded()
	assert.DeepEqual(t, writes, want)
	assert.Assert(t, closed)
}

func TestFramesQueuedDuringAWriteAreBatched(t *testing.T) {
	out := newRecordingConn()
	conn := newBatchConn(out)
	writeParts(t, conn, pingHeader)
	<-out.began
	writeParts(t, conn, dataHeader, body, emptyHeader, dataHeader, body, dataHeader)
	out.allow <- nil // ends the write of the ping; the last header has no body yet
	writeParts(t, conn, body)
	out.allow <- nil
	out.allow <- nil // for a third write, if the last frame came after the second one started
	assert.NilError(t, conn.Close())
	writes, _ := out.recorded()
	assert.DeepEqual(t, writes[0], pingHeader)
	assert.DeepEqual(t, concat(writes[1:]...), concat(dataHeader, body, emptyHeader, dataHeader, body, dataHeader, body))
	for _, w := range writes[1:] {
		assert.Assert(t, !bytes.HasSuffix(w, dataHeader), "header was written without its body")
	}
	assert.Assert(t, len(writes) <= 3, "%d writes", len(writes))
}

func TestCloseSendsWholeFramesOnly(t *testing.T) {
	out := newRecordingConn()
	conn := newBatchConn(out)
	writeParts(t, conn, pingHeader)
	<-out.began
	writeParts(t, conn, dataHeader, body, dataHeader)
	closed := make(chan error, 1)
	go func() { closed <- conn.Close() }()
	out.allow <- nil
	out.allow <- nil
	assert.NilError(t, <-closed)
	writes, _ := out.recorded()
	assert.DeepEqual(t, concat(writes...), concat(pingHeader, dataHeader, body))
	_, err := conn.Write(body)
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestFailedWriteClosesConnection(t *testing.T) {
	fault := errors.New("fault")
	out := newRecordingConn()
	conn := newBatchConn(out)
	writeParts(t, conn, pingHeader)
	out.allow <- fault
	<-conn.sendDone
	_, err := conn.Write(pingHeader)
	assert.ErrorIs(t, err, fault)
	_, closed := out.recorded()
	assert.Assert(t, closed, "the connection must be closed so that readers fail")
	assert.NilError(t, conn.Close())
}

func TestWriterBlocksWhileBufferIsFull(t *testing.T) {
	out := newRecordingConn()
	conn := newBatchConn(out)
	large := bytes.Repeat([]byte{1}, maxBatchBytes)
	writeParts(t, conn, pingHeader)
	<-out.began
	writeParts(t, conn, large) // fills the buffer while the first write is blocked
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(pingHeader)
		written <- err
	}()
	select {
	case <-written:
		t.Fatal("Write returned while the buffer was full")
	default:
	}
	out.allow <- nil
	assert.NilError(t, <-written)
	out.allow <- nil
	out.allow <- nil
	assert.NilError(t, conn.Close())
	writes, _ := out.recorded()
	assert.DeepEqual(t, concat(writes...), concat(pingHeader, large, pingHeader))
}
