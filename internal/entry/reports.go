package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership/aggregators"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/placement/demand"
)

const (
	// reportInterval is the time between two reports of a host's load and
	// requested keys.
	reportInterval = 400 * time.Millisecond
	// aggregateInterval replaces reportInterval at an aggregator, whose hosts learn
	// later than it does.
	aggregateInterval = 250 * time.Millisecond
	// minReportInterval is the least time between two reports when something urgent is
	// to be reported.
	minReportInterval = 50 * time.Millisecond
	// coordinatorPollInterval is how often a starting host checks whether a
	// coordinator is known.
	coordinatorPollInterval = 50 * time.Millisecond
	// reportTimeout limits the wait for the answer to a report.
	reportTimeout = 600 * time.Millisecond
	// reportValidity is how long a host's last report counts.
	reportValidity = 3 * reportInterval
	// startGrace is how long after its own start a host waits for the aggregator that
	// the store names: after an outage of all hosts they start together.
	startGrace = 1200 * time.Millisecond
	// minReportedPause is the least remaining pause of a target that is reported.
	minReportedPause = time.Second
)

// reporter sends reports over one stream.
type reporter struct {
	node       *Node
	dialer     *wire.Dialer
	addr       string       // address of the stream's peer
	stream     *wire.Stream // nil if not connected
	isFailing  bool         // the coordinator did not answer the last report
	lastReport time.Duration
}

// sendReports reports this host's load until ctx ends: to the coordinator, or to the
// aggregator of its data centre if it has one.
func (n *Node) sendReports(ctx context.Context) error {
	r := &reporter{node: n, dialer: &wire.Dialer{Self: n.incarnation()}}
	defer r.dialer.Close()
	for pause := coordinatorPollInterval; n.awaitReport(ctx, pause); {
		pause = reportInterval // after an unexpected error
		n.guard("reports", func() { pause = r.report(ctx) })
	}
	return nil
}

// awaitReport waits until the next report is due, or sooner if something urgent is to
// be reported. It reports false if ctx ended first.
func (n *Node) awaitReport(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.reportNow:
		return sleep(ctx, min(pause, minReportInterval))
	case <-ctx.Done():
		return false
	}
}

func (n *Node) incarnation() lease.Incarnation {
	s := n.settings.Load()
	return lease.Incarnation{Host: s.Host, Run: uint64(n.candidate.started)}
}

// report sends one report, applies the reply, and returns the pause before the next.
func (r *reporter) report(ctx context.Context) time.Duration {
	n := r.node
	if n.candidate.holdsLease() {
		n.setAggregating(false)
		n.setShares(n.candidate.addReport(r.makeReport()))
		return reportInterval
	}
	addr, viaAggregator := n.reports.next(n.candidate.holder().Addr)
	if addr == "" {
		return coordinatorPollInterval
	}
	reply, err := r.exchange(ctx, addr, n.aggregation.combine(r.makeReport()))
	switch {
	case err != nil && viaAggregator:
		return r.aggregatorFailed(addr, err)
	case err != nil:
		return r.coordinatorFailed(err)
	case viaAggregator && reply.ReportTo == "":
		n.reports.relayed(time.Duration(min(reply.ContactMs, maxRelayAgeMs)) * time.Millisecond)
	default:
		r.isFailing = false
		n.reportFailed.Store(false)
		n.mayUseHint.Store(false)
		// The aggregator itself may have become the coordinator.
		n.reports.assigned(reply.ReportTo)
		n.setAggregating(reply.Aggregate)
		if reply.ReportTo != "" && n.reports.hasAggregator() {
			return minReportInterval
		}
	}
	n.applyReply(reply)
	if n.aggregation.isActive() {
		return aggregateInterval
	}
	return reportInterval
}

// aggregatorFailed handles a report that the aggregator did not answer, and returns the
// pause before the next report, which goes to the coordinator.
func (r *reporter) aggregatorFailed(addr string, err error) time.Duration {
	if steadyClock() < startGrace {
		return 2 * minReportInterval
	}
	r.node.log.Emit(evAggregatorLost, "aggregator", addr, "error", err.Error())
	r.node.reports.failed()
	return minReportInterval
}

// coordinatorFailed handles a report that the coordinator did not answer, and returns
// the pause before the next one.
func (r *reporter) coordinatorFailed(err error) time.Duration {
	n := r.node
	n.reportFailed.Store(true)
	if !r.isFailing {
		n.log.Emit(evReportFailed, "coordinator", n.candidate.holder().Holder, "error", err.Error())
	}
	r.isFailing = true
	if n.reports.hasAggregator() { // it was only a check whether the coordinator answers
		return minReportInterval
	}
	n.setShares(n.aggregation.setReply(n.settings.Load().Host, nil, n.slotsFunc()))
	return reportInterval
}

// applyReply applies a reply that is not a referral to an aggregator.
func (n *Node) applyReply(reply *pb.ReportReply) {
	n.setShares(n.aggregation.setReply(n.settings.Load().Host, reply, n.slotsFunc()))
	n.applyRelays(reply.Relays)
	for _, s := range reply.Settled {
		n.settleMoves(s.Service, decodeSettled(s))
	}
	n.recordLeavingRuns(reply.Leaving)
	n.quarantine.merge(reply.Suspects)
}

func (n *Node) slotsFunc() demand.Slots {
	slots := n.slotsByTarget()
	return func(service string) map[string]int { return slots[service] }
}

// setAggregating begins or ends this host's work as the aggregator of its data centre.
func (n *Node) setAggregating(active bool) {
	if n.aggregation.setActive(active) {
		n.log.Emit(evAggregator, "active", active)
	}
}

// exchange sends a report and waits for the reply.
func (r *reporter) exchange(ctx context.Context, addr string, report demand.Report) (*pb.ReportReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if r.stream == nil || r.addr != addr {
		r.closeStream()
		stream, err := r.dialer.Open(ctx, addr, pb.StreamKind_STREAM_KIND_REPORT)
		if err != nil {
			return nil, err
		}
		r.stream, r.addr = stream, addr
	}
	stream := r.stream // it may be replaced before the function below has run
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reply, err := sendReport(stream, r.node.encodeReport(report))
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		r.dialer.Drop(addr)
		r.closeStream()
	}
	return reply, err
}

func (r *reporter) closeStream() {
	if r.stream != nil {
		_ = r.stream.Close()
		r.dialer.Drop(r.addr)
		r.stream = nil
	}
}

func sendReport(s *wire.Stream, f *pb.Frame) (*pb.ReportReply, error) {
	if err := s.Send(f); err != nil {
		return nil, err
	}
	in, err := s.Recv()
	if err != nil {
		return nil, err
	}
	reply := in.GetReportReply()
	switch {
	case reply == nil:
		return nil, wire.ErrInvalidMessage
	case reply.Refused:
		return nil, errors.New("the host is neither the coordinator nor an aggregator")
	default:
		return reply, nil
	}
}

// makeReport summarises this host's load since the last report.
func (r *reporter) makeReport() demand.Report {
	now := steadyClock()
	interval := min(max(now-r.lastReport, minReportInterval), reportValidity)
	r.lastReport = now
	n := r.node
	settings := n.settings.Load()
	out := demand.Report{Host: settings.Host, Cores: settings.Cores, Services: make(map[string]demand.ServiceUse)}
	for name, s := range n.allServices() {
		out.Services[name] = s.use(interval)
	}
	return out
}

func (n *Node) allServices() map[string]*service {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]*service, len(n.services))
	for name, s := range n.services {
		out[name] = s
	}
	return out
}

// setShares applies this host's shares of the targets and the host counts. Empty shares
// replace those known before; a zero host count leaves the last known one in place.
func (n *Node) setShares(shares map[string]demand.Shares, hosts demand.HostSummary) {
	n.coldHosts.record(hosts.Count)
	if count := int64(hosts.Count); count > 0 {
		n.candidate.setHosts(hosts)
		if n.hostCount.Swap(count) != count {
			n.mu.Lock()
			n.updateTargets()
			n.mu.Unlock()
			for _, s := range n.allServices() {
				s.setRetryBurst(n.retryBurst())
			}
		}
	}
	for name, s := range n.allServices() {
		s.updatePool(func(p *pool.Pool) {
			p.SetOtherHostsLoad(shares[name].Others, shares[name].Limit)
			p.SetAdmitFractions(shares[name].Admit)
			p.SetHostCount(int(n.hostCount.Load()))
		})
	}
}

// servePeers accepts the reports of other hosts.
func (n *Node) servePeers(ctx context.Context) error {
	listener, err := listen(ctx, n.settings.Load().Peers.String())
	if err != nil {
		return err
	}
	server := &wire.Server{Self: n.incarnation(), Handler: n.serveReports, OnDrop: func(addr string, err error) {
		n.log.Emit(evPeerDropped, "peer", addr, "error", err.Error())
	}}
	return server.Serve(ctx, listener)
}

// serveReports answers the reports of one host.
func (n *Node) serveReports(_ context.Context, s *wire.Stream) error {
	for {
		f, err := s.Recv()
		if err != nil {
			return err
		}
		in := f.GetReport()
		if in == nil {
			return wire.ErrInvalidMessage
		}
		if err := s.Send(&pb.Frame{Body: &pb.Frame_ReportReply{ReportReply: n.answerReport(in)}}); err != nil {
			return err
		}
	}
}

// answerReport answers a report as the coordinator or as an aggregator, or refuses it.
func (n *Node) answerReport(in *pb.Report) *pb.ReportReply {
	var out *pb.ReportReply
	if n.candidate.isHolder() {
		if out = n.answerAsCoordinator(in); out.ReportTo != "" {
			return out
		}
	} else {
		var ok bool
		if out, ok = n.aggregation.addReport(decodeReport(in), n.slotsFunc()); !ok || n.stopping.Load() {
			return &pb.ReportReply{Refused: true}
		}
	}
	n.recordLeavingRuns(in.Leaving)
	n.quarantine.merge(in.Suspects)
	out.Relays = n.relaysSince(in.Feeds)
	out.Leaving = encodeRuns(n.recentMarks())
	out.Suspects = n.quarantine.sharedWith(in.KnownSuspects)
	return out
}

func (n *Node) answerAsCoordinator(in *pb.Report) *pb.ReportReply {
	report := decodeReport(in)
	out := encodeReply(n.candidate.addReport(report))
	assigned := n.candidate.assign(aggregators.Host{
		Name: in.Host, DataCentre: in.DataCentre, Addr: in.Addr, Cores: report.Cores, Hosts: report.Hosts, Stopping: in.Stopping,
	}, in.Unreachable)
	if assigned.ReportTo != "" {
		return &pb.ReportReply{ReportTo: assigned.ReportTo, Hosts: out.Hosts, Cores: out.Cores, Fast: out.Fast}
	}
	out.Aggregate = assigned.Aggregate
	out.Settled = encodeSettled(n.candidate.settledMoves())
	return out
}

// recordLeavingRuns records targets that said to other hosts that they are leaving.
func (n *Node) recordLeavingRuns(runs []*pb.TargetRun) {
	for _, r := range runs {
		n.recordLeaving(directory.Run{Target: r.Target, Run: r.Run}, "host")
	}
}
