package maintenance

import (
	"slices"
	"time"
)

// DrainTarget is a target that must receive no new work because of a stop.
type DrainTarget struct {
	Target
	Stop    string // ID of the stop
	SinceMS int64  // Unix time
	Drained bool   // no request is running on it
}

// Effects returns the targets that must receive no new work because of the stop. A
// stop that has begun but is not confirmed has no effect yet.
func Effects(s Stop) []DrainTarget {
	if s.Finished || !s.Confirmed || s.State != Draining && s.State != Stopped {
		return nil
	}
	drains := make([]DrainTarget, len(s.Targets))
	for i, t := range s.Targets {
		drains[i] = DrainTarget{
			Target:  t,
			Stop:    s.ID,
			SinceMS: s.BegunMS,
			Drained: slices.Contains(s.Drained, t.Name),
		}
	}
	return drains
}

// IsDue reports whether the placer should send Begin or Confirm now.
func IsDue(s Stop, now time.Time) bool {
	switch s.State {
	case Cleared:
		return !now.Before(s.Start()) && !now.After(s.Start().Add(MaxStartDelay))
	case Draining:
		return !s.Confirmed
	default:
		return false
	}
}
