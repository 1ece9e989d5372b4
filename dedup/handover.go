package dedup

import (
	"container/list"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// Export is the content of a table for one shard. It is handed to the gateway
// that serves the shard immediately after this one.
type Export struct {
	Shard         ownership.ShardRef
	CompleteSince time.Time // time since which every request for the shard is known
	Entries       []ExportedEntry
}

// ExportedEntry is one exported key. A run that was in progress at the time of
// the export has an unknown outcome.
type ExportedEntry struct {
	Client      string
	Key         string
	Fingerprint uint64
	Begun       time.Time
	Ran         bool    // if false, the outcome is unknown
	Answer      *Answer // set if Ran, unless the answer was dropped
}

// Export returns the keys of an open shard, oldest first, and reports whether the
// shard is open. It omits running keys for which started returns false: those
// runs have not started and never will.
func (t *Table) Export(shard ownership.ShardRef, started func(Ticket) bool) (Export, bool) {
	since, open := t.completeSince[shard]
	if !open {
		return Export{}, false
	}
	x := Export{Shard: shard, CompleteSince: since}
	for element := t.byBegin.Front(); element != nil; element = element.Next() {
		e := element.Value.(*entry)
		if e.id.shard != shard || e.state == stateRunning && !started(Ticket{id: e.id, run: e.run}) {
			continue
		}
		x.Entries = append(x.Entries, ExportedEntry{
			Client: e.id.client, Key: e.id.key, Fingerprint: e.fingerprint,
			Begun: e.begunAt, Ran: e.state == stateRan, Answer: e.answer,
		})
	}
	return x, true
}

// Import adds the entries that another table exported to an open shard and reports
// whether the shard is open. No request for the shard may have run elsewhere
// between the export and the opening of the shard in this table. Afterwards this
// table is complete since the same time as the exporting one, as far as its memory
// limit allows.
//
// Invariant: an imported time is at most one skew earlier than this table's clock
// would have read. Each gateway's clock differs from a caller's by at most one
// skew, so the two differ by at most two skews. Import adds one, and Begin allows
// for the other.
func (t *Table) Import(now time.Time, x Export) bool {
	currentSince, open := t.completeSince[x.Shard]
	if !open {
		return false
	}
	now = t.advanceClock(now)
	since := x.CompleteSince.Add(t.cfg.Skew)
	if !mutantImportIgnoresDrops {
		since = laterOf(since, t.lastDroppedBegun[x.Shard])
	}
	if since.Before(currentSince) {
		t.completeSince[x.Shard] = since
	}
	t.mergeExport(x)
	t.expire(now)
	t.makeRoom(0)
	return true
}

// mergeExport inserts the exported keys that are not yet in the table, ordered by
// begin.
func (t *Table) mergeExport(x Export) {
	next := t.byBegin.Front()
	var answered []*entry
	for _, exported := range x.Entries {
		e := t.newImportedEntry(x.Shard, exported)
		if t.entriesByShard[x.Shard][e.id] != nil {
			continue
		}
		for next != nil && next.Value.(*entry).begunAt.Before(e.begunAt) {
			next = next.Next()
		}
		t.insertBefore(e, next)
		if exported.Answer != nil {
			e.answer = exported.Answer
			answered = append(answered, e)
		}
	}
	t.prependAnswers(answered)
}

func (t *Table) newImportedEntry(shard ownership.ShardRef, exported ExportedEntry) *entry {
	e := &entry{
		id:          entryID{shard: shard, client: exported.Client, key: exported.Key},
		fingerprint: exported.Fingerprint,
		begunAt:     exported.Begun.Add(t.cfg.Skew),
		state:       stateUnknown,
	}
	if exported.Ran {
		e.state = stateRan
	}
	return e
}

func (t *Table) insertBefore(e *entry, next *list.Element) {
	t.entriesByShard[e.id.shard][e.id] = e
	if next == nil {
		e.beginElement = t.byBegin.PushBack(e)
	} else {
		e.beginElement = t.byBegin.InsertBefore(e, next)
	}
	t.stats.Bytes += e.keyBytes()
}

// prependAnswers orders imported answers before those of the table's own runs, so
// that they are dropped first.
func (t *Table) prependAnswers(answered []*entry) {
	for i := len(answered) - 1; i >= 0; i-- {
		e := answered[i]
		e.answerElement = t.byFinish.PushFront(e)
		t.stats.Bytes += e.answer.bytes()
		t.stats.AnswerBytes += e.answer.bytes()
	}
}

// KeepNewest returns the newest entries of the export that fit into a number of
// bytes. The result is complete only since the newest omitted entry began.
func (x Export) KeepNewest(bytes int64) Export {
	first := len(x.Entries)
	for ; first > 0; first-- {
		bytes -= x.Entries[first-1].Bytes(x.Shard)
		if bytes < 0 {
			x.CompleteSince = laterOf(x.CompleteSince, x.Entries[first-1].Begun)
			break
		}
	}
	x.Entries = x.Entries[first:]
	return x
}

// Bytes returns the memory that the keys and answers of the export take in a
// table.
func (x Export) Bytes() int64 {
	var bytes int64
	for _, e := range x.Entries {
		bytes += e.Bytes(x.Shard)
	}
	return bytes
}

// Bytes returns the memory that the key and its answer take in a table.
func (e ExportedEntry) Bytes(shard ownership.ShardRef) int64 {
	key := entry{id: entryID{shard: shard, client: e.Client, key: e.Key}}
	return key.keyBytes() + e.Answer.bytes()
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
