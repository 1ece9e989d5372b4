package lease

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// HolderConfig holds the fixed settings of a holder.
type HolderConfig struct {
	Cell   string
	Self   Incarnation
	Timing Timing
}

// TargetClaim is the entry of a cell's record for a target that the holder may be the
// gateway of. Candidates[i] holds epoch First+i.
type TargetClaim struct {
	Target     string
	Service    string
	First      GatewayEpoch
	Candidates []Incarnation
}

// ShardClaim is a shard as its ownership page defines it.
type ShardClaim struct {
	Ref   ownership.ShardRef
	Shard ownership.Shard
	// NeedsStore reports whether the shard may be served only under the cell's store
	// lease.
	NeedsStore bool
}

// Holder acquires the rights of one router process: to be the gateway of targets and to
// have them serve shards. It is not safe for concurrent use.
//
// An epoch is served only after a majority of the voters has stopped all lower ones,
// Timing.Wait has passed since, and a majority has voted in reply to requests sent
// after that wait.
type Holder struct {
	cfg               HolderConfig
	cells             map[string]*cellView
	targets           map[string]*target
	targetNames       []string // of targets, sorted
	shards            map[ownership.ShardRef]*shard
	shardRefs         []ownership.ShardRef            // of shards, sorted
	shardRefsByTarget map[string][]ownership.ShardRef // shards that each target may serve
	observed          observedState
	reports           shardReports
	// shardsInProgress reports whether a shard was in progress when advanceShards last
	// ran, at change number advancedAtChange.
	shardsInProgress bool
	advancedAtChange uint64
	stops            stopTable
	seq              uint64
	sentRequests     map[uint64]sentVoteRequest // vote requests, by Seq
	claimed          claimList                  // newest list of claims
	sentStops        map[uint64]sentStop
	pending          []*stopRound
	handovers        map[string]*handover // by target
	leaving          bool                 // the router shuts down; others are to be the gateways of its targets
	lastHeartbeat    time.Duration
	heartbeatDue     bool
	storeDown        bool
	// storeLeaseEnd is the end of the cell's store lease.
	storeLeaseEnd time.Duration
	faults        faults
}

// cellView is the holder's state for one cell.
type cellView struct {
	electorate  Electorate
	voters      map[Incarnation]*voterView
	newerRecord uint64 // newest record that a voter answered under, 0 for none
}

type voterView struct {
	stopsSeen     uint64
	lastSeq       uint64 // newest request that it answered
	requestSentAt time.Duration
	vacant        map[string]Vacancy
	claimsHeld    uint64 // version of the claims that it holds
	claimsHeldSeq uint64 // newest request whose answer reported claimsHeld
}

// NewHolder returns a holder without rights.
func NewHolder(cfg HolderConfig) *Holder {
	return &Holder{
		cfg:          cfg,
		cells:        make(map[string]*cellView),
		targets:      make(map[string]*target),
		shards:       make(map[ownership.ShardRef]*shard),
		stops:        newStopTable(),
		sentRequests: make(map[uint64]sentVoteRequest),
		sentStops:    make(map[uint64]sentStop),
		heartbeatDue: true,

		handovers: make(map[string]*handover),
	}
}

// SetElectorate updates the voters of a cell: the holder's own cell or one whose shards
// it takes over. Older records are ignored.
func (h *Holder) SetElectorate(now time.Duration, e Electorate) {
	cell, ok := h.cells[e.Cell]
	if ok && e.Record <= cell.electorate.Record {
		return
	}
	if !ok {
		cell = &cellView{voters: make(map[Incarnation]*voterView)}
		h.cells[e.Cell] = cell
	}
	cell.electorate = e
	cell.pruneVoters()
	h.restartStops(e)
	if e.Cell == h.cfg.Cell {
		h.heartbeatDue = true
		for _, t := range h.targets {
			t.anchors = make(map[Incarnation]time.Duration)
		}
	}
}

// pruneVoters removes the state of hosts that no longer vote.
func (c *cellView) pruneVoters() {
	voters := make(map[Incarnation]*voterView, len(c.electorate.Voters))
	for _, id := range c.electorate.Voters {
		voters[id] = c.voters[id]
		if voters[id] == nil {
			voters[id] = &voterView{}
		}
	}
	c.voters = voters
}

// SetStoreDown tells the holder whether the store is unreachable. Only while it is may
// an agreed next owner take over.
func (h *Holder) SetStoreDown(down bool) { h.storeDown = down }

// SetAlive records whether the gateway reaches a target and how many requests it sent
// there in the last second.
func (h *Holder) SetAlive(name string, alive bool, load uint32) {
	t, ok := h.targets[name]
	if !ok {
		return
	}
	t.reached = alive
	t.alive = alive
	t.load = load
}

// SetDrained records whether nothing runs at a target and nothing new is sent there.
func (h *Holder) SetDrained(name string, drained bool) {
	if t, ok := h.targets[name]; ok {
		t.drained = drained
	}
}

// SetLeaving reports to placers, with the next vote request, that the router shuts down
// and that others are to be the gateways of its targets.
func (h *Holder) SetLeaving() {
	h.leaving = true
	h.heartbeatDue = true
}

// Step handles one message from a peer. Messages that are not for a holder are ignored.
func (h *Holder) Step(now time.Duration, from Incarnation, msg Message) []Envelope {
	switch m := msg.(type) {
	case VoteReply:
		h.countVotes(now, from, m)
	case StopReply:
		h.countPromise(now, from, m)
	default:
		return nil
	}
	return h.send(now)
}

// Tick sends the messages that are due. Call it no later than NextTick.
func (h *Holder) Tick(now time.Duration) []Envelope {
	if now-h.lastHeartbeat >= h.cfg.Timing.Heartbeat {
		h.heartbeatDue = true
	}
	return h.send(now)
}

func (h *Holder) send(now time.Duration) []Envelope {
	h.advanceTargets(now)
	h.advanceHandovers(now)
	h.detectChanges(now)
	h.advanceShards(now)
	out := h.sendHeartbeat(now)
	return append(out, h.sendStops(now)...)
}

// NewerRecord returns the number of a cell's record under which a voter answered, if it
// is newer than the record that the holder has.
func (h *Holder) NewerRecord(cell string) (record uint64, ok bool) {
	c, known := h.cells[cell]
	if !known || c.newerRecord <= c.electorate.Record {
		return 0, false
	}
	return c.newerRecord, true
}
