package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the interface to callers.
const (
	headerClient    = "Mangopost-Client"
	headerKey       = "Mangopost-Key"
	headerFirstSent = "Mangopost-First-Sent"
	headerAttempt   = "Mangopost-Attempt"
	headerDeadline  = "Mangopost-Deadline-Ms"
	headerRequestID = "Mangopost-Request-Id"
	headerOutcome   = "Mangopost-Outcome"
	headerReason    = "Mangopost-Reason"
	headerReplayed  = "Mangopost-Replayed"
)

// headerIdemKey is not in canonical form: net/http silently resends a request
// over another connection when it carries the canonical header.
const headerIdemKey = "idempotency-key"

// maxAnswerBytes limits how much of an answer's body is read.
const maxAnswerBytes = 4 << 20

// maxIdleConnsPerEntry is the number of idle connections kept to one entry host.
const maxIdleConnsPerEntry = 512

// caller sends attempts to entry hosts.
type caller struct {
	client   *http.Client
	entries  []string
	timeout  time.Duration
	idPrefix string // start of every request ID of this run
}

func newCaller(entries []string, timeout time.Duration, run string) *caller {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &caller{
		client:   &http.Client{Transport: transport},
		entries:  entries,
		timeout:  timeout,
		idPrefix: run + "-",
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// attempt sends a request once. Latency is measured from intended; firstSent is
// the time of the request's first attempt.
func (c *caller) attempt(ctx context.Context, r Request, n int, intended, firstSent time.Time) Result {
	result := c.newResult(r, n, intended)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(c.timeout))
	defer cancel()
	result.SentUnixUS = time.Now().UnixMicro()
	req, err := c.newRequest(ctx, r, n, firstSent)
	if err != nil {
		return withError(result, err, intended)
	}
	answer, err := c.client.Do(req)
	if err != nil {
		return withError(result, err, intended)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return withError(result, err, intended)
	}
	result.LatencyUS = time.Since(intended).Microseconds()
	c.recordAnswer(&result, r, answer, body)
	return result
}

// newResult returns the result of an attempt without its answer.
func (c *caller) newResult(r Request, n int, intended time.Time) Result {
	return Result{
		RequestID:      attemptID(r, n),
		Attempt:        n,
		Service:        r.Service,
		Class:          r.Route.Class,
		Client:         r.Client,
		Method:         r.Route.Method,
		Key:            r.Key,
		IdempotencyKey: r.IdempotencyKey(),
		Idempotent:     r.Route.Idempotent,
		Straggler:      r.Straggler,
		DeadlineMS:     r.Route.DeadlineMS,
		Entry:          c.entryFor(r, n),
		IntendedUnixUS: intended.UnixMicro(),
	}
}

// entryFor returns the entry host of an attempt. Each repeat uses the next one.
func (c *caller) entryFor(r Request, n int) string {
	return c.entries[(r.Entry+n)%len(c.entries)]
}

// attemptID returns the request ID of one attempt. It starts with the request's
// own ID, so that the answer replayed for an earlier attempt can be recognised.
func attemptID(r Request, n int) string {
	if n == 0 {
		return r.ID
	}
	return fmt.Sprintf("%s.%d", r.ID, n)
}

func (c *caller) newRequest(ctx context.Context, r Request, n int, firstSent time.Time) (*http.Request, error) {
	url := "http://" + c.entryFor(r, n) + "/" + r.Service + r.Route.Path
	if r.WorkMS > 0 {
		url += "?work_ms=" + strconv.FormatInt(r.WorkMS, 10)
	}
	var body io.Reader
	if r.Route.BodyBytes > 0 {
		body = bytes.NewReader(bytes.Repeat([]byte{'x'}, r.Route.BodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, r.Route.Method, url, body)
	if err != nil {
		return nil, err
	}
	setHeaders(req.Header, r, n, firstSent)
	return req, nil
}

func setHeaders(h http.Header, r Request, n int, firstSent time.Time) {
	h.Set(headerClient, r.Client)
	h.Set(headerRequestID, attemptID(r, n))
	if r.Key != "" {
		h.Set(headerKey, r.Key)
	}
	if key := r.IdempotencyKey(); key != "" {
		h[headerIdemKey] = []string{key}
		h.Set(headerFirstSent, strconv.FormatInt(firstSent.UnixMilli(), 10))
		h.Set(headerAttempt, strconv.Itoa(n+1))
	}
	if r.Route.DeadlineMS > 0 {
		h.Set(headerDeadline, strconv.FormatInt(r.Route.DeadlineMS, 10))
	}
}

func withError(result Result, err error, intended time.Time) Result {
	result.LatencyUS = time.Since(intended).Microseconds()
	result.Outcome = NoAnswer
	result.Error = err.Error()
	return result
}

func (c *caller) recordAnswer(result *Result, r Request, answer *http.Response, body []byte) {
	result.Status = answer.StatusCode
	result.Outcome = outcomeOf(answer)
	result.Reason = answer.Header.Get(headerReason)
	result.Replayed = answer.Header.Get(headerReplayed) == "true"
	result.EchoedID = c.echoedID(body)
	result.WrongAnswer = result.EchoedID != "" && !isAttemptOf(result.EchoedID, r)
}

// outcomeOf returns the outcome stated in the answer's header. An answer without
// one comes straight from a target: a status below 300 means that the request
// ran, any other leaves it unknown.
func outcomeOf(answer *http.Response) Outcome {
	if o := answer.Header.Get(headerOutcome); o != "" {
		return Outcome(o)
	}
	if answer.StatusCode < 300 {
		return Ran
	}
	return Unknown
}

// echoedID returns the first request ID of this run found in an answer's body,
// or "".
func (c *caller) echoedID(body []byte) string {
	start := bytes.Index(body, []byte(c.idPrefix))
	if start < 0 {
		return ""
	}
	end := start + len(c.idPrefix)
	for end < len(body) && isIDByte(body[end]) {
		end++
	}
	return string(body[start:end])
}

func isIDByte(b byte) bool { return b >= '0' && b <= '9' || b == '.' }

// isAttemptOf reports whether id belongs to any attempt of a request. A replayed
// answer echoes the ID of an earlier attempt.
func isAttemptOf(id string, r Request) bool {
	base, _, _ := strings.Cut(id, ".")
	return base == r.ID
}
