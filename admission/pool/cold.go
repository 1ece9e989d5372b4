package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/mangopost/mangopost/admission/coldstart"
)

// ColdConfig holds the parameters of cold targets. They have an effect only while
// Limits.Rate is above 0.
type ColdConfig struct {
	Limits     coldstart.Limits
	Duration   time.Duration // how long a run that appears while there are requests counts as cold before its entries say so
	Host       string        // name of this host
	FirstStart bool          // the whole system starts for the first time: targets are warm until there are requests
}

const (
	// firstStartTime limits for how long targets that appear at the first start of the
	// system are warm if this host gets no request.
	firstStartTime = 10 * time.Second
	// doubtDuration is how long a run counts as cold after its address refused a
	// connection: the next run may be serving there before its entry is known.
	doubtDuration = 6 * time.Second
	// runMemory is how long a run that has no entry is remembered, so that it does not
	// count as new when its entry returns.
	runMemory = 10 * time.Minute
)

// coldTargets is what a pool knows about cold targets.
type coldTargets struct {
	cfg       ColdConfig
	hosts     int
	share     coldstart.Share
	runs      map[coldRun]*coldRunState
	firstSeen time.Duration // when there first were targets
	hasSeen   bool
	hasServed bool        // a request has arrived
	retries   coldRetries // of an unkeyed service
}

// coldRun identifies a run of a target.
type coldRun struct {
	target string
	run    int64
}

// coldRunState is the state of one run.
type coldRunState struct {
	phase   coldstart.Phase
	sends   coldstart.Sends // while isCold
	isCold  bool            // a cold phase has begun; it may have ended since
	isKnown bool            // its beginning was returned by ColdChanges
	seen    time.Duration   // when its entry was last known
	retries coldRetries
}

// SetCold sets the parameters of cold targets. Targets that are known at the time when
// the limit comes into force count as cold only by their entries.
func (p *Pool) SetCold(now time.Duration, cfg ColdConfig) {
	p.now = now
	if cfg == p.cold.cfg {
		return
	}
	if cfg.Limits.Rate <= 0 || p.cold.cfg.Limits.Rate <= 0 {
		p.cold = coldTargets{hosts: p.cold.hosts, runs: make(map[coldRun]*coldRunState)}
		for _, t := range p.targets {
			t.cold = nil
		}
	}
	p.cold.cfg = cfg
	p.updateColdShare()
	if cfg.Limits.Rate > 0 {
		for _, t := range p.targets {
			p.observeCold(now, t)
		}
		p.cold.markSeen(now, len(p.targets))
	}
}

// SetColdHosts sets the number of hosts that may send to cold targets. It must not be too
// small.
func (p *Pool) SetColdHosts(now time.Duration, hosts int) {
	p.now = now
	if hosts != p.cold.hosts {
		p.cold.hosts = hosts
		p.updateColdShare()
	}
}

func (p *Pool) updateColdShare() {
	if p.cold.cfg.Limits.Rate <= 0 {
		return
	}
	hosts := p.cold.hosts
	if hosts <= 0 {
		hosts = coldstart.AssumedHosts
	}
	p.cold.share = coldstart.ShareOf(p.cold.cfg.Limits, hosts)
	for _, c := range p.cold.runs {
		if c.isCold {
			c.sends.SetShare(p.now, p.cold.share)
		}
	}
}

// observeCold passes the entry of a target to the state of its run.
func (p *Pool) observeCold(now time.Duration, t *target) {
	if p.cold.cfg.Limits.Rate <= 0 {
		return
	}
	key := coldRun{t.Owner.Target, t.Owner.Run}
	c := p.cold.runs[key]
	isNew := c == nil
	if isNew {
		c = &coldRunState{}
		p.cold.runs[key] = c
	}
	c.seen = now
	c.phase.Observe(now, coldstart.Entry{Heartbeat: t.Heartbeat, ColdFor: t.ColdFor})
	if isNew && t.ColdFor == 0 && p.cold.presumesCold(now) {
		c.phase.Presume(now, p.cold.cfg.Duration, 0)
	}
	t.cold = c
	p.beginCold(now, t)
}

// beginCold begins the sends of a cold phase if the target is cold and was not.
func (p *Pool) beginCold(now time.Duration, t *target) {
	c := t.cold
	t.coldUntil = c.phase.Until()
	switch {
	case c.phase.Remaining(now) == 0:
		c.isCold = false
	case !c.isCold:
		c.isCold = true
		c.sends = coldstart.NewSends(now, p.cold.cfg.Host, t.Owner.Target, t.Owner.Run, p.cold.share)
	}
}

// markSeen records that there are targets, and forgets old runs.
func (c *coldTargets) markSeen(now time.Duration, targets int) {
	if !c.hasSeen && targets > 0 {
		c.hasSeen, c.firstSeen = true, now
	}
	maps.DeleteFunc(c.runs, func(_ coldRun, s *coldRunState) bool {
		return now > s.seen+runMemory && s.phase.Remaining(now) == 0
	})
}

// presumesCold reports whether a run that appears now has started while there are
// requests: it is not among the first targets that this host sees.
func (c *coldTargets) presumesCold(now time.Duration) bool {
	if !c.hasSeen || c.cfg.FirstStart && !c.hasServed && now < c.firstSeen+firstStartTime {
		return false
	}
	return true
}

// MarkCold records that a run of a target counts as cold for a duration although its
// entry does not say so, for example because its data centre was evacuated until now.
// Entries that are first seen within the guard time do not end it sooner.
func (p *Pool) MarkCold(now time.Duration, target string, run int64, duration, guard time.Duration) {
	p.now = now
	t := p.targets[target]
	if t == nil || t.cold == nil || t.Owner.Run != run {
		return
	}
	p.beginCold(now, t) // ends a phase whose time has passed
	t.cold.phase.Presume(now, duration, guard)
	p.beginCold(now, t)
}

// RecordRefused records that the address of a run refused a connection: nothing listens
// there. The next run may start to serve before its entry is known, and it is cold.
func (p *Pool) RecordRefused(now time.Duration, target string, run int64) {
	p.MarkCold(now, target, run, min(doubtDuration, p.cold.cfg.Duration), 0)
}

// ColdChange says that a run of a target counts as cold from now on, or no longer.
type ColdChange struct {
	Target    string
	Run       int64
	Remaining time.Duration // 0: the target is warm again
	IsSender  bool          // this host may send to it while it is cold
}

// ColdChanges returns the targets that have turned cold or warm since the last call.
func (p *Pool) ColdChanges(now time.Duration) []ColdChange {
	var out []ColdChange
	for key, c := range p.cold.runs {
		left := c.phase.Remaining(now)
		if c.isKnown == (left > 0) {
			continue
		}
		c.isKnown = left > 0
		out = append(out, ColdChange{Target: key.target, Run: key.run, Remaining: left, IsSender: left > 0 && c.sends.IsSender()})
	}
	return out
}

// ColdTargets returns how much longer each cold target is cold.
func (p *Pool) ColdTargets(now time.Duration) map[string]time.Duration {
	var out map[string]time.Duration
	for name, t := range p.targets {
		if left := t.coldFor(now); left > 0 {
			if out == nil {
				out = make(map[string]time.Duration)
			}
			out[name] = left
		}
	}
	return out
}

// ColdMeanRate returns the number of requests per second that all hosts together send to
// a cold target, or 0 if it is not limited.
func (p *Pool) ColdMeanRate() float64 {
	if p.cold.cfg.Limits.Rate <= 0 {
		return 0
	}
	return coldstart.MeanRate(p.cold.cfg.Limits, max(1, p.cold.hosts))
}

// coldFor returns how much longer the target takes only the sends of cold targets.
func (t *target) coldFor(now time.Duration) time.Duration {
	if t.cold == nil {
		return 0
	}
	return t.cold.phase.Remaining(now)
}

// isColdClosed reports whether the target is cold and this host may not send to it now.
func (t *target) isColdClosed(now time.Duration) bool {
	return t.coldFor(now) > 0 && !t.cold.sends.IsOpen(now)
}

// recordColdSend records a request to the target and reports whether it is cold.
func (t *target) recordColdSend(now time.Duration) bool {
	if t.coldFor(now) == 0 {
		return false
	}
	t.cold.sends.Use(now)
	return true
}

// rateOf returns the number of requests per second that this host can complete at the
// target now.
func (p *Pool) rateOf(t *target) float64 {
	rate := t.serviceRate(p.cfg.BacklogFraction)
	if t.coldFor(p.now) > 0 {
		return min(rate, t.cold.sends.Rate())
	}
	return rate
}

// hasEarlierForColdOwner reports whether a waiting request for the keys of r's owner,
// which is cold, must start before r.
func (p *Pool) hasEarlierForColdOwner(r Request) bool {
	t, _ := p.availableOwner(r.Key)
	if t == nil || t.coldFor(p.now) == 0 {
		return false
	}
	return p.waitingBefore(r, t) > 0
}

// waitingBefore returns the number of waiting requests that start before r: all, or those
// for the keys of an owner.
func (p *Pool) waitingBefore(r Request, owner *target) int {
	count := 0
	for _, w := range p.waiting {
		if compareRequests(w, r) >= 0 {
			break // they are sorted
		}
		if owner != nil {
			if o, _ := p.availableOwner(w.Key); o != owner {
				continue
			}
		}
		if !w.sharesRegion(r) {
			continue
		}
		count++
	}
	return count
}

// coldCandidates returns the targets that could run a request, if all of them are cold.
func (p *Pool) coldCandidates(r Request) []*target {
	if p.cold.cfg.Limits.Rate <= 0 {
		return nil
	}
	if p.cfg.Keyed {
		if t, _ := p.ownerFor(r); t != nil && t.coldFor(p.now) > 0 {
			return []*target{t}
		}
		return nil
	}
	var out []*target
	for _, t := range p.targets {
		if t.Leaving || !r.mayUse(t) || slices.Contains(r.TriedTargets, t.Owner.Target) {
			continue
		}
		if t.coldFor(p.now) == 0 {
			return nil
		}
		out = append(out, t)
	}
	return out
}

// refuseIfCold refuses a request that only cold targets could run, if they would take it
// too late for a useful answer.
func (p *Pool) refuseIfCold(now time.Duration, r Request) (Action, bool) {
	candidates := p.coldCandidates(r)
	if len(candidates) == 0 {
		return Action{}, false
	}
	var owner *target
	if p.cfg.Keyed {
		owner = candidates[0]
	}
	return p.refuseIfColdBehind(now, r, candidates, p.waitingBefore(r, owner))
}

// refuseIfColdBehind does the same for a request that starts after a number of others.
func (p *Pool) refuseIfColdBehind(now time.Duration, r Request, candidates []*target, before int) (Action, bool) {
	e := p.coldEstimate(now, candidates, before)
	if now+e.wait+p.serviceTime.value <= r.latestAnswer() {
		return Action{}, false
	}
	retries := &p.cold.retries
	if p.cfg.Keyed {
		retries = &candidates[0].cold.retries
	}
	return p.refuse(now, r, Cold, retries.next(now, e)), true
}

// refuseWaitingCold refuses the waiting requests that only cold targets could run, if
// they would take them too late: the targets may have turned cold after they arrived.
func (p *Pool) refuseWaitingCold(now time.Duration) []Action {
	if p.cold.cfg.Limits.Rate <= 0 || len(p.waiting) == 0 || len(p.ColdTargets(now)) == 0 {
		return nil
	}
	var actions []Action
	before := make(map[*target]int) // by owner; all under nil for an unkeyed service
	p.waiting = slices.DeleteFunc(p.waiting, func(r Request) bool {
		candidates := p.coldCandidates(r)
		if len(candidates) == 0 {
			return false
		}
		var owner *target
		if p.cfg.Keyed {
			owner = candidates[0]
		}
		a, refused := p.refuseIfColdBehind(now, r, candidates, before[owner])
		if refused {
			actions = append(actions, a)
		} else {
			before[owner]++
		}
		return refused
	})
	return actions
}

// coldWait estimates how long a request waits that only cold targets can run.
func (p *Pool) coldWait(r Request) (time.Duration, bool) {
	candidates := p.coldCandidates(r)
	if len(candidates) == 0 {
		return 0, false
	}
	var owner *target
	if p.cfg.Keyed {
		owner = candidates[0]
	}
	return p.coldEstimate(p.now, candidates, p.waitingBefore(r, owner)).wait, true
}

// coldEstimate is what a request can expect of targets that are all cold.
type coldEstimate struct {
	wait     time.Duration // until a send
	warmIn   time.Duration // until the first of the targets is warm
	coldRate float64       // sends of this host per second until then
	warmRate float64       // requests per second that this host can complete afterwards
}

// coldEstimate returns what a request can expect that starts after a number of others.
func (p *Pool) coldEstimate(now time.Duration, candidates []*target, before int) coldEstimate {
	var e coldEstimate
	var firstSend time.Duration
	for i, t := range candidates {
		left, send := t.coldFor(now), max(t.cold.sends.Wait(now, 0), t.pausedFor(now))
		if i == 0 || left < e.warmIn {
			e.warmIn = left
		}
		if i == 0 || send < firstSend {
			firstSend = send
		}
		e.coldRate += t.cold.sends.Rate()
		e.warmRate += float64(max(1, t.Slots)) / p.serviceTimeAt(t).Seconds() / float64(max(1, p.hostCount))
	}
	e.wait = e.warmIn + seconds(float64(before)/max(e.warmRate, minRetryRate))
	if e.coldRate > 0 {
		e.wait = min(e.wait, firstSend+seconds(float64(before)/e.coldRate))
	}
	return e
}

// coldRetries spreads the retries of callers that were refused because their targets are
// cold: at the rate of the sends, and from when the targets are warm at what they then
// complete.
type coldRetries struct {
	cold, warm time.Duration // time of the latest scheduled retry before and after they are warm
}

func (c *coldRetries) next(now time.Duration, e coldEstimate) time.Duration {
	warmAt := now + e.warmIn
	if e.coldRate > 0 {
		if at := max(now+e.wait, c.cold+seconds(1/e.coldRate)); at < warmAt {
			c.cold = at
			return at - now
		}
	}
	c.warm = min(max(warmAt, c.warm+seconds(1/max(e.warmRate, minRetryRate))), warmAt+maxRetryAfter)
	return max(c.warm-now, minRetryAfter)
}

// maxEstimate limits estimates, which can be without an end.
const maxEstimate = time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxEstimate.Seconds()) * float64(time.Second))
}
