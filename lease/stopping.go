package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// stopSendsPerHeartbeat is how often per heartbeat an incomplete stop is requested.
const stopSendsPerHeartbeat = 2

// stopReplyTimeout is how long a reply to a stop request is accepted.
const stopReplyTimeout = 10 * time.Second

// stopRound collects promises from a majority of the voters of each of several cells.
type stopRound struct {
	ifReleased    bool
	cells         map[string]*quorum
	sent          bool
	sentAt        time.Duration
	done          bool
	doneAt        time.Duration // reading at the promise that completed the last majority
	released      bool          // voters report everything as released, so that no wait is needed
	releasedUnder GatewayEpoch  // line whose release a voter reported, 0 for none
	moveMark      ShardStop     // release mark of the single requested shard, if a voter reported one
}

// quorum counts the promises of one cell under one record.
type quorum struct {
	stops    Stops
	record   uint64
	promised map[Incarnation]bool
	released bool
	done     bool
}

// sentStop is a stop request that was sent to one voter.
type sentStop struct {
	cell   string
	voter  Incarnation
	record uint64
	sentAt time.Duration
	rounds []*stopRound
}

// startStop begins to collect promises for the stops of each cell. Unless ifReleased is
// set, the holder also applies the stops to itself at once. Without any cell to ask,
// the round is done at now.
func (h *Holder) startStop(now time.Duration, ifReleased bool, cells map[string]Stops) *stopRound {
	round := &stopRound{ifReleased: ifReleased, cells: make(map[string]*quorum)}
	for name, stops := range cells {
		q := &quorum{stops: stops, promised: make(map[Incarnation]bool)}
		if cell, ok := h.cells[name]; ok {
			q.record = cell.electorate.Record
		}
		round.cells[name] = q
		if !ifReleased {
			h.stops.add(stops)
		}
	}
	if len(cells) == 0 {
		round.finishIfDone(now)
		return round
	}
	h.pending = append(h.pending, round)
	return round
}

// cancelStop ends a round; the promises of voters remain.
func (h *Holder) cancelStop(round *stopRound) {
	h.pending = slices.DeleteFunc(h.pending, func(p *stopRound) bool { return p == round })
}

// restartStops restarts the rounds of a cell whose record changed: promises under two
// records do not add up to a majority.
func (h *Holder) restartStops(e Electorate) {
	for _, round := range h.pending {
		q, ok := round.cells[e.Cell]
		if !ok || q.done {
			continue
		}
		q.record = e.Record
		q.promised = make(map[Incarnation]bool)
		round.sent = false
	}
}

// sendStops sends every pending stop that is due to every voter that has not promised
// it.
func (h *Holder) sendStops(now time.Duration) []Envelope {
	h.expireSentStops(now)
	due := h.dueStops(now)
	if len(due) == 0 {
		return nil
	}
	var out []Envelope
	for _, name := range slices.Sorted(maps.Keys(h.cells)) {
		for _, id := range h.cells[name].electorate.Voters {
			out = h.appendStopRequest(out, now, name, id, due, false)
			out = h.appendStopRequest(out, now, name, id, due, true)
		}
	}
	return out
}

func (h *Holder) dueStops(now time.Duration) []*stopRound {
	var due []*stopRound
	for _, round := range h.pending {
		if round.sent && now-round.sentAt < h.cfg.Timing.Heartbeat/stopSendsPerHeartbeat {
			continue
		}
		round.sent = true
		round.sentAt = now
		due = append(due, round)
	}
	return due
}

func (h *Holder) appendStopRequest(out []Envelope, now time.Duration, cell string, voter Incarnation, due []*stopRound, ifReleased bool) []Envelope {
	var rounds []*stopRound
	var stops Stops
	for _, round := range due {
		if round.ifReleased != ifReleased || !round.needsPromise(cell, voter) {
			continue
		}
		rounds = append(rounds, round)
		requested := round.cells[cell].stops
		stops.Gateways = append(stops.Gateways, requested.Gateways...)
		stops.Shards = append(stops.Shards, requested.Shards...)
	}
	if len(rounds) == 0 {
		return out
	}
	record := h.cells[cell].electorate.Record
	h.seq++
	h.sentStops[h.seq] = sentStop{cell: cell, voter: voter, record: record, sentAt: now, rounds: rounds}
	request := StopRequest{
		Cell:       cell,
		Record:     record,
		From:       h.cfg.Self,
		Seq:        h.seq,
		Stops:      stops,
		IfReleased: ifReleased,
	}
	return append(out, Envelope{To: voter, Msg: request})
}

func (s *stopRound) needsPromise(cell string, voter Incarnation) bool {
	q, ok := s.cells[cell]
	return ok && !q.done && !q.promised[voter]
}

func (h *Holder) expireSentStops(now time.Duration) {
	maps.DeleteFunc(h.sentStops, func(_ uint64, sent sentStop) bool { return now-sent.sentAt > stopReplyTimeout })
}

// countPromise applies a voter's answer to a stop request.
func (h *Holder) countPromise(now time.Duration, from Incarnation, m StopReply) {
	sent, ok := h.sentStops[m.Seq]
	if !ok || sent.cell != m.Cell || sent.voter != from || from != m.Voter || m.Holder != h.cfg.Self {
		return
	}
	cell := h.cells[m.Cell]
	cell.newerRecord = max(cell.newerRecord, m.Record)
	if m.Record != sent.record {
		return
	}
	delete(h.sentStops, m.Seq)
	for _, round := range sent.rounds {
		round.countReply(now, sent, m, cell.electorate.Majority())
	}
	h.removeDoneStops()
}

func (s *stopRound) countReply(now time.Duration, sent sentStop, m StopReply, majority int) {
	q := s.cells[sent.cell]
	if s.done || q.done || q.record != sent.record {
		return
	}
	q.released = q.allReleased(m)
	s.releasedUnder = max(s.releasedUnder, q.releasedUnder(m))
	s.recordMoveMark(q, m)
	if m.Done && !s.ifReleased {
		q.promised[sent.voter] = true
	}
	q.done = q.released || len(q.promised) >= majority
	s.finishIfDone(now)
}

// allReleased reports whether a voter reports all of the quorum's targets and shards as
// released. A voter does so only after a majority has stopped them.
func (q *quorum) allReleased(m StopReply) bool {
	if len(q.stops.Shards)+len(q.stops.Gateways) == 0 {
		return false
	}
	for _, want := range q.stops.Shards {
		if want.Released || !want.releasedIn(m.Released) {
			return false
		}
	}
	for _, want := range q.stops.Gateways {
		if want.Released || !want.releasedIn(m.ReleasedGateways) {
			return false
		}
	}
	return true
}

// releasedUnder returns the line whose release mark covers exactly the requested
// epochs, 0 if the reply has none.
func (q *quorum) releasedUnder(m StopReply) GatewayEpoch {
	for _, want := range q.stops.Gateways {
		for _, mark := range m.ReleasedGateways {
			if mark.Target == want.Target && mark.Epoch == want.Epoch {
				return mark.Under
			}
		}
	}
	return 0
}

// recordMoveMark keeps the release mark of a move of a single shard if it covers
// exactly the requested epochs.
func (s *stopRound) recordMoveMark(q *quorum, m StopReply) {
	if len(s.cells) != 1 || len(q.stops.Shards) != 1 {
		return
	}
	want := q.stops.Shards[0]
	for _, mark := range m.Released {
		if mark.Shard == want.Shard && mark.Epoch == want.Epoch && mark.To > 0 {
			s.moveMark = mark
		}
	}
}

func (s ShardStop) releasedIn(released []ShardStop) bool {
	return slices.ContainsFunc(released, func(r ShardStop) bool { return r.Shard == s.Shard && r.Epoch >= s.Epoch })
}

func (s GatewayStop) releasedIn(released []GatewayStop) bool {
	return slices.ContainsFunc(released, func(r GatewayStop) bool { return r.Target == s.Target && r.Epoch >= s.Epoch })
}

// finishIfDone ends the round when every cell is done.
func (s *stopRound) finishIfDone(now time.Duration) {
	s.released = true
	for _, q := range s.cells {
		if !q.done {
			return
		}
		s.released = s.released && q.released
	}
	s.done = true
	s.doneAt = now
}

func (h *Holder) removeDoneStops() {
	h.pending = slices.DeleteFunc(h.pending, func(round *stopRound) bool { return round.done })
}

// incompleteCells returns the cells without a complete majority, sorted.
func (s *stopRound) incompleteCells() []string {
	var names []string
	for name, q := range s.cells {
		if !q.done {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
