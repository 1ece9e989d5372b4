package placer

import (
	"context"
	"sync"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

const (
	// placerProbeInterval is also the timeout of a probe.
	placerProbeInterval = 150 * time.Millisecond
	placerTimeout       = 500 * time.Millisecond
	// cutOffReportMaxAge is how long a placer's report that it is cut off from the store
	// counts. It is longer than maxFollowTime, for which another placer is followed.
	cutOffReportMaxAge = 2 * maxFollowTime
	// recordWriterTimeout is how long a placer that does not answer probes still counts as
	// planning after it wrote the cell's record. It is longer than a new gateway needs to
	// start serving.
	recordWriterTimeout = 3 * time.Second
)

// livenessTracker records when peers and targets last showed that they are alive. Times
// are readings of the placer's clock.
type livenessTracker struct {
	mu           sync.Mutex
	answeredAt   map[string]time.Duration // last answer to a probe, by address
	cutOffAt     map[string]time.Duration // last report of being cut off, by address
	targets      map[string]targetStatus
	stoppedSince map[stoppedShard]time.Duration // first report
	lastStamp    ownership.Stamp                // of the newest observed record of the cell
	wroteAt      map[string]time.Duration       // when a host's newest record was observed, by host
}

func newLivenessTracker() *livenessTracker {
	return &livenessTracker{
		answeredAt:   make(map[string]time.Duration),
		cutOffAt:     make(map[string]time.Duration),
		targets:      make(map[string]targetStatus),
		stoppedSince: make(map[stoppedShard]time.Duration),
		wroteAt:      make(map[string]time.Duration),
	}
}

// placerAnswered records that a placer answered.
func (s *livenessTracker) placerAnswered(addr string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt[addr] = now
}

// isPlacerAlive reports whether a placer answered within placerTimeout.
func (s *livenessTracker) isPlacerAlive(addr string, now time.Duration) bool {
	return s.hasAnsweredWithin(addr, now, placerTimeout)
}

// hasAnsweredWithin reports whether a placer answered within the given window.
func (s *livenessTracker) hasAnsweredWithin(addr string, now, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answeredAt, ok := s.answeredAt[addr]
	return ok && now-answeredAt < window
}

// setCutOff records a placer's report on whether it is cut off from the store.
func (s *livenessTracker) setCutOff(addr string, cutOff bool, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cutOff {
		s.cutOffAt[addr] = now
		return
	}
	delete(s.cutOffAt, addr)
}

// isCutOff reports whether a placer has recently reported that it is cut off from the
// store.
func (s *livenessTracker) isCutOff(addr string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	reportedAt, ok := s.cutOffAt[addr]
	return ok && now-reportedAt < cutOffReportMaxAge
}

// observeRecord records which host wrote the newest record of the cell.
func (s *livenessTracker) observeRecord(stamp ownership.Stamp, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stamp != s.lastStamp {
		s.lastStamp = stamp
		s.wroteAt[stamp.Host] = now
	}
}

// hasWrittenRecently reports whether a host wrote the cell's record within
// recordWriterTimeout.
func (s *livenessTracker) hasWrittenRecently(host string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wroteAt, ok := s.wroteAt[host]
	return ok && now-wroteAt < recordWriterTimeout
}

// isPlacerQuiet reports whether a placer that has answered before has not done so within
// the given window.
func (s *livenessTracker) isPlacerQuiet(addr string, now, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answeredAt, ok := s.answeredAt[addr]
	return ok && now-answeredAt >= window
}

// servePeerProbes probes the cell's other placers at each placerProbeInterval.
func (p *Placer) servePeerProbes(ctx context.Context) error {
	return runEvery(ctx, placerProbeInterval, func(ctx context.Context) {
		for _, h := range p.cache.View().Records[p.cfg.Cell].Value.Hosts {
			if h.Voter() != p.cfg.Self {
				go p.probePlacer(ctx, h.PlacerAddr)
			}
		}
	})
}

func (p *Placer) probePlacer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, placerProbeInterval)
	defer cancel()
	if p.dialer.Ping(ctx, addr) == nil {
		p.liveness.placerAnswered(addr, p.now())
	}
}
