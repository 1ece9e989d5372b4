package pool

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// priorityEntry begins the names under which a host reports the concurrency of each
	// priority, among the numbers of requests that it runs at targets. A target of
	// such a name would distort the reserve by a hundredth of what it runs.
	priorityEntry = "priority/"
	// priorityUnit is the reported number per concurrent request, so that a host reports
	// fractions: a request of 68 ms that comes five times a second is a third.
	priorityUnit = 100
	// minConcurrency is the least concurrency at other hosts that counts.
	minConcurrency = 0.05
)

// PriorityLoads returns the concurrency of each priority at this host, for a report of
// what it runs. It is empty if the pool reserves no capacity.
func (p *Pool) PriorityLoads(now time.Duration) map[string]int {
	if p.urgency == nil {
		return nil
	}
	sums := make(map[int]float64)
	for _, l := range p.urgency.routes {
		if l.isRecent(now) {
			sums[l.priority] += l.concurrency(now)
		}
	}
	out := make(map[string]int, len(sums))
	for priority, sum := range sums {
		out[priorityEntry+strconv.Itoa(priority)] = int(math.Ceil(priorityUnit * sum))
	}
	return out
}

// recordPriorityLoads records what the other hosts reported, from the numbers of requests
// that they run.
func (p *Pool) recordPriorityLoads(running map[string]float64) {
	u := p.urgency
	if u == nil {
		return
	}
	clear(u.others)
	for name, count := range running {
		text, ok := strings.CutPrefix(name, priorityEntry)
		if priority, err := strconv.Atoi(text); ok && err == nil && count >= priorityUnit*minConcurrency {
			u.others[priority] = count / priorityUnit
		}
	}
	u.refresh(p.now)
}

// concurrencyBefore returns the mean number of requests more urgent than the priority
// that all hosts run, or 0 if none arrived lately. While the other hosts' numbers are not
// known, each is assumed to receive what this host receives.
func (u *urgency) concurrencyBefore(now time.Duration, priority, hosts int) float64 {
	own, others := 0.0, 0.0
	for _, l := range u.routes {
		if l.priority < priority && l.isRecent(now) {
			own += l.concurrency(now)
		}
	}
	if len(u.others) == 0 {
		return own * float64(max(1, hosts))
	}
	for other, concurrency := range u.others {
		if other < priority {
			others += concurrency
		}
	}
	return own + others
}

// hasRoute reports whether requests of the priority arrived at this host lately.
func (u *urgency) hasRoute(now time.Duration, priority int) bool {
	for _, l := range u.routes {
		if l.priority == priority && l.isRecent(now) {
			return true
		}
	}
	return false
}
