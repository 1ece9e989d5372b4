package entry

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	// answerGrace is how long past the deadline a target's own answer may still
	// arrive. A host may hold a request for at most a quarter of a second past its
	// route's timeout.
	answerGrace = 120 * time.Millisecond
	// maxStrayAnswers is the number of answers to other requests that are skipped
	// on a connection before it is given up.
	maxStrayAnswers = 4
	// maxAnswerBytes limits the size of a target's answer in memory.
	maxAnswerBytes = 32 << 20
	// maxAnswerHeadBytes limits the size of an answer's status line and headers.
	maxAnswerHeadBytes = 64 << 10
	// asyncBodyBytes is the request size above which the request is sent in the
	// background while the answer is awaited: a target may answer before it has
	// read a long body.
	asyncBodyBytes = 8 << 10
	// bodyWriteGrace is how long the rest of a body may take to be sent after the
	// answer for the connection to be kept.
	bodyWriteGrace = 100 * time.Millisecond
)

// errStrayAnswers reports a connection that returned answers to other requests
// only.
var errStrayAnswers = errors.New("target sent only answers to other requests")

// errInvalidHead reports bytes that are no answer: what follows on the connection cannot
// be attributed to a request.
var errInvalidHead = errors.New("status line is invalid")

// answer is a target's complete answer.
type answer struct {
	status int
	header http.Header
	body   [][]byte         // in parts
	memory *memlimit.Holder // of body
}

// length returns the size of the body in bytes.
func (a *answer) length() int {
	return partsLength(a.body)
}

func partsLength(parts [][]byte) int {
	total := 0
	for _, part := range parts {
		total += len(part)
	}
	return total
}

// attempt is the outcome of sending a request to one target.
type attempt struct {
	reply  routing.Reply
	answer *answer // nil if none arrived
	result pool.Result
	took   time.Duration
	reused bool
	err    error

	// brokeUnfinished means that the connection ended before the answer was whole, whatever
	// had come of it: the target may have ended with the request.
	brokeUnfinished bool

	isReusable bool // the connection can carry another request

	leaving bool          // the target said that it is leaving
	pause   time.Duration // that the target asked for
	load    platform.Load // that the target reported
}

// release returns the memory of the answer, which must not be used any more.
func (t attempt) release() {
	if t.answer != nil {
		t.answer.memory.Close()
	}
}

// outboundRequest is a request in the form in which it is sent to targets.
type outboundRequest struct {
	method string
	uri    string // path and query, unchanged
	host   string
	header http.Header // without hop-by-hop headers
	body   [][]byte    // in parts
	id     string
	unsafe bool          // not idempotent: must not run twice
	sentOn []*targetConn // connections on which it was sent

	connectWithin time.Duration // how long the next attempt may wait for a connection; 0: for the remaining time
}

// exchange sends a request to a target and returns the outcome, at the latest
// shortly after the remaining time has passed. Cancelling ctx aborts it.
func (n *Node) exchange(ctx context.Context, o *outboundRequest, owner keyrange.Owner, remaining time.Duration) attempt {
	began := steadyClock()
	maxIdle := defaultIdleTimeout
	if o.unsafe {
		maxIdle = maxUnsafeIdle
	}
	if o.id == "" {
		maxIdle = 0 // a late answer to another request could not be told from this one's
	}
	connectTime := remaining
	if o.connectWithin > 0 {
		connectTime = min(remaining, o.connectWithin)
	}
	dialCtx, cancel := context.WithTimeout(ctx, connectTime)
	conn, err := n.conns.get(dialCtx, owner.Addr, maxIdle, o)
	cancel()
	if err != nil {
		return attempt{result: pool.Unreachable, took: steadyClock() - began, err: err}
	}
	stop := context.AfterFunc(ctx, conn.reset)
	t := n.roundTrip(conn, o, owner, remaining-(steadyClock()-began))
	t.took = steadyClock() - began
	t.reused = conn.reused
	isAborted := !stop()
	if isAborted {
		t.result, t.brokeUnfinished = pool.Abandoned, false
		t.reply.Failed = true
	}
	// Only now can ctx no longer reset the connection under another request.
	if t.isReusable && !isAborted {
		n.conns.put(owner.Addr, conn)
	} else {
		conn.reset()
	}
	return t
}

// roundTrip writes the request and reads its answer on a connection.
func (n *Node) roundTrip(conn *targetConn, o *outboundRequest, owner keyrange.Owner, remaining time.Duration) attempt {
	if remaining <= 0 {
		return attempt{result: pool.Abandoned, err: errors.New("no time left to send the request")}
	}
	req := o.buildRequest(owner.Target, remaining)
	if err := conn.SetDeadline(time.Now().Add(remaining + answerGrace)); err != nil {
		return attempt{result: pool.Broken, err: err}
	}
	written := make(chan error, 1)
	conn.lastID = o.id
	o.sentOn = append(o.sentOn, conn)
	sent, err := o.write(conn, req, written)
	if err != nil {
		return attempt{reply: routing.Reply{Sent: sent, Failed: true}, result: pool.Broken, err: err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining+answerGrace)
	defer cancel()
	ans, headers, reusable, err := n.readAnswer(ctx, conn, req, o.id)
	if err != nil {
		return attempt{
			reply: routing.Reply{Sent: true, Failed: true}, result: resultOfError(err), err: err,
			brokeUnfinished: conn.limit.hasEnded && resultOfError(err) == pool.Broken,
		}
	}
	conn.setIdleTimeout(ans.header.Get("Keep-Alive"))
	reply := routing.Reply{Sent: true, Status: ans.status, IDMatches: true, SaysNotRun: headers.NotRun}
	return attempt{
		reply: reply, answer: ans, result: resultOfAnswer(ans.status, headers), isReusable: reusable && bodyWritten(written),
		leaving: headers.Leaving, pause: headers.Pause, load: headers.Load,
	}
}

func bodyWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	case <-time.After(bodyWriteGrace):
		return false
	}
}

func resultOfError(err error) pool.Result {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return pool.Silent
	}
	return pool.Broken
}

func resultOfAnswer(status int, headers platform.AnswerHeaders) pool.Result {
	switch {
	case status == http.StatusMisdirectedRequest:
		return pool.NotOwner
	case headers.NotRun:
		return pool.Shed
	case status >= http.StatusInternalServerError:
		return pool.Failed
	default:
		return pool.Answered
	}
}

// buildRequest builds the HTTP request for a target that has the given remaining time
// to answer.
func (o *outboundRequest) buildRequest(target string, remaining time.Duration) *http.Request {
	header := o.header.Clone()
	platform.SetTargetHeaders(header, target, remaining)
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // stops net/http from adding its own
	}
	req := &http.Request{
		Method: o.method, URL: &url.URL{Scheme: "http", Host: o.host, Opaque: o.placeholderURI()}, Host: o.host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	if length := partsLength(o.body); length > 0 {
		req.ContentLength = int64(length)
	} else if o.method != http.MethodGet && o.method != http.MethodHead {
		req.Body = http.NoBody
	}
	return req
}

// placeholderURI returns a text as long as the caller's path and query, to be replaced
// once the request is encoded: net/http would take a path that begins with two slashes
// for a host.
func (o *outboundRequest) placeholderURI() string {
	return "/" + strings.Repeat("x", max(0, len(o.uri)-1))
}

// errHeadEnd ends the encoding of a request at the end of its head.
var errHeadEnd = errors.New("end of head")

// headEnd is the body of a request of which only the head is encoded.
type headEnd struct{ isReached bool }

// Read implements io.Reader. net/http calls it once it has written the head.
func (h *headEnd) Read([]byte) (int, error) {
	h.isReached = true
	return 0, errHeadEnd
}

// encodeHead encodes the head of a request of buildRequest with the caller's own path
// and query. The body is sent from where it is, so that it is in memory only once.
func (o *outboundRequest) encodeHead(req *http.Request) (*bytes.Buffer, error) {
	end := &headEnd{}
	if req.ContentLength > 0 {
		req.Body = io.NopCloser(end)
	}
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil && !end.isReached {
		return nil, errors.Wrap(err, "encode request")
	}
	copy(buf.Bytes()[len(o.method+" "):], o.uri)
	return &buf, nil
}

// write sends the request. A request over asyncBodyBytes is sent in the
// background, and its result is delivered to written. sent reports whether any
// byte may have been sent.
func (o *outboundRequest) write(conn *targetConn, req *http.Request, written chan<- error) (sent bool, err error) {
	buf, err := o.encodeHead(req)
	if err != nil {
		return false, err
	}
	if buf.Len()+partsLength(o.body) > asyncBodyBytes {
		parts := append(net.Buffers{buf.Bytes()}, o.body...)
		go func() {
			_, err := conn.WriteBuffers(parts)
			written <- err
		}()
		return true, nil
	}
	for _, part := range o.body {
		buf.Write(part)
	}
	count, err := conn.Write(buf.Bytes())
	written <- err
	return count > 0, errors.Wrap(err, "send request")
}

// readAnswer reads the answer to the request with the given ID. reusable reports
// whether the connection can carry another request. Waiting for memory ends with ctx.
func (n *Node) readAnswer(ctx context.Context, conn *targetConn, req *http.Request, id string) (*answer, platform.AnswerHeaders, bool, error) {
	reusable := true
	for range maxStrayAnswers {
		conn.limit.left = maxAnswerHeadBytes
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, platform.AnswerHeaders{}, false, errors.Wrap(err, "read answer")
		}
		conn.limit.left = math.MaxInt64
		if !isValidHead(resp) {
			return nil, platform.AnswerHeaders{}, false, errors.Wrapf(errInvalidHead, "%s %.20s", resp.Proto, resp.Status)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, memory, err := readAnswerBody(ctx, n.memory, resp.Body, resp.ContentLength)
		if err != nil {
			return nil, platform.AnswerHeaders{}, false, errors.Wrap(err, "read answer body")
		}
		headers := platform.ReadAnswerHeaders(resp.StatusCode, resp.Header)
		if !conn.answers(id, headers) {
			memory.Close()
			reusable = false
			if resp.Close {
				break
			}
			continue
		}
		return &answer{resp.StatusCode, resp.Header, body, memory}, headers, reusable && !resp.Close, nil
	}
	return nil, platform.AnswerHeaders{}, false, errStrayAnswers
}

// isValidHead reports whether a status line is that of an HTTP/1 answer. net/http also
// accepts statuses below 100 and other versions. A switch of protocols is no answer
// either, as no request asks for one.
func isValidHead(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode >= http.StatusContinue && resp.StatusCode != http.StatusSwitchingProtocols
}

// answers reports whether an answer is that to the request with the given ID. An
// answer without an ID that refuses the request counts only on a new connection: on
// another one it may be a second copy of an earlier answer.
func (c *targetConn) answers(id string, h platform.AnswerHeaders) bool {
	return h.ID == id || h.ID == "" && h.NotRun && !c.reused
}

// isConnRefused reports whether the connection was refused, which means that
// nothing listens at the address.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
