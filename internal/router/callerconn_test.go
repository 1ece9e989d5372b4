package router

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlineConn counts the calls of SetWriteDeadline.
type deadlineConn struct {
	net.Conn
	writeDeadlineCalls int
}

func (c *deadlineConn) SetWriteDeadline(time.Time) error {
	c.writeDeadlineCalls++
	return nil
}

func (c *deadlineConn) SetDeadline(time.Time) error { return nil }

func TestWriteDeadlineIsRenewedBelowMinimum(t *testing.T) {
	inner := new(deadlineConn)
	conn := &callerConn{Conn: inner}
	for _, step := range []struct {
		now time.Duration
		set int
	}{
		{0, 1},
		{callerWriteTimeout - minCallerWriteTimeout, 1},
		{callerWriteTimeout - minCallerWriteTimeout + 1, 2},
		{callerWriteTimeout, 2 + 1},
		{time.Hour, 4},
	} {
		conn.renewWriteDeadline(step.now)
		assert.Equal(t, inner.writeDeadlineCalls, step.set, "at %v", step.now)
	}
}

func TestNextWriteRenewsDeadlineSetByServer(t *testing.T) {
	inner := new(deadlineConn)
	conn := &callerConn{Conn: inner}
	conn.renewWriteDeadline(0)
	assert.NilError(t, conn.SetWriteDeadline(time.Now()))
	conn.renewWriteDeadline(0)
	assert.Equal(t, inner.writeDeadlineCalls, 3)
	assert.NilError(t, conn.SetDeadline(time.Now()))
	conn.renewWriteDeadline(0)
	assert.Equal(t, inner.writeDeadlineCalls, 4)
}
