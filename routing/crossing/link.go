package crossing

import (
	"math"
	"sync"
	"time"

	"github.com/mangopost/mangopost/routing"
)

const (
	// linkWindow is the window over which sent bytes are averaged.
	linkWindow = time.Second
	// optionalLimit is the part of the host's share of the link from which nothing
	// optional is sent; the rest is for what has no alternative.
	optionalLimit = 0.8
	// minFreeLink limits the pressure.
	minFreeLink = 0.01
)

// Link is this host's part of the link to the other region. It counts all requests that
// cross, also those that have no alternative. It is safe for concurrent use.
type Link struct {
	mu   sync.Mutex
	rate float64 // bytes per second of this host
	sent float64 // smoothed bytes per second
	at   time.Duration
}

// SetRate sets the rate of the link, in bytes per second, that the region's hosts share.
// A rate of 0 stands for routing.LinkBytesPerSecond.
func (l *Link) SetRate(bytesPerSecond float64, hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytesPerSecond <= 0 {
		bytesPerSecond = routing.LinkBytesPerSecond
	}
	l.rate = routing.LinkShareOf(bytesPerSecond, hosts).BytesPerSecond
}

// Record records bytes that cross, of a request or its answer. A negative number corrects
// an earlier one.
func (l *Link) Record(now time.Duration, bytes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.sent = max(0, l.sent+bytes/linkWindow.Seconds())
}

// Pressure returns the factor by which the price of a crossing is higher than on an idle
// link, minus 1: the expected queue of a link with the given use. ok is false if nothing
// optional may cross.
func (l *Link) Pressure(now time.Duration) (pressure float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	use := l.sent / max(l.rate, 1)
	free := max(1-use/optionalLimit, minFreeLink)
	return 1/free - 1, use < optionalLimit
}

// Sent returns the smoothed number of bytes per second.
func (l *Link) Sent(now time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	return l.sent
}

func (l *Link) advance(now time.Duration) {
	if now > l.at {
		l.sent *= math.Exp(-(now - l.at).Seconds() / linkWindow.Seconds())
		l.at = now
	}
}
