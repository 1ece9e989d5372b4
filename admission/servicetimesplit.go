package admission

import "time"

const (
	// splitWindowSize is the number of samples of a route from which its split
	// is computed.
	splitWindowSize = 128
	// samplesPerSplit is the number of samples between two computations of the
	// split.
	samplesPerSplit = 8
	// cutRateTolerance is the fraction by which the answer rate of a later cut
	// may be below the best one, so that a route with similar service times is
	// not cut.
	cutRateTolerance = 0.1
	// minShortFraction is the smallest fraction of the requests that a cut may
	// classify as short, so that a few quick ones, such as refusals by the
	// target, do not make the others long.
	minShortFraction = 0.5
	// minLongWorkFraction is the fraction of requests above the cut from which
	// they count as long work of the route and not as stragglers.
	minLongWorkFraction = 0.1
)

// serviceTimeSplit splits the service times of one route into those of short
// and of long requests. Requests cannot be told apart before they run, only by
// how long they have run. The cut is the running time that maximises the number
// of answers per slot time (the Gittins index of a new request): a request that
// has run for longer should be preempted and run again.
type serviceTimeSplit struct {
	samples        window // preempted requests are included with their expected run time
	added          int
	stragglerBound time.Duration // a request that has run this long is a straggler
	median         time.Duration // of the samples up to the cut
	high           time.Duration // highQuantile of the samples up to the cut
	mean           time.Duration // mean time in a slot when stragglers are preempted
	longFraction   float64       // fraction of the samples above the cut
}

func newServiceTimeSplit() serviceTimeSplit {
	return serviceTimeSplit{samples: newWindow(splitWindowSize)}
}

func (s *serviceTimeSplit) isLearned() bool { return s.samples.len() >= minSamples }

func (s *serviceTimeSplit) add(took time.Duration) {
	s.samples.add(took)
	s.added++
	if s.isLearned() && (s.added%samplesPerSplit == 0 || s.samples.len() == minSamples) {
		s.recompute()
	}
}

// recompute recomputes the split from the samples.
func (s *serviceTimeSplit) recompute() {
	sorted := s.samples.sorted
	last := bestCutIndex(sorted)
	short := sorted[:last+1]
	cut := short[last]
	s.median = quantile(short, 0.5)
	s.high = quantile(short, highQuantile)
	s.stragglerBound = min(max(cut, minStragglerFactor*s.median), maxStragglerFactor*s.median)
	s.mean = meanUpTo(sorted, s.stragglerBound)
	s.longFraction = 1 - float64(len(short))/float64(len(sorted))
}

// bestCutIndex returns the index of the greatest sample at which a cut brings
// the most answers per slot time, within cutRateTolerance.
func bestCutIndex(sorted []time.Duration) int {
	best := 0.0
	eachCut(sorted, func(_ int, rate float64) { best = max(best, rate) })
	bestIndex := 0
	eachCut(sorted, func(i int, rate float64) {
		if rate >= (1-cutRateTolerance)*best {
			bestIndex = i
		}
	})
	return bestIndex
}

// eachCut yields, for each sample that may be a cut, the answers per second of
// slot time if requests are cut there.
func eachCut(sorted []time.Duration, yield func(i int, rate float64)) {
	var shortTime time.Duration // total time of the requests that end by the cut
	for i, cut := range sorted {
		shortTime += cut
		if float64(i+1) < minShortFraction*float64(len(sorted)) {
			continue
		}
		longCount := len(sorted) - i - 1
		slotTime := shortTime + time.Duration(longCount)*cut
		if slotTime > 0 {
			yield(i, float64(i+1)/slotTime.Seconds())
		}
	}
}

// meanUpTo returns the mean of the samples, each capped at the limit.
func meanUpTo(samples []time.Duration, limit time.Duration) time.Duration {
	var sum time.Duration
	for _, s := range samples {
		sum += min(s, limit)
	}
	return sum / time.Duration(len(samples))
}
