package entry

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/mangopost/mangopost/internal/memlimit"
)

// recordHeldRefusal counts a client that had to give way, and logs at most one line a
// second. The limit calls it while it is locked.
func (n *Node) recordHeldRefusal(reason string) {
	n.counters.heldRefusals[reason].Inc()
	if fields := n.heldLog.Add(time.Now(), reason); fields != nil {
		n.log.Emit(evHeld, fields...)
	}
}

// connections returns how many connections the listeners may have.
func (n *Node) connections() memlimit.Connections {
	s := n.settings.Load()
	return memlimit.ConnectionsOf(s.Memory, memlimit.Files(s.Files))
}

// connContext is the http.Server's ConnContext.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return callerContext(memlimit.WithConn(ctx, conn), memlimit.Inner(conn))
}

const (
	// operatorReadTimeout and operatorWriteTimeout limit a whole request for readiness or
	// metrics and its answer, which are small.
	operatorReadTimeout  = 10 * time.Second
	operatorWriteTimeout = 10 * time.Second
	operatorHeaderBytes  = 16 << 10
)

// newOperatorServer returns the server of readiness checks or metrics.
func newOperatorServer(handler http.Handler, errorLog *log.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       operatorReadTimeout,
		WriteTimeout:      operatorWriteTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    operatorHeaderBytes,
		ErrorLog:          errorLog,
		ConnState:         memlimit.ConnState,
	}
}
