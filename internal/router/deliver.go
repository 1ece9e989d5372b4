package router

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

const (
	redirectPauseMin = 2 * time.Millisecond
	redirectPauseMax = 30 * time.Millisecond
)

// maxTargetsLost is the number of targets that may be lost while they run the
// same request before this ingress stops retrying it. The second loss quarantines
// the request as poison, and it must not reach a third target before the
// quarantine is known here.
const maxTargetsLost = 2

// delivery accumulates the results of one request's tries.
type delivery struct {
	tries       int
	targetsLost int
	mayHaveRun  bool // the outcome of at least one try is unknown
}

func (d *delivery) record(a *pb.Answer) {
	d.tries++
	if a.Outcome != pb.Outcome_OUTCOME_UNKNOWN {
		return
	}
	d.mayHaveRun = true
	if reason(a.Reason) == reasonTargetLost {
		d.targetsLost++
	}
}

// deliver sends a request to the target that must run it and returns the answer.
// Within the deadline it retries a request only if it provably did not run or is
// idempotent. A retry after a try that reached a target also consumes retry budget.
func (r *Router) deliver(ctx context.Context, q *ingressRequest, out *callerSink) *pb.Answer {
	r.budget.recordFirstTry()
	pause := redirectPauseMin
	var d delivery
	for {
		a := r.attempt(ctx, q, out)
		if out.started {
			return a
		}
		mayHaveRunBefore := d.mayHaveRun
		d.record(a)
		if !r.shouldRetry(q, a, d) {
			return overallAnswer(a, mayHaveRunBefore)
		}
		if !sleep(ctx, pause) {
			return overallAnswer(deadlineAnswer(ctx, q, a), d.mayHaveRun)
		}
		pause = min(2*pause, redirectPauseMax)
	}
}

// shouldRetry reports whether another try may follow this answer.
func (r *Router) shouldRetry(q *ingressRequest, a *pb.Answer, d delivery) bool {
	if isNotRun(a) && isRedirect(a) {
		return true
	}
	if isNotRun(a) && !isRetriable(a) {
		return false
	}
	attempt := routing.Attempt{
		Outcome:    toOutcome(a.Outcome),
		Idempotent: q.route.Idempotent,
		Tries:      d.tries,
		Poisoned:   d.targetsLost >= maxTargetsLost,
	}
	return r.budget.mayRetry(r.now(), attempt)
}

// overallAnswer returns the answer to a request, given the answer of its last try. If
// the last try did not run but an earlier one may have, the outcome is unknown.
func overallAnswer(last *pb.Answer, mayHaveRun bool) *pb.Answer {
	if !mayHaveRun || !isNotRun(last) {
		return last
	}
	a := unknown(last.Id, reasonMayHaveRun)
	a.RetryAfterMs = last.RetryAfterMs
	return a
}

func toOutcome(o pb.Outcome) routing.Outcome {
	switch o {
	case pb.Outcome_OUTCOME_RAN:
		return routing.OutcomeRan
	case pb.Outcome_OUTCOME_NOT_RUN:
		return routing.OutcomeNotRun
	default:
		return routing.OutcomeUnknown
	}
}

// isRedirect reports whether the request should be sent to another gateway or at a
// later time. No target received it.
func isRedirect(a *pb.Answer) bool {
	if a.NotMine {
		return true
	}
	switch reason(a.Reason) {
	case reasonNoOwner, reasonNoLease, reasonPeerUnreachable, reasonDraining:
		return true
	}
	return false
}

func isRetriable(a *pb.Answer) bool {
	switch reason(a.Reason) {
	case reasonTargetRefused, reasonTargetUnreachable:
		return true
	}
	return false
}

// deadlineAnswer converts the answer of the last try into the answer to the caller
// once ctx has ended.
func deadlineAnswer(ctx context.Context, q *ingressRequest, last *pb.Answer) *pb.Answer {
	if !isNotRun(last) {
		return last
	}
	cause := reason(last.Reason)
	if ctx.Err() == context.Canceled {
		cause = reasonCancelled
	}
	a := notRun(q.forward.Id, cause)
	a.Status = statusDeadline
	return a
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one try: it selects the target and sends the request to its gateway.
func (r *Router) attempt(ctx context.Context, q *ingressRequest, out *callerSink) *pb.Answer {
	t := r.table.Load()
	service := t.services[q.forward.Service]
	if service == nil {
		return notRun(q.forward.Id, reasonNoConfig)
	}
	q.service = service
	dst := r.selectTarget(t, q)
	if dst == nil {
		return notRun(q.forward.Id, reasonNoOwner)
	}
	deadline := time.Until(q.deadline)
	if deadline <= 0 {
		return notRun(q.forward.Id, reasonDeadline)
	}
	q.forward.DeadlineMs = max(deadline.Milliseconds(), 1)
	q.forward.Target = dst.name
	r.balancers.begin(dst.name)
	defer r.balancers.end(dst.name)
	return r.sendToGateway(ctx, t, dst, q, out)
}

// selectTarget returns the target to send a request to, nil if there is none.
func (r *Router) selectTarget(t *table, q *ingressRequest) *target {
	key, sharded := shardKey(q.service, q.forward)
	if !sharded {
		return r.balance(q)
	}
	if !q.service.hasPage {
		return nil
	}
	q.optional = false
	number, shard := q.service.page.Lookup(key)
	q.forward.Shard = number
	q.forward.OwnerEpoch = uint64(shard.Epoch)
	return r.ownerOrSuccessor(t, q, shard)
}

// ownerOrSuccessor returns the shard's owner, or the agreed next owner when the
// gateways of the owner have not answered recently.
func (r *Router) ownerOrSuccessor(t *table, q *ingressRequest, shard ownership.Shard) *target {
	owner := t.targets[shard.Target]
	if shard.Next == nil || !r.hints.shouldAskSuccessor(shard.Target) {
		return owner
	}
	if next := t.targets[shard.Next.Target]; next != nil {
		return next
	}
	return owner
}
