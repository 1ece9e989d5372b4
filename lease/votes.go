package lease

import (
	"maps"
	"slices"
	"time"
)

// sendHeartbeat sends one vote request to each voter of the holder's cell, if one is
// due.
func (h *Holder) sendHeartbeat(now time.Duration) []Envelope {
	cell, ok := h.cells[h.cfg.Cell]
	if !ok || !h.heartbeatDue {
		return nil
	}
	h.heartbeatDue = false
	h.lastHeartbeat = now
	h.seq++
	h.expireSentRequests(now)
	list := h.currentClaims()
	reports := h.currentReports(now)
	h.sentRequests[h.seq] = sentVoteRequest{sentAt: now, claims: list.claims}
	request := VoteRequest{
		Cell:    h.cfg.Cell,
		Record:  cell.electorate.Record,
		Holder:  h.cfg.Self,
		Seq:     h.seq,
		Claims:  list.claims,
		Serving: reports.serving,
		Vacant:  h.vacancies(now),
		Stopped: reports.stopped,
		Leaving: h.leaving,

		Unreleased: reports.unreleased,

		ClaimsVersion: list.version,
	}
	var out []Envelope
	for _, id := range cell.electorate.Voters {
		voter := cell.voters[id]
		request.StopsSeen = voter.stopsSeen
		if voter.claimsHeld == list.version {
			out = append(out, Envelope{To: id, Msg: request.withoutClaims()})
			continue
		}
		out = append(out, Envelope{To: id, Msg: request})
	}
	return out
}

// shardReports holds the lists of shards in a vote request, as of the change number at.
type shardReports struct {
	at         uint64
	serving    []ShardEpoch
	stopped    []ShardEpoch
	unreleased []ShardEpoch
}

// currentReports returns the lists to report now. It rebuilds them only after a change,
// because each list visits every shard.
func (h *Holder) currentReports(now time.Duration) shardReports {
	if h.reports.at != h.Changes() {
		h.reports = shardReports{
			at:         h.Changes(),
			serving:    h.serving(now),
			stopped:    h.stopped(now),
			unreleased: h.unreleased(now),
		}
	}
	return h.reports
}

// expireSentRequests drops the requests whose votes can no longer give a right.
func (h *Holder) expireSentRequests(now time.Duration) {
	maps.DeleteFunc(h.sentRequests, func(_ uint64, sent sentVoteRequest) bool {
		return now-sent.sentAt > h.cfg.Timing.Lease && !h.faults.anchorAtReceipt
	})
}

func (h *Holder) claims() []Claim {
	claims := make([]Claim, 0, len(h.targetNames))
	for _, name := range h.targetNames {
		t := h.targets[name]
		if t.started() && t.epoch > h.stops.gateway(name) {
			claims = append(claims, Claim{Target: name, Epoch: t.epoch, Alive: t.alive, Load: t.load, Drained: t.drained})
		}
	}
	return claims
}

// countVotes applies a voter's stops, then its votes. Both come from the same reply, so
// a right never depends on a vote whose stops are unknown.
func (h *Holder) countVotes(now time.Duration, from Incarnation, m VoteReply) {
	cell, ok := h.cells[m.Cell]
	if !ok || m.Cell != h.cfg.Cell || from != m.Voter || m.Holder != h.cfg.Self {
		return
	}
	cell.newerRecord = max(cell.newerRecord, m.Record)
	voter, ok := cell.voters[from]
	if !ok {
		h.heartbeatDue = cell.clearClaimsHeld(from, m) || h.heartbeatDue
		return
	}
	h.heartbeatDue = voter.updateClaimsHeld(m) || h.heartbeatDue
	h.stops.add(m.Stops)
	voter.stopsSeen = max(voter.stopsSeen, m.StopsSeq)
	request, ok := h.sentRequests[m.Seq]
	if !ok || m.Record != cell.electorate.Record {
		return
	}
	sent := request.sentAt
	if h.faults.anchorAtReceipt {
		sent = now
	}
	h.updateStoreLease(now, request.sentAt, m)
	voter.updateVacancies(m, sent)
	for _, claim := range request.granted(m) {
		h.countVote(cell.electorate, from, sent, claim)
	}
}

// granted returns the claims that a reply to the request grants.
func (r sentVoteRequest) granted(m VoteReply) []Claim {
	if m.GrantedAll {
		return r.claims
	}
	return m.Granted
}

func (v *voterView) updateVacancies(m VoteReply, sent time.Duration) {
	if m.Seq < v.lastSeq {
		return
	}
	v.lastSeq = m.Seq
	v.requestSentAt = sent
	v.vacant = make(map[string]Vacancy, len(m.Vacant))
	for _, vacancy := range m.Vacant {
		v.vacant[vacancy.Target] = vacancy
	}
}

func (h *Holder) countVote(e Electorate, voter Incarnation, sent time.Duration, claim Claim) {
	t, ok := h.targets[claim.Target]
	if !ok || t.epoch != claim.Epoch {
		return
	}
	if old, voted := t.anchors[voter]; voted && old >= sent {
		return
	}
	t.anchors[voter] = sent
	anchor, ok := t.majorityAnchor(e)
	if !ok {
		return
	}
	if !t.hasAnchor || anchor > t.anchor {
		t.hasAnchor = true
		t.anchor = anchor
	}
}

// majorityAnchor returns the latest reading such that a majority has voted in reply to
// requests sent then or later.
func (t *target) majorityAnchor(e Electorate) (time.Duration, bool) {
	var readings []time.Duration
	for _, id := range e.Voters {
		if sent, ok := t.anchors[id]; ok {
			readings = append(readings, sent)
		}
	}
	need := e.Majority()
	if len(readings) < need {
		return 0, false
	}
	slices.Sort(readings)
	return readings[len(readings)-need], true
}
