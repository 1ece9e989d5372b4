package wire

import (
	"context"
	"sync"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// Links holds the links to the placers of cells, by host. A link is started by the
// first frame for its host and ends when the host's address changes or the host is
// removed. All methods are safe for concurrent use.
type Links struct {
	dialer *Dialer
	onRecv func(from lease.Incarnation, f *pb.Frame)

	mu    sync.Mutex
	addrs map[string]string // by host
	links map[string]runningLink
}

// runningLink is the link to a host and the function that ends it.
type runningLink struct {
	*Link
	stop context.CancelFunc
}

// NewLinks returns a set of links that call onRecv with each received frame.
func NewLinks(d *Dialer, onRecv func(from lease.Incarnation, f *pb.Frame)) *Links {
	return &Links{dialer: d, onRecv: onRecv, links: make(map[string]runningLink)}
}

// SetAddrs replaces the addresses of all hosts.
func (l *Links) SetAddrs(addrs map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs = addrs
	for host, link := range l.links {
		if addrs[host] != link.addr {
			link.stop()
			delete(l.links, host)
		}
	}
}

// Post sends lease messages to their hosts. A message to an unknown host is lost.
func (l *Links) Post(ctx context.Context, envelopes []lease.Envelope) {
	for _, e := range envelopes {
		if frame, err := LeaseFrame(e.Msg); err == nil {
			l.Offer(ctx, e.To.Host, frame)
		}
	}
}

// Offer queues a frame for a host if its address is known. A link started by it
// ends with ctx at the latest.
func (l *Links) Offer(ctx context.Context, host string, frame *pb.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	addr := l.addrs[host]
	if addr == "" {
		return
	}
	link, ok := l.links[host]
	if !ok {
		link = l.start(ctx, addr)
		l.links[host] = link
	}
	link.Offer(frame)
}

func (l *Links) start(ctx context.Context, addr string) runningLink {
	ctx, stop := context.WithCancel(ctx)
	link := runningLink{Link: NewLink(l.dialer, addr, l.onRecv), stop: stop}
	go link.Serve(ctx)
	return link
}
