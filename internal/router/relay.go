package router

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// linkCutTTL is how long, after a gateway was reached through a relay host, a request
// that does not reach it directly is relayed in the same try.
const linkCutTTL = time.Second

// isUnsent reports whether an answer means that nothing of the request was sent.
func isUnsent(a *pb.Answer) bool {
	return isNotRun(a) && reason(a.Reason) == reasonPeerUnreachable
}

// mayBeCutOff reports whether an unreachable candidate may be unreachable only from
// this host: a relay host reached it recently, or none of the n candidates serves the
// target.
func (h *hints) mayBeCutOff(target, host string, n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.cuts[target]
	return c.host == host && time.Since(c.recordedAt) <= linkCutTTL || h.redirects[target] >= n
}

// recordRelayed records that a relay host reached a target's gateway.
func (h *hints) recordRelayed(target, host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cuts[target] = linkCut{host: host, recordedAt: time.Now()}
}

// redirectRounds returns how many consecutive times all n candidates of a target
// answered with a redirect.
func (h *hints) redirectRounds(target string, n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.redirects[target] / n
}

// sendViaRelay asks another host of the target's cell to relay a request that could not
// be sent to the gateway's host. It asks one host in each try, a different one in each
// round.
func (r *Router) sendViaRelay(ctx context.Context, t *table, dst *target, gateway string, q *ingressRequest, out *callerSink) *pb.Answer {
	relays := t.relayHosts(dst.cell, gateway, r.cfg.Self.Host)
	if len(relays) == 0 {
		return notRun(q.forward.Id, reasonPeerUnreachable)
	}
	relay := relays[r.hints.redirectRounds(dst.name, len(dst.candidates))%len(relays)]
	q.forward.PassTo = gateway
	defer func() { q.forward.PassTo = "" }()
	a := r.sendToPeer(ctx, t.peers[relay], q.forward, q.optional, out)
	if !isNotRun(a) || !isRedirect(a) {
		r.hints.recordRelayed(dst.name, gateway)
	}
	return a
}

// relayHosts returns the hosts of a cell other than the gateway's and this one, in the
// order of the membership record.
func (t *table) relayHosts(cell, gateway, self string) []string {
	var hosts []string
	for _, record := range t.records {
		if record.Cell != cell {
			continue
		}
		for _, h := range record.Hosts {
			if h.Name != gateway && h.Name != self {
				hosts = append(hosts, h.Name)
			}
		}
	}
	return hosts
}

// handlePeerRequest runs a request that another host sent, or relays it to the gateway
// that the sender could not reach.
func (r *Router) handlePeerRequest(ctx context.Context, f *pb.Forward, s *wire.Stream) *pb.Answer {
	if f.PassTo == "" || f.PassTo == r.cfg.Self.Host {
		return r.gateway.handle(ctx, f, s.HelloReceivedAt, frameSink{s})
	}
	if r.gateway.stopping.Load() {
		return notMine(f.Id, reasonStopping)
	}
	return r.relayToGateway(ctx, f, frameSink{s})
}

// relayToGateway sends a request to the gateway host named in PassTo. That host does
// not relay it further, even if it considers another host to be the gateway.
func (r *Router) relayToGateway(ctx context.Context, f *pb.Forward, out sink) *pb.Answer {
	addr := r.table.Load().peers[f.PassTo]
	f.PassTo = ""
	// The ingress may have given up the request after sending it, and a repeat may
	// have run at an earlier gateway. The age of this host's streams does not show
	// when the ingress sent it, so it must not count as a first attempt.
	f.FirstAttempt = false
	if deadline, ok := ctx.Deadline(); ok {
		f.DeadlineMs = max(time.Until(deadline).Milliseconds(), 1)
	}
	a := r.sendToPeer(ctx, addr, f, false, out)
	r.log.Emit(evRelayed, "request", f.Id, "target", f.Target, "outcome", outcomeName(a.Outcome), "reason", a.Reason)
	return a
}
