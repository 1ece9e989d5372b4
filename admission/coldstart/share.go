// Package coldstart decides when one host may send a request to a cold target, so
// that all hosts together keep a limit on the requests of one second without a
// message between them. It is pure: the current time is passed in, and what looks
// random is a hash of the names of the host and the target.
//
// Each host decides by that hash whether it is among the few senders of a cold target,
// and a sender keeps a distance of more than a second between two sends. The number of
// requests in a second is then at most the number of senders, whenever they send.
//
// It handles these load patterns:
//   - all hosts learn at the same moment that a target is cold, or get requests at the
//     same moment after they were idle: only the senders send, one request each;
//   - hosts restart: the same hosts are senders again, and wait before their first send
//     for as long as between two sends;
//   - hosts join, or know a host count that is too small: the part of the hosts that are
//     senders allows for more hosts than are known.
package coldstart

import (
	"math"
	"time"
)

const (
	// maxExceedProbability is the accepted probability that a run of a target has more
	// senders than its limit. A day of 1,000 cold phases exceeds it once in 270 years.
	maxExceedProbability = 1e-8
	// limitWindow is the time within which the requests to a cold target are limited.
	limitWindow = time.Second
	// sendDelay is how much later than decided a request may be written: a connection
	// may take 200 ms (coldConnectTime in internal/entry), and small hosts wait for
	// processor time.
	sendDelay = 250 * time.Millisecond
	// window is the time in which a sender makes one send, so that no two of them fall
	// into one limitWindow.
	window = limitWindow + sendDelay
	// joinMargin multiplies the known host count: 10 hosts may join 59, or the known
	// count may be 15 % too small.
	joinMargin = 1.2
	// never is a wait without an end that can still be added to a time.
	never = time.Duration(math.MaxInt64 / 4)
)

// Limits are the limits of the cold targets of a service.
type Limits struct {
	Rate   float64 // requests per second that a cold target can take, from all hosts together; 0: no limit
	Window float64 // maximum number of requests in any one second, from all hosts together
}

// Share is the part of one host in the sends to a cold target.
type Share struct {
	Probability float64       // that the host is a sender
	Spacing     time.Duration // between two sends of a sender
}

// ShareOf returns the share of each of the hosts. hosts is the number of hosts that are
// known to exist; more may send.
func ShareOf(l Limits, hosts int) Share {
	n := int(math.Ceil(joinMargin * float64(max(1, hosts))))
	limit := int(l.Window)
	if l.Rate <= 0 || limit < 1 {
		return Share{Spacing: never}
	}
	s := Share{Probability: SenderProbability(limit, n), Spacing: window}
	if n <= limit { // each host can have an equal part of the limit
		s.Spacing = window / time.Duration(limit/n)
	}
	// The senders together do not exceed the rate in the mean.
	spacing := float64(n) * s.Probability / l.Rate * float64(time.Second)
	s.Spacing = max(s.Spacing, time.Duration(min(spacing, float64(never))))
	return s
}

// MeanRate returns the mean number of requests per second that the hosts together may
// send to a cold target.
func MeanRate(l Limits, hosts int) float64 {
	s := ShareOf(l, hosts)
	return float64(hosts) * s.Probability / s.Spacing.Seconds()
}

// SenderProbability returns the highest probability of a host to be a sender at which
// there are more senders than the limit with a probability of at most
// maxExceedProbability.
func SenderProbability(limit, hosts int) float64 {
	if hosts <= limit {
		return 1
	}
	low, high := 0.0, 1.0
	for range 60 {
		if middle := (low + high) / 2; binomialTail(hosts, middle, limit+1) <= maxExceedProbability {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// binomialTail returns the probability of at least k successes in n trials, for p above 0
// and below 1.
func binomialTail(n int, p float64, k int) float64 {
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += math.Exp(logChoose(n, i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return sum
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n int) float64 {
	value, _ := math.Lgamma(float64(n) + 1)
	return value
}
