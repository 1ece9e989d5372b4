package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testMix = `
seed = 7
duration_ms = 400
rate = 500.0
timeout_ms = 150
[repeat]
failed_share = 1.0
most = 1
delay_ms = 1
[[swing]]
at_ms = 100
for_ms = 200
ramp_ms = 50
factor = 3.0
[[service]]
name = "katalog"
weight = 3.0
clients = ["um", "usm"]
[service.keys]
count = 1000
zipf = 1.2
hot = 2
hot_share = 0.5
hot_move_ms = 200
[[service.route]]
method = "GET"
path = "/search"
weight = 9.0
idempotent = true
work_ms = 2
straggler_share = 0.1
straggler_ms = 40
[[service.route]]
method = "POST"
path = "/loans"
weight = 1.0
body_bytes = 10
`

// longTimeoutMS is long enough that attempts fail only because the host drops
// their answers, never by timeout.
const longTimeoutMS = 60_000

func mustParseMix(t *testing.T, text string) Mix {
	t.Helper()
	mix, err := ParseMix([]byte(text))
	assert.NilError(t, err)
	return mix
}

func allRequests(p *Plan) []Request {
	var all []Request
	for {
		r, ok := p.Next()
		if !ok {
			return all
		}
		all = append(all, r)
	}
}

func TestPlanDependsOnSeedOnly(t *testing.T) {
	mix := mustParseMix(t, testMix)
	first := allRequests(NewPlan(mix, "run", 3))
	assert.DeepEqual(t, first, allRequests(NewPlan(mix, "run", 3)))
	mix.Seed++
	other := allRequests(NewPlan(mix, "run", 3))
	assert.Assert(t, len(other) == 0 || other[0].At != first[0].At)
}

func TestSwingMultipliesRate(t *testing.T) {
	mix := mustParseMix(t, testMix)
	for ms, want := range map[int]float64{0: 500, 100: 500, 125: 1000, 200: 1500, 275: 1000, 300: 500, 399: 500} {
		assert.Equal(t, mix.rateAt(time.Duration(ms)*time.Millisecond), want, "at %d ms", ms)
	}
}

func TestHotKeysMove(t *testing.T) {
	keys := newKeySource(Keys{Count: 1 << 40, Hot: 1, HotShare: 1, HotMoveMS: 100}, 1, 0)
	a, b := keys.hotKey(0, 0), keys.hotKey(0, 99*time.Millisecond)
	c := keys.hotKey(0, 100*time.Millisecond)
	assert.Equal(t, a, b)
	assert.Assert(t, a != c)
}

func TestCheckReportsEveryFault(t *testing.T) {
	_, err := ParseMix([]byte("rate = -1.0\n[[service]]\nname = \"a/b\"\nweight = 1.0\n[[service.route]]\npath = \"x\"\n"))
	findings, ok := err.(Findings)
	assert.Assert(t, ok, "%v", err)
	text := findings.Error()
	for _, place := range []string{"duration_ms", "rate", "service[0].name", "service[0].clients", "service[0].route[0].path", "service[0].route[0].method"} {
		assert.Assert(t, strings.Contains(text, place+":"), "%s is missing in\n%s", place, text)
	}
	_, err = ParseMix([]byte("rat = 1"))
	assert.ErrorContains(t, err, "rat")
}

// entryHost is an HTTP handler that answers like an entry host, but aborts the
// connection at the first attempt of each request with an idempotency key.
type entryHost struct {
	mu   sync.Mutex
	keys map[string][]string // values of the First-Sent header by idempotency key
}

func (e *entryHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerOutcome, "ran")
	key := r.Header.Get(headerIdemKey)
	if key == "" {
		fmt.Fprintf(w, `{"request_id":%q}`, id)
		return
	}
	e.mu.Lock()
	e.keys[key] = append(e.keys[key], r.Header.Get(headerFirstSent))
	isRepeat := len(e.keys[key]) > 1
	e.mu.Unlock()
	if !isRepeat {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(headerReplayed, "true")
	fmt.Fprintf(w, `{"request_id":%q}`, strings.TrimSuffix(id, ".1"))
}

func TestRepeatUsesAnotherEntry(t *testing.T) {
	host := &entryHost{keys: make(map[string][]string)}
	a, b := httptest.NewServer(host), httptest.NewServer(host)
	defer a.Close()
	defer b.Close()
	entries := []string{a.Listener.Addr().String(), b.Listener.Addr().String()}
	mix := mustParseMix(t, testMix)
	mix.TimeoutMS = longTimeoutMS
	results, err := Run(context.Background(), mix, Options{Run: "t", Entries: entries})
	assert.NilError(t, err)
	assert.Equal(t, len(allRequests(NewPlan(mix, "t", 2))), countFirstAttempts(results))
	byID := make(map[string]Result)
	for _, r := range results {
		byID[r.RequestID] = r
		assert.Assert(t, !r.WrongAnswer)
	}
	for key, sent := range host.keys {
		first, second := byID[strings.TrimPrefix(key, "k-")], byID[strings.TrimPrefix(key, "k-")+".1"]
		assert.Equal(t, first.Outcome, NoAnswer)
		assert.Equal(t, second.Outcome, Ran)
		assert.Assert(t, second.Replayed && second.Served())
		assert.Assert(t, first.Entry != second.Entry)
		assert.Equal(t, sent[0], sent[1])
	}
	assert.Assert(t, len(host.keys) > 0)
}

func countFirstAttempts(results []Result) int {
	n := 0
	for _, r := range results {
		if r.Attempt == 0 {
			n++
		}
	}
	return n
}

func TestLatencyCountsFromIntendedTime(t *testing.T) {
	c := newCaller([]string{"127.0.0.1:1"}, time.Minute, "t")
	defer c.close()
	intended := time.Now().Add(-2 * time.Second)
	got := c.attempt(context.Background(), Request{ID: "t-1", Route: Route{Method: "GET", Path: "/"}}, 0, intended, intended)
	assert.Equal(t, got.Outcome, NoAnswer)
	assert.Assert(t, got.Latency() >= 2*time.Second)
}

func TestEchoedIDIdentifiesRequest(t *testing.T) {
	c := newCaller(nil, time.Second, "t")
	for body, want := range map[string]string{"": "", `{"id":"t-00000012.1"}`: "t-00000012.1", "t-00000013 x": "t-00000013"} {
		assert.Equal(t, c.echoedID([]byte(body)), want)
	}
	r := Request{ID: "t-00000012"}
	assert.Assert(t, isAttemptOf("t-00000012.1", r))
	assert.Assert(t, !isAttemptOf("t-00000013", r))
}

func TestRequestsOverMaxInFlightAreNotSent(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer srv.Close()
	mix := mustParseMix(t, testMix)
	mix.MaxInFlight, mix.Requests, mix.Repeat = 1, 20, Repeat{}
	results, err := Run(context.Background(), mix, Options{Run: "t", Entries: []string{srv.Listener.Addr().String()}})
	assert.NilError(t, err)
	assert.Equal(t, len(results), 20)
	counts := make(map[Outcome]int)
	for _, r := range results {
		counts[r.Outcome]++
	}
	assert.Equal(t, counts[NoAnswer]+counts[NotSent], 20)
	assert.Assert(t, counts[NotSent] > 0)
}

func TestResultsRoundTrip(t *testing.T) {
	want := []Result{{RequestID: "a", Outcome: Ran, LatencyUS: 5}, {RequestID: "b", Outcome: NotSent}}
	var buf bytes.Buffer
	assert.NilError(t, WriteResults(&buf, want))
	got, err := ReadResults(&buf)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

// Two plans that differ in the straggler share alone must otherwise yield the same
// requests, so that their results can be compared.
func TestStragglerShareChangesStragglersOnly(t *testing.T) {
	mix := mustParseMix(t, strings.Replace(testMix, "work_ms = 2", "work_ms = 20\nwork_sigma = 0.5", 1))
	withStragglers := mix
	withStragglers.SetStragglers(0.3)
	mix.SetStragglers(0)
	a, b := NewPlan(mix, "r", 3), NewPlan(withStragglers, "r", 3)
	var sumMS, count int64
	stragglers := 0
	for {
		plain, ok := a.Next()
		slowed, slowedOK := b.Next()
		assert.Equal(t, ok, slowedOK)
		if !ok {
			break
		}
		if slowed.Straggler {
			stragglers++
			slowed.Straggler, slowed.WorkMS = false, plain.WorkMS
		}
		if plain.Route.Method == "GET" {
			sumMS += plain.WorkMS
			count++
		}
		slowed.Route.StragglerShare = 0
		assert.DeepEqual(t, plain, slowed)
	}
	assert.Assert(t, stragglers > 0)
	mean := float64(sumMS) / float64(count)
	assert.Assert(t, mean > 15 && mean < 25, "mean %.1f ms", mean)
}
