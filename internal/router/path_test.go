package router

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership"
)

// faultyTarget simulates the fault that the path names and counts the requests.
type faultyTarget struct{ arrived atomic.Int64 }

var longAnswer = bytes.Repeat([]byte("buku "), 3*maxBufferedAnswerBytes/5)

func (f *faultyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/mangopost/health" {
		return
	}
	f.arrived.Add(1)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	switch r.URL.Path {
	case "/crossed":
		w.Header().Set(headerRequestID, "another")
	case "/nameless":
		w.Header().Del(headerRequestID)
	case "/gone":
		panic(http.ErrAbortHandler)
	case "/short":
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("a"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "/long":
		_, _ = w.Write(longAnswer)
	case "/long-cut":
		_, _ = w.Write(longAnswer[:2*maxBufferedAnswerBytes])
		panic(http.ErrAbortHandler)
	case "/long-cut-sized":
		w.Header().Set("Content-Length", "9000000")
		_, _ = w.Write(longAnswer[:2*maxBufferedAnswerBytes])
		panic(http.ErrAbortHandler)
	case "/shed":
		w.Header().Set(headerRefused, "shedding")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *pair) post(t *testing.T, path string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.callers+"/katalog"+path, strings.NewReader("pinjam"))
	assert.NilError(t, err)
	request.Header.Set(headerClient, "usm")
	request.Header.Set(headerKey, "k1")
	request.Header.Set(headerDeadline, "1000")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func TestOutcomesOfFaultyTargets(t *testing.T) {
	t.Parallel()
	target := &faultyTarget{}
	p := startPair(t, target, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}})
	cases := []struct {
		path    string
		status  int
		outcome string
		reason  reason
	}{
		{"/good", 200, "ran", ""},
		{"/crossed", 502, "unknown", reasonAnswerMismatch},
		{"/nameless", 502, "unknown", reasonAnswerMismatch},
		{"/gone", 502, "unknown", reasonTargetLost},
		{"/short", 502, "unknown", reasonAnswerBroken},
	}
	for _, c := range cases {
		target.arrived.Store(0)
		response := p.post(t, c.path)
		assert.Equal(t, response.StatusCode, c.status, c.path)
		assert.Equal(t, response.Header.Get(headerOutcome), c.outcome, c.path)
		assert.Equal(t, reason(response.Header.Get(headerReason)), c.reason, c.path)
		assert.Equal(t, target.arrived.Load(), int64(1), "%s: sent more than once", c.path)
	}
	response := p.post(t, "/shed")
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, response.Header.Get(headerOutcome), "not-run")
}

// An answer that is too long to be buffered reaches the caller complete or ends visibly
// truncated.
func TestLongAnswersAreCompleteOrVisiblyTruncated(t *testing.T) {
	t.Parallel()
	p := startPair(t, &faultyTarget{}, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}})
	whole, err := io.ReadAll(p.post(t, "/long").Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(whole, longAnswer))
	for _, path := range []string{"/long-cut", "/long-cut-sized"} {
		response := p.post(t, path)
		assert.Equal(t, response.StatusCode, 200)
		part, err := io.ReadAll(response.Body)
		assert.Assert(t, err != nil, "%s: truncated answer of %d bytes ended without an error", path, len(part))
	}
}

func TestUnreachableTargetIsNotRun(t *testing.T) {
	t.Parallel()
	p := startPair(t, &faultyTarget{}, pairOptions{listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1024}})
	record := p.a.table.Load().records[0]
	record.Gateways = []membership.Gateway{record.Gateways[0]}
	record.Gateways[0].Addr = refusingAddr
	before := p.b.gateway.worker("t1")
	p.b.cache.Apply([]platform.Object{{Name: platform.CellPrefix + "kl", Version: 2, Value: encode(t, record)}})
	for p.b.gateway.worker("t1") == before {
		time.Sleep(time.Millisecond)
	}
	response := p.post(t, "/good")
	assert.Equal(t, response.Header.Get(headerOutcome), "not-run")
}

func encode(t testing.TB, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	return raw
}

func TestEndToEndHeaders(t *testing.T) {
	h := http.Header{
		"Accept":              {"a", "b"},
		"Connection":          {"close, x-one", "X-Two"},
		"X-One":               {"1"},
		"X-Two":               {"2"},
		"Keep-Alive":          {"5"},
		"Proxy-Authorization": {"secret"},
		"Te":                  {"trailers"},
		"Trailer":             {"X-Sum"},
		"Transfer-Encoding":   {"chunked"},
		"Upgrade":             {"websocket"},
		"Expect":              {"100-continue"},
		"Content-Length":      {"3"},
		"Content-Type":        {"text/plain"},
		"Mangopost-Client":    {"desk"},
		"Mangopost_client":    {"desk"},
		"Mangoposted":         {"stays"},
	}
	got := http.Header{}
	addHeaders(got, endToEndHeaders(h))
	assert.DeepEqual(t, got, http.Header{"Accept": {"a", "b"}, "Content-Type": {"text/plain"}, "Mangoposted": {"stays"}})
}

func TestHeaderSetterReplaces(t *testing.T) {
	h := http.Header{headerClient: {"desk", "desk"}}
	s := newHeaderSetter(h)
	s.set(headerClient, "usm")
	for i := range 2 * maxOwnHeaders { // more values than were preallocated
		s.set(headerKey, strings.Repeat("k", i))
	}
	h.Add(headerClient, "other") // must not overwrite the next value
	assert.DeepEqual(t, h, http.Header{headerClient: {"usm", "other"}, headerKey: {strings.Repeat("k", 2*maxOwnHeaders-1)}})
}
