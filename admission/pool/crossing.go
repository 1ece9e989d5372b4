package pool

import (
	"math"
	"slices"
	"time"

	"github.com/mangopost/mangopost/routing/crossing"
)

// CrossingConfig holds the parameters of leaving the data centre. Without Learned,
// Config.DistancePenalty decides.
type CrossingConfig struct {
	Learned bool
	Prices  crossing.Prices
	Link    *crossing.Link // to the other region, shared by the pools of a host; nil: not limited
}

// CrossReason is the reason for which a request was sent to its target's place.
type CrossReason string

const (
	// CrossNear means that the target is in the host's data centre.
	CrossNear CrossReason = "near"
	// CrossOverflow means that a nearer target could run the request, but not in time or
	// not now.
	CrossOverflow CrossReason = "overflow"
	// CrossNoNear means that no nearer target may run the request.
	CrossNoNear CrossReason = "no-near-target"
	// CrossOwner means that the owner of the key is there.
	CrossOwner CrossReason = "owner"
)

const (
	// minPlaceSamples is the number of samples from which a route's times at a place count.
	minPlaceSamples = 3
	// timesRetention is how long the times at a place count after the last sample: a place
	// that was slow once gets no requests, and so no samples, until then.
	timesRetention = 15 * time.Second
	// waitMemory is the time after which a wait that was observed counts by 1/e.
	waitMemory = 500 * time.Millisecond
	// reportAge is the mean age of what a report says when it arrives.
	reportAge = 400 * time.Millisecond
	// maxKnowledgeAge limits the age of reports: without the coordinator, answers and
	// refusals still show where there is room.
	maxKnowledgeAge = 6 * time.Second
	// awayTime is how long a place has no target that accepts work before its return is
	// gradual.
	awayTime = time.Second
	// nearestWaitMargin multiplies the expected wait at the nearest place: half of what waits
	// up to the limit of its goal is late. In simulations of 59 hosts with factors of 1, 1.3
	// and 1.6, the share in time was between 0.000 and 0.048 higher with 1.6 than with 1 in
	// all loads but one (0.851 against 0.854).
	nearestWaitMargin = 1.6
	// maxPressedChecks is the number of waiting requests for which one Tick looks for a
	// target elsewhere after there was none for an earlier one.
	maxPressedChecks = 4
	// minSlownessFactor and maxSlownessFactor bound the learned slowness of one target.
	minSlownessFactor, maxSlownessFactor = 0.5, 3.0
)

// crossings is what a pool knows about leaving the data centre. It is nil with fixed
// penalties.
type crossings struct {
	cfg         CrossingConfig
	phase       float64
	dataCentres int
	nearest     Distance // of all targets that accept work
	routes      map[string]*routeCrossing
	places      [crossing.NumPlaces]placeState
	part        crossing.Part
	reported    time.Duration
	wait        smoothedDuration // of the requests that waited for a target in the nearest place
	waitedAt    time.Duration
	startedAt   time.Duration // last start in the nearest place
	wants       uint8         // places that the last request should leave for, as bits
	lastCheck   struct {
		at, wait time.Duration // of the last request that found no room
		pressed  int           // requests checked since in the same Tick
	}
}

// placeState is what a pool knows about a place over all routes.
type placeState struct {
	times      crossing.Times
	wasPresent bool // it had targets that accept work and are not cold
	isAway     bool
	awaySince  time.Duration
	returning  crossing.Return
}

// routeCrossing is what a pool knows about a route's requests.
type routeCrossing struct {
	bytes   crossing.Bytes
	work    crossing.Times // without the assumed path, at targets with a free slot
	places  [crossing.NumPlaces]routePlace
	arrived time.Duration
}

type routePlace struct {
	share   crossing.Share
	times   crossing.Times
	sampled time.Duration
	last    CrossingInputs
}

// CrossingInputs are the inputs of one comparison.
type CrossingInputs struct {
	Gain, Cost         float64
	Here, There        time.Duration // expected times to an answer
	Free               float64       // requests that the place can take
	Age                time.Duration // of that knowledge
	Bytes              float64       // of a request and its answer
	LinkBytesPerSecond float64       // that this host has sent lately
}

func newCrossings(cfg Config) *crossings {
	if !cfg.Crossing.Learned {
		return nil
	}
	return &crossings{
		cfg: cfg.Crossing, phase: cfg.AdmitPhase, routes: make(map[string]*routeCrossing), part: crossing.NewPart(cfg.AdmitPhase),
	}
}

func (c *crossings) route(name string) *routeCrossing {
	rc := c.routes[name]
	if rc == nil {
		rc = &routeCrossing{}
		for i := range rc.places {
			rc.places[i].share = crossing.NewShare(c.phase)
		}
		c.routes[name] = rc
	}
	return rc
}

// countCrossingArrival counts a request that arrives for the first time.
func (p *Pool) countCrossingArrival(now time.Duration, r Request) {
	if p.crossings == nil || p.cfg.Keyed || len(r.TriedTargets) > 0 || r.NotBefore > 0 {
		return
	}
	rc := p.crossings.route(r.Route)
	rc.arrived = now
	for i := range rc.places {
		rc.places[i].share.Arrive(now)
	}
}

// observePlaces determines after a change of the targets which places have some.
func (p *Pool) observePlaces(now time.Duration) {
	c := p.crossings
	if c == nil {
		return
	}
	for name, rc := range c.routes {
		if now > rc.arrived+routeRetention {
			delete(c.routes, name)
		}
	}
	var has [crossing.NumPlaces]bool // warm targets
	nearest, nearestWarm := Far, Far
	dataCentres := make(map[string]bool)
	for _, t := range p.targets {
		if t.Leaving {
			continue
		}
		dataCentres[t.DataCentre] = true
		nearest = min(nearest, t.Distance)
		if t.coldFor(now) == 0 {
			has[t.Distance] = true
			nearestWarm = min(nearestWarm, t.Distance)
		}
	}
	c.dataCentres, c.nearest = len(dataCentres), nearest
	if has[nearestWarm] {
		c.nearest = nearestWarm
	}
	for i := range c.places {
		s := &c.places[i]
		s.wasPresent = s.wasPresent || has[i]
		switch {
		case !has[i] && !s.isAway && s.wasPresent:
			s.isAway, s.awaySince = true, now
		case has[i] && s.isAway:
			s.isAway = false
			if now >= s.awaySince+awayTime {
				s.returning.Begin(now)
			}
		}
	}
}

// observeReport updates the host's part of the nearest capacity after a report of what the
// others run.
func (p *Pool) observeReport() {
	c := p.crossings
	if c == nil || p.cfg.Keyed {
		return
	}
	own, others, capacity := 0.0, 0.0, 0.0
	for _, t := range p.targets {
		if t.Leaving || t.Distance != c.nearest || t.coldFor(p.now) > 0 {
			continue
		}
		own += float64(t.running)
		others += t.estimate(p.now).Others
		capacity += t.capacity(p.cfg.BacklogFraction)
	}
	c.part.Report(own, others, capacity, p.hostCount/max(1, c.dataCentres))
	c.reported = p.now
}

// placeView is what there is for a request at a place.
type placeView struct {
	best      *target
	bestCost  float64
	isUsable  bool          // there is a target that may run the request, now or later
	isWarm    bool          // one of them is not cold
	running   int           // requests of this host
	free      float64       // requests that the targets with room can take
	rate      float64       // requests per second that this host can complete
	slots     float64       // of all targets
	opensIn   time.Duration // until the first target takes requests again
	hasOpenAt bool
}

// pickByPlace returns the target on which a request of an unkeyed service can start now: at
// the nearest place, or elsewhere if that pays and is its turn.
func (p *Pool) pickByPlace(now time.Duration, r Request, reserved regionSet) (*target, uint64, bool) {
	c := p.crossings
	c.wants = 0
	var views [crossing.NumPlaces]placeView
	p.viewPlaces(now, r, reserved, &views)
	base := nearestUsable(&views)
	if base < 0 {
		return nil, 0, false
	}
	home := &views[base]
	// Reserved capacity decides by itself where it is in force.
	if Distance(base) == c.nearest && !p.urgency.isActive() && !c.part.Allows(home.running) {
		home.best = nil
	}
	rc := c.route(r.Route)
	if home.best != nil && !c.places[base].returning.Take(now) {
		if t := firstBest(views[base+1:]); t != nil {
			return t, 0, true
		}
	}
	if t := p.pickElsewhere(now, r, rc, &views, base); t != nil {
		return t, 0, true
	}
	return home.best, 0, home.best != nil
}

// nearestUsable returns the nearest place with a warm target that may run the request, or
// with a cold one if there is no other; -1 if there is none.
func nearestUsable(views *[crossing.NumPlaces]placeView) int {
	if warm := slices.IndexFunc(views[:], func(v placeView) bool { return v.isWarm }); warm >= 0 {
		return warm
	}
	return slices.IndexFunc(views[:], func(v placeView) bool { return v.isUsable })
}

func firstBest(views []placeView) *target {
	for i := range views {
		if views[i].best != nil {
			return views[i].best
		}
	}
	return nil
}

func (p *Pool) viewPlaces(now time.Duration, r Request, reserved regionSet, views *[crossing.NumPlaces]placeView) {
	for _, t := range p.targets {
		if t.Leaving || !r.mayUse(t) || slices.Contains(r.TriedTargets, t.Owner.Target) {
			continue
		}
		v := &views[t.Distance]
		v.isUsable = true
		v.isWarm = v.isWarm || t.coldFor(now) == 0
		v.running += t.running
		v.slots += t.slotCount()
		v.rate += p.rateOf(t)
		if opens := max(0, t.coolUntil-now, t.pausedUntil-now); !v.hasOpenAt || opens < v.opensIn {
			v.hasOpenAt, v.opensIn = true, opens
		}
		// Requests that wait for a target of the nearest place leave the others to r.
		if reserved.has(t) && (len(r.Regions) > 0 || t.Distance == p.crossings.nearest) {
			continue
		}
		if !p.hasRoomAt(now, t) || !p.mayUse(now, t, r) {
			continue
		}
		v.free += max(0, t.capacity(p.cfg.BacklogFraction)-float64(t.running)-t.estimate(now).Others)
		cost := p.costAt(now, t, r)
		if v.best == nil || cost < v.bestCost || cost == v.bestCost && t.Owner.Target < v.best.Owner.Target {
			v.best, v.bestCost = t, cost
		}
	}
}

// hasRoomAt reports whether one more request may be sent to a target. While the nearest
// capacity is scarce, this host's part decides there instead of the last report: hosts that
// respond to a report all send at once, and all stop at once.
func (p *Pool) hasRoomAt(now time.Duration, t *target) bool {
	if t.Distance != p.crossings.nearest || t.hostShare > 0 || p.urgency.isActive() || !p.crossings.part.IsScarce() {
		return t.hasRoom(now, p.cfg.BacklogFraction, 0)
	}
	if t.isColdClosed(now) || now < t.coolUntil || now < t.pausedUntil || t.Limit > 0 && t.running >= t.Limit {
		return false
	}
	capacity := t.capacity(p.cfg.BacklogFraction)
	if t.running == 0 {
		return !t.isReportedFull(now, capacity)
	}
	running, others := float64(t.running+1), t.othersMean
	if e := t.estimate(now); e.Decides {
		others = e.Others
	}
	return running <= t.window && running+others <= capacity
}

// pickElsewhere returns the target beyond the nearest place for which the comparison is
// best, if it pays and the share of the route's requests that leaves allows it.
func (p *Pool) pickElsewhere(now time.Duration, r Request, rc *routeCrossing, views *[crossing.NumPlaces]placeView, base int) *target {
	if firstBest(views[base+1:]) == nil {
		return nil
	}
	c := p.crossings
	here := p.offerAt(now, rc, views, base)
	if views[base].best == nil {
		wait := time.Duration(nearestWaitMargin * float64(p.waitAt(now, r, rc, &views[base], base)))
		here.Expected += wait
		c.lastCheck.at, c.lastCheck.wait = now, wait
	}
	work := crossing.Work{Goal: r.Goal - r.Arrived, UntilAim: r.Goal - now, UntilEnd: r.Deadline - now, Bytes: rc.bytes.Mean()}
	if r.isPastGoal() {
		work.Goal = r.Deadline - r.Arrived
	}
	place, net := -1, math.Inf(-1)
	for i := base + 1; i < len(views); i++ {
		if views[i].best == nil {
			continue
		}
		verdict, ok := p.compareWith(now, rc, work, here, p.offerAt(now, rc, views, i), base, i)
		if ok && rc.places[i].share.Wants(verdict) && verdict.Net() > net {
			place, net = i, verdict.Net()
		}
	}
	if place < 0 {
		return nil
	}
	share := &rc.places[place].share
	c.wants = 1 << place
	if r.wantsAway&c.wants == 0 {
		share.CountWanting(now)
	}
	if !share.Take(now) {
		return nil
	}
	return views[place].best
}

// compareWith compares a place with the nearest one. ok is false if the link allows
// nothing optional.
func (p *Pool) compareWith(now time.Duration, rc *routeCrossing, work crossing.Work, here, there crossing.Offer, base, place int) (crossing.Verdict, bool) {
	pressure, sent, ok := 0.0, 0.0, true
	if link := p.crossings.cfg.Link; link != nil && Distance(place) == Far {
		pressure, ok = link.Pressure(now)
		sent = link.Sent(now)
	}
	prices := &p.crossings.cfg.Prices
	verdict := crossing.Compare(work, here, there, prices[place]-prices[base], pressure)
	rc.places[place].last = CrossingInputs{
		Gain: verdict.Gain, Cost: verdict.Cost, Here: here.Expected, There: there.Expected,
		Free: there.Free, Age: there.Age, Bytes: work.Bytes, LinkBytesPerSecond: sent,
	}
	return verdict, ok
}

// offerAt returns what a request can expect at a place, without the wait of one that finds
// no room.
func (p *Pool) offerAt(now time.Duration, rc *routeCrossing, views *[crossing.NumPlaces]placeView, place int) crossing.Offer {
	c, v := p.crossings, &views[place]
	expected, known := p.timeAt(now, rc, place)
	o := crossing.Offer{
		Expected: expected, Free: v.free * c.places[place].returning.Share(now),
		Age: min(now-c.reported+reportAge, maxKnowledgeAge),
	}
	if known != nil {
		o.Deviation, o.Samples = known.Deviation(), known.Samples()
	}
	if v.best != nil {
		o.Expected = time.Duration(float64(o.Expected) * p.slownessOf(now, v.best, place))
	}
	return o
}

// slownessOf returns the expected time at a target as a multiple of the mean at its place.
func (p *Pool) slownessOf(now time.Duration, t *target, place int) float64 {
	mean := p.crossings.places[place].times
	switch {
	case p.urgency.isActive():
		return min(max(t.slownessAt(now)*t.estimate(now).Pace, minSlownessFactor), maxSlownessFactor)
	case mean.Samples() < minPlaceSamples || t.serviceTime.samples == 0:
		return 1
	}
	return max(t.expectedCost(now, p.cfg)/max(mean.Mean().Seconds(), 0.001), minSlownessFactor)
}

// timeAt returns the mean time of a route's requests at a place, and the samples that it is
// from, or nil. Where few were observed, it is derived from another place.
func (p *Pool) timeAt(now time.Duration, rc *routeCrossing, place int) (time.Duration, *crossing.Times) {
	isKnown := func(i int) bool {
		at := &rc.places[i]
		return at.times.Samples() >= minPlaceSamples && now <= at.sampled+timesRetention
	}
	if isKnown(place) {
		return rc.places[place].times.Mean(), &rc.places[place].times
	}
	// The times at full places of this region say little about another one.
	if Distance(place) == Far && rc.work.Samples() >= minPlaceSamples {
		return rc.work.Mean() + crossing.AssumedPath[place], &rc.work
	}
	for i := range rc.places {
		if isKnown(i) {
			known := &rc.places[i].times
			return max(known.Mean()+crossing.AssumedPath[place]-crossing.AssumedPath[i], time.Millisecond), known
		}
	}
	return p.serviceTime.value + crossing.AssumedPath[place], nil
}

// waitAt estimates how long a request waits for a target of the nearest place that has no
// room now.
func (p *Pool) waitAt(now time.Duration, r Request, rc *routeCrossing, v *placeView, place int) time.Duration {
	c := p.crossings
	ahead, _ := slices.BinarySearchFunc(p.waiting, r, compareRequests)
	expected, _ := p.timeAt(now, rc, place)
	work := max(expected.Seconds(), 0.001)
	rate := v.rate
	if c.part.IsScarce() {
		// Of the requests at a target, BacklogFraction wait.
		rate = min(rate, max(1, c.part.Limit())/(1+p.cfg.BacklogFraction)/work)
	} else if p.hostCount > 0 {
		rate = min(rate, evenShareFactor*v.slots/float64(p.hostCount)/work)
	}
	learned := time.Duration(float64(c.wait.value) * math.Exp(-(now-c.waitedAt).Seconds()/waitMemory.Seconds()))
	idle := time.Duration(0)
	if len(p.waiting) > 0 {
		// Requests wait and none starts: this may last as long again.
		idle = now - max(c.startedAt, p.waiting[0].Arrived)
	}
	return max(v.opensIn, learned, idle, seconds(float64(ahead+1)/max(rate, 0.1)))
}

// isPressed reports whether a waiting request that found no room may be late if it waits
// for the nearest place, so that one more look elsewhere is due.
func (p *Pool) isPressed(now time.Duration, r Request) bool {
	c := p.crossings
	if c == nil || p.cfg.Keyed || c.lastCheck.at != now || c.lastCheck.pressed >= maxPressedChecks {
		return false
	}
	if expected, _ := p.timeAt(now, c.route(r.Route), int(c.nearest)); r.Goal-now > c.lastCheck.wait+2*expected {
		return false
	}
	c.lastCheck.pressed++
	return true
}

// nearestWait returns the expected wait of the request that has just found no room at the
// nearest place and may not leave it, or 0.
func (p *Pool) nearestWait(now time.Duration) time.Duration {
	if c := p.crossings; c != nil && !p.cfg.Keyed && c.lastCheck.at == now {
		return c.lastCheck.wait
	}
	return 0
}

// beginTick allows the next Tick its looks elsewhere.
func (c *crossings) beginTick() {
	if c != nil {
		c.lastCheck.pressed = 0
	}
}

// takeWants returns the places that the last request should leave for, as bits.
func (c *crossings) takeWants() uint8 {
	if c == nil {
		return 0
	}
	wants := c.wants
	c.wants = 0
	return wants
}

// recordCrossingStart records the wait of a request that starts, and the bytes that it is
// expected to send to the other region.
func (p *Pool) recordCrossingStart(now time.Duration, t *target, r Request) {
	c := p.crossings
	if c == nil {
		return
	}
	if t.Distance == c.nearest {
		c.startedAt = now
	}
	if waited := now - r.Arrived; t.Distance == c.nearest && waited > 0 && len(r.TriedTargets) == 0 {
		c.wait.add(waited)
		c.waitedAt = now
	}
	if c.cfg.Link != nil && t.Distance == Far {
		c.cfg.Link.Record(now, c.route(r.Route).bytes.Mean())
	}
}

// RecordCrossing records how long a request that was started took, and the bytes of the
// request and its answer. Call it before Finish.
func (p *Pool) RecordCrossing(now time.Duration, a Action, took time.Duration, bytes int, result Result) {
	c := p.crossings
	if c == nil {
		return
	}
	rc := c.route(a.Route)
	if c.cfg.Link != nil && a.Distance == Far {
		c.cfg.Link.Record(now, float64(bytes)-rc.bytes.Mean())
	}
	if result != Answered {
		return
	}
	rc.bytes.Add(bytes)
	if t := p.targets[a.Target.Target]; t != nil && t.hasFreeSlot() {
		rc.work.Add(max(took-crossing.AssumedPath[a.Distance], 0))
	}
	at := &rc.places[a.Distance]
	at.times.Add(took)
	at.sampled = now
	c.places[a.Distance].times.Add(took)
}

// crossReason returns why a request is sent to a target.
func (p *Pool) crossReason(t *target, r Request) CrossReason {
	switch {
	case p.cfg.Keyed:
		return CrossOwner
	case t.Distance == SameZone:
		return CrossNear
	}
	for _, other := range p.targets {
		if !other.Leaving && other.Distance < t.Distance && r.mayUse(other) {
			return CrossOverflow
		}
	}
	return CrossNoNear
}

// CrossingChange says that requests of a route begin to leave for a place, or cease to.
type CrossingChange struct {
	Route    string
	Distance Distance
	Share    float64 // of the route's requests; 0: none leave any more
	Inputs   CrossingInputs
}

// CrossingChanges returns the routes whose requests have begun or ceased to leave since the
// last call.
func (p *Pool) CrossingChanges(now time.Duration) []CrossingChange {
	if p.crossings == nil || p.cfg.Keyed {
		return nil
	}
	var out []CrossingChange
	for name, rc := range p.crossings.routes {
		for i := range rc.places {
			at := &rc.places[i]
			if at.share.Changed(now) {
				out = append(out, CrossingChange{Route: name, Distance: Distance(i), Share: at.share.Value(now), Inputs: at.last})
			}
		}
	}
	return out
}

// String returns the name of the distance in logs and metrics.
func (d Distance) String() string { return crossing.Place(d).String() }

// othersWeight is the weight of one report in othersMean, as in crossing.Part.
const othersWeight = 0.2

// recordOthers records what the other hosts run at the target, as last reported.
func (t *target) recordOthers(running float64) {
	t.othersRunning = running
	t.othersMean += othersWeight * (running - t.othersMean)
}
