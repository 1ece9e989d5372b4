package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	// unconfiguredRetry is when a caller is to come back to a host that knows no
	// configuration yet.
	unconfiguredRetry = 500 * time.Millisecond
	// defaultMaxBody holds until a configuration names the limit.
	defaultMaxBody = 1 << 20
	// moveRetry is how long a request waits after a target said that it does not
	// hold the key, for each such answer: the map of owners is on its way.
	moveRetry = 40 * time.Millisecond
	// misdirected is how often a request may meet a target that does not hold its
	// key.
	misdirected = 3
	// answerMargin is taken off the caller's own deadline, so that the last answer
	// still reaches it.
	answerMargin = 5 * time.Millisecond
)

// call is one request of a caller on its way through this host.
type call struct {
	platform.Request
	n        *Node
	w        http.ResponseWriter
	r        *http.Request
	table    *routing.Table
	route    *routing.Route
	service  *service
	out      *outbound
	number   uint64
	arrived  time.Duration
	deadline time.Duration // the last moment at which an answer is of use
	tried    []string
	moved    int // answers of targets that do not hold the key
}

// ServeHTTP takes a caller's request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{n: n, w: w, r: r, Request: platform.ReadRequest(r.Header), arrived: steady(), number: n.numbers.Add(1)}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !c.findRoute() || !c.readBody() {
		return
	}
	c.run()
}

// findRoute reports whether there is a route; else the caller was answered.
func (c *call) findRoute() bool {
	c.table = c.n.table.Load()
	if c.table == nil {
		c.refuse("unconfigured", unconfiguredRetry)
		return false
	}
	if c.route = c.table.Match(hostOnly(c.r.Host), c.r.URL.Path); c.route == nil {
		c.fail(http.StatusNotFound, "no-route", nil)
		return false
	}
	if c.service = c.n.serviceOf(c.route); c.service == nil {
		c.refuse("no-service", unconfiguredRetry)
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
	return true
}

func hostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		return host[:i]
	}
	return host
}

// readBody reads the whole body. It reports false when the request ended there.
func (c *call) readBody() bool {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, "body-too-large", err)
		return false
	case err != nil:
		c.fail(http.StatusBadRequest, "body-broken-off", err)
		return false
	}
	c.out = &outbound{
		method: c.r.Method, uri: c.r.RequestURI, host: c.r.Host, header: endToEnd(c.r.Header),
		body: body, id: c.ID, unsafe: !c.route.Idempotent,
	}
	return true
}

// perConnection are headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range perConnection {
		out.Del(name)
	}
	return out
}

// run brings the request to a target, again where that is allowed, and answers
// the caller.
func (c *call) run() {
	ctx := c.r.Context()
	c.service.first(c.Key)
	notUntil := time.Duration(0)
	for {
		a, ok := c.service.admit(ctx, c.poolRequest(notUntil))
		if !ok {
			c.left("waiting")
			return
		}
		if !a.Start {
			c.refuse(string(a.Reason), a.RetryAfter)
			return
		}
		t := c.send(ctx, a)
		if ctx.Err() != nil && t.answer == nil {
			c.left("running at " + a.Target.Target)
			return
		}
		if c.delivered(a, t) {
			return
		}
		if why := c.mayRetry(a, t); why != routing.RetryAllowed {
			c.giveUp(a, t, why)
			return
		}
		notUntil = c.nextTry(a, t)
	}
}

func (c *call) poolRequest(notUntil time.Duration) pool.Request {
	return pool.Request{
		ID: c.number, Key: c.Key, Priority: c.route.Priority, Arrived: c.arrived,
		Goal: c.arrived + c.route.LatencyGoal, Deadline: c.deadline, Tried: c.tried, NotUntil: notUntil,
	}
}

func (c *call) send(ctx context.Context, a pool.Action) try {
	sendCtx := ctx
	if !c.route.Idempotent {
		// What may not run twice is not broken off: it runs to its end.
		sendCtx = context.WithoutCancel(ctx)
	}
	t := c.n.exchange(sendCtx, c.out, a.Target, c.deadline-steady())
	c.service.finish(a, t.took, t.result)
	c.n.counters.tries(t.result)
	return t
}

// delivered passes a target's answer on, if it is the final one.
func (c *call) delivered(a pool.Action, t try) bool {
	outcome := routing.Classify(t.reply)
	if outcome != routing.OutcomeRan {
		return false
	}
	if t.answer.status >= http.StatusInternalServerError && c.route.Idempotent && c.mayRetryFailure(t) {
		return false
	}
	c.deliver(t.answer)
	c.n.logAnswered(c, a, t)
	return true
}

// mayRetryFailure reports whether a failure that a target answered is worth
// another try.
func (c *call) mayRetryFailure(t try) bool {
	return len(c.tried)+1 < c.route.MaxAttempts && c.deadline-steady() > 2*t.took && t.answer.status != http.StatusGatewayTimeout
}

func (c *call) deliver(a *answer) {
	h := c.w.Header()
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // none is guessed
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		c.left("answered")
	}
}

// mayRetry decides on another try after one that brought no final answer.
func (c *call) mayRetry(a pool.Action, t try) routing.RetryReason {
	outcome := routing.Classify(t.reply)
	if outcome == routing.OutcomeRan {
		outcome = routing.OutcomeUnknown // a failure of an idempotent request
	}
	if t.result == pool.Unreachable {
		return c.mayConnectElsewhere()
	}
	// The owner of a key may be asked again: it is one target, however often it sheds.
	targets := len(slices.Compact(slices.Sorted(slices.Values(append(slices.Clip(c.tried), a.Target.Target)))))
	tooMany := targets >= c.route.MaxAttempts && t.result != pool.NotOwner
	if tooMany || len(c.tried)+1 >= maxSends || c.moved >= misdirected {
		return routing.RetryTries
	}
	return c.service.mayRetry(steady(), routing.Attempt{
		Outcome: outcome, Idempotent: c.route.Idempotent, Deadline: c.deadline, Expected: minExpected, Tries: 1,
	})
}

// maxSends bounds how often a request is sent, also to the same target.
const maxSends = 5

// minExpected is the least time in which a further try can bring an answer.
const minExpected = 40 * time.Millisecond

// maxConnects bounds the targets that a request is tried at without a connection.
const maxConnects = 4

// mayConnectElsewhere decides after a target that could not be connected to:
// nothing was sent, so it costs no retry.
func (c *call) mayConnectElsewhere() routing.RetryReason {
	switch {
	case steady()+minExpected >= c.deadline:
		return routing.RetryDeadline
	case len(c.tried) >= maxConnects:
		return routing.RetryTries
	default:
		return routing.RetryAllowed
	}
}

// nextTry notes a try that failed and returns when the next one may begin.
func (c *call) nextTry(a pool.Action, t try) time.Duration {
	c.n.logRetried(c, a, t)
	if t.result == pool.NotOwner {
		c.moved++
		return steady() + time.Duration(c.moved)*moveRetry
	}
	c.tried = append(c.tried, a.Target.Target)
	return 0
}

// giveUp ends a request for which there is no further try.
func (c *call) giveUp(a pool.Action, t try, why routing.RetryReason) {
	if t.answer != nil && !t.reply.SaysNotRun {
		c.deliver(t.answer)
		c.n.logAnswered(c, a, t)
		return
	}
	if routing.Classify(t.reply) == routing.OutcomeNotRun {
		c.refuse(t.result.String()+", "+why.String(), fullRetry)
		return
	}
	status := http.StatusBadGateway
	if t.result == pool.Silent {
		status = http.StatusGatewayTimeout
	}
	c.n.logUnknown(c, a, t, why)
	c.fail(status, "", t.err)
}

// fullRetry is when a caller is to come back whose request a target shed.
const fullRetry = 150 * time.Millisecond

// refuse tells the caller that the request was not run, and when to come back.
func (c *call) refuse(why string, after time.Duration) {
	c.n.logRefused(c, why, after)
	platform.SetRetryAfter(c.w.Header(), after)
	c.fail(http.StatusServiceUnavailable, "", nil)
}

// fail answers with a status of this host's own.
func (c *call) fail(status int, why string, err error) {
	c.n.counters.own(status)
	if why != "" {
		c.n.logFailed(c, status, why, err)
	}
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
}

func (c *call) left(where string) {
	c.n.logLeft(c, where)
}

// remoteIP returns the caller's address without the port.
func (c *call) remoteIP() string {
	host, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return host
}
