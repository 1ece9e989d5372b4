package router

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/template"
)

// runAtMostOnce runs a request that is not idempotent at most once, and answers a repeat
// with the first answer.
func (g *gateway) runAtMostOnce(ctx context.Context, req *admitted, out sink) *pb.Answer {
	f := req.forward
	entry := dedup.Request{
		Shard:       req.ref,
		Client:      f.Client,
		Key:         f.IdempotencyKey,
		FirstSent:   effectiveFirstSent(time.Now(), f, req.worker.template.Load()),
		Fingerprint: f.Fingerprint,
	}
	for {
		if f.FirstAttempt && g.dedup.mayPredateOpening(req.sent, req.line) {
			return notMine(f.Id, reasonOldStream)
		}
		verdict, first := g.dedup.begin(time.Now(), entry, req.line)
		switch verdict.Kind {
		case dedup.Run:
			req.first = first
			return g.runAndRecord(ctx, req, verdict.Ticket, out)
		case dedup.Join:
			select {
			case <-first.ended:
			case <-ctx.Done():
				return unknownDeadline(f.Id)
			}
		default:
			return answerWithoutRun(f.Id, verdict)
		}
	}
}

// answerWithoutRun returns the answer to a request that the dedup table keeps from
// running.
func answerWithoutRun(id string, v dedup.Verdict) *pb.Answer {
	switch {
	case v.Kind == dedup.Replay:
		return replay(id, v.Answer)
	case v.Kind == dedup.Mismatch:
		return keyReusedAnswer(id)
	case v.Kind == dedup.Full:
		return refused(id, reasonTooBusy, time.Second)
	case v.Reason == dedup.ReasonNotOpen:
		return notMine(id, reasonNoOwner)
	case v.Reason == dedup.ReasonAnswerDropped:
		return answerDropped(id)
	default:
		return unknown(id, reasonMayHaveRun)
	}
}

func (g *gateway) runAndRecord(ctx context.Context, req *admitted, ticket dedup.Ticket, out sink) *pb.Answer {
	// A caller that disconnects does not cancel a request that must run at most once:
	// a repeat needs the answer.
	limit := time.Duration(req.forward.DeadlineMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	a := req.worker.run(ctx, req, out)
	g.dedup.finish(time.Now(), ticket, a)
	return a
}

// effectiveFirstSent returns when the caller first sent a request, adjusted for a
// table that allows for a clock error of dedupSkew; the template may state another
// error. Without a stated time, or with one in the future, a request is taken to be as
// old as the template's retry horizon. A first attempt cannot have run before the table
// was opened, regardless of the callers' clocks: its ingress sent it after that, while
// its caller was still waiting.
func effectiveFirstSent(now time.Time, f *pb.Forward, tmpl *template.Template) time.Time {
	skew := time.Duration(tmpl.ClockSkewMS) * time.Millisecond
	horizon := time.Duration(tmpl.RetryHorizonS) * time.Second
	if horizon <= 0 {
		horizon = dedupHorizon
	}
	stated := time.UnixMilli(f.FirstSentUnixMs)
	switch {
	case f.FirstAttempt:
		return now.Add(dedupSkew)
	case f.FirstSentUnixMs <= 0 || stated.After(now.Add(skew)):
		return now.Add(-horizon)
	default:
		return stated.Add(dedupSkew - skew)
	}
}

func keyReusedAnswer(id string) *pb.Answer {
	a := notRun(id, reasonKeyReused)
	a.Status = statusKeyReused
	return a
}
