package entry

import (
	"math"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/platform"
)

const (
	// memoryRetryAfter is the Retry-After of a request that is refused because too much is
	// held for clients: a large body takes about this long to be passed on.
	memoryRetryAfter = time.Second
	// unreadBodyTime limits how long the rest of a body is read that nobody needs, so that
	// the connection can be kept.
	unreadBodyTime = time.Second
)

// readBody reads the whole body. If it reports false, the caller has been
// answered.
func (c *call) readBody() bool {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := c.readAllWithin(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memlimit.ErrRefused) || !c.memory.Keep():
		c.refuseForMemory()
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusRequestTimeout, "body-too-slow", err)
		return false
	case errors.As(err, &tooLarge):
		c.w.Header().Set("Connection", "close")
		c.fail(http.StatusRequestEntityTooLarge, "body-too-large", err)
		return false
	case err != nil:
		c.fail(http.StatusBadRequest, "body-broken-off", err)
		return false
	}
	c.outbound = &outboundRequest{
		method: c.r.Method, uri: c.r.RequestURI, host: c.r.Host, header: endToEndHeaders(c.r.Header),
		body: body, id: c.ID, unsafe: !c.route.Idempotent,
	}
	return true
}

// readAllWithin reads the body until the request's deadline.
func (c *call) readAllWithin(limit int64) ([][]byte, error) {
	if c.r.Body == http.NoBody {
		return nil, nil
	}
	if c.r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(c.w)
	// Only the writers of tests do not support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(c.deadline - steadyClock()))
	if c.memory.IsEnded() { // before the deadline was set, which it has to cut short
		return nil, memlimit.ErrRefused
	}
	body, err := partReader{holder: c.memory, limit: math.MaxInt64}.read(
		c.r.Context(), http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// refuseForMemory refuses a request of which nothing was passed on, because too much is
// held for clients. There is no log line for each: logHeld writes them together.
func (c *call) refuseForMemory() {
	c.memory.Return()
	c.node.counters.countEnded("refused", c.serviceName())
	c.w.Header().Set("Connection", "close")
	platform.SetRetryAfter(c.w.Header(), memoryRetryAfter)
	c.fail(http.StatusServiceUnavailable, "", nil)
}

// limitUnreadBody limits how long net/http reads the rest of a body before it answers or
// closes the connection.
func (c *call) limitUnreadBody() {
	if c.r.Body != http.NoBody {
		// Only the writers of tests do not support deadlines.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// beginDelivery returns what the request held, which is not needed any more. The answer
// has to give way to others from now on if the caller does not read it.
func (c *call) beginDelivery(a *answer) {
	c.outbound.body = nil
	c.memory.Return()
	a.memory.MayEnd(memlimit.AbortConn(c.r))
}
