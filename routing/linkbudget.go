package routing

import "time"

// LinkCause is the reason for which bytes cross the link between regions.
type LinkCause uint8

const (
	// LinkRequests are requests whose target is in the other region and that no
	// nearer target can run.
	LinkRequests LinkCause = iota
	// LinkOverflow are requests sent to the other region because nearby targets
	// are full.
	LinkOverflow
	// LinkRetries are retries of requests.
	LinkRetries
	// LinkControl are messages between the system's processes.
	LinkControl

	numLinkCauses = 4
)

// String returns the name of the cause in metrics and logs.
func (c LinkCause) String() string {
	switch c {
	case LinkRequests:
		return "requests"
	case LinkOverflow:
		return "overflow"
	case LinkRetries:
		return "retries"
	case LinkControl:
		return "control"
	default:
		return "invalid"
	}
}

// LinkConfig is one host's part of the link between two regions.
type LinkConfig struct {
	BytesPerSecond float64       // this host's share
	Burst          time.Duration // time for which unused bytes accumulate
	// OptionalFraction is the fraction of the share that overflow and retries
	// may use together; the rest is kept for traffic that has no alternative.
	OptionalFraction float64
}

// LinkBytesPerSecond is the capacity of the link between the regions where none is
// configured: 30 Mbit/s in each direction, in bytes per second.
const LinkBytesPerSecond = 30e6 / 8

// LinkShare returns the configuration for one of a region's hosts, for a link of
// LinkBytesPerSecond.
func LinkShare(hosts int) LinkConfig { return LinkShareOf(LinkBytesPerSecond, hosts) }

// LinkShareOf returns the configuration for one of a region's hosts, for a link of the
// given capacity in bytes per second and direction.
func LinkShareOf(bytesPerSecond float64, hosts int) LinkConfig {
	return LinkConfig{
		BytesPerSecond:   bytesPerSecond / float64(max(hosts, 1)),
		Burst:            time.Second,
		OptionalFraction: 0.5,
	}
}

// LinkBudget counts the bytes that a host sends to another region by cause, and
// decides whether optional traffic has room. Traffic that must cross is counted
// but never refused; it leaves less room for optional traffic. LinkBudget is
// not safe for concurrent use.
type LinkBudget struct {
	cfg            LinkConfig
	tokens         float64 // bytes; negative when the budget is exceeded
	optionalTokens float64 // bytes for optional causes; negative when the budget is exceeded
	lastRefill     time.Duration
	sentBytes      [numLinkCauses]uint64
}

// NewLinkBudget returns a full budget.
func NewLinkBudget(now time.Duration, cfg LinkConfig) *LinkBudget {
	b := &LinkBudget{cfg: cfg, lastRefill: now}
	b.tokens = b.burstBytes()
	b.optionalTokens = b.burstBytes() * cfg.OptionalFraction
	return b
}

func (b *LinkBudget) burstBytes() float64 { return b.cfg.BytesPerSecond * b.cfg.Burst.Seconds() }

// Allows reports whether traffic of the given cause and size may cross now.
// Causes that are not optional are always allowed.
func (b *LinkBudget) Allows(now time.Duration, cause LinkCause, bytes int) bool {
	if !cause.isOptional() {
		return true
	}
	b.refill(now)
	return b.tokens >= float64(bytes) && b.optionalTokens >= float64(bytes)
}

// RecordSent records bytes that cross the link.
func (b *LinkBudget) RecordSent(now time.Duration, cause LinkCause, bytes int) {
	b.refill(now)
	b.sentBytes[cause] += uint64(bytes)
	b.tokens = max(b.tokens-float64(bytes), -b.burstBytes())
	if cause.isOptional() {
		b.optionalTokens = max(b.optionalTokens-float64(bytes), -b.burstBytes()*b.cfg.OptionalFraction)
	}
}

// Total returns the number of bytes recorded for a cause.
func (b *LinkBudget) Total(cause LinkCause) uint64 { return b.sentBytes[cause] }

func (c LinkCause) isOptional() bool { return c == LinkOverflow || c == LinkRetries }

func (b *LinkBudget) refill(now time.Duration) {
	if now <= b.lastRefill {
		return
	}
	gained := b.cfg.BytesPerSecond * (now - b.lastRefill).Seconds()
	b.lastRefill = now
	b.tokens = min(b.burstBytes(), b.tokens+gained)
	b.optionalTokens = min(b.burstBytes()*b.cfg.OptionalFraction, b.optionalTokens+gained*b.cfg.OptionalFraction)
}
