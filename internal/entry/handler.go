package entry

import (
	"context"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mangopost/mangopost/admission/loadreport"
	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	// unconfiguredRetryAfter is the Retry-After of a host that has no
	// configuration yet.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// defaultMaxBodyBytes limits a request body if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 1 << 20
	// notOwnerBackoff is the wait before a retry for each answer of a target that
	// does not hold the key: a new owner map is about to arrive.
	notOwnerBackoff = 40 * time.Millisecond
	// maxNotOwnerAnswers is how many targets that do not hold its key a request
	// may reach.
	maxNotOwnerAnswers = 3
	// answerMargin is subtracted from the caller's own deadline so that the last
	// answer still reaches the caller.
	answerMargin = 5 * time.Millisecond
)

// call is one request of a caller while this host handles it.
type call struct {
	platform.Request
	node            *Node
	w               http.ResponseWriter
	r               *http.Request
	table           *routing.Table
	route           *routing.Route
	service         *service
	outbound        *outboundRequest
	memory          *memlimit.Holder // of the request; may be nil
	number          uint64
	arrived         time.Duration
	elapsed         time.Duration // since the caller sent the request first, if it sends it again
	deadline        time.Duration // when an answer stops being of use
	triedTargets    []string
	notOwnerAnswers int                 // answers of targets that do not hold the key
	mayHaveRun      bool                // at a target that failed it: no refusal may say that it has not run
	contentHash     routing.Fingerprint // if hasContentHash
	hasContentHash  bool
	isProbe         bool // it is quarantined and runs once all the same
	reachedTarget   bool // a target may have begun to run it
}

// ServeHTTP handles a caller's request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{node: n, w: w, r: r, Request: platform.ReadRequest(r.Header), arrived: steadyClock(), number: n.lastRequestNumber.Add(1)}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c.memory = memlimit.BeginRequest(r)
	defer func() { c.memory.MayEnd(memlimit.AbortConn(r)) }()
	if !c.findRoute() || !c.applyStop() || !c.readBody() {
		c.limitUnreadBody()
		return
	}
	if !c.passQuarantine() {
		return
	}
	defer c.endProbe()
	setHandling(r.Context(), true)
	defer setHandling(r.Context(), false)
	c.run()
}

// findRoute looks up the route, the service and the deadline. If it reports false,
// the caller has been answered.
func (c *call) findRoute() bool {
	c.table = c.node.table.Load()
	if c.table == nil {
		c.refuse("unconfigured", unconfiguredRetryAfter)
		return false
	}
	if c.route = c.table.Match(stripPort(c.r.Host), c.r.URL.Path); c.route == nil {
		c.fail(http.StatusNotFound, "no-route", nil)
		return false
	}
	if c.service = c.node.nextService(c.route); c.service == nil {
		c.refuse("no-service", unconfiguredRetryAfter)
		return false
	}
	if c.service.keyed && (c.Key < 0 || c.Key > maxKey) {
		c.fail(http.StatusBadRequest, "no-key", nil)
		return false
	}
	wait := c.route.Timeout
	if c.Deadline > 0 {
		wait = min(wait, c.Deadline-answerMargin)
	}
	c.deadline = c.arrived + wait
	if c.node.reservesUrgent() {
		c.elapsed = c.node.repeats.observe(c.route.Name, c.Deadline)
	}
	return true
}

// isQuarantined reports whether the request must not be sent again because targets ended
// with it.
func (c *call) isQuarantined() bool {
	return !c.node.quarantine.isEmpty() && c.node.quarantine.check(c.fingerprint()).Refused
}

// passQuarantine reports whether the request may run: it is not quarantined, or it is the
// probe that may clear it. If it reports false, the caller has been answered.
func (c *call) passQuarantine() bool {
	if c.node.quarantine.isEmpty() {
		return true
	}
	fp := c.fingerprint()
	v := c.node.quarantine.check(fp)
	if !v.Refused {
		return true
	}
	if c.isProbe = c.node.takeProbe(c.r.Context(), c.ID, fp, v); c.isProbe {
		return true
	}
	c.refuse("quarantined", quarantineRetryAfter(v))
	return false
}

// quarantineRetryAfter returns the Retry-After of a quarantined request.
func quarantineRetryAfter(v routing.Verdict) time.Duration {
	switch {
	case v.IsProbed:
		return minQuarantineRetryAfter
	case v.HasProbe:
		return min(max(v.ProbeIn, minQuarantineRetryAfter), maxQuarantineRetryAfter)
	default:
		return maxQuarantineRetryAfter
	}
}

// endProbe ends the probe of a quarantined request.
func (c *call) endProbe() {
	if c.isProbe {
		c.node.quarantine.endClaim(c.fingerprint(), !c.reachedTarget)
	}
}

func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// hopByHopHeaders are the headers that concern a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns a copy of h without its hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// run sends the request to a target, retries it where that is allowed, and answers
// the caller.
func (c *call) run() {
	ctx := c.r.Context()
	c.service.countArrival(c.Key)
	notBefore := time.Duration(0)
	for {
		a, ok := c.service.admit(ctx, c.poolRequest(notBefore))
		if !ok {
			c.abandon("waiting")
		}
		c.node.counters.countCold(c.service.name, a)
		if !a.Start {
			switch a.Reason {
			case pool.Reserved:
				c.node.counters.countReserved(c.service.name)
			case pool.PastGoal:
				c.node.counters.countPastGoal(c.service.name)
			}
			c.refuseUnlessRun(string(a.Reason), a.RetryAfter)
			return
		}
		var done bool
		if notBefore, done = c.try(ctx, a); done {
			return
		}
	}
}

// try sends the request to one target. done reports whether the caller was answered or
// has disconnected; otherwise the next attempt is made at notBefore.
func (c *call) try(ctx context.Context, a pool.Action) (notBefore time.Duration, done bool) {
	t := c.send(ctx, a)
	defer t.release()
	if ctx.Err() != nil && t.answer == nil {
		c.abandon("running at " + a.Target.Target)
	}
	if c.deliverFinal(a, t) {
		return 0, true
	}
	if reason := c.mayRetry(a, t); reason != routing.RetryAllowed {
		c.giveUp(a, t, reason)
		return 0, true
	}
	return c.scheduleRetry(a, t), false
}

func (c *call) poolRequest(notBefore time.Duration) pool.Request {
	return pool.Request{
		ID: c.number, Key: c.Key, Priority: c.route.Priority, Route: c.route.Name, Arrived: c.arrived,
		Goal: c.arrived + c.route.LatencyGoal - c.elapsed, Deadline: c.deadline, TriedTargets: c.triedTargets, NotBefore: notBefore,
		Regions: c.route.Regions,
	}
}

func (c *call) send(ctx context.Context, a pool.Action) attempt {
	sendCtx := ctx
	if !c.route.Idempotent {
		// A request that must not run twice is not cancelled: it runs to its end.
		sendCtx = context.WithoutCancel(ctx)
	}
	c.outbound.connectWithin = 0
	if a.Cold {
		c.outbound.connectWithin = coldConnectTime
	}
	t := c.node.exchange(sendCtx, c.outbound, a.Target, c.deadline-steadyClock())
	c.reachedTarget = c.reachedTarget || t.reply.Sent && !t.reply.SaysNotRun
	c.recordCrossing(a, t)
	trust := c.service.finish(a, t)
	c.recordLoad(a, t, trust)
	c.node.counters.countTry(t.result)
	c.recordOutcome(a.Target, t)
	if t.result == pool.Unreachable && isConnRefused(t.err) {
		c.service.recordRefused(a.Target)
	}
	if t.pause > 0 {
		c.node.counters.countPause()
		c.node.log.EmitFields(evPaused, append(c.attemptFields(a, t), kernel.Int("pause_ms", ms(t.pause)))...)
	}
	if t.leaving {
		c.node.recordLeaving(directory.Run{Target: a.Target.Target, Run: a.Target.Run}, "answer")
	}
	return t
}

// recordLoad counts a target's load report, and logs if its reports begin or cease to
// count.
func (c *call) recordLoad(a pool.Action, t attempt, trust loadreport.Change) {
	if t.load.Slots > 0 {
		c.node.counters.countLoadReport(c.service.name)
	}
	if trust != loadreport.Unchanged {
		c.node.log.EmitFields(evLoadReports, append(c.attemptFields(a, t), kernel.String("trusted", strconv.FormatBool(trust == loadreport.Regained)),
			kernel.Int("running", int64(t.load.Running)), kernel.Int("waiting", int64(t.load.Waiting)), kernel.Int("slots", int64(t.load.Slots)))...)
	}
}

// deliverFinal passes a target's answer to the caller if it is the final one, and
// reports whether it did.
func (c *call) deliverFinal(a pool.Action, t attempt) bool {
	outcome := routing.Classify(t.reply)
	if outcome != routing.OutcomeRan {
		return false
	}
	if t.answer.status >= http.StatusInternalServerError && c.route.Idempotent && c.mayRetryFailure(t) {
		return false
	}
	c.deliver(t.answer)
	c.node.logAnswered(c, a, t)
	return true
}

// mayRetryFailure reports whether a request that a target answered with a server
// error is worth another attempt.
func (c *call) mayRetryFailure(t attempt) bool {
	return len(c.triedTargets)+1 < c.route.MaxAttempts && c.deadline-steadyClock() > 2*t.took && t.answer.status != http.StatusGatewayTimeout
}

func (c *call) deliver(a *answer) {
	c.beginDelivery(a)
	h := c.w.Header()
	for name, values := range endToEndHeaders(a.header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops net/http from guessing one
	}
	h.Set("Content-Length", strconv.Itoa(a.length()))
	c.w.WriteHeader(a.status)
	for _, part := range a.body {
		if _, err := c.w.Write(part); err != nil {
			c.logLeft("answered")
			return
		}
		a.memory.Progress()
	}
}

// mayRetry decides on another attempt after one that returned no final answer.
func (c *call) mayRetry(a pool.Action, t attempt) routing.RetryReason {
	outcome := routing.Classify(t.reply)
	if outcome == routing.OutcomeRan {
		outcome = routing.OutcomeUnknown // an idempotent request failed
	}
	if t.result == pool.Unreachable {
		return c.mayTryAnotherTarget()
	}
	// The owner of a key may be tried again: it counts as one target, however
	// often it sheds the request.
	targets := len(slices.Compact(slices.Sorted(slices.Values(append(slices.Clip(c.triedTargets), a.Target.Target)))))
	tooMany := targets >= c.route.MaxAttempts && t.result != pool.NotOwner
	if tooMany || len(c.triedTargets)+1 >= maxSends || c.notOwnerAnswers >= maxNotOwnerAnswers {
		return routing.RetryTries
	}
	return c.service.mayRetry(steadyClock(), routing.Attempt{
		Outcome: outcome, Idempotent: c.route.Idempotent, Deadline: c.deadline, Expected: minAttemptTime, Tries: 1,
		Poisoned: c.isQuarantined(),
	})
}

// maxSends limits how often a request is sent, including repeats to the same
// target.
const maxSends = 5

// minAttemptTime is the shortest time in which another attempt can return an
// answer.
const minAttemptTime = 40 * time.Millisecond

// maxConnectFailures limits the number of targets to which a connection may fail
// per request.
const maxConnectFailures = 4

// mayTryAnotherTarget decides on another attempt after a failed connection:
// nothing was sent, so it does not count against the retry budget.
func (c *call) mayTryAnotherTarget() routing.RetryReason {
	switch {
	case steadyClock()+minAttemptTime >= c.deadline:
		return routing.RetryDeadline
	case len(c.triedTargets) >= maxConnectFailures:
		return routing.RetryTries
	default:
		return routing.RetryAllowed
	}
}

// scheduleRetry records a failed attempt and returns the earliest time of the next
// one.
func (c *call) scheduleRetry(a pool.Action, t attempt) time.Duration {
	c.node.logRetried(c, a, t)
	if routing.Classify(t.reply) != routing.OutcomeNotRun {
		c.mayHaveRun = true
	}
	if t.result == pool.NotOwner {
		c.notOwnerAnswers++
		return steadyClock() + time.Duration(c.notOwnerAnswers)*notOwnerBackoff
	}
	c.triedTargets = append(c.triedTargets, a.Target.Target)
	return 0
}

// giveUp answers the caller when no further attempt is allowed.
func (c *call) giveUp(a pool.Action, t attempt, reason routing.RetryReason) {
	if t.answer != nil && !t.reply.SaysNotRun {
		c.deliver(t.answer)
		c.node.logAnswered(c, a, t)
		return
	}
	if routing.Classify(t.reply) == routing.OutcomeNotRun {
		c.refuseUnlessRun(t.result.String()+", "+reason.String(), max(shedRetryAfter, c.service.pausedFor(c.Key, c.route.Regions)))
		return
	}
	status := http.StatusBadGateway
	if t.result == pool.Silent {
		status = http.StatusGatewayTimeout
	}
	c.node.logUnknown(c, a, t, reason)
	c.fail(status, "", t.err)
}

// shedRetryAfter is the Retry-After of a request that targets shed.
const shedRetryAfter = 150 * time.Millisecond

// refuseUnlessRun refuses a request that is not sent again. If it may have run at a target
// before, the caller is not told that it has not.
func (c *call) refuseUnlessRun(reason string, retryAfter time.Duration) {
	if !c.mayHaveRun {
		c.refuse(reason, retryAfter)
		return
	}
	c.node.logNotSentAgain(c, reason)
	c.fail(http.StatusBadGateway, "", nil)
}

// refuse tells the caller that the request was not run and when to retry.
func (c *call) refuse(reason string, retryAfter time.Duration) {
	c.node.logRefused(c, reason, retryAfter)
	if c.route != nil {
		c.node.repeats.recordRefusal(c.route.Name)
	}
	platform.SetRetryAfter(c.w.Header(), retryAfter)
	c.fail(http.StatusServiceUnavailable, "", nil)
}

// fail answers with a status generated by this host.
func (c *call) fail(status int, reason string, err error) {
	c.node.counters.countOwnAnswer(status)
	if reason != "" {
		c.node.logFailed(c, status, reason, err)
	}
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

// abandon ends the request of a caller that has disconnected. It closes the connection
// without an answer, because net/http sends an empty one with status 200 when a handler
// returns.
func (c *call) abandon(during string) {
	c.logLeft(during)
	panic(http.ErrAbortHandler)
}

func (c *call) logLeft(during string) {
	c.node.logCallerLeft(c, during)
}

// remoteIP returns the caller's address without the port.
func (c *call) remoteIP() string {
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return host
}
