package dedup

import (
	"container/list"
	"time"

	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

// Estimated fixed memory of each item, in addition to its names and bodies.
const (
	entryOverheadBytes  = 320
	answerOverheadBytes = 96
	headerOverheadBytes = 32
)

type entryID struct {
	shard  ownership.ShardRef
	client string
	key    string
}

type runState uint8

const (
	stateRunning runState = iota
	stateRan
	stateUnknown
)

// entry is one remembered idempotency key.
type entry struct {
	id            entryID
	run           uint64
	fingerprint   uint64
	begunAt       time.Time
	state         runState
	answer        *Answer
	beginElement  *list.Element
	answerElement *list.Element // nil if there is no answer
}

func (e *entry) keyBytes() int64 {
	return int64(entryOverheadBytes + len(e.id.shard.Service) + len(e.id.client) + len(e.id.key))
}

// Table remembers the keys of the shards that one gateway serves. It is not
// safe for concurrent use.
type Table struct {
	cfg              Config
	completeSince    map[ownership.ShardRef]time.Time // for each open shard: since when every request is known
	lastDroppedBegun map[ownership.ShardRef]time.Time // for each shard: begin of the newest key that was dropped
	entriesByShard   map[ownership.ShardRef]map[entryID]*entry
	byBegin          *list.List // of *entry, ordered by begunAt
	byFinish         *list.List // of *entry with an answer, ordered by finish
	maxTime          time.Time  // latest clock reading so far
	lastRun          uint64
	stats            Stats
}

// New returns a table without open shards.
func New(cfg Config) *Table {
	if cfg.AnswerShare == 0 {
		cfg.AnswerShare = DefaultAnswerShare
	}
	return &Table{
		cfg:              cfg,
		completeSince:    make(map[ownership.ShardRef]time.Time),
		lastDroppedBegun: make(map[ownership.ShardRef]time.Time),
		entriesByShard:   make(map[ownership.ShardRef]map[entryID]*entry),
		byBegin:          list.New(),
		byFinish:         list.New(),
	}
}

// Open marks a shard as served by this gateway: from now on every request for the
// shard goes through this table. Opening an open shard does nothing.
func (t *Table) Open(now time.Time, shard ownership.ShardRef) {
	if _, open := t.completeSince[shard]; open {
		return
	}
	t.completeSince[shard] = t.advanceClock(now)
	t.entriesByShard[shard] = make(map[entryID]*entry)
}

// Close discards the entries of a shard that this gateway no longer serves.
func (t *Table) Close(shard ownership.ShardRef) {
	for _, e := range t.entriesByShard[shard] {
		t.unlinkEntry(e)
	}
	delete(t.entriesByShard, shard)
	delete(t.completeSince, shard)
	delete(t.lastDroppedBegun, shard)
}

// CompleteSince returns the time since which the table knows every request for a
// shard, and whether the shard is open.
func (t *Table) CompleteSince(shard ownership.ShardRef) (time.Time, bool) {
	since, open := t.completeSince[shard]
	return since, open
}

// Begin decides whether a request may run. It must be called just before the
// request starts, which may run only if the verdict is Run.
func (t *Table) Begin(now time.Time, r Request) Verdict {
	now = t.advanceClock(now)
	if r.Key == "" {
		return Verdict{Kind: Run}
	}
	if _, open := t.completeSince[r.Shard]; !open {
		return Verdict{Kind: Unknown, Reason: ReasonNotOpen}
	}
	t.expire(now)
	id := entryID{shard: r.Shard, client: r.Client, key: r.Key}
	if e := t.entriesByShard[r.Shard][id]; e != nil {
		return e.repeatVerdict(r)
	}
	if !t.isSentAfter(now, t.completeSince[r.Shard], r.FirstSent) {
		return Verdict{Kind: Unknown, Reason: ReasonBeforeTable}
	}
	return t.startRun(now, id, r.Fingerprint)
}

// Finish records how a run ended. It reports whether the run was still in the
// table; closing its shard removes it.
func (t *Table) Finish(now time.Time, ticket Ticket, r Result) bool {
	t.advanceClock(now)
	e := t.entriesByShard[ticket.id.shard][ticket.id]
	if e == nil || e.run != ticket.run || e.state != stateRunning {
		return false
	}
	switch r.Outcome {
	case routing.OutcomeNotRun:
		t.remove(e)
	case routing.OutcomeRan:
		t.endRun(e, stateRan)
		t.keepAnswer(e, r.Answer)
	default:
		t.endRun(e, stateUnknown)
	}
	t.makeRoom(0)
	return true
}

// Stats returns the table's statistics.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Entries = t.byBegin.Len()
	return s
}

// advanceClock returns now, or the latest reading so far if the clock was set
// back, so that entries stay ordered by time.
func (t *Table) advanceClock(now time.Time) time.Time {
	if now.After(t.maxTime) {
		t.maxTime = now
	}
	return t.maxTime
}

// isSentAfter reports whether a request was certainly first sent after since, the
// time from which the table is complete.
func (t *Table) isSentAfter(now, since, firstSent time.Time) bool {
	if firstSent.IsZero() || firstSent.After(now.Add(t.cfg.Skew)) {
		// A time in the future by more than the skew cannot be relied on.
		firstSent = now.Add(-t.cfg.Horizon)
	}
	return mutantAcceptsSentBeforeTable || firstSent.Add(-t.cfg.Skew).After(since)
}

func (t *Table) startRun(now time.Time, id entryID, fingerprint uint64) Verdict {
	t.lastRun++
	e := &entry{id: id, run: t.lastRun, fingerprint: fingerprint, begunAt: now}
	if !t.makeRoom(e.keyBytes()) {
		return Verdict{Kind: Full}
	}
	// Making room may have moved completeSince past the first sending of this
	// request. It may still run, as its key was looked up before that.
	t.entriesByShard[id.shard][id] = e
	e.beginElement = t.byBegin.PushBack(e)
	t.stats.Bytes += e.keyBytes()
	t.stats.Running++
	return Verdict{Kind: Run, Ticket: Ticket{id: id, run: e.run}}
}

func (t *Table) endRun(e *entry, s runState) {
	e.state = s
	t.stats.Running--
}

func (t *Table) keepAnswer(e *entry, a *Answer) {
	if a == nil {
		return
	}
	e.answer = a
	e.answerElement = t.byFinish.PushBack(e)
	t.stats.Bytes += a.bytes()
	t.stats.AnswerBytes += a.bytes()
}

func (e *entry) repeatVerdict(r Request) Verdict {
	switch {
	case e.fingerprint != r.Fingerprint:
		return Verdict{Kind: Mismatch}
	case e.state == stateRunning:
		return Verdict{Kind: Join, Ticket: Ticket{id: e.id, run: e.run}}
	case e.state == stateUnknown:
		return Verdict{Kind: Unknown, Reason: ReasonOutcome}
	case e.answer == nil:
		return Verdict{Kind: Unknown, Reason: ReasonAnswerDropped}
	default:
		return Verdict{Kind: Replay, Answer: e.answer}
	}
}
