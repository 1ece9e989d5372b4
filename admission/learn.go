package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// probeInterval is how long a route may go without starting a request
	// before one is admitted as a probe.
	probeInterval = time.Second

	// windowSize is the number of samples from which quantiles are computed.
	windowSize = 64
	// recentWindowSize is the number of samples used to detect a change in
	// speed.
	recentWindowSize = 15
	// minSamples is the number of samples from which a route counts as learned.
	minSamples = 8
	// maxRoutes limits the number of routes with statistics of their own.
	maxRoutes = 128

	// longFactor is the multiple of the median of the short work above which the
	// median of a route makes the route long.
	longFactor = 4
	// minStragglerFactor and maxStragglerFactor bound the running time from
	// which a short request counts as a straggler, as multiples of the median
	// service time of its route's short requests.
	minStragglerFactor = 3
	maxStragglerFactor = 8
	// slowFactor is the multiple of their baseline above which the recent
	// service times of a route show that the target is slow. slowQuantile is
	// low, so that a group of stragglers is not mistaken for a slow target.
	slowFactor   = 2
	slowQuantile = 0.25

	// defaultStragglerFactor is the assumed run time of a preempted straggler,
	// as a multiple of its run time until preemption, while too few stragglers
	// have been seen to end.
	defaultStragglerFactor = 4

	// shortFraction is the fraction of arriving requests, from the quickest
	// routes, that defines short work.
	shortFraction = 0.25
	// highQuantile is the quantile used as a high estimate of the service time.
	highQuantile = 0.95

	// arrivalsPerDecay is the number of arrivals after which the arrival counts
	// are halved.
	arrivalsPerDecay = 1024
	// arrivalsPerMedianUpdate is the number of arrivals between two updates of
	// the short-work median.
	arrivalsPerMedianUpdate = 32

	// baselineRiseFactor and baselineFallFactor are the fractions of the
	// difference by which the baseline service time follows the recent one.
	baselineRiseFactor = 0.002
	baselineFallFactor = 0.05
)

// routeStats holds the service-time statistics of one route.
type routeStats struct {
	samples      window
	recent       window
	split        serviceTimeSplit
	baseline     time.Duration // slowly follows the recent low quantile
	arrivals     float64       // number of arrivals, decayed
	lastAdmitted time.Duration // when a request last started or was admitted as a probe
}

func newRouteStats() *routeStats {
	return &routeStats{samples: newWindow(windowSize), recent: newWindow(recentWindowSize), split: newServiceTimeSplit()}
}

func (r *routeStats) add(took time.Duration) {
	r.samples.add(took)
	r.recent.add(took)
	r.split.add(took)
	low := r.recent.quantile(slowQuantile)
	switch {
	case r.samples.len() <= minSamples:
		r.baseline = low
	case low > r.baseline:
		r.baseline += time.Duration(baselineRiseFactor * float64(low-r.baseline))
	default:
		r.baseline -= time.Duration(baselineFallFactor * float64(r.baseline-low))
	}
}

func (r *routeStats) isSlow() bool {
	return r.recent.len() == recentWindowSize && r.recent.quantile(slowQuantile) > slowFactor*r.baseline
}

// forecast is the expected service time of a request's next run. Zero values
// are unknown.
type forecast struct {
	expected time.Duration // median
	high     time.Duration // exceeded by few of the short requests
	mean     time.Duration // mean time in a slot
}

// learner estimates service times. It uses quantiles, which a few stragglers do
// not affect.
type learner struct {
	routes      map[RouteID]*routeStats
	allRoutes   routeStats
	stragglers  window // of all routes
	arrivals    int
	shortMedian time.Duration // median service time of the short work, 0 if unknown
}

func newLearner() *learner {
	return &learner{
		routes:     make(map[RouteID]*routeStats),
		allRoutes:  *newRouteStats(),
		stragglers: newWindow(windowSize),
	}
}

// rerunTime returns the expected run time of a request that was preempted after
// running for ran.
func (l *learner) rerunTime(ran time.Duration) time.Duration {
	if l.stragglers.len() < minSamples {
		return defaultStragglerFactor * ran
	}
	return max(ran, l.stragglers.median())
}

// recordArrival counts an arrival. The mix of routes is measured on arrivals
// and not on answers: otherwise a queue that answers little short work would
// classify the long work as short.
func (l *learner) recordArrival(id RouteID) {
	if r := l.routeFor(id); r != nil {
		r.arrivals++
	}
	l.arrivals++
	if l.arrivals%arrivalsPerDecay == 0 {
		l.decayArrivals()
	}
	if l.arrivals%arrivalsPerMedianUpdate == 0 {
		l.updateShortMedian()
	}
}

func (l *learner) decayArrivals() {
	for _, r := range l.routes {
		r.arrivals /= 2
	}
}

// updateShortMedian sets shortMedian to the median service time at which the
// quickest routes make up shortFraction of the arrivals.
func (l *learner) updateShortMedian() {
	var learned []*routeStats
	total := 0.0
	for _, id := range slices.Sorted(maps.Keys(l.routes)) {
		r := l.routes[id]
		if r.samples.len() >= minSamples {
			learned = append(learned, r)
			total += r.arrivals
		}
	}
	slices.SortStableFunc(learned, func(a, b *routeStats) int {
		return cmp.Compare(a.samples.median(), b.samples.median())
	})
	counted := 0.0
	for _, r := range learned {
		counted += r.arrivals
		if counted >= shortFraction*total {
			l.shortMedian = r.samples.median()
			return
		}
	}
}

// routeFor returns the statistics of a route, creating them if necessary, or
// nil if maxRoutes is reached.
func (l *learner) routeFor(id RouteID) *routeStats {
	r := l.routes[id]
	if r == nil && len(l.routes) < maxRoutes {
		r = newRouteStats()
		l.routes[id] = r
	}
	return r
}

// add records a service time and reports whether the route is slow.
func (l *learner) add(id RouteID, took time.Duration) bool {
	l.allRoutes.samples.add(took)
	l.allRoutes.split.add(took)
	r := l.routeFor(id)
	if r == nil {
		return false
	}
	r.add(took)
	return r.isSlow()
}

// learnedStats returns the statistics of the route, or those of all routes
// while the route has too few samples.
func (l *learner) learnedStats(id RouteID) *routeStats {
	r := l.routes[id]
	if r == nil || r.samples.len() < minSamples {
		return &l.allRoutes
	}
	return r
}

// medianTime returns the median service time of a route, 0 if unknown.
func (l *learner) medianTime(id RouteID) time.Duration {
	return l.learnedStats(id).samples.median()
}

// highTime returns a service time that few requests of the route exceed, 0 if
// unknown.
func (l *learner) highTime(id RouteID) time.Duration {
	return l.learnedStats(id).samples.quantile(highQuantile)
}

// classOf returns the class of a route. A route that is not learned is short.
func (l *learner) classOf(id RouteID) Class {
	r := l.routes[id]
	if r == nil || r.samples.len() < minSamples {
		return Short
	}
	if l.shortMedian > 0 && r.samples.median() > longFactor*l.shortMedian {
		return Long
	}
	return Short
}

// admitProbe reports whether a request of the route is admitted despite the
// estimates because none has started for probeInterval. Without probes,
// estimates that refuse every request would never be corrected.
func (l *learner) admitProbe(now time.Duration, id RouteID) bool {
	r := l.routes[id]
	if r == nil || now-r.lastAdmitted < probeInterval {
		return false
	}
	r.lastAdmitted = now
	return true
}

// recordStart records that a request of the route started.
func (l *learner) recordStart(now time.Duration, id RouteID) {
	if r := l.routes[id]; r != nil {
		r.lastAdmitted = now
	}
}

// stragglerBound returns how long a short request of the route may run before
// it counts as a straggler, 0 if unknown.
func (l *learner) stragglerBound(id RouteID) time.Duration { return l.splitFor(id).stragglerBound }

// splitFor returns the service-time split of the route, or that of all routes
// while the route has too few samples.
func (l *learner) splitFor(id RouteID) *serviceTimeSplit {
	r := l.routes[id]
	if r == nil || !r.split.isLearned() {
		return &l.allRoutes.split
	}
	return &r.split
}

// recordPreemption records a request that was cancelled after running for ran.
// Without it the route would appear to have no long requests.
func (l *learner) recordPreemption(id RouteID, ran time.Duration) {
	if r := l.routeFor(id); r != nil {
		r.split.add(l.rerunTime(ran))
	}
}

// forecastPreemptible returns the forecast for a request that is preempted if
// it turns out to be long.
func (l *learner) forecastPreemptible(id RouteID) forecast {
	s := l.splitFor(id)
	return forecast{expected: s.median, high: s.high, mean: s.mean}
}

// forecast returns the forecast for a request that runs to its end. The high
// estimate covers only the short requests of the route: otherwise its long
// requests would cause the short ones to be refused, and only long ones would
// be left to learn from.
func (l *learner) forecast(id RouteID) forecast {
	s := l.learnedStats(id).samples
	return forecast{expected: s.median(), high: l.splitFor(id).high, mean: s.mean()}
}
