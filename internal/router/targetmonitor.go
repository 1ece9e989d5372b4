package router

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/mangopost/mangopost/lease"
)

const (
	monitorInterval = 100 * time.Millisecond
	// suspectInterval applies to a candidate that is not the gateway while the gateway
	// or the candidate itself does not reach the target.
	suspectInterval = time.Second
	// standbyInterval applies to a candidate otherwise. It is short enough to keep the
	// connection open.
	standbyInterval      = targetIdleTimeout / 2
	monitorTimeout       = 250 * time.Millisecond
	maxMonitorReplyBytes = 64 << 10
	// standaloneCallInterval is the interval of the monitor's own calls to a target
	// whose grants are carried by requests: the monitor's connection shows when the
	// target's process ends.
	standaloneCallInterval = 3 * time.Second
	// minMonitorTimeout is the least timeout of a call, also for a target that has been
	// silent.
	minMonitorTimeout = 20 * time.Millisecond
)

// targetMonitor is the duty that keeps in contact with one target: it renews its
// grants, or checks its health if the target does not check grants.
type targetMonitor struct {
	worker       *worker
	transport    *http.Transport
	grants       targetGrants
	alive        bool
	hasBeenAlive bool
	epoch        lease.GatewayEpoch // gateway epoch at the last round, 0 if not the gateway
	schedule     monitorSchedule
	lastCallAt   time.Duration // clock reading at the last answer to one of the monitor's own calls
}

func newTargetMonitor(w *worker) *targetMonitor {
	onConnLost := func() { w.health.recordReset(w.router.now()) }
	return &targetMonitor{worker: w, transport: newTransport(reservedConnections, onConnLost)}
}

func (m *targetMonitor) serve(ctx context.Context) {
	defer m.transport.CloseIdleConnections()
	timer := time.NewTimer(monitorInterval)
	defer timer.Stop()
	for {
		roundStart := m.worker.router.now()
		m.round(ctx)
		timer.Reset(m.nextRound(roundStart) - m.worker.router.now())
		select {
		case <-timer.C:
		case <-m.worker.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (m *targetMonitor) round(ctx context.Context) {
	w := m.worker
	r := w.router
	epoch, until, ok := r.leases.rightUntil(w.name)
	m.updateEpoch(epoch, ok)
	if !m.schedule.isDue(r.now(), r.leases.isClaiming(w.name), r.leases.isReportedUnreachable(w.name)) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	switch {
	case ok && w.template.Load().ChecksGrants:
		m.renew(callCtx, epoch, until)
	case !w.health.isAlive(r.now(), monitorInterval):
		m.checkHealth(callCtx, "") // no request was answered meanwhile
	}
	alive := w.health.isAlive(r.now(), r.cfg.Timing.Suspicion)
	r.leases.setAlive(w.name, alive, uint32(w.stats.Load().Running), w.isDrained())
	m.updateAlive(alive)
}

// callTimeout returns how long a call may take. A target that stops answering is
// reported as silent as soon as the suspicion time has passed, not when the call times
// out.
func (m *targetMonitor) callTimeout() time.Duration {
	r := m.worker.router
	remaining := m.worker.health.untilSilent(r.now(), r.cfg.Timing.Suspicion)
	if remaining <= 0 {
		return monitorTimeout
	}
	return min(monitorTimeout, max(remaining, minMonitorTimeout))
}

// updateEpoch logs when this router becomes the target's gateway and when it ceases to
// be.
func (m *targetMonitor) updateEpoch(epoch lease.GatewayEpoch, ok bool) {
	log := m.worker.router.log
	switch {
	case ok && epoch != m.epoch:
		m.epoch = epoch
		log.Emit(evGatewayStarted, "target", m.worker.name, "gateway_epoch", uint64(epoch))
	case !ok && m.epoch != 0:
		log.Emit(evGatewayEnded, "target", m.worker.name, "gateway_epoch", uint64(m.epoch))
		m.epoch = 0
	}
}

func (m *targetMonitor) updateAlive(alive bool) {
	m.schedule.reached = alive
	if alive == m.alive {
		return
	}
	m.alive = alive
	w := m.worker
	if !alive {
		w.router.log.Emit(evTargetSilent, "target", w.name)
		return
	}
	w.router.log.Emit(evTargetAlive, "target", w.name)
	if m.hasBeenAlive {
		w.post(targetRestarted{})
	}
	m.hasBeenAlive = true // the first time the queue starts cold, or with the previous gateway's state
}

// nextRound returns when the next round is due after one that began at the given
// reading. While requests carry the target's grants, that is when a standalone grant is
// due.
func (m *targetMonitor) nextRound(roundStart time.Duration) time.Duration {
	at, ok := m.grants.standaloneAt()
	if ok && m.schedule.claimed && at > m.worker.router.now() {
		return at
	}
	return roundStart + m.schedule.interval()
}

// checkHealth requests the target's health. Any answer shows that the target is alive;
// its content is a hint at most. The request carries a grant if one is given.
func (m *targetMonitor) checkHealth(ctx context.Context, grant string) {
	request := m.newRequest(ctx, http.MethodGet, "/mangopost/health")
	if grant != "" {
		request.Header[headerGrant] = []string{grant}
	}
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		m.recordFailure(ctx, err)
		return
	}
	m.recordResponse(response)
	if grant != "" {
		m.recordHeaderAck(response)
	}
}

func (m *targetMonitor) recordResponse(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxMonitorReplyBytes))
	_ = response.Body.Close()
	m.lastCallAt = m.worker.router.now()
	m.worker.health.recordAnswer(m.lastCallAt)
}

func (m *targetMonitor) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || isTimeout(err) {
		return
	}
	m.worker.health.recordBroken(m.worker.router.now())
}

// newRequest returns a request to the target without a body. The user agent is left
// out: it would be a third of the bytes of a health check.
func (m *targetMonitor) newRequest(ctx context.Context, method, path string) *http.Request {
	request := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: m.worker.addr, Path: path},
		Header: http.Header{"User-Agent": {""}},
	}
	return request.WithContext(ctx)
}
