package lease

import "time"

// SetGone tells the voter that a holder's process seems to have ended, based on
// evidence observed at the reading at. The voter then reports the holder's targets as
// vacant at once instead of after Timing.Suspicion of silence, until it receives
// another request of the holder. This only lets a successor ask for stops earlier; it
// does not shorten the wait after a majority's promise. It reports whether the holder
// is known and has sent no request since at.
func (v *Voter) SetGone(at time.Duration, holder Incarnation) bool {
	status, ok := v.holders[holder]
	if !ok || status.LastSeen > at {
		return false
	}
	status.Gone = true
	return true
}

func (v *Voter) isGone(holder Incarnation) bool {
	status, ok := v.holders[holder]
	return ok && status.Gone
}
