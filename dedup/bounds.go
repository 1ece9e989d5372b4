package dedup

import "time"

// mutantAcceptsSentBeforeTable makes Begin run requests that were first sent
// before the table was complete. Only tests set it.
var mutantAcceptsSentBeforeTable bool

// mutantImportIgnoresDrops makes Import treat dropped keys as still known. Only
// tests set it.
var mutantImportIgnoresDrops bool

// expire removes the ended keys whose retry horizon has passed.
func (t *Table) expire(now time.Time) {
	// The first-sent time is up to one skew too early if the caller's clock
	// lags, and up to one skew too late if it leads.
	limit := now.Add(-t.cfg.Horizon - 2*t.cfg.Skew)
	for element := t.byBegin.Front(); element != nil; {
		e := element.Value.(*entry)
		if !e.begunAt.Before(limit) {
			return
		}
		element = element.Next()
		if e.state != stateRunning {
			t.dropKey(e)
		}
	}
}

// makeRoom frees memory for a number of additional bytes and reports whether
// they fit. It drops the oldest answers down to their share, then the oldest
// keys, then the remaining answers. Keys of running requests are never dropped.
func (t *Table) makeRoom(bytes int64) bool {
	t.dropAnswers(bytes, int64(t.cfg.AnswerShare*float64(t.cfg.Bytes)))
	for element := t.byBegin.Front(); element != nil && t.exceedsLimit(bytes); {
		e := element.Value.(*entry)
		element = element.Next()
		if e.state != stateRunning {
			t.dropKey(e)
			t.stats.DroppedKeys++
		}
	}
	t.dropAnswers(bytes, 0)
	return !t.exceedsLimit(bytes)
}

func (t *Table) exceedsLimit(bytes int64) bool { return t.stats.Bytes+bytes > t.cfg.Bytes }

// dropAnswers drops the oldest answers until the additional bytes fit or the
// answers take at most keepBytes.
func (t *Table) dropAnswers(bytes, keepBytes int64) {
	for t.exceedsLimit(bytes) && t.byFinish.Len() > 0 && t.stats.AnswerBytes > keepBytes {
		t.dropAnswer(t.byFinish.Front().Value.(*entry))
		t.stats.DroppedAnswers++
	}
}

// dropKey drops an ended key that may still be repeated. From then on the
// shard's table is complete only since the time at which that key's run began.
func (t *Table) dropKey(e *entry) {
	shard := e.id.shard
	t.lastDroppedBegun[shard] = laterOf(t.lastDroppedBegun[shard], e.begunAt)
	t.completeSince[shard] = laterOf(t.completeSince[shard], e.begunAt)
	t.remove(e)
}

// remove deletes an entry. It leaves completeSince as it is; dropKey updates
// that for keys whose requests may have run.
func (t *Table) remove(e *entry) {
	delete(t.entriesByShard[e.id.shard], e.id)
	t.unlinkEntry(e)
}

// unlinkEntry removes an entry from the lists and the statistics.
func (t *Table) unlinkEntry(e *entry) {
	t.dropAnswer(e)
	t.byBegin.Remove(e.beginElement)
	if e.state == stateRunning {
		t.stats.Running--
	}
	t.stats.Bytes -= e.keyBytes()
}

func (t *Table) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	t.stats.Bytes -= e.answer.bytes()
	t.stats.AnswerBytes -= e.answer.bytes()
	t.byFinish.Remove(e.answerElement)
	e.answer = nil
	e.answerElement = nil
}
