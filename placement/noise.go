package placement

import "math"

// noiseSigmas is the number of standard deviations by which a load must differ
// for the difference to be significant.
const noiseSigmas = 3

// noise returns by how much a counted rate may differ from the true rate. Requests
// are assumed to arrive at random, so that the standard deviation of their number
// in a window is the square root of that number.
func (pl *planner) noise(rate float64) float64 {
	if pl.window <= 0 {
		return 0
	}
	return noiseSigmas * math.Sqrt(max(rate, 0)/pl.window.Seconds())
}
