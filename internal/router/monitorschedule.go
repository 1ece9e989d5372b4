package router

import "time"

// monitorSchedule decides when a monitor has to check its target.
type monitorSchedule struct {
	claimed     bool // this router is the target's gateway or is about to be
	suspected   bool // another router is the gateway and does not reach the target
	reached     bool // the target answered the last check
	lastCheckAt time.Duration
	hasChecked  bool
}

// isDue records the current state of the leases and reports whether a monitor that was
// woken has to check its target. A monitor that does not claim the target checks it at
// once when the gateway becomes suspect, so that its result is recent if it takes over.
func (s *monitorSchedule) isDue(now time.Duration, claimed, suspected bool) bool {
	newlySuspected := suspected && !s.suspected
	s.claimed = claimed
	s.suspected = suspected
	isRecent := s.hasChecked && now-s.lastCheckAt < s.interval()/2
	if !claimed && !newlySuspected && isRecent {
		return false
	}
	s.lastCheckAt = now
	s.hasChecked = true
	return true
}

// interval returns how long after a round the next one begins. A monitor that did not
// reach its target checks it more often: a router that claims the target later must not
// treat it as lost because of an old check.
func (s *monitorSchedule) interval() time.Duration {
	switch {
	case s.claimed:
		return monitorInterval
	case s.suspected, !s.reached:
		return suspectInterval
	default:
		return standbyInterval
	}
}
