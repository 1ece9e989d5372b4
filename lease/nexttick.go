package lease

import "time"

// ticksPerHeartbeat is how often state that depends on elapsed time is checked within
// one heartbeat.
const ticksPerHeartbeat = 5

// NextTick returns the reading at which Tick must be called next. Call it again after
// each message and each call that updates the holder.
func (h *Holder) NextTick(now time.Duration) time.Duration {
	nextHeartbeat := h.lastHeartbeat + h.cfg.Timing.Heartbeat
	if h.hasTimedWork() {
		return min(nextHeartbeat, now+h.cfg.Timing.Heartbeat/ticksPerHeartbeat)
	}
	return nextHeartbeat
}

// hasTimedWork reports whether anything besides the next heartbeat can become due
// without a message.
func (h *Holder) hasTimedWork() bool {
	if h.heartbeatDue || h.shardsInProgress || h.storeDown || len(h.pending)+len(h.handovers) > 0 || h.advancedAtChange != h.Changes() {
		return true
	}
	if h.hasVacancies() {
		return true
	}
	for _, name := range h.targetNames {
		t := h.targets[name]
		if t.begun && !t.freshVotesRequested && t.epoch > h.stops.gateway(name) {
			return true
		}
	}
	return false
}

// hasVacancies reports whether any voter reports a target without a working gateway.
func (h *Holder) hasVacancies() bool {
	cell, ok := h.cells[h.cfg.Cell]
	if !ok {
		return false
	}
	for _, voter := range cell.voters {
		if len(voter.vacant) > 0 {
			return true
		}
	}
	return false
}

// NextTick returns the reading at which Tick must be called next. Call it again after
// SetElectorate.
func (v *Voter) NextTick(now time.Duration) time.Duration {
	if v.Settled() {
		return now + v.cfg.Timing.Heartbeat
	}
	return now + v.cfg.Timing.Heartbeat/ticksPerHeartbeat
}
