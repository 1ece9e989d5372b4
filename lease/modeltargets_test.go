package lease_test

import (
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

func (w *model) sendGrant(h *host, p *process, grant lease.Grant) {
	w.send(h.name, checkingTarget, func() {
		w.runAtTarget(func() {
			ack, err := w.target.guard.Grant(w.target.clock.read(w.now), grant)
			w.send(checkingTarget, h.name, func() { w.handleAcknowledgement(p, ack, err) })
		})
	})
}

// sendRenewal renews the target's grant with a request. A refused renewal is not
// answered; the next separate grant shows the reason.
func (w *model) sendRenewal(h *host, p *process, epoch lease.GatewayEpoch, until time.Duration, granted []lease.ShardEpoch) {
	grant, ok := p.grants.Renewal(epoch, until, granted)
	if !ok {
		return
	}
	w.counts["renewals on requests"]++
	w.send(h.name, checkingTarget, func() {
		w.runAtTarget(func() {
			if ack, err := w.target.guard.Grant(w.target.clock.read(w.now), grant); err == nil {
				w.send(checkingTarget, h.name, func() { w.handleAcknowledgement(p, ack, nil) })
			}
		})
	})
}

func (w *model) handleAcknowledgement(p *process, ack uint64, err error) {
	handle := func() {
		if err != nil {
			p.grants.Reset()
			return
		}
		p.grants.RecordAck(p.clock.read(w.now), ack)
	}
	if p.paused {
		p.inbox = append(p.inbox, handle)
		return
	}
	handle()
}

func (w *model) sendRequest(h *host, p *process, gateway lease.GatewayEpoch, shard uint32, owner ownership.Epoch) {
	w.send(h.name, checkingTarget, func() {
		w.runAtTarget(func() {
			s := lease.ShardEpoch{Shard: ref(shard), Epoch: owner}
			if w.target.guard.Admit(w.target.clock.read(w.now), gateway, s) == nil {
				w.checkRun(run{at: w.now, shard: shard, target: checkingTarget, owner: owner, gateway: gateway, sender: p.inc})
			}
		})
	})
}

func (w *model) runAtTarget(handle func()) {
	if w.target.paused {
		w.target.inbox = append(w.target.inbox, handle)
		return
	}
	handle()
}

// probeGuard asks the target that checks grants what it would run now.
func (w *model) probeGuard() {
	if w.target.paused {
		return
	}
	now := w.target.clock.read(w.now)
	top := w.store.record.Gateways[0].LastEpoch()
	for n, s := range allShards(w.store.page) {
		for gateway := lease.GatewayEpoch(1); gateway <= top; gateway++ {
			for owner := ownership.Epoch(1); owner <= s.HighestEpoch(); owner++ {
				w.probeContinues(now, uint32(n), owner)
				if w.target.guard.Admit(now, gateway, lease.ShardEpoch{Shard: ref(uint32(n)), Epoch: owner}) == nil {
					w.checkRun(run{at: w.now, shard: uint32(n), target: checkingTarget, owner: owner, gateway: gateway})
				}
			}
		}
	}
}

// probeContinues checks what the target that checks grants would continue to run.
func (w *model) probeContinues(now time.Duration, shard uint32, owner ownership.Epoch) {
	if w.target.guard.Continues(now, lease.ShardEpoch{Shard: ref(shard), Epoch: owner}) {
		w.checkShardRun(run{at: w.now, shard: shard, target: checkingTarget, owner: owner})
	}
}
