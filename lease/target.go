package lease

import (
	"maps"
	"slices"
	"time"
)

// Phase is a holder's progress with an epoch.
type Phase string

const (
	// PhaseIdle means that it is not the holder's turn.
	PhaseIdle Phase = "idle"
	// PhaseStopping means that a majority has yet to stop all lower epochs.
	PhaseStopping Phase = "stopping"
	// PhaseWaiting means that lower epochs may still be active, or that no majority has
	// voted since the wait.
	PhaseWaiting Phase = "waiting"
	// PhaseActive means that the holder may send.
	PhaseActive Phase = "active"
	// PhaseLapsed means that the epoch was active and now lacks votes.
	PhaseLapsed Phase = "lapsed"
	// PhaseStopped means that the epoch was stopped permanently.
	PhaseStopped Phase = "stopped"
)

// target is the holder's claim to be the gateway of one target.
type target struct {
	claim               TargetClaim
	epoch               GatewayEpoch
	begun               bool
	since               time.Duration // reading at the last progress towards service
	stop                *stopRound
	release             *stopRound    // asks whether the preceding gateway released the target; nil once the wait is over
	waitStarted         bool          // stop is done and waitUntil is set
	waitUntil           time.Duration // only votes requested from this reading on count
	freshVotesRequested bool          // votes were requested after the wait
	anchors             map[Incarnation]time.Duration
	hasAnchor           bool
	anchor              time.Duration // latest reading since which a majority has voted
	previousRightEnd    time.Duration // end of the right under an earlier epoch of this holder
	previousChain       GatewayEpoch  // chain of that epoch

	previousFollows GatewayEpoch // line that previousChain follows

	chain                  GatewayEpoch // first epoch of this holder's unbroken line
	follows                GatewayEpoch // line that the unbroken line follows directly, 0 if unknown
	alive                  bool
	reached                bool // the gateway itself has reached the target
	load                   uint32
	drained                bool
	vacant                 bool // a majority reports that the target has no working gateway
	vacantSince            time.Duration
	silent                 bool // a majority reports that its gateway is silent
	hadRight               bool // as of the last detectChanges
	wasBegun               bool
	wasReportedUnreachable bool
}

// IsClaiming reports whether the holder has begun to claim a target: it serves the
// target or waits until it may.
func (h *Holder) IsClaiming(name string) bool {
	t, ok := h.targets[name]
	return ok && t.started()
}

func (t *target) started() bool { return t.begun }

// SetTargets updates all targets that the holder may be the gateway of. Entries with an
// older First than the known one are ignored.
func (h *Holder) SetTargets(now time.Duration, claims []TargetClaim) {
	kept := make(map[string]*target, len(claims))
	for _, claim := range claims {
		h.updateHandover(now, claim, h.targets[claim.Target])
		if t := h.claimTarget(now, claim); t != nil {
			kept[claim.Target] = t
		}
	}
	for name, t := range h.targets {
		if kept[name] != t {
			h.dropTarget(t)
		}
	}
	h.targets = kept
	h.targetNames = slices.Sorted(maps.Keys(kept))
	h.heartbeatDue = true
	h.recordChange()
}

// dropTarget cancels the stop rounds of an epoch that is no longer claimed.
func (h *Holder) dropTarget(t *target) {
	for _, round := range []*stopRound{t.stop, t.release} {
		if round != nil {
			h.cancelStop(round)
		}
	}
}

func (h *Holder) claimTarget(now time.Duration, claim TargetClaim) *target {
	old := h.targets[claim.Target]
	if old != nil && claim.First < old.claim.First {
		return old
	}
	i := slices.Index(claim.Candidates, h.cfg.Self)
	if i < 0 {
		return nil
	}
	epoch := claim.First + GatewayEpoch(i)
	if old != nil && old.epoch == epoch {
		old.claim = claim
		return old
	}
	t := &target{claim: claim, epoch: epoch, since: now, alive: true, anchors: make(map[Incarnation]time.Duration)}
	if old != nil {
		t.alive, t.reached, t.load, t.drained = old.alive, old.reached, old.load, old.drained
		t.previousRightEnd, t.previousChain, t.previousFollows = old.rightEnd(h.cfg.Timing.Lease)
	}
	return t
}

// rightEnd returns the end of the holder's right to the target, under this epoch or an
// earlier one, and the line of that epoch.
func (t *target) rightEnd(lease time.Duration) (end time.Duration, chain, follows GatewayEpoch) {
	if t.hasFreshVotes() {
		return t.anchor + lease, t.chain, t.follows
	}
	return t.previousRightEnd, t.previousChain, t.previousFollows
}

// hasFreshVotes reports whether the epoch was ever active: a majority voted in reply to
// requests sent after the wait.
func (t *target) hasFreshVotes() bool { return t.waitStarted && t.hasAnchor && t.anchor >= t.waitUntil }

func (h *Holder) advanceTargets(now time.Duration) {
	anyVacant := h.hasVacancies()
	for _, name := range h.targetNames {
		h.advanceTarget(now, name, h.targets[name], anyVacant)
	}
}

func (h *Holder) advanceTarget(now time.Duration, name string, t *target, anyVacant bool) {
	if t.epoch <= h.stops.gateway(name) {
		return
	}
	if !t.begun {
		h.updateVacancy(now, name, t, anyVacant)
		if !h.shouldStart(now, name, t) {
			return
		}
		h.beginTarget(now, name, t)
	}
	if t.stop.done && !t.waitStarted {
		t.startWait(h.cfg.Timing, h.faults)
	}
	t.shortenWait()
	if h.faults.followAnyMark && t.waitStarted && !t.freshVotesRequested {
		t.follows = h.stops.gatewayReleaseMark(name).Under
	}
	if t.waitStarted && !t.freshVotesRequested && now >= t.waitUntil {
		t.freshVotesRequested = true
		h.heartbeatDue = true
		h.cancelStop(t.release)
		t.release = nil
	}
}

func (h *Holder) beginTarget(now time.Duration, name string, t *target) {
	h.cancelHandover(name)
	t.begun = true
	t.since = now
	h.heartbeatDue = true
	stops := Stops{Gateways: []GatewayStop{{Target: name, Epoch: t.epoch - 1}}}
	t.stop = h.startStop(now, false, map[string]Stops{h.cfg.Cell: stops})
	t.release = h.startStop(now, true, map[string]Stops{h.cfg.Cell: stops})
}

// shortenWait ends the wait when a voter reports that the preceding gateway released
// the target: nobody is active under an epoch that the release mark covers.
func (t *target) shortenWait() {
	if !t.waitStarted || t.freshVotesRequested || !t.release.done {
		return
	}
	t.waitUntil = min(t.waitUntil, max(t.stop.doneAt, t.release.doneAt))
	if t.chain == t.epoch {
		t.follows = t.release.releasedUnder
	}
}

// startWait starts the wait. No wait is needed while a right of this same holder to the
// target is still valid: nobody else can be active then, and any later holder needs
// votes from a majority that has stopped its epoch.
func (t *target) startWait(timing Timing, faults faults) {
	t.waitStarted = true
	t.waitUntil = t.stop.doneAt + timing.Wait()
	t.chain = t.epoch
	if t.stop.released {
		t.waitUntil = t.stop.doneAt
		t.follows = t.stop.releasedUnder
	}
	if t.stop.doneAt < t.previousRightEnd {
		t.waitUntil = t.stop.doneAt
		t.chain, t.follows = t.previousChain, t.previousFollows
	}
	if faults.skipWait {
		t.waitUntil = t.stop.doneAt
	}
	if faults.waitFromStart {
		t.waitUntil = t.since + timing.Wait()
	}
}

// shouldStart reports whether the holder should try for its epoch: the first candidate
// at once, later ones when the target has no working gateway, each after the preceding
// candidates had time to try. A gateway that cannot reach the target gets additional
// time to reach it again.
func (h *Holder) shouldStart(now time.Duration, name string, t *target) bool {
	if t.epoch == t.claim.First {
		return true
	}
	if !t.vacant {
		return false
	}
	highest := max(h.highestClaim(name), h.stops.gateway(name))
	if highest >= t.epoch {
		return false
	}
	highest = max(highest, t.claim.First)
	delay := time.Duration(t.claim.liveCandidatesBetween(highest, t.epoch)) * h.candidateTimeout()
	if !t.silent {
		delay += h.cfg.Timing.Suspicion
	}
	return now-t.vacantSince >= delay
}

// liveCandidatesBetween counts the candidates of the epochs between low and high that
// may still run. It skips those of which the list contains a later run.
func (c TargetClaim) liveCandidatesBetween(low, high GatewayEpoch) int {
	n := 0
	for epoch := low + 1; epoch < high; epoch++ {
		candidate := c.Candidates[epoch-c.First]
		if !slices.ContainsFunc(c.Candidates, func(other Incarnation) bool { return other.isLaterRunOf(candidate) }) {
			n++
		}
	}
	return n
}

// candidateTimeout is the time within which a candidate either serves or has failed.
func (h *Holder) candidateTimeout() time.Duration {
	return h.cfg.Timing.Suspicion + h.cfg.Timing.Wait()
}

func (h *Holder) updateVacancy(now time.Duration, name string, t *target, anyVacant bool) {
	vacant := anyVacant && h.isVacant(now, name, t.reached)
	if vacant && !t.vacant {
		t.vacantSince = now
	}
	t.vacant = vacant
	t.silent = vacant && h.isVacant(now, name, false)
}

// isVacant reports whether a majority of the voters reports that the target has no
// working gateway. A gateway that merely cannot reach its target counts only for a
// holder that can.
func (h *Holder) isVacant(now time.Duration, name string, reached bool) bool {
	cell, ok := h.cells[h.cfg.Cell]
	if !ok {
		return false
	}
	votes := 0
	for _, voter := range cell.voters {
		vacancy, listed := voter.vacant[name]
		recent := now-voter.requestSentAt <= h.cfg.Timing.Suspicion
		if listed && recent && (vacancy.Silent || reached) {
			votes++
		}
	}
	return votes >= cell.electorate.Majority()
}

// vacancies returns the vacancies that a majority of the voters reports.
func (h *Holder) vacancies(now time.Duration) []Vacancy {
	reported := make(map[string]bool)
	for _, voter := range h.cells[h.cfg.Cell].voters {
		for name := range voter.vacant {
			reported[name] = true
		}
	}
	var list []Vacancy
	for _, name := range slices.Sorted(maps.Keys(reported)) {
		if h.isVacant(now, name, true) {
			silent := h.isVacant(now, name, false)
			list = append(list, Vacancy{Target: name, Epoch: h.highestClaim(name), Silent: silent})
		}
	}
	return list
}

func (h *Holder) highestClaim(name string) GatewayEpoch {
	var highest GatewayEpoch
	for _, voter := range h.cells[h.cfg.Cell].voters {
		highest = max(highest, voter.vacant[name].Epoch)
	}
	return highest
}

// Right reports whether the holder may send to a target at now, under which gateway
// epoch, and until which reading. Callers must read the clock directly before each
// send.
func (h *Holder) Right(now time.Duration, name string) (epoch GatewayEpoch, until time.Duration, ok bool) {
	t, known := h.targets[name]
	if !known || t.epoch <= h.stops.gateway(name) {
		return 0, 0, false
	}
	until = t.anchor + h.cfg.Timing.Lease
	fresh := t.hasFreshVotes() || (h.faults.staleActivation && t.waitStarted && t.hasAnchor)
	if !fresh || now < t.waitUntil {
		return t.epoch, until, false
	}
	return t.epoch, until, now < until || h.faults.sendAfterPause
}

// Chain returns the first epoch of the unbroken line of rights to a target that the
// holder has at now: nobody else has been active for the target since that epoch.
func (h *Holder) Chain(now time.Duration, name string) (GatewayEpoch, bool) {
	if _, _, ok := h.Right(now, name); !ok {
		return 0, false
	}
	return h.targets[name].chain, true
}
