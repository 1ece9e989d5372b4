package placer

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/lease"
)

const (
	// maxRefusalChecks is the maximum number of probes of the port of a router whose
	// connection broke. A process that ends may close the connection before the port.
	maxRefusalChecks     = 4
	refusalCheckInterval = 20 * time.Millisecond
	refusalCheckTimeout  = 100 * time.Millisecond
)

// checkRouter reports a router as gone to the voter if its lease connection broke at
// brokeAt and its port refuses new connections. The broken connection alone does not
// suffice, as the link may have failed.
func (p *Placer) checkRouter(ctx context.Context, brokeAt time.Duration, router lease.Incarnation) {
	for range maxRefusalChecks {
		run, addr := recordedRouter(p.cache.View().Records[p.cfg.Cell].Value, router.Host)
		if ctx.Err() != nil || run != router.Run || addr == "" {
			return
		}
		if p.refusesConnections(ctx, addr) {
			if p.voting.setGone(brokeAt, router) {
				p.log.Emit(evRouterGone, "host", router.Host, "run", router.Run)
			}
			return
		}
		sleep(ctx, refusalCheckInterval)
	}
}

func (p *Placer) refusesConnections(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	return p.dialer.RefusesConnections(ctx, addr)
}
