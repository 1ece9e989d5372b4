package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// burstWindow and usualWindow are the windows over which arrivals are averaged. All
	// hosts should arrive at about the same reserve, so the long average counts unless
	// the short one exceeds it by burstFactor, which random arrivals rarely do.
	burstWindow = 2 * time.Second
	usualWindow = 20 * time.Second
	burstFactor = 1.6
	// recentArrival is how long after its last request a route counts as in use.
	recentArrival = 5 * time.Second
	// routeRetention is how long a route without requests is remembered.
	routeRetention = 10 * time.Minute
	// reserveFactor and reserveSpread size the reserved slots: reserveFactor times the
	// concurrency of the more urgent work, plus reserveSpread times its square root,
	// which is the deviation of random arrivals. A target may run at a third of its
	// speed for a while, so its reserved slots must be used by less than a third on
	// average: with a factor of 1, 20 of 100 urgent requests were late in a burst of
	// less urgent ones, and 7 with 2.25. Higher ones cost the others more than they gain.
	reserveFactor = 2.25
	reserveSpread = 2.0
	// maxWholeShare is the share of the slots up to which whole targets are reserved.
	// What other hosts run at a target is known late, so only a target that gets no
	// less urgent request at all has no queue of them.
	maxWholeShare = 0.4
	// reserveAge is how long a decision on the reserve is used before arrivals, pauses
	// and departures are taken into account again.
	reserveAge = 50 * time.Millisecond
	// lessUrgentBacklog is the number of requests that may wait at targets where nothing
	// is reserved, as a fraction of their slots. They wait behind each other only, and
	// with fewer, random differences between the targets leave slots idle.
	lessUrgentBacklog = 1.5
	// minPart is the least part of the less urgent capacity that a host uses, as a part
	// of an even share, so that its first requests need not wait for a report.
	minPart = 0.25
	// partSmoothing is the weight of one report in a host's part of the capacity.
	partSmoothing = 0.2
)

// urgency learns what the routes of a service need, and reserves capacity for the more
// urgent ones. It is nil if the pool reserves none.
type urgency struct {
	routes       map[string]*routeLoad
	schedules    map[int]*retrySchedule // of refused callers, by priority
	most         int                    // the most urgent priority in use
	least        int                    // the least urgent priority in use
	leastRegions []string               // of a route of that priority; empty: all
	others       map[int]float64        // concurrency at all other hosts, by priority; empty: not known
	isMixed      bool                   // requests of several priorities arrived lately

	meanWork  float64         // of the requests that arrive, in seconds
	slots     float64         // of all targets that accept work
	orderedAt time.Duration   // time at which the targets were last ordered
	reserves  []reservedSlots // by priority of the requests that must leave them free
	hostPart  smoothedShare   // this host's part of the requests at targets without reserve
}

// reservedSlots is the decision on the slots that requests of a priority leave free.
type reservedSlots struct {
	priority int
	at       time.Duration
	slots    float64
}

// routeLoad is what arrives at this host for a route.
type routeLoad struct {
	priority    int
	regions     []string         // whose targets may run the requests; empty: all
	work        smoothedDuration // at a free slot of a target of mean speed
	took        smoothedDuration // with the time that requests wait at the target
	first       time.Duration    // time of the first arrival
	lastArrival time.Duration
	burst       arrivalRate
	usual       arrivalRate
}

// arrivalRate is an exponential average of arrivals per second.
type arrivalRate struct {
	perSecond float64
	at        time.Duration
}

// value returns the average over the window. since is the time from which arrivals were
// counted.
func (a *arrivalRate) value(now, since, window time.Duration) float64 {
	counted := 1 - math.Exp(-max(now-since, time.Second).Seconds()/window.Seconds())
	return a.perSecond * math.Exp(-(now-a.at).Seconds()/window.Seconds()) / counted
}

func (a *arrivalRate) add(now, window time.Duration) {
	a.perSecond = a.perSecond*math.Exp(-(now-a.at).Seconds()/window.Seconds()) + 1/window.Seconds()
	a.at = now
}

// smoothedShare is an exponential average of a share; 0: not known.
type smoothedShare float64

func (s *smoothedShare) add(share float64) {
	if *s == 0 {
		*s = smoothedShare(share)
	}
	*s += smoothedShare(partSmoothing * (share - float64(*s)))
}

func newUrgency(cfg Config) *urgency {
	if !cfg.ReserveUrgent {
		return nil
	}
	return &urgency{
		routes: make(map[string]*routeLoad), schedules: make(map[int]*retrySchedule),
		others: make(map[int]float64),
	}
}

// isActive reports whether requests of several priorities arrived lately. Without them
// the pool decides as if it reserved nothing.
func (u *urgency) isActive() bool { return u != nil && u.isMixed }

// recordArrival counts a request that arrives for the first time.
func (p *Pool) recordArrival(now time.Duration, r Request) {
	u := p.urgency
	if u == nil || len(r.TriedTargets) > 0 || r.NotBefore > 0 {
		return
	}
	l := u.routes[r.Route]
	if l == nil {
		l = &routeLoad{first: now}
		l.work.reset(p.serviceTime.value)
		l.took.reset(p.serviceTime.value)
		u.routes[r.Route] = l
	}
	l.priority, l.regions, l.lastArrival = r.Priority, r.Regions, now
	l.burst.add(now, burstWindow)
	l.usual.add(now, usualWindow)
	u.refresh(now)
}

// refresh drops routes that are not used any more and determines whether the others
// differ in priority.
func (u *urgency) refresh(now time.Duration) {
	u.most, u.least, u.leastRegions = math.MaxInt, math.MinInt, nil
	for name, l := range u.routes {
		if now > l.lastArrival+routeRetention {
			delete(u.routes, name)
		}
		if l.isRecent(now) {
			u.most = min(u.most, l.priority)
			if l.priority > u.least {
				u.least, u.leastRegions = l.priority, l.regions
			}
		}
	}
	for priority := range u.others {
		u.most = min(u.most, priority)
		if priority > u.least {
			u.least, u.leastRegions = priority, nil
		}
	}
	u.isMixed = u.most < u.least
}

func (l *routeLoad) isRecent(now time.Duration) bool { return now <= l.lastArrival+recentArrival }

// rate returns the requests per second that arrive at this host.
func (l *routeLoad) rate(now time.Duration) float64 {
	usual, burst := l.usual.value(now, l.first, usualWindow), l.burst.value(now, l.first, burstWindow)
	if burst > burstFactor*usual {
		return burst
	}
	return usual
}

// concurrency returns the mean number of requests of the route that this host runs.
func (l *routeLoad) concurrency(now time.Duration) float64 {
	return l.rate(now) * l.work.value.Seconds()
}

// RecordWork records how long a request that was started took. Call it before Finish.
func (p *Pool) RecordWork(a Action, took time.Duration, result Result) {
	u := p.urgency
	if u == nil || result != Answered {
		return
	}
	t, l := p.targets[a.Target.Target], u.routes[a.Route]
	if t == nil || l == nil || !t.Owner.SameRun(a.Target) {
		return
	}
	l.took.add(took)
	// A request that waited at the target took longer than its work.
	free := t.hasFreeSlot()
	if l.work.samples == 0 || free || took < l.work.value {
		l.work.add(took)
	}
	slowness := time.Duration(float64(time.Second) * took.Seconds() / max(l.work.value.Seconds(), 0.001))
	t.slowness.add(slowness)
	if free {
		t.unloadedSlowness.add(slowness)
	}
}

// ReservedSlots returns the slots, over all targets and hosts, that the least urgent
// requests leave free for more urgent ones.
func (p *Pool) ReservedSlots(now time.Duration) float64 {
	if !p.urgency.isActive() {
		return 0
	}
	return p.reservedFrom(now, p.urgency.least)
}

// reservedFrom returns the slots, over all targets, that requests of a priority leave
// free for more urgent ones.
func (p *Pool) reservedFrom(now time.Duration, priority int) float64 {
	u := p.urgency
	if !u.isActive() {
		return 0
	}
	i := slices.IndexFunc(u.reserves, func(r reservedSlots) bool { return r.priority == priority })
	if i < 0 {
		i = len(u.reserves)
		u.reserves = append(u.reserves, reservedSlots{priority: priority, at: -reserveAge})
	}
	r := &u.reserves[i]
	if now >= r.at+reserveAge {
		p.orderTargets(now)
		r.at, r.slots = now, u.reserveFor(u.concurrencyBefore(now, priority, p.hostCount))
	}
	return r.slots
}

// reserveFor returns the slots that are reserved for a number of concurrent requests.
// The margin takes at most half of the slots that they leave.
func (u *urgency) reserveFor(concurrency float64) float64 {
	if concurrency == 0 {
		return 0
	}
	wanted := reserveFactor*concurrency + reserveSpread*math.Sqrt(concurrency)
	return min(wanted, (min(concurrency, u.slots)+u.slots)/2)
}

// orderTargets determines the order in which targets are reserved. It is the same at all
// hosts, and spread over the data centres, so that each host is near to some. Targets
// that no less urgent route may use are the first, and cold ones, which can take little,
// the last.
func (p *Pool) orderTargets(now time.Duration) {
	u := p.urgency
	if u.orderedAt > 0 && now < u.orderedAt+reserveAge {
		return
	}
	var order []*target
	for _, t := range p.targets {
		if !t.Leaving && t.pausedFor(now) == 0 {
			order = append(order, t)
		}
	}
	slices.SortFunc(order, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.Owner.Target, b.Owner.Target))
	})
	sizes, index := make(map[string]float64), make(map[string]float64)
	for _, t := range order {
		sizes[t.DataCentre]++
	}
	for _, t := range order {
		t.reserveRank = u.rankFor(now, t, (index[t.DataCentre]+unitOf(t.nameHash))/sizes[t.DataCentre])
		index[t.DataCentre]++
	}
	slices.SortFunc(order, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.reserveRank, b.reserveRank), cmp.Compare(a.Owner.Target, b.Owner.Target))
	})
	u.orderedAt, u.slots, u.meanWork = now, 0, u.meanWorkOf(now)
	for _, t := range order {
		if t.reserveRank == neverReserved {
			t.slotsBefore = neverReserved
			continue
		}
		t.slotsBefore = u.slots
		u.slots += t.slotCount()
	}
}

// neverReserved is the rank of a target that no more urgent route may use.
var neverReserved = math.Inf(1)

// rankFor returns the place of a target in the order of reserved targets, of which place
// is that among all targets, from 0 to 1.
func (u *urgency) rankFor(now time.Duration, t *target, place float64) float64 {
	usedByUrgent, usedByOthers := false, false
	for _, l := range u.routes {
		if l.isRecent(now) && isOpenTo(t, l.regions) {
			usedByUrgent = usedByUrgent || l.priority < u.least
			usedByOthers = usedByOthers || l.priority > u.most
		}
	}
	for priority := range u.others {
		if !u.hasRoute(now, priority) { // its regions are not known
			usedByUrgent = usedByUrgent || priority < u.least
			usedByOthers = usedByOthers || priority > u.most
		}
	}
	switch {
	case !usedByUrgent:
		return neverReserved
	case now < t.coldUntil:
		return 2 + place
	case usedByOthers:
		return 1 + place
	default:
		return place
	}
}

// isOpenTo reports whether a route with these regions may use the target.
func isOpenTo(t *target, regions []string) bool {
	return (&Request{Regions: regions}).mayUse(t)
}

// reservedAt returns the slots of the target that requests of a priority leave free for
// more urgent ones. The keys of a keyed service decide on the target, so there each
// target reserves its part; otherwise targets are reserved one after the other, the
// first ones as a whole.
func (p *Pool) reservedAt(now time.Duration, t *target, priority int) float64 {
	reserved := p.reservedFrom(now, priority)
	if reserved == 0 {
		return 0
	}
	slots := t.slotCount()
	if p.cfg.Keyed {
		return slots * reserved / max(p.urgency.slots, slots)
	}
	here := min(max(0, reserved-t.slotsBefore), slots)
	if here > 0 && t.slotsBefore+slots <= maxWholeShare*p.urgency.slots {
		return slots
	}
	return here
}

// mayUse reports whether r leaves free what is reserved at the target for more urgent
// requests. A host without running requests at the owner of a key may always send one:
// what the others run there is known late, and its slots would be idle until the next
// report.
func (p *Pool) mayUse(now time.Duration, t *target, r Request) bool {
	if !p.urgency.isActive() {
		return true
	}
	reserved, e := p.reservedAt(now, t, r.Priority), t.estimate(now)
	if reserved == 0 || p.cfg.Keyed && t.running == 0 && !e.Decides {
		return true
	}
	return !e.Waiting && float64(t.running+1)+e.Others <= t.slotCount()-reserved
}

// exceedsPart reports whether this host runs its part of the capacity that is left for
// requests like r. Many hosts that run no request at most targets would otherwise send
// one each: a host without running requests at a target may always send one.
func (p *Pool) exceedsPart(now time.Duration, r Request) bool {
	if p.cfg.Keyed || p.reservedFrom(now, r.Priority) == 0 {
		return false
	}
	own, _, room := p.unreservedLoad(now, r)
	return own+1 > max(1, p.partOfHost()*room)
}

// unreservedLoad returns what this host and the others run at the targets that r may use
// and where nothing is reserved from it, and how many requests may be there.
func (p *Pool) unreservedLoad(now time.Duration, r Request) (own, others, room float64) {
	backlog := p.backlogFor(r)
	for _, t := range p.targets {
		if !t.Leaving && isOpenTo(t, r.Regions) && p.reservedAt(now, t, r.Priority) == 0 {
			own += float64(t.running)
			others += t.othersRunning
			room += t.capacity(backlog)
		}
	}
	return own, others, room
}

// backlogFor returns how many requests like r may wait at targets where nothing is
// reserved from it, as a fraction of their slots: a wait of half of their latency goal,
// less their work.
func (p *Pool) backlogFor(r Request) float64 {
	goals := (r.Goal - r.Arrived).Seconds() / max(p.workOf(r).Seconds(), 0.001)
	return min(max(goals/2-1, p.cfg.BacklogFraction), lessUrgentBacklog)
}

// partOfHost returns the part of the less urgent capacity that this host may use: in
// proportion to what it runs.
func (p *Pool) partOfHost() float64 {
	even := 1 / float64(max(1, p.hostCount))
	if p.urgency.hostPart == 0 {
		return even
	}
	return max(float64(p.urgency.hostPart), minPart*even)
}

// recordPart updates this host's part after a report of what the others run.
func (p *Pool) recordPart() {
	if !p.urgency.isActive() {
		return
	}
	r := Request{Priority: p.urgency.least, Regions: p.urgency.leastRegions}
	if own, others, _ := p.unreservedLoad(p.now, r); own+others > 0 {
		p.urgency.hostPart.add(own / (own + others))
	}
}
