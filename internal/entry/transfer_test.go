package entry

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// targetOrders answers each order at once and records it.
type targetOrders struct {
	mu      sync.Mutex
	log     []string // such as "grant b"
	release func(platform.Order) error
}

func (o *targetOrders) record(verb string, order platform.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.log = append(o.log, verb+" "+order.Target)
	if verb == "release" && o.release != nil {
		return o.release(order)
	}
	return nil
}

func (o *targetOrders) Grant(_ context.Context, order platform.Order) (bool, error) {
	return false, o.record("grant", order)
}

func (o *targetOrders) Release(_ context.Context, order platform.Order) (string, error) {
	return "h", o.record("release", order)
}

func (o *targetOrders) Identity(context.Context, string, string) (string, error) { return "", nil }

// sent returns the orders so far, without repetitions in a row.
func (o *targetOrders) sent() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []string
	for _, order := range o.log {
		if len(out) == 0 || out[len(out)-1] != order {
			out = append(out, order)
		}
	}
	return out
}

// newTransferTest returns a term with one range of ownerA that was granted, and the
// orders that it sends from then on.
func newTransferTest(t *testing.T) (*term, *targetOrders) {
	t.Helper()
	tm, _ := newTestTerm(t)
	orders := &targetOrders{}
	tm.orders = orders
	whole := tm.mapOf("s").keys.Ranges[0]
	state, claimed := tm.claimRange("s", whole)
	assert.Assert(t, claimed)
	assert.Assert(t, tm.grant("s", whole, state))
	tm.unclaimRange(state)
	orders.log = nil
	return tm, orders
}

// startMove assigns keys 100 to 200 to ownerB and starts the move. done is closed when
// it has ended.
func startMove(tm *term) (done chan struct{}) {
	next := tm.mapOf("s").keys.Clone()
	next.Assign(100, 200, ownerB)
	tm.setMap("s", &ownedMap{keys: next, version: 2})
	moved := next.Ranges[next.IndexOf(100)]
	state, _ := tm.claimRange("s", moved)
	done = make(chan struct{})
	go func() {
		defer close(done)
		tm.move("s", moved, state)
	}()
	return done
}

// awaitOrders waits until n orders were sent.
func (o *targetOrders) await(t *testing.T, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		o.mu.Lock()
		defer o.mu.Unlock()
		if len(o.log) < n {
			return poll.Continue("%d of %d orders", len(o.log), n)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

// endGrants makes all grants of the term count as ended, as they do in time.
func (t *term) endGrants() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger = grants.NewLedger(-time.Hour, 0, 0)
}

// lockedBuffer is a buffer that a log writes while a test reads it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) lineWith(text string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.buf.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// logTo makes a node log to the returned buffer until the test ends.
func logTo(t *testing.T, n *Node) *lockedBuffer {
	t.Helper()
	out := &lockedBuffer{}
	n.log = kernel.NewEventLog(hclog.New(&hclog.LoggerOptions{Output: out}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.log.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return out
}

// Guards against an OWNER report that the logs cannot explain: the ground on which
// keys were given away is logged with its inputs and their age.
func TestGroundOfFreedRangeIsLogged(t *testing.T) {
	tm, orders := newTransferTest(t)
	out := logTo(t, tm.node)
	<-startMove(tm)
	assert.DeepEqual(t, orders.sent(), []string{"release a", "grant b"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if out.lineWith("MP6213") == "" {
			return poll.Continue("not logged")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	line := out.lineWith("MP6213")
	for _, want := range []string{" target=a", "ground=released", "next_target=b", "released_ms_ago=", "grants_ended_ms_ago=-", "listing_age_ms="} {
		assert.Assert(t, strings.Contains(line, want), "%q lacks %q", line, want)
	}
}

var errRefused = errors.Join(platform.ErrNotSent, syscall.ECONNREFUSED)

// Guards against keys with two owners (review/1): the coordinator alone lost its path to
// a target, which resets its connections, while other hosts reach the target.
func TestRefusedConnectionsDoNotEndHold(t *testing.T) {
	for name, entry := range map[string]directory.Entry{
		"entry unchanged":   {Name: "a", Run: 1, Service: "s"},
		"announces leaving": {Name: "a", Run: 1, Service: "s", Leaving: true},
		"entry gone":        {},
	} {
		t.Run(name, func(t *testing.T) {
			tm, orders := newTransferTest(t)
			d := tm.node.directory
			d.RecordAnswer(0)
			if entry.Name != "" {
				d.Put(entry)
			}
			d.RecordAnswer(10 * time.Second) // an entry does not change with heartbeats
			orders.release = func(platform.Order) error { return errRefused }
			done := startMove(tm)
			orders.await(t, minRefusals+2)
			assert.DeepEqual(t, orders.sent(), []string{"release a"})
			tm.endGrants()
			<-done
			assert.DeepEqual(t, orders.sent(), []string{"release a", "grant b"})
		})
	}
}

// Guards against keys with two owners (review/2): a target restarted under its name, and
// its next run took a renewal that was meant for the run before.
func TestNextRunMayHoldGrantOfRunBefore(t *testing.T) {
	for name, addr := range map[string]string{"same address": ownerA.Addr, "other address": "127.0.0.1:3"} {
		t.Run(name, func(t *testing.T) {
			tm, orders := newTransferTest(t)
			tm.node.directory.RecordAnswer(0)
			tm.node.directory.Put(directory.Entry{Name: "a", Run: 2, Service: "s", Addr: addr})
			orders.release = func(platform.Order) error { return errRefused }
			done := startMove(tm)
			orders.await(t, 2)
			assert.DeepEqual(t, orders.sent(), []string{"release a"})
			orders.mu.Lock()
			orders.release = nil
			orders.mu.Unlock()
			<-done
			assert.DeepEqual(t, orders.sent(), []string{"release a", "grant b"})
		})
	}
}

// Guards against a plan that takes the keys of a living target away (review/3): a
// restarted coordinator read the map fresh, but its listing is seconds old and shows the
// run before of a target that owns keys.
func TestNewCoordinatorPlansWithListingOfItsMap(t *testing.T) {
	tm, _ := newTestTerm(t)
	tm.orders = &targetOrders{}
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	tm.node.store.SetAddr(server.Listener.Addr().String())
	entry := func(run int64) any { return standin.TargetEntry("s", ownerA.Addr, "here", 4, "ready", 1, run) }
	other := standin.TargetEntry("s", ownerB.Addr, "here", 4, "ready", 1, 1)
	store.Set("servers/a", entry(1))
	store.Set("servers/b", other)
	feed := tm.node.feedOf(platform.TargetPrefix)
	assert.NilError(t, feed.listFresh(t.Context()))

	store.Set("servers/a", entry(2))
	next := keyrange.Owner{Target: "a", Run: 2, Addr: ownerA.Addr}
	store.Set(ownersPrefix+"s", keyrange.New("s", []keyrange.Owner{next, ownerB}, []float64{1, 1}))
	tm.setMap("s", nil)
	assert.NilError(t, tm.planService("s"))
	owned := tm.mapOf("s")
	assert.Equal(t, owned.keys.Ranges[0].Owner, next, "the keys stay with the living run")
	assert.Equal(t, len(tm.targets("s")), 2)
	assert.Assert(t, tm.isSuperseded(ownerA))
	assert.Assert(t, !tm.isSuperseded(keyrange.Owner{Target: "a", Run: 3}), "the entry is of an earlier run")
}
