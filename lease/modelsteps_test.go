package lease_test

import (
	"slices"
	"time"

	"github.com/mangopost/mangopost/lease"
)

// send queues a message; some messages are delayed, lost or duplicated.
func (w *model) send(from, to string, deliver func()) {
	if w.cutLinks[from+to] {
		return
	}
	fate := w.rng.IntN(100)
	if w.noFailures {
		fate = 50
	}
	if fate < 3 {
		return
	}
	delay := time.Duration(w.rng.IntN(3000)) * time.Microsecond
	if fate < 8 {
		delay = time.Duration(w.rng.IntN(900)) * time.Millisecond
	}
	w.queue = append(w.queue, packet{at: w.now + delay, from: from, to: to, deliver: deliver})
	if fate > 96 {
		delay = time.Duration(w.rng.IntN(1200)) * time.Millisecond
		w.queue = append(w.queue, packet{at: w.now + delay, from: from, to: to, deliver: deliver})
	}
}

// post sends the messages of one process to placers or routers.
func (w *model) post(h *host, p *process, out []lease.Envelope) {
	for _, e := range out {
		from, msg := p.inc, e.Msg
		w.recordVoteRequest(msg)
		to := w.hosts[slices.IndexFunc(w.hosts, func(o *host) bool { return o.name == e.To.Host })]
		w.send(h.name, to.name, func() { w.receive(to, from, msg) })
	}
}

func (w *model) receive(to *host, from lease.Incarnation, msg lease.Message) {
	p := to.placer
	switch msg.(type) {
	case lease.VoteReply, lease.StopReply:
		p = to.router
	}
	handle := func() {
		now := p.clock.read(w.now)
		if p.voter != nil {
			out := p.voter.Step(now, from, msg)
			w.checkVote(p.voter, msg, out)
			w.post(to, p, out)
		} else {
			w.post(to, p, p.holder.Step(now, from, msg))
		}
	}
	if p.paused {
		p.inbox = append(p.inbox, handle)
		return
	}
	handle()
}

// step lets a few milliseconds pass.
func (w *model) step() {
	w.now += time.Duration(1+w.rng.IntN(14)) * time.Millisecond
	var due []packet
	w.queue = slices.DeleteFunc(w.queue, func(p packet) bool {
		if p.at <= w.now {
			due = append(due, p)
		}
		return p.at <= w.now
	})
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		p.deliver()
	}
	for _, h := range w.hosts {
		w.stepHost(h)
	}
	w.probeGuard()
	w.cutCells()
	w.injectGoneHint()
}

func (w *model) stepHost(h *host) {
	if w.rng.IntN(4) == 0 {
		w.syncHost(h)
	}
	if p := h.placer; !p.paused {
		w.post(h, p, p.voter.Tick(p.clock.read(w.now)))
		w.runPlacer(h)
	}
	if p := h.router; !p.paused {
		now := p.clock.read(w.now)
		p.holder.SetStoreDown(w.store.down || h.isStoreCutOff)
		w.probeTargets(h, p)
		w.tickHolder(h, p, now)
		w.serve(h, p)
	}
}

// probeTargets tells a router which targets it reaches. A router probes only the
// targets that it claims and those reported as unreachable.
func (w *model) probeTargets(h *host, p *process) {
	probed := slices.Concat(p.holder.Claimed(), p.holder.ReportedUnreachable())
	reached := map[string]bool{checkingTarget: !w.target.paused, plainTarget: !w.plainTargetPaused && !h.isTargetUnreachable, farTarget: true}
	for _, target := range probed {
		p.holder.SetAlive(target, reached[target], 0)
	}
}

// syncHost updates a host from the store or from a neighbour.
func (w *model) syncHost(h *host) {
	if h.isLagging {
		return
	}
	if !w.store.down && !h.isStoreCutOff {
		w.syncAll(h, w.store.record, w.store.farRecord, w.store.page)
		return
	}
	peer := w.hosts[w.rng.IntN(len(w.hosts))]
	if !w.cutLinks[peer.name+h.name] {
		near, far := peer.records()
		w.syncAll(h, near, far, peer.page)
	}
}

// serve starts a run of every shard that the router may serve, renews the grant of the
// checking target and releases what the router must give up.
func (w *model) serve(h *host, p *process) {
	now := p.clock.read(w.now)
	var granted []lease.ShardEpoch
	epoch, until, right := p.holder.Right(now, checkingTarget)
	for n := range uint32(len(allShards(h.page))) {
		target, owner, ok := p.holder.Serves(now, ref(n))
		if !ok {
			continue
		}
		w.checkLine(p, ref(n))
		w.checkMovedLine(p, ref(n))
		if target == checkingTarget {
			granted = append(granted, lease.ShardEpoch{Shard: ref(n), Epoch: owner})
			w.sendRequest(h, p, epoch, n, owner)
			continue
		}
		gateway, _, _ := p.holder.Right(now, target)
		w.checkRun(run{at: w.now, shard: n, target: target, owner: owner, gateway: gateway, sender: p.inc})
	}
	if w.hasLongRuns {
		granted = append(granted, w.finishingShards(p)...)
	}
	if right && w.rng.IntN(5) == 0 {
		w.sendGrant(h, p, p.grants.Next(epoch, until, granted))
	}
	if right && w.rng.IntN(5) == 0 {
		w.sendRenewal(h, p, epoch, until, granted)
	}
	w.release(p)
}

func (w *model) release(p *process) {
	w.handOver(p)
	for _, l := range p.holder.Leaving() {
		if !l.Failed && (l.Target == plainTarget || p.grants.Dropped(l.Shard)) {
			w.releaseShard(p, l)
		}
	}
}

// handOver releases, after a random delay, the targets that another router is to be the
// gateway of.
func (w *model) handOver(p *process) {
	for _, target := range p.holder.HandingOver() {
		if w.rng.IntN(4) > 0 {
			continue
		}
		if p.holder.ReleaseTarget(p.clock.read(w.now), target) == nil {
			w.counts["handovers"]++
		}
	}
}
