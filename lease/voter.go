package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// holderRetention is how long a voter keeps the status of a silent holder.
const holderRetention = time.Minute

// VoterConfig holds the fixed settings of a voter.
type VoterConfig struct {
	Cell   string
	Self   Incarnation
	Timing Timing
}

// Voter answers for one host of a cell. It is not safe for concurrent use.
//
// A restarted voter has no state: it answers only under a record whose predecessor a
// majority of the old voters has promised to leave, and starts from all stops made by
// those voters.
type Voter struct {
	cfg           VoterConfig
	electorate    Electorate
	promised      uint64 // the voter answers under no record older than this
	ready         uint64 // newest record that it answered under, 0 for none
	join          *join  // handover in progress or being confirmed
	stops         stopTable
	holders       map[Incarnation]*HolderStatus
	targets       map[string]*targetView
	storeLeaseEnd time.Duration // end of the store lease that this host renewed, 0 for none
	faults        faults
}

// HolderStatus is the content of a holder's newest vote request to a voter.
type HolderStatus struct {
	Holder   Incarnation
	LastSeen time.Duration // the voter's reading
	Claims   []Claim
	Serving  []ShardEpoch // shards that the holder serves although their page does not show it yet
	Vacant   []Vacancy    // targets that a majority reports to have no working gateway
	Stopped  []ShardEpoch // shards of the holder that need a higher epoch

	// Unreleased lists the shards whose planned move must be forced.
	Unreleased    []ShardEpoch
	Leaving       bool // the holder's router shuts down
	Gone          bool // its process seems to have ended; see Voter.SetGone
	seq           uint64
	claimsVersion uint64 // version of Claims, 0 if they have none or are unknown
}

// targetView is the newest claim to a target that a voter received.
type targetView struct {
	listed      bool // the record lists the target
	holder      Incarnation
	epoch       GatewayEpoch
	lastClaimed time.Duration
	alive       bool
}

// NewVoter returns a voter without any record.
func NewVoter(cfg VoterConfig) *Voter {
	return &Voter{
		cfg:     cfg,
		stops:   newStopTable(),
		holders: make(map[Incarnation]*HolderStatus),
		targets: make(map[string]*targetView),
	}
}

// SetTargets updates the targets that the cell's record lists, so that the voter can
// report one that no gateway ever claimed.
func (v *Voter) SetTargets(now time.Duration, targets []string) {
	for _, view := range v.targets {
		view.listed = false
	}
	for _, target := range targets {
		view, ok := v.targets[target]
		if !ok {
			view = &targetView{lastClaimed: now, alive: true}
			v.targets[target] = view
		}
		view.listed = true
	}
}

// Step handles one message from a peer. Messages that are not for a voter are ignored.
func (v *Voter) Step(now time.Duration, from Incarnation, msg Message) []Envelope {
	switch m := msg.(type) {
	case VoteRequest:
		return v.reply(from, m.Cell, func() Message { return v.handleVote(now, m) })
	case StopRequest:
		return v.reply(from, m.Cell, func() Message { return v.handleStop(m) })
	case JoinRequest:
		return v.reply(from, m.Cell, func() Message { return v.promiseRecord(m) })
	case JoinReply:
		return v.addJoinReply(now, from, m)
	}
	return nil
}

func (v *Voter) reply(to Incarnation, cell string, answer func() Message) []Envelope {
	if cell != v.cfg.Cell {
		return nil
	}
	return []Envelope{{To: to, Msg: answer()}}
}

// Tick sends the messages that are due. Call it no later than NextTick.
func (v *Voter) Tick(now time.Duration) []Envelope {
	v.expireHolders(now)
	return v.sendJoinRequests(now)
}

// Ready reports whether the voter answers under the newest record that it has.
func (v *Voter) Ready() bool { return v.ready > 0 && v.ready == max(v.electorate.Record, v.promised) }

// Record returns the number of the newest record that the voter has.
func (v *Voter) Record() uint64 { return v.electorate.Record }

// canAnswer reports whether the voter may answer a request under record.
func (v *Voter) canAnswer(record uint64) bool {
	if v.faults.answerOldRecord && v.ready > 0 && record < max(v.electorate.Record, v.promised) {
		return true
	}
	return v.ready > 0 && record == v.ready && record >= v.promised
}

func (v *Voter) handleVote(now time.Duration, m VoteRequest) VoteReply {
	claims, known := v.resolveClaims(m)
	v.recordRequest(now, m, claims, known)
	reply := VoteReply{Cell: v.cfg.Cell, Record: v.ready, Voter: v.cfg.Self, Holder: m.Holder, Seq: m.Seq}
	reply.ClaimsHeld = v.holders[m.Holder].claimsVersion
	if !v.canAnswer(m.Record) {
		reply.Record = max(v.ready, v.promised)
		return reply
	}
	reply.Record = m.Record
	if known {
		v.grantClaims(m, claims, &reply)
	}
	reply.Stops = v.stops.since(m.StopsSeen)
	reply.StopsSeq = v.stops.seq
	reply.Vacant = v.Vacant(now)
	reply.StoreLeft = max(0, v.storeLeaseEnd-now)
	return reply
}

func (v *Voter) handleStop(m StopRequest) StopReply {
	reply := StopReply{Cell: v.cfg.Cell, Record: m.Record, Voter: v.cfg.Self, Holder: m.From, Seq: m.Seq}
	if !v.canAnswer(m.Record) {
		reply.Record = max(v.ready, v.promised)
		return reply
	}
	if !m.IfReleased {
		v.stops.add(m.Stops)
		reply.Done = true
	}
	for _, s := range m.Stops.Shards {
		if mark := v.stops.shardReleaseMark(s.Shard); mark.Epoch >= s.Epoch {
			reply.Released = append(reply.Released, mark)
		}
	}
	for _, s := range m.Stops.Gateways {
		if mark := v.stops.gatewayReleaseMark(s.Target); mark.Epoch > 0 && mark.Epoch >= s.Epoch {
			reply.ReleasedGateways = append(reply.ReleasedGateways, mark)
		}
	}
	if m.IfReleased {
		asked := len(m.Stops.Shards) + len(m.Stops.Gateways)
		reply.Done = len(reply.Released)+len(reply.ReleasedGateways) == asked
	}
	return reply
}

// recordRequest stores the content of a holder's vote request; late requests do not
// overwrite newer ones. If the request refers to a list that the voter does not hold,
// the voter then holds none.
func (v *Voter) recordRequest(now time.Duration, m VoteRequest, claims []Claim, known bool) {
	status, ok := v.holders[m.Holder]
	if !ok {
		status = &HolderStatus{Holder: m.Holder}
		v.holders[m.Holder] = status
	}
	if m.Seq <= status.seq {
		return
	}
	status.seq = m.Seq
	status.LastSeen = now
	status.Gone = false
	status.Claims = claims
	status.claimsVersion = m.ClaimsVersion
	if !known {
		status.claimsVersion = 0
	}
	status.Serving = m.Serving
	status.Vacant = m.Vacant
	status.Stopped = m.Stopped
	status.Unreleased = m.Unreleased
	status.Leaving = m.Leaving
	for _, claim := range claims {
		v.recordClaim(now, m.Holder, claim)
	}
}

func (v *Voter) recordClaim(now time.Duration, holder Incarnation, claim Claim) {
	view, ok := v.targets[claim.Target]
	if !ok {
		view = &targetView{}
		v.targets[claim.Target] = view
	}
	if claim.Epoch < view.epoch {
		return
	}
	view.holder = holder
	view.epoch = claim.Epoch
	view.lastClaimed = now
	view.alive = claim.Alive
}

// GatewayStop returns the highest gateway epoch of a target that the voter stopped. If
// it is not below the record's last epoch, the target needs new candidates.
func (v *Voter) GatewayStop(target string) GatewayEpoch { return v.stops.gateway(target) }

// ShardStop returns the highest owner epoch of a shard that the voter stopped.
func (v *Voter) ShardStop(ref ownership.ShardRef) ownership.Epoch { return v.stops.shard(ref) }

// Vacant returns all targets of the record without a working gateway, sorted by name.
func (v *Voter) Vacant(now time.Duration) []Vacancy {
	var list []Vacancy
	for target, view := range v.targets {
		silent := now-view.lastClaimed > v.cfg.Timing.Suspicion || v.isGone(view.holder)
		if view.listed && (silent || !view.alive) {
			list = append(list, Vacancy{Target: target, Epoch: view.epoch, Silent: silent})
		}
	}
	slices.SortFunc(list, func(a, b Vacancy) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func (v *Voter) expireHolders(now time.Duration) {
	for id, status := range v.holders {
		if now-status.LastSeen > holderRetention {
			delete(v.holders, id)
		}
	}
}

// Holders returns the newest status of every holder, sorted by incarnation.
func (v *Voter) Holders() []HolderStatus {
	list := make([]HolderStatus, 0, len(v.holders))
	for _, status := range v.holders {
		list = append(list, *status)
	}
	slices.SortFunc(list, func(a, b HolderStatus) int { return compareIncarnations(a.Holder, b.Holder) })
	return list
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Run, b.Run))
}
