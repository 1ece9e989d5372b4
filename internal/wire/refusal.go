package wire

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RefusesConnections reports whether the host at addr refuses connections: the host is
// up, but no process listens. It does not use the peer's session.
func (d *Dialer) RefusesConnections(ctx context.Context, addr string) bool {
	dialer := net.Dialer{LocalAddr: d.localAddr(addr)}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
