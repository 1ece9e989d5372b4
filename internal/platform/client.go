package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/tcpconn"
)

// CallerHeader is the header that names the calling host in each call.
const CallerHeader = "Mangopost-Caller"

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// ErrRejected is returned if the store rejects the call as malformed or the value as too
// large. The call had no effect, and the same call would fail again.
var ErrRejected = errors.New("store rejected the call")

const (
	defaultCallTimeout  = 2 * time.Second
	defaultWatchWait    = 10 * time.Second
	defaultMaxListBytes = 32 << 20
	maxObjectBytes      = 2 * MaxValueBytes // a value and the JSON object around it
	idleConnections     = 4
	idleTimeout         = 30 * time.Second
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	Addr         string        // IP and port of the platform's service
	Caller       string        // name of the calling host
	CallTimeout  time.Duration // of one call, without the wait of a watch; default 2 s
	WatchWait    time.Duration // how long a watch waits for a change; default 10 s
	MaxListBytes int64         // largest answer to a list or watch; default 32 MiB
}

// Client is an HTTP client of the platform's service. It never repeats a call, except
// one whose idle connection turned out to be closed before anything was sent. All methods
// are safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It connects on the first call.
func NewClient(opts Options) *Client {
	opts = opts.withDefaults()
	transport := &http.Transport{
		DialContext:         tcpconn.DialContext(&net.Dialer{Timeout: opts.CallTimeout}),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{
		opts: opts,
		http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

func (o Options) withDefaults() Options {
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.WatchWait <= 0 {
		o.WatchWait = defaultWatchWait
	}
	if o.MaxListBytes <= 0 {
		o.MaxListBytes = defaultMaxListBytes
	}
	return o
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	body, err := c.read(ctx, objectURL(name, nil), maxObjectBytes)
	if err != nil {
		return Object{}, errors.Wrapf(err, "get %s", name)
	}
	obj, err := DecodeObject(body, name)
	return obj, errors.Wrapf(err, "get %s", name)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, expected uint64, value json.RawMessage) (uint64, error) {
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, errors.Wrapf(ErrRejected, "put %s: value of %d bytes is too large", name, len(value))
	}
	body, err := c.write(ctx, http.MethodPut, name, expected, value)
	if err != nil {
		return 0, errors.Wrapf(err, "put %s", name)
	}
	version, err := DecodeVersion(body)
	return version, errors.Wrapf(err, "put %s", name)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, name string, expected uint64) error {
	if err := CheckName(name); err != nil {
		return err
	}
	_, err := c.write(ctx, http.MethodDelete, name, expected, nil)
	return errors.Wrapf(err, "delete %s", name)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}}
	batch, err := c.readBatch(ctx, "/v1/objects", query, prefix)
	return batch, errors.Wrapf(err, "list %s", prefix)
}

// Watch implements Store. It waits for Options.WatchWait, or less if ctx ends
// earlier.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64) (Batch, error) {
	return c.watch(ctx, prefix, revision, c.watchWait(ctx))
}

// Since implements Store.
func (c *Client) Since(ctx context.Context, prefix string, revision uint64) (Batch, error) {
	return c.watch(ctx, prefix, revision, 0)
}

func (c *Client) watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.opts.CallTimeout)
	defer cancel()
	query := url.Values{
		"prefix":   {prefix},
		"revision": {strconv.FormatUint(revision, 10)},
		"wait_ms":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	batch, err := c.readBatch(ctx, "/v1/watch", query, prefix)
	if err == nil && batch.Revision < revision {
		err = errors.Wrapf(ErrUnavailable, "answer is at revision %d, behind %d", batch.Revision, revision)
	}
	return batch, errors.Wrapf(err, "watch %s after %d", prefix, revision)
}

// watchWait returns how long a watch may wait. It leaves a tenth of the context's
// remaining time for the answer to arrive.
func (c *Client) watchWait(ctx context.Context) time.Duration {
	wait := c.opts.WatchWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)*9/10)
	}
	return max(wait, 0)
}

func (c *Client) readBatch(ctx context.Context, path string, query url.Values, prefix string) (Batch, error) {
	body, err := c.read(ctx, &url.URL{Path: path, RawQuery: query.Encode()}, c.opts.MaxListBytes)
	if err != nil {
		return Batch{}, err
	}
	return DecodeBatch(body, prefix)
}

// Hosts implements Store.
func (c *Client) Hosts(ctx context.Context) ([]TargetHost, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	body, err := c.read(ctx, &url.URL{Path: "/v1/hosts"}, c.opts.MaxListBytes)
	if err != nil {
		return nil, errors.Wrap(err, "hosts")
	}
	hosts, err := DecodeHosts(body)
	return hosts, errors.Wrap(err, "hosts")
}

// read makes a call that changes nothing. Every transport failure, such as a missing or
// too long answer, is ErrUnavailable.
func (c *Client) read(ctx context.Context, u *url.URL, limit int64) ([]byte, error) {
	answer, err := c.send(ctx, http.MethodGet, u, nil, limit)
	if err != nil {
		return nil, withCause(ErrUnavailable, err)
	}
	if answer.status == http.StatusOK {
		return answer.body, nil
	}
	return nil, errors.Wrapf(readError(answer.status), "status %d", answer.status)
}

// write makes a call that may change something. If a connection was obtained, so that a
// byte of the call may have been sent, a missing answer is ErrUncertain.
func (c *Client) write(ctx context.Context, method, name string, expected uint64, value []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	query := url.Values{"version": {strconv.FormatUint(expected, 10)}}
	answer, err := c.send(ctx, method, objectURL(name, query), value, maxObjectBytes)
	if err != nil && !connected.Load() {
		return nil, withCause(ErrUnavailable, err)
	}
	if err != nil {
		return nil, withCause(ErrUncertain, err)
	}
	if answer.status == http.StatusOK {
		return answer.body, nil
	}
	return nil, errors.Wrapf(writeError(answer.status), "status %d", answer.status)
}

func readError(status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	case http.StatusBadRequest:
		return ErrRejected
	default:
		return ErrUnavailable
	}
}

func writeError(status int) error {
	switch status {
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return ErrRejected
	default:
		return ErrUncertain
	}
}

// withCause returns an error of the given kind with the cause in its text.
func withCause(kind, cause error) error {
	return errors.WithSecondaryError(errors.Wrapf(kind, "%v", cause), cause)
}

type answer struct {
	status int
	body   []byte
}

func (c *Client) send(ctx context.Context, method string, u *url.URL, body []byte, limit int64) (answer, error) {
	u.Scheme, u.Host = "http", c.opts.Addr
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrap(err, "create request")
	}
	req.Header.Set(CallerHeader, c.opts.Caller)
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		return answer{}, errors.Newf("answer exceeds %d bytes", limit)
	}
	return answer{status: resp.StatusCode, body: data}, nil
}

func objectURL(name string, query url.Values) *url.URL {
	return &url.URL{Path: "/v1/objects/" + name, RawQuery: query.Encode()}
}

// CheckName returns ErrRejected for a name that cannot be part of a URL path: an empty
// name, or one with an empty, "." or ".." segment.
func CheckName(name string) error {
	for segment := range strings.SplitSeq(name, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return errors.Wrapf(ErrRejected, "invalid name %q", name)
		}
	}
	return nil
}
