package router

import (
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

// reason is the machine-readable cause of a refusal or an unknown outcome, the value
// of the Mangopost-Reason header.
type reason string

const (
	reasonNoOwner           reason = "no-owner"
	reasonNotGateway        reason = "not-gateway"
	reasonOldStream         reason = "old-stream"
	reasonNoLease           reason = "no-lease"
	reasonPeerLost          reason = "peer-lost"
	reasonPeerUnreachable   reason = "peer-unreachable"
	reasonTargetLost        reason = "target-lost"
	reasonTargetRefused     reason = "target-refused"
	reasonTargetUnreachable reason = "target-unreachable"
	reasonDeadline          reason = "deadline"
	reasonCancelled         reason = "cancelled"
	reasonAnswerMismatch    reason = "answer-mismatch"
	reasonAnswerBroken      reason = "answer-broken"
	reasonMayHaveRun        reason = "may-have-run-before"
	reasonKeyReused         reason = "idempotency-key-reused"
	reasonAnswerDropped     reason = "answer-no-longer-held"
	reasonQuarantined       reason = "quarantined"
	reasonTooBusy           reason = "too-busy"
	reasonNoConfig          reason = "no-configuration"
	reasonDraining          reason = "draining"
	reasonStopping          reason = "host-stopping"
	statusNotRun                   = 503
	statusUnknown                  = 502
	statusDeadline                 = 504
	statusOverShare                = 429
	statusKeyReused                = 422
	statusAnswerDropped            = 409
)

// notRun returns the answer to a request that did not run.
func notRun(id string, cause reason) *pb.Answer {
	return &pb.Answer{
		Id:      id,
		Outcome: pb.Outcome_OUTCOME_NOT_RUN,
		Status:  statusNotRun,
		Reason:  string(cause),
	}
}

// refused returns the answer to a request that did not run and may be retried after
// a delay.
func refused(id string, cause reason, retryAfter time.Duration) *pb.Answer {
	a := notRun(id, cause)
	a.RetryAfterMs = retryAfter.Milliseconds()
	return a
}

// notMine returns the answer to a request that must be sent to another gateway.
func notMine(id string, cause reason) *pb.Answer {
	a := notRun(id, cause)
	a.NotMine = true
	return a
}

// unknown returns the answer to a request that may have run.
func unknown(id string, cause reason) *pb.Answer {
	return &pb.Answer{
		Id:      id,
		Outcome: pb.Outcome_OUTCOME_UNKNOWN,
		Status:  statusUnknown,
		Reason:  string(cause),
	}
}

func unknownDeadline(id string) *pb.Answer {
	a := unknown(id, reasonDeadline)
	a.Status = statusDeadline
	return a
}

func isNotRun(a *pb.Answer) bool { return a.Outcome == pb.Outcome_OUTCOME_NOT_RUN }
