package router

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/linkbytes"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/routing"
)

// overflowBytes is the budget that a link between regions must have free in each
// direction to carry a request that a nearer target could run.
const overflowBytes = 16 << 10

// regionLinks counts the bytes that this router exchanges with hosts of other regions,
// and keeps optional traffic within this host's share of the link.
type regionLinks struct {
	router *Router
	mu     sync.Mutex
	links  map[string]*regionLink
}

// regionLink is this host's share of the link to one region.
type regionLink struct {
	hosts          int // hosts of this region, which share the link
	sent, received *routing.LinkBudget
	bytes          *linkbytes.Counters
}

func newRegionLinks(r *Router) *regionLinks {
	return &regionLinks{router: r, links: make(map[string]*regionLink)}
}

// count records a frame sent to or received from another process.
func (l *regionLinks) count(t wire.Traffic) {
	region := l.router.table.Load().regions[t.Peer]
	if region == "" || region == l.router.cfg.Region {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.link(region).count(l.router.now(), t)
}

// newOpenCheck returns a function that reports whether overflow may go to a region. The
// function caches its last answer, so use it for one decision only.
func (l *regionLinks) newOpenCheck() func(region string) bool {
	lastRegion, isOpen := "", false
	return func(region string) bool {
		if region == l.router.cfg.Region {
			return true
		}
		if region != lastRegion {
			lastRegion, isOpen = region, l.isOpen(region)
		}
		return isOpen
	}
}

// isOpen reports whether a request that a nearer target could run may cross to a
// region.
func (l *regionLinks) isOpen(region string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, now := l.link(region), l.router.now()
	return link.sent.Allows(now, routing.LinkOverflow, overflowBytes) &&
		link.received.Allows(now, routing.LinkOverflow, overflowBytes)
}

// link returns the link to a region, and creates it if needed. Regions come from the
// cells' records, so their number is bounded.
func (l *regionLinks) link(region string) *regionLink {
	link := l.links[region]
	if link == nil {
		link = newRegionLink(l.router, region)
		l.links[region] = link
	}
	link.updateHosts(l.router.now(), l.router.table.Load().hostCounts[l.router.cfg.Region])
	return link
}

func newRegionLink(r *Router, region string) *regionLink {
	return &regionLink{bytes: linkbytes.New(r.metrics.set, region)}
}

// updateHosts sets this host's budget to an equal share of the link among the hosts of
// its region.
func (l *regionLink) updateHosts(now time.Duration, hosts int) {
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
