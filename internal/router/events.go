package router

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/kernel"
)

// Events of the router; docs/EVENTS.md describes them.
var (
	evStarted          = kernel.RegisterEvent(1000, hclog.Info, "router started")
	evStopping         = kernel.RegisterEvent(1001, hclog.Info, "router stopping")
	evRouted           = kernel.RegisterEvent(1010, hclog.Info, "request routed")
	evSentToTarget     = kernel.RegisterEvent(1011, hclog.Info, "request sent to target")
	evRefusedAtIngress = kernel.RegisterEvent(1012, hclog.Info, "request refused at ingress")
	evRefusedAtGateway = kernel.RegisterEvent(1013, hclog.Info, "request refused at gateway")
	evTargetRefused    = kernel.RegisterEvent(1014, hclog.Info, "target refused a request")
	evAnswerMismatch   = kernel.RegisterEvent(1015, hclog.Warn, "target answered for another request")
	evAnswerInvalid    = kernel.RegisterEvent(1060, hclog.Warn, "target sent an invalid status line")
	evQuarantined      = kernel.RegisterEvent(1016, hclog.Warn, "request is quarantined")
	evCrashCounted     = kernel.RegisterEvent(1017, hclog.Warn, "target crashed while running a request")
	evPreempted        = kernel.RegisterEvent(1018, hclog.Info, "straggler preempted for short work")
	evGatewayStarted   = kernel.RegisterEvent(1020, hclog.Info, "gateway of a target started")
	evGatewayEnded     = kernel.RegisterEvent(1021, hclog.Info, "gateway of a target ended")
	evTargetAlive      = kernel.RegisterEvent(1022, hclog.Info, "target answers")
	evTargetSilent     = kernel.RegisterEvent(1023, hclog.Warn, "target does not answer")
	evShardReleased    = kernel.RegisterEvent(1024, hclog.Info, "shard released")
	evShardServed      = kernel.RegisterEvent(1025, hclog.Info, "shard served")
	evGrantRefused     = kernel.RegisterEvent(1026, hclog.Warn, "target refused a grant")
	evTargetHandedOver = kernel.RegisterEvent(1027, hclog.Info, "target handed over")
	evDedupReceived    = kernel.RegisterEvent(1028, hclog.Info, "dedup table handed over")
	evDedupNotSent     = kernel.RegisterEvent(1029, hclog.Warn, "dedup tables not handed over")
	evTableApplied     = kernel.RegisterEvent(1030, hclog.Info, "routing table applied")
	evSyncLost         = kernel.RegisterEvent(1031, hclog.Warn, "connection to placer lost")
	evPeerDropped      = kernel.RegisterEvent(1032, hclog.Warn, "peer dropped")
	evStoreWriteFailed = kernel.RegisterEvent(1033, hclog.Warn, "writing quarantine record to the store failed")
	evLearnedReceived  = kernel.RegisterEvent(1044, hclog.Info, "learned state of a target handed over")
	evLearnedNotSent   = kernel.RegisterEvent(1045, hclog.Info, "learned state of a target not handed over")
	evRelayed          = kernel.RegisterEvent(1046, hclog.Info, "request relayed to its gateway")
	evProbeStarted     = kernel.RegisterEvent(1047, hclog.Warn, "probe run of a quarantined request started")
	evProbeEnded       = kernel.RegisterEvent(1048, hclog.Warn, "probe run of a quarantined request ended")
	evHeld             = kernel.RegisterEvent(1049, hclog.Warn, "clients had to give way: the process holds as much as it may")
	evRecordEnded      = kernel.RegisterEvent(1040, hclog.Warn, "recording ended")
)

// logRouted writes the ingress's log line for a request.
func (r *Router) logRouted(q *ingressRequest, a *pb.Answer, took time.Duration) {
	f := q.forward
	outcome := outcomeName(a.Outcome)
	r.metrics.recordRouted(f.Service, a.Outcome, took)
	r.explain.add(f.Id, traceLine{Stage: "ingress", Target: f.Target, Outcome: outcome, Reason: a.Reason, TookUS: took.Microseconds()})
	if !r.logsRequests {
		return
	}
	r.log.EmitFields(
		evRouted,
		kernel.String("request", f.Id),
		kernel.String("client", f.Client),
		kernel.String("service", f.Service),
		kernel.String("key", f.Key),
		kernel.Uint("shard", uint64(f.Shard)),
		kernel.Uint("owner_epoch", f.OwnerEpoch),
		kernel.String("target", f.Target),
		kernel.String("outcome", outcome),
		kernel.Uint("status", uint64(a.Status)),
		kernel.String("reason", a.Reason),
		kernel.Int("took_us", took.Microseconds()),
	)
}

// logRun writes the gateway's log line for a request that it sent or tried to send.
func (r *Router) logRun(req *admitted, a *pb.Answer, waited, took time.Duration) {
	f := req.forward
	outcome := outcomeName(a.Outcome)
	r.metrics.recordRun(f.Service, waited, took)
	r.explain.add(f.Id, traceLine{
		Stage: "gateway", Target: req.worker.name, Outcome: outcome, Reason: a.Reason,
		OwnerEpoch: uint64(req.owner), GatewayEpoch: uint64(req.epoch),
		WaitedUS: waited.Microseconds(), TookUS: took.Microseconds(),
	})
	if !r.logsRequests {
		return
	}
	r.log.EmitFields(
		evSentToTarget,
		kernel.String("request", f.Id),
		kernel.String("target", req.worker.name),
		kernel.Uint("owner_epoch", uint64(req.owner)),
		kernel.Uint("gateway_epoch", uint64(req.epoch)),
		kernel.String("outcome", outcome),
		kernel.String("reason", a.Reason),
		kernel.Int("waited_us", waited.Microseconds()),
		kernel.Int("took_us", took.Microseconds()),
	)
}
