package wire

import (
	"encoding/binary"
	"net"
	"sync"
	"time"
)

const (
	// muxHeaderBytes is the size of a yamux header: version, type, flags (2),
	// stream (4), length (4).
	muxHeaderBytes  = 12
	muxTypeData     = 0
	muxTypeOffset   = 1
	muxLengthOffset = 8

	// maxBatchBytes is the number of queued bytes at which writers block.
	maxBatchBytes = 64 << 10
	// closeFlushTimeout limits the time for sending queued frames at Close.
	closeFlushTimeout = 100 * time.Millisecond
)

// batchConn is the connection of a session. yamux writes the header and the body
// of each frame separately, and each write costs a system call and a wake-up of
// the peer. batchConn therefore writes whole frames from its own goroutine, and
// writes all frames queued during one write together. A frame is never delayed to
// wait for others.
type batchConn struct {
	net.Conn
	wake     chan struct{} // signals queued frames or that the connection is closing
	sendDone chan struct{} // closed when the sending goroutine ends

	mu      sync.Mutex
	notFull sync.Cond
	buf     []byte // queued bytes
	partial bool   // buf ends with a header whose body is not written yet
	closing bool
	err     error // error of the write that failed
}

func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{Conn: conn, wake: make(chan struct{}, 1), sendDone: make(chan struct{})}
	c.notFull.L = &c.mu
	go c.send()
	return c
}

// Write queues p, which must be the header or the body of a frame.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buf) >= maxBatchBytes && !c.partial && c.err == nil && !c.closing {
		c.notFull.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closing {
		return 0, net.ErrClosed
	}
	c.partial = !c.partial && hasBody(p)
	c.buf = append(c.buf, p...)
	if !c.partial {
		c.signal()
	}
	return len(p), nil
}

func (c *batchConn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// send writes queued frames until the connection is closed or fails.
func (c *batchConn) send() {
	defer close(c.sendDone)
	var sent []byte
	for range c.wake {
		frames, more := c.takeFrames(sent)
		if len(frames) > 0 {
			if _, err := c.Conn.Write(frames); err != nil {
				c.fail(err)
				return
			}
		}
		if !more {
			return
		}
		sent = frames
	}
}

// takeFrames returns the queued whole frames and replaces them by an empty buffer,
// which reuses empty if it is not too large. more is false if no frames will follow.
func (c *batchConn) takeFrames(empty []byte) (frames []byte, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partial && !c.closing {
		return empty[:0], true // the body follows and signals wake
	}
	frames = c.buf
	if c.partial { // closing: the body will not follow
		frames = frames[:len(frames)-muxHeaderBytes]
	}
	c.buf = nil
	if cap(empty) <= 2*maxBatchBytes {
		c.buf = empty[:0]
	}
	c.notFull.Broadcast()
	return frames, !c.closing
}

// fail closes the connection, so that its readers fail too.
func (c *batchConn) fail(err error) {
	c.mu.Lock()
	c.err = err
	c.notFull.Broadcast()
	c.mu.Unlock()
	_ = c.Conn.Close()
}

// Close sends queued frames within closeFlushTimeout and closes the connection.
func (c *batchConn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.notFull.Broadcast()
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(closeFlushTimeout))
	c.signal()
	<-c.sendDone
	return c.Conn.Close()
}

// hasBody reports whether p is the header of a frame whose body is written next.
func hasBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
