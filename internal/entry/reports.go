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
	// reportEvery is how often a host tells the coordinator what it runs and which
	// keys were asked for.
	reportEvery = 400 * time.Millisecond
	// firstReport is how often a host that starts looks for a coordinator.
	firstReport = 50 * time.Millisecond
	// reportTimeout is for the answer to a report.
	reportTimeout = 600 * time.Millisecond
	// reportKeep is how long a host's last report counts.
	reportKeep = 3 * reportEvery
)

// reporter is the duty that reports to the coordinator, over one stream.
type reporter struct {
	n      *Node
	dialer *wire.Dialer
	addr   string       // of the stream's peer
	stream *wire.Stream // nil: none
}

// report tells the coordinator of this host's work until ctx ends.
func (n *Node) report(ctx context.Context) error {
	r := &reporter{n: n, dialer: &wire.Dialer{Self: n.incarnation()}}
	defer r.dialer.Close()
	failing, pause := false, firstReport
	for sleep(ctx, pause) {
		holder := n.candidate.holder()
		if holder.Addr == "" {
			continue
		}
		pause = reportEvery
		if n.candidate.holds() {
			n.setShares(n.candidate.take(n.makeReport()))
			continue
		}
		reply, err := r.exchange(ctx, holder.Addr, n.makeReport())
		n.reportFailed.Store(err != nil)
		if err != nil {
			if !failing {
				n.log.Emit(evReportFailed, "coordinator", holder.Holder, "error", err.Error())
			}
			failing = true
			n.setShares(nil, demand.Hosts{})
			continue
		}
		failing = false
		n.setShares(sharesOf(reply), demand.Hosts{Count: int(reply.Hosts), Cores: float64(reply.Cores), Fast: int(reply.Fast)})
		n.takeRelays(reply.Relays)
		for _, s := range reply.Settled {
			n.setSettled(s.Service, settledOf(s))
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
		r.drop()
		stream, err := r.dialer.Open(ctx, addr, pb.StreamKind_STREAM_KIND_REPORT)
		if err != nil {
			return nil, err
		}
		r.stream, r.addr = stream, addr
	}
	stop := context.AfterFunc(ctx, func() { _ = r.stream.Close() })
	reply, err := exchangeOn(r.stream, r.n.frameOf(report))
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		r.dialer.Drop(addr)
		r.drop()
	}
	return reply, err
}

func (r *reporter) drop() {
	if r.stream != nil {
		_ = r.stream.Close()
		r.stream = nil
	}
}

func exchangeOn(s *wire.Stream, f *pb.Frame) (*pb.ReportReply, error) {
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
		return nil, wire.ErrGarbage
	case reply.Refused:
		return nil, errors.New("the host is not the coordinator")
	default:
		return reply, nil
	}
}

// makeReport sums up this host's work since the last report.
func (n *Node) makeReport() demand.Report {
	settings := n.settings.Load()
	r := demand.Report{Host: settings.Host, Cores: settings.Cores, Services: make(map[string]demand.Use)}
	for name, s := range n.allServices() {
		var use demand.Use
		s.change(func(p *pool.Pool) { use.Running, use.Wanted = p.Running(), p.Wanted(reportEvery) })
		if s.keyed {
			use.Keys = s.takeArrivals()
			use.Seconds = s.takeSpeeds()
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

// setShares takes in what the coordinator said of the targets. Without hosts,
// nothing is known.
func (n *Node) setShares(shares map[string]demand.Shares, hosts demand.Hosts) {
	if count := int64(hosts.Count); count > 0 {
		n.candidate.setHosts(hosts)
		if n.hosts.Swap(count) != count {
			n.mu.Lock()
			n.targetsChanged()
			n.mu.Unlock()
			for _, s := range n.allServices() {
				s.setRetryBurst(n.retryBurst())
			}
		}
	}
	for name, s := range n.allServices() {
		s.change(func(p *pool.Pool) {
			p.SetOthers(shares[name].Others, shares[name].Limit)
			p.SetAdmission(shares[name].Admit)
			p.SetHosts(int(n.hosts.Load()))
		})
	}
}

// servePeers takes the reports of other hosts.
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
			return wire.ErrGarbage
		}
		out := &pb.ReportReply{Refused: true}
		if n.candidate.isHolder() {
			out = replyOf(n.candidate.take(reportOf(in)))
			out.Relays = n.relays(in.Feeds)
			out.Settled = settledFrames(n.candidate.settled())
		}
		if err := s.Send(&pb.Frame{Body: &pb.Frame_ReportReply{ReportReply: out}}); err != nil {
			return err
		}
	}
}
