package router

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/linkbytes"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/routing"
)

// overflowBytes is the room each way that a link between regions must have for
// a request that a nearer target could run.
const overflowBytes = 16 << 10

// regionLinks count what this router exchanges with hosts of other regions, and
// keep work that need not cross within this host's share of the link.
type regionLinks struct {
	router *Router
	mu     sync.Mutex
	links  map[string]*regionLink
}

// regionLink is this host's share of the link to one region.
type regionLink struct {
	hosts          int // of the own region, by which the link is shared
	sent, received *routing.LinkBudget
	bytes          *linkbytes.Counters
}

func newRegionLinks(r *Router) *regionLinks {
	return &regionLinks{router: r, links: make(map[string]*regionLink)}
}

// count is told of each frame to or from another process.
func (l *regionLinks) count(t wire.Traffic) {
	region := l.router.table.Load().regions[t.Peer]
	if region == "" || region == l.router.cfg.Region {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(region).count(l.router.now(), t)
}

// openOnce returns a function that says whether overflow may go to a region.
// It asks once for each, so use it for one decision only.
func (l *regionLinks) openOnce() func(region string) bool {
	asked, answer := "", false
	return func(region string) bool {
		if region == l.router.cfg.Region {
			return true
		}
		if region != asked {
			asked, answer = region, l.open(region)
		}
		return answer
	}
}

// open reports whether a request that a nearer target could run may cross.
func (l *regionLinks) open(region string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, now := l.of(region), l.router.now()
	return link.sent.Allows(now, routing.LinkOverflow, overflowBytes) &&
		link.received.Allows(now, routing.LinkOverflow, overflowBytes)
}

// of returns the link to a region. Regions come from the cells' records, so
// their number is bounded.
func (l *regionLinks) of(region string) *regionLink {
	link := l.links[region]
	if link == nil {
		link = newRegionLink(l.router, region)
		l.links[region] = link
	}
	link.share(l.router.now(), l.router.table.Load().hostsIn[l.router.cfg.Region])
	return link
}

func newRegionLink(r *Router, region string) *regionLink {
	return &regionLink{bytes: linkbytes.New(r.metrics.set, region)}
}

// share gives this host an equal part of the link among its region's hosts.
func (l *regionLink) share(now time.Duration, hosts int) {
	if l.sent != nil && l.hosts == hosts {
		return
	}
	l.hosts = hosts
	l.sent = routing.NewLinkBudget(now, routing.LinkShare(hosts))
	l.received = routing.NewLinkBudget(now, routing.LinkShare(hosts))
}

func (l *regionLink) count(now time.Duration, t wire.Traffic) {
	l.bytes.Add(t)
	budget := l.received
	if t.Sent {
		budget = l.sent
	}
	budget.RecordSent(now, linkCause(t), t.Bytes)
}

func linkCause(t wire.Traffic) routing.LinkCause {
	switch {
	case t.Cause == wire.CauseLeases || t.Cause == wire.CauseSync:
		return routing.LinkControl
	case t.Optional:
		return routing.LinkOverflow
	default:
		return routing.LinkRequests
	}
}
