package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/placement/demand"
)

const (
	// reportInterval is the time between two reports of a host's load and
	// requested keys to the coordinator.
	reportInterval = 400 * time.Millisecond
	// coordinatorPollInterval is how often a starting host checks whether a
	// coordinator is known.
	coordinatorPollInterval = 50 * time.Millisecond
	// reportTimeout limits the wait for the answer to a report.
	reportTimeout = 600 * time.Millisecond
	// reportValidity is how long a host's last report counts.
	reportValidity = 3 * reportInterval
)

// reporter sends reports to the coordinator over one stream.
type reporter struct {
	node   *Node
	dialer *wire.Dialer
	addr   string       // address of the stream's peer
	stream *wire.Stream // nil if not connected
}

// sendReports reports this host's load to the coordinator until ctx ends.
func (n *Node) sendReports(ctx context.Context) error {
	r := &reporter{node: n, dialer: &wire.Dialer{Self: n.incarnation()}}
	defer r.dialer.Close()
	failing, pause := false, coordinatorPollInterval
	for sleep(ctx, pause) {
		holder := n.candidate.holder()
		if holder.Addr == "" {
			continue
		}
		pause = reportInterval
		if n.candidate.holdsLease() {
			n.setShares(n.candidate.addReport(n.makeReport()))
			continue
		}
		reply, err := r.exchange(ctx, holder.Addr, n.makeReport())
		n.reportFailed.Store(err != nil)
		if err != nil {
			if !failing {
				n.log.Emit(evReportFailed, "coordinator", holder.Holder, "error", err.Error())
			}
			failing = true
			n.setShares(nil, demand.HostSummary{})
			continue
		}
		failing = false
		n.setShares(decodeShares(reply), demand.HostSummary{Count: int(reply.Hosts), Cores: float64(reply.Cores), Fast: int(reply.Fast)})
		n.applyRelays(reply.Relays)
		for _, s := range reply.Settled {
			n.settleMoves(s.Service, decodeSettled(s))
		}
	}
	return nil
}

func (n *Node) incarnation() lease.Incarnation {
	s := n.settings.Load()
	return lease.Incarnation{Host: s.Host, Run: uint64(n.candidate.started)}
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
	stop := context.AfterFunc(ctx, func() { _ = r.stream.Close() })
	reply, err := sendReport(r.stream, r.node.encodeReport(report))
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
		return nil, errors.New("the host is not the coordinator")
	default:
		return reply, nil
	}
}

// makeReport summarises this host's load since the last report.
func (n *Node) makeReport() demand.Report {
	settings := n.settings.Load()
	r := demand.Report{Host: settings.Host, Cores: settings.Cores, Services: make(map[string]demand.ServiceUse)}
	for name, s := range n.allServices() {
		var use demand.ServiceUse
		s.updatePool(func(p *pool.Pool) { use.Running, use.Wanted = p.Running(), p.Demand(reportInterval) })
		if s.keyed {
			use.Keys = s.takeArrivals()
			use.Seconds = s.takeRequestTimes()
		}
		r.Services[name] = use
	}
	return r
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

// setShares applies the coordinator's shares of the targets and its host counts.
// Empty shares replace those known before; a zero host count leaves the last known
// one in place.
func (n *Node) setShares(shares map[string]demand.Shares, hosts demand.HostSummary) {
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
	server := &wire.Server{Self: n.incarnation(), Handler: n.serveReports}
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
		out := &pb.ReportReply{Refused: true}
		if n.candidate.isHolder() {
			out = encodeReply(n.candidate.addReport(decodeReport(in)))
			out.Relays = n.relaysSince(in.Feeds)
			out.Settled = encodeSettled(n.candidate.settledMoves())
		}
		if err := s.Send(&pb.Frame{Body: &pb.Frame_ReportReply{ReportReply: out}}); err != nil {
			return err
		}
	}
}
