package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

// dedupTable makes a dedup.Table safe for concurrent requests and lets a repeat wait
// for the first request while that still runs.
type dedupTable struct {
	bytes int64
	// onHandover is called for each table received from an earlier gateway. applied
	// reports whether it was imported.
	onHandover func(t wire.DedupTable, applied bool)

	mu        sync.Mutex
	table     *dedup.Table
	running   map[dedup.Ticket]*firstRun
	openLines map[ownership.ShardRef]lease.Line // line under which each shard is open
	openedAt  map[ownership.ShardRef]time.Time  // time at which the shard was opened
	pending   pendingTables
}

// firstRun is a run in progress that repeats wait for.
type firstRun struct {
	ended        chan struct{}
	mayBeWritten atomic.Bool // the request may have been written to its target
}

func newDedupTable(cfg dedup.Config) *dedupTable {
	return &dedupTable{
		bytes:      cfg.Bytes,
		onHandover: func(wire.DedupTable, bool) {},
		table:      dedup.New(cfg),
		running:    make(map[dedup.Ticket]*firstRun),
		openLines:  make(map[ownership.ShardRef]lease.Line),
		openedAt:   make(map[ownership.ShardRef]time.Time),
		pending:    pendingTables{limit: cfg.Bytes / pendingBytesDivisor},
	}
}

// begin returns the table's verdict on a request. The shard must be open under the
// line under which the request was admitted. For dedup.Run and dedup.Join it also
// returns the run.
func (d *dedupTable) begin(now time.Time, r dedup.Request, line lease.Line) (dedup.Verdict, *firstRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openLines[r.Shard] != line {
		return dedup.Verdict{Kind: dedup.Unknown, Reason: dedup.ReasonNotOpen}, nil
	}
	verdict := d.table.Begin(now, r)
	if verdict.Kind == dedup.Run {
		d.running[verdict.Ticket] = &firstRun{ended: make(chan struct{})}
	}
	return verdict, d.running[verdict.Ticket]
}

// mayPredateOpening reports whether a request may have been sent before its shard was
// opened under a line. A broken link can deliver a request late: its ingress may have
// given it up since, and a repeat of it may have run at an earlier gateway.
func (d *dedupTable) mayPredateOpening(sent time.Time, line lease.Line) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openLines[line.Shard] == line && !sent.After(d.openedAt[line.Shard])
}

// finish records the result of a run and wakes the repeats that wait for it.
func (d *dedupTable) finish(now time.Time, ticket dedup.Ticket, a *pb.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Finish(now, ticket, toResult(a))
	if run := d.running[ticket]; run != nil {
		close(run.ended)
		delete(d.running, ticket)
	}
}

// open discards the state of a shard, opens it under a new line and imports the state
// that the previous gateway handed over.
func (d *dedupTable) open(now time.Time, line lease.Line) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Close(line.Shard)
	d.table.Open(now, line.Shard)
	d.openLines[line.Shard] = line
	d.openedAt[line.Shard] = now
	d.importPending(now, line)
}

func (d *dedupTable) close(ref ownership.ShardRef) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.Close(ref)
	delete(d.openLines, ref)
	delete(d.openedAt, ref)
}

func toResult(a *pb.Answer) dedup.Result {
	switch a.Outcome {
	case pb.Outcome_OUTCOME_NOT_RUN:
		return dedup.Result{Outcome: routing.OutcomeNotRun}
	case pb.Outcome_OUTCOME_RAN:
		return dedup.Result{Outcome: routing.OutcomeRan, Answer: toDedupAnswer(a)}
	default:
		return dedup.Result{Outcome: routing.OutcomeUnknown}
	}
}

// toDedupAnswer returns the answer to store for repeats, nil for one that is too long
// to store.
func toDedupAnswer(a *pb.Answer) *dedup.Answer {
	if a.More {
		return nil
	}
	answer := &dedup.Answer{Status: int(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		answer.Headers = append(answer.Headers, dedup.Header{Name: h.Name, Value: h.Value})
	}
	return answer
}

// replay returns the answer to a repeat, copied from the first answer.
func replay(id string, first *dedup.Answer) *pb.Answer {
	a := &pb.Answer{
		Id:       id,
		Outcome:  pb.Outcome_OUTCOME_RAN,
		Status:   uint32(first.Status),
		Body:     first.Body,
		Replayed: true,
	}
	for _, h := range first.Headers {
		a.Headers = append(a.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	return a
}

// answerDropped returns the answer to a repeat of a request that ran, but whose answer
// is no longer stored.
func answerDropped(id string) *pb.Answer {
	return &pb.Answer{
		Id:       id,
		Outcome:  pb.Outcome_OUTCOME_RAN,
		Status:   statusAnswerDropped,
		Reason:   string(reasonAnswerDropped),
		Replayed: true,
	}
}
