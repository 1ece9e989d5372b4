package load

import "time"

// rateAt returns the requests per second at a time since the start of the run.
func (m Mix) rateAt(at time.Duration) float64 {
	rate := m.Rate
	ms := float64(at) / float64(time.Millisecond)
	for _, s := range m.Swings {
		rate *= s.factorAt(ms)
	}
	return rate
}

// factorAt returns the rate factor at a time since the start of the run, in
// milliseconds.
func (s Swing) factorAt(ms float64) float64 {
	sinceStart := ms - float64(s.AtMS)
	untilEnd := float64(s.ForMS) - sinceStart
	if sinceStart < 0 || untilEnd <= 0 {
		return 1
	}
	edge := min(sinceStart, untilEnd)
	if ramp := float64(s.RampMS); edge < ramp {
		return 1 + (s.Factor-1)*edge/ramp
	}
	return s.Factor
}
