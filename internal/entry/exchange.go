package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	// answerGrace is how long a target's own answer at the end of the time may
	// still take. A host holds a request for a quarter of a second past its
	// route's timeout at most.
	answerGrace = 120 * time.Millisecond
	// strayAnswers is the number of answers to other requests that are passed
	// over on a connection.
	strayAnswers = 4
	// maxAnswer bounds a target's answer in memory.
	maxAnswer = 32 << 20
	// asyncBody is the size from which a body is sent while the answer is awaited:
	// a target may answer before it has read a long one.
	asyncBody = 8 << 10
	// lateBody is how long the rest of a body may take after the answer, for the
	// connection to be kept.
	lateBody = 100 * time.Millisecond
)

// errStray: the connection brought answers to other requests only.
var errStray = errors.New("answers to other requests")

// answer is a target's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// try is what one attempt at a target brought.
type try struct {
	reply  routing.Reply
	answer *answer // nil when none came
	result pool.Result
	took   time.Duration
	reused bool
	err    error
}

// outbound is a request as it goes to a target.
type outbound struct {
	method string
	uri    string // path and query, unchanged
	host   string
	header http.Header // without what concerns one connection only
	body   []byte
	id     string
	unsafe bool // must not run twice
}

// exchange sends a request to a target and returns what came of it, at latest
// shortly after left. The end of ctx breaks it off.
func (n *Node) exchange(ctx context.Context, o *outbound, to keyrange.Owner, left time.Duration) try {
	began := steady()
	maxIdle := defaultKeep
	if o.unsafe {
		maxIdle = freshFor
	}
	dialCtx, cancel := context.WithTimeout(ctx, left)
	conn, err := n.conns.get(dialCtx, to.Addr, maxIdle)
	cancel()
	if err != nil {
		return try{result: pool.Unreachable, took: steady() - began, err: err}
	}
	stop := context.AfterFunc(ctx, conn.reset)
	t := n.converse(conn, o, to, left-(steady()-began))
	if !stop() {
		t.result = pool.Abandoned
		t.reply.Failed = true
	}
	t.took = steady() - began
	t.reused = conn.reused
	return t
}

// converse writes the request and reads its answer on a connection, which it
// keeps or ends.
func (n *Node) converse(conn *targetConn, o *outbound, to keyrange.Owner, left time.Duration) try {
	if left <= 0 {
		conn.reset()
		return try{result: pool.Abandoned, err: errors.New("no time left")}
	}
	req := o.request(to.Target, left)
	if err := conn.SetDeadline(time.Now().Add(left + answerGrace)); err != nil {
		conn.reset()
		return try{result: pool.Broken, err: err}
	}
	written := make(chan error, 1)
	sent, err := o.write(conn, req, written)
	if err != nil {
		conn.reset()
		return try{reply: routing.Reply{Sent: sent, Failed: true}, result: pool.Broken, err: err}
	}
	ans, verdict, clean, err := readAnswer(conn, req, o.id)
	if err != nil {
		conn.reset()
		return try{reply: routing.Reply{Sent: true, Failed: true}, result: resultOf(err), err: err}
	}
	if clean && bodyWritten(written) {
		conn.noteKeep(ans.header.Get("Keep-Alive"))
		n.conns.put(to.Addr, conn)
	} else {
		conn.reset()
	}
	reply := routing.Reply{Sent: true, Status: ans.status, IDMatches: true, SaysNotRun: verdict.NotRun}
	return try{reply: reply, answer: ans, result: resultOfAnswer(ans.status, verdict)}
}

func bodyWritten(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	case <-time.After(lateBody):
		return false
	}
}

func resultOf(err error) pool.Result {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return pool.Silent
	}
	return pool.Broken
}

func resultOfAnswer(status int, v platform.Verdict) pool.Result {
	switch {
	case status == http.StatusMisdirectedRequest:
		return pool.NotOwner
	case v.NotRun:
		return pool.Shed
	case status >= http.StatusInternalServerError:
		return pool.Failed
	default:
		return pool.Answered
	}
}

// request builds the request for a target that has left of the time.
func (o *outbound) request(target string, left time.Duration) *http.Request {
	header := o.header.Clone()
	platform.Address(header, target, left)
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // none is added
	}
	req := &http.Request{
		Method: o.method, URL: &url.URL{Scheme: "http", Host: o.host, Opaque: o.uri}, Host: o.host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
	}
	if len(o.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(o.body))
		req.ContentLength = int64(len(o.body))
	} else if o.method != http.MethodGet && o.method != http.MethodHead {
		req.Body = http.NoBody
	}
	return req
}

// write sends the request. A long body goes on in the background; written then
// tells how it ended. sent reports whether a byte may have left.
func (o *outbound) write(conn *targetConn, req *http.Request, written chan<- error) (sent bool, err error) {
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil {
		return false, errors.Wrap(err, "request")
	}
	if buf.Len() > asyncBody {
		go func() {
			_, err := conn.Write(buf.Bytes())
			written <- err
		}()
		return true, nil
	}
	count, err := conn.Write(buf.Bytes())
	written <- err
	return count > 0, errors.Wrap(err, "send")
}

// readAnswer reads the answer to the request with the ID. clean reports whether
// the connection may carry another request.
func readAnswer(conn *targetConn, req *http.Request, id string) (*answer, platform.Verdict, bool, error) {
	clean := true
	for range strayAnswers {
		resp, err := http.ReadResponse(conn.reader, req)
		if err != nil {
			return nil, platform.Verdict{}, false, errors.Wrap(err, "answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
		if err != nil {
			return nil, platform.Verdict{}, false, errors.Wrap(err, "answer's body")
		}
		if len(body) > maxAnswer {
			return nil, platform.Verdict{}, false, errors.Newf("answer over %d bytes", maxAnswer)
		}
		verdict := platform.ReadVerdict(resp.StatusCode, resp.Header)
		if verdict.ID != id && (verdict.ID != "" || !verdict.NotRun) {
			clean = false
			if resp.Close {
				break
			}
			continue
		}
		return &answer{resp.StatusCode, resp.Header, body}, verdict, clean && !resp.Close, nil
	}
	return nil, platform.Verdict{}, false, errStray
}

// refused reports whether a connection was refused: nothing listens there.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
