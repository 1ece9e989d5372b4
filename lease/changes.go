package lease

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// observedState holds the change number and the values that detectChanges compares with
// the current ones.
type observedState struct {
	changes       uint64 // the number that Changes returns
	stopsSeq      uint64
	hasStoreLease bool
}

// Changes returns a number that rises whenever the holder's lines, claimed targets,
// leaving shards, handovers or targets reported as unreachable have changed. A right
// that expires is detected by the next Tick or Step; a call of Lines with a later time
// excludes it at once.
func (h *Holder) Changes() uint64 { return h.observed.changes }

func (h *Holder) recordChange() { h.observed.changes++ }

// detectChanges compares the rights with those of the last call.
func (h *Holder) detectChanges(now time.Duration) {
	changed := false
	anyVacant := h.hasVacancies()
	for _, name := range h.targetNames {
		changed = h.detectTargetChange(now, name, h.targets[name], anyVacant) || changed
	}
	held := h.holdsStoreLease(now)
	changed = changed || held != h.observed.hasStoreLease || h.stops.seq != h.observed.stopsSeq
	h.observed.hasStoreLease = held
	h.observed.stopsSeq = h.stops.seq
	if changed {
		h.recordChange()
	}
}

func (h *Holder) detectTargetChange(now time.Duration, name string, t *target, anyVacant bool) (changed bool) {
	_, _, right := h.Right(now, name)
	unreachable := anyVacant && h.isReportedUnreachable(name, t)
	changed = right != t.hadRight || t.begun != t.wasBegun || unreachable != t.wasReportedUnreachable
	t.hadRight = right
	t.wasBegun = t.begun
	t.wasReportedUnreachable = unreachable
	return changed
}

// Claimed returns the names of the targets that the holder has begun to claim, in
// order.
func (h *Holder) Claimed() []string {
	var names []string
	for _, name := range h.targetNames {
		if h.targets[name].started() {
			names = append(names, name)
		}
	}
	return names
}

// LinesOf returns the shards that the holder serves at one target now, in the order of
// their references.
func (h *Holder) LinesOf(now time.Duration, target string) []Line {
	if _, _, ok := h.Right(now, target); !ok {
		return nil
	}
	var list []Line
	for _, ref := range h.shardRefsByTarget[target] {
		if line, ok := h.Line(now, ref); ok && line.Target == target {
			list = append(list, line)
		}
	}
	return list
}

// indexTargets rebuilds the index of the shards that each target may serve.
func (h *Holder) indexTargets() {
	h.shardRefsByTarget = make(map[string][]ownership.ShardRef, len(h.targets))
	for _, ref := range h.shardRefs {
		s := h.shards[ref]
		h.indexShard(ref, s.owner)
		if s.next != nil && s.next.target != s.owner.target {
			h.indexShard(ref, s.next)
		}
	}
}

func (h *Holder) indexShard(ref ownership.ShardRef, a *activation) {
	h.shardRefsByTarget[a.target] = append(h.shardRefsByTarget[a.target], ref)
}
