package lease

import (
	"slices"
	"time"
)

// join collects the handover from the voters of earlier records to one voter of a new
// record.
type join struct {
	started    time.Duration
	lastSent   time.Duration
	hasSent    bool
	promised   map[Incarnation]bool // old voters that promised to leave the old record or are gone
	handedOver map[Incarnation]bool // old voters that handed over their stops
	ready      map[Incarnation]bool // voters that answer under the new record
	replaced   map[Incarnation]bool // voters of the new record that are gone
}

// SetElectorate updates the record of the voter's cell. Older records are ignored; the
// same record may add to Gone.
func (v *Voter) SetElectorate(now time.Duration, e Electorate) {
	if e.Cell != v.cfg.Cell || e.Record < v.electorate.Record {
		return
	}
	if e.Record == v.electorate.Record {
		v.electorate.Gone = e.Gone
		v.updateReady(now)
		return
	}
	v.electorate = e
	v.promised = max(v.promised, e.Record)
	v.join = nil
	if !e.Has(v.cfg.Self) {
		return
	}
	if len(e.Old) == 0 || v.faults.joinWithoutWait {
		v.ready = e.Record
		return
	}
	v.startJoin(now)
}

func (v *Voter) startJoin(now time.Duration) {
	v.join = &join{
		started:    now,
		promised:   make(map[Incarnation]bool),
		handedOver: make(map[Incarnation]bool),
		ready:      make(map[Incarnation]bool),
		replaced:   make(map[Incarnation]bool),
	}
	v.join.promised[v.cfg.Self] = true
	v.join.handedOver[v.cfg.Self] = v.ready > 0 && v.ready+1 >= v.electorate.Record
	v.recordRestarts(v.cfg.Self)
	v.updateReady(now)
}

// recordRestarts counts as gone every voter that is an earlier run on newer's host.
func (v *Voter) recordRestarts(newer Incarnation) {
	for _, old := range v.electorate.earlierVoters() {
		if newer.isLaterRunOf(old) {
			v.join.promised[old] = true
		}
	}
	for _, id := range v.electorate.Voters {
		if newer.isLaterRunOf(id) {
			v.join.replaced[id] = true
		}
	}
}

// promiseRecord answers a new voter: from now on this voter answers under no record
// older than the request's.
func (v *Voter) promiseRecord(m JoinRequest) JoinReply {
	reply := JoinReply{Cell: v.cfg.Cell, Record: m.Record, Voter: v.cfg.Self, Done: true, Ready: v.ready}
	v.promised = max(v.promised, m.Record)
	if v.ready > 0 {
		reply.Stops = v.stops.since(0)
	}
	return reply
}

// addJoinReply applies the promise and the stops of another voter.
func (v *Voter) addJoinReply(now time.Duration, from Incarnation, m JoinReply) []Envelope {
	if v.join == nil || m.Cell != v.cfg.Cell || m.Record != v.electorate.Record {
		return nil
	}
	v.recordRestarts(from)
	if m.Done && slices.Contains(v.electorate.earlierVoters(), from) {
		v.join.promised[from] = true
		v.addHandedOverStops(from, m)
	}
	if m.Ready == v.electorate.Record && v.electorate.Has(from) {
		v.join.ready[from] = true
		v.addHandedOverStops(from, m)
	}
	v.updateReady(now)
	return nil
}

func (v *Voter) addHandedOverStops(from Incarnation, m JoinReply) {
	if m.Ready+1 < v.electorate.Record {
		return
	}
	v.join.handedOver[from] = true
	if !v.faults.joinWithoutStops {
		v.stops.add(m.Stops)
	}
}

// updateReady makes the voter ready once the old record can no longer be used and all
// stops made under it are known.
func (v *Voter) updateReady(now time.Duration) {
	if v.join == nil || v.ready == v.electorate.Record {
		return
	}
	if v.faults.joinAfterLease && now-v.join.started > v.cfg.Timing.Wait() {
		v.ready = v.electorate.Record
		return
	}
	if v.predecessorsLeft() && v.stopsComplete() {
		v.ready = v.electorate.Record
	}
}

// predecessorsLeft reports whether a majority of the voters of each earlier record has
// left it.
func (v *Voter) predecessorsLeft() bool {
	for _, gone := range v.electorate.Gone {
		v.join.promised[gone] = true
	}
	for _, voters := range v.electorate.predecessors() {
		if countMarked(voters, v.join.promised) < majorityOf(voters) {
			return false
		}
	}
	return true
}

// stopsComplete reports whether all stops made under the preceding record are known: a
// majority of its voters handed them over, or a voter that is ready under the new
// record did. If the preceding record was not settled, only the latter counts.
func (v *Voter) stopsComplete() bool {
	if len(v.join.ready) > 0 || v.faults.joinWithoutStops {
		return true
	}
	if len(v.electorate.Older) > 0 {
		return false
	}
	return countMarked(v.electorate.Old, v.join.handedOver) >= majorityOf(v.electorate.Old)
}

func countMarked(voters []Incarnation, marked map[Incarnation]bool) int {
	n := 0
	for _, id := range voters {
		if marked[id] {
			n++
		}
	}
	return n
}

// NeedsFloor reports whether too few voters are left that could hand over their stops:
// the old record can no longer be used, but its stops are unknown. No earlier epoch can
// be resumed then. The process must read all pages and the cell's record from the store
// again, pass every agreed epoch to SetFloor, and assign higher epochs.
func (v *Voter) NeedsFloor(now time.Duration) bool {
	if v.join == nil || v.ready == v.electorate.Record || !v.predecessorsLeft() {
		return false
	}
	earlier := v.electorate.earlierVoters()
	all := countMarked(earlier, v.join.promised) == len(earlier)
	return all || now-v.join.started > v.cfg.Timing.Suspicion
}

// SetFloor stops every epoch agreed earlier and makes the voter ready, if it needs a
// floor. The floor must have been read from the store after the voter reported that
// need for this record.
func (v *Voter) SetFloor(now time.Duration, record uint64, floor Stops) {
	if record != v.electorate.Record || !v.NeedsFloor(now) {
		return
	}
	v.stops.add(floor)
	v.ready = record
}

// Settled reports whether a majority of the record's voters answers under it, so that
// the record may be marked as settled.
func (v *Voter) Settled() bool {
	if !v.Ready() {
		return false
	}
	if v.join == nil {
		return true
	}
	v.join.ready[v.cfg.Self] = true
	known := 0
	for _, id := range v.electorate.Voters {
		if v.join.ready[id] || v.join.replaced[id] {
			known++
		}
	}
	return known >= v.electorate.Majority()
}

// sendJoinRequests asks every old and new voter that has not yet answered.
func (v *Voter) sendJoinRequests(now time.Duration) []Envelope {
	v.updateReady(now)
	if v.join == nil || v.Settled() {
		return nil
	}
	if v.join.hasSent && now-v.join.lastSent < v.cfg.Timing.Heartbeat/2 {
		return nil
	}
	v.join.lastSent = now
	v.join.hasSent = true
	request := JoinRequest{Cell: v.cfg.Cell, Record: v.electorate.Record, From: v.cfg.Self}
	var out []Envelope
	for _, id := range v.joinPeers() {
		out = append(out, Envelope{To: id, Msg: request})
	}
	return out
}

func (v *Voter) joinPeers() []Incarnation {
	var peers []Incarnation
	for _, id := range v.electorate.Voters {
		if id != v.cfg.Self && !v.join.ready[id] && !v.join.replaced[id] {
			peers = append(peers, id)
		}
	}
	for _, id := range v.electorate.earlierVoters() {
		if id != v.cfg.Self && !v.electorate.Has(id) && !v.join.promised[id] {
			peers = append(peers, id)
		}
	}
	return peers
}
