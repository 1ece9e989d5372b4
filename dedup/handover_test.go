package dedup_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/routing"
)

func allStarted(dedup.Ticket) bool { return true }

// TestImportGivesTheExportersVerdicts verifies that a repeat gets the same verdict
// from the next gateway as from the previous one, and that a request that reached
// neither of them runs.
func TestImportGivesTheExportersVerdicts(t *testing.T) {
	before := newTable(1 << 20)
	at := timeAt(time.Minute)
	runKey := func(key string, end *dedup.Result) {
		v := before.Begin(at, request(key, at))
		assert.Equal(t, v.Kind, dedup.Run)
		if end != nil {
			assert.Assert(t, before.Finish(at, v.Ticket, *end))
		}
	}
	runKey("ran", pointerTo(ranWith("loan 1")))
	runKey("ran, answer too long", &dedup.Result{Outcome: routing.OutcomeRan})
	runKey("unknown", &dedup.Result{Outcome: routing.OutcomeUnknown})
	runKey("refused", &dedup.Result{Outcome: routing.OutcomeNotRun})
	runKey("runs", nil)

	opened := at.Add(time.Second)
	next := dedup.New(dedup.Config{Bytes: 1 << 20, Horizon: horizon, Skew: skew})
	x, ok := before.Export(shard, allStarted)
	assert.Assert(t, ok)
	assert.Assert(t, !next.Import(opened, x), "the shard is not open")
	next.Open(opened, shard)
	assert.Equal(t, next.Begin(opened, request("refused", at)).Reason, dedup.ReasonBeforeTable)
	assert.Assert(t, next.Import(opened, x))
	assert.Equal(t, next.Stats().Bytes, x.Bytes())

	replayed := next.Begin(opened, request("ran", at))
	assert.Equal(t, replayed.Kind, dedup.Replay)
	assert.Equal(t, string(replayed.Answer.Body), "loan 1")
	assert.Equal(t, next.Begin(opened, request("ran, answer too long", at)).Reason, dedup.ReasonAnswerDropped)
	assert.Equal(t, next.Begin(opened, request("unknown", at)).Reason, dedup.ReasonOutcome)
	assert.Equal(t, next.Begin(opened, request("runs", at)).Reason, dedup.ReasonOutcome)
	assert.Equal(t, next.Begin(opened, request("refused", at)).Kind, dedup.Run)
	assert.Equal(t, next.Begin(opened, request("reached neither gateway", at)).Kind, dedup.Run)
	assert.Equal(t, next.Begin(opened, request("older than both tables", epoch)).Reason, dedup.ReasonBeforeTable)
}

// TestExportOmitsRunsThatNeverStart covers a request that was still queued when the
// gateway's lease ended. It is refused as not run, so its key is not exported.
func TestExportOmitsRunsThatNeverStart(t *testing.T) {
	table := newTable(1 << 20)
	at := timeAt(time.Minute)
	table.Begin(at, request("waits", at))
	x, ok := table.Export(shard, func(dedup.Ticket) bool { return false })
	assert.Assert(t, ok)
	assert.Equal(t, len(x.Entries), 0)
}

// TestImportDropsKeysBeyondTheByteLimit verifies that the oldest keys are dropped
// when an import exceeds the byte limit, and that their repeats are unknown.
func TestImportDropsKeysBeyondTheByteLimit(t *testing.T) {
	const fits = 2000
	before := newTable(1 << 20)
	at := func(i int) time.Time { return timeAt(time.Duration(i) * time.Second) }
	for i := 1; i <= 20; i++ {
		v := before.Begin(at(i), request(fmt.Sprint("k", i), at(i)))
		assert.Assert(t, before.Finish(at(i), v.Ticket, ranWith("answer")))
	}
	x, _ := before.Export(shard, allStarted)
	next := newTable(fits)
	assert.Assert(t, next.Import(at(21), x))
	assert.Assert(t, next.Stats().Bytes <= fits)
	assert.Equal(t, next.Begin(at(21), request("k20", at(20))).Kind, dedup.Replay)
	assert.Equal(t, next.Begin(at(21), request("k1", at(1))).Reason, dedup.ReasonBeforeTable)
}

// handoverModel is a shard served by a sequence of gateways. Each gateway but the
// first may import the table of its predecessor, immediately or later.
type handoverModel struct {
	model
	maxClockOffsetMS int // of a gateway; callers' clocks have the rest of the skew
	clockOffset      time.Duration
	pendingExport    *dedup.Export
}

var errNotOpen = errors.New("import into an open shard failed")

func newHandoverModel(random randomSource) *handoverModel {
	r := &handoverModel{model: model{random: random, bytes: int64(400 + 400*random.IntN(8)), now: epoch, open: true}}
	r.maxClockOffsetMS = random.IntN(int(skew.Milliseconds()) + 1)
	r.startNextGateway()
	return r
}

// startNextGateway replaces the table by an empty one of the next gateway.
func (r *handoverModel) startNextGateway() {
	r.clockOffset = r.randomOffset(r.maxClockOffsetMS)
	r.table = dedup.New(dedup.Config{Bytes: r.bytes, Horizon: horizon, Skew: skew})
	r.table.Open(r.gatewayTime(), shard)
}

func (r *handoverModel) randomOffset(ms int) time.Duration {
	return time.Duration(r.random.IntN(2*ms+1)-ms) * time.Millisecond
}

// gatewayTime returns the current reading of the gateway's clock.
func (r *handoverModel) gatewayTime() time.Time { return r.now.Add(r.clockOffset) }

func (r *handoverModel) step() error {
	r.now = r.now.Add(time.Duration(r.random.IntN(1500)) * time.Millisecond)
	switch r.random.IntN(10) {
	case 0, 1, 2:
		k := &call{sent: r.now, request: request(fmt.Sprint("k", len(r.calls)), r.now.Add(r.randomOffset(int(skew.Milliseconds())-r.maxClockOffsetMS)))}
		if r.random.IntN(5) == 0 {
			k.request.FirstSent = time.Time{}
		}
		r.calls = append(r.calls, k)
		if r.random.IntN(4) == 0 {
			return nil // the call did not reach a gateway
		}
		return r.sendToGateway(k)
	case 3, 4, 5:
		return r.repeatCall()
	case 6, 7:
		return r.finishCall()
	case 8:
		r.replaceGateway()
	default:
		return r.importPending()
	}
	return nil
}

func (r *handoverModel) repeatCall() error {
	if len(r.calls) == 0 {
		return nil
	}
	k := r.calls[r.random.IntN(len(r.calls))]
	if r.now.Sub(k.sent) > horizon {
		return nil
	}
	return r.sendToGateway(k)
}

// sendToGateway sends a call to the gateway that serves the shard.
func (r *handoverModel) sendToGateway(k *call) error {
	now := r.now
	r.now = r.gatewayTime()
	defer func() { r.now = now }()
	return r.send(k)
}

func (r *handoverModel) finishCall() error {
	now := r.now
	r.now = r.gatewayTime()
	defer func() { r.now = now }()
	return r.finish()
}

// replaceGateway moves the shard to the next gateway. Runs of the previous gateway
// end without being observed. Sometimes a third gateway serves in between, and
// nothing is handed over.
func (r *handoverModel) replaceGateway() {
	if r.random.IntN(3) != 0 {
		return
	}
	x, _ := r.table.Export(shard, allStarted)
	r.pendingExport = &x
	for _, k := range r.calls {
		k.running = false
	}
	if r.random.IntN(4) == 0 {
		r.pendingExport = nil
		for _, k := range r.calls {
			if r.now.Sub(k.sent) <= horizon && r.random.IntN(2) == 0 {
				k.runs = max(k.runs, 1)
			}
		}
	}
	r.now = r.now.Add(time.Duration(r.random.IntN(600)) * time.Millisecond)
	r.startNextGateway()
}

// importPending imports the table that was handed over, sometimes twice.
func (r *handoverModel) importPending() error {
	if r.pendingExport == nil {
		return nil
	}
	if !r.table.Import(r.gatewayTime(), *r.pendingExport) {
		return errNotOpen
	}
	if r.random.IntN(3) > 0 {
		r.pendingExport = nil
	}
	return r.checkBytes()
}

func (r *handoverModel) run(steps int) error {
	for range steps {
		if err := r.step(); err != nil {
			return err
		}
	}
	return nil
}

func TestHandoverAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newHandoverModel(rapidSource{t}).run(150); err != nil {
			t.Fatal(err)
		}
	})
}

func countHandoverFaults(runs uint64) int {
	faults := 0
	for seed := range runs {
		if newHandoverModel(rand.New(rand.NewPCG(seed, 3))).run(200) != nil {
			faults++
		}
	}
	return faults
}

func TestHandoverModelCatchesMutant(t *testing.T) {
	assert.Equal(t, countHandoverFaults(300), 0)
	dedup.SetMutantImportIgnoresDrops(true)
	defer dedup.SetMutantImportIgnoresDrops(false)
	assert.Assert(t, countHandoverFaults(300) > 0)
}

// TestImportAllowsForClockSkew imports from a gateway whose clock lags by two skews,
// the maximum if each gateway's clock differs from a caller's by one skew. The
// caller does not send a first-sent time and repeats at the end of the horizon.
func TestImportAllowsForClockSkew(t *testing.T) {
	const lag = 2 * skew
	imported := func(x dedup.Export, bytes int64) *dedup.Table {
		next := dedup.New(dedup.Config{Bytes: bytes, Horizon: horizon, Skew: skew})
		next.Open(timeAt(horizon/2+lag), shard)
		assert.Assert(t, next.Import(timeAt(horizon/2+lag), x))
		return next
	}
	t.Run("sent just before the table was complete", func(t *testing.T) {
		x, _ := newTable(1<<20).Export(shard, allStarted)
		repeat := imported(x, 1<<20).Begin(timeAt(horizon+lag-1), request("k", time.Time{}))
		assert.Equal(t, repeat.Reason, dedup.ReasonBeforeTable)
	})
	t.Run("dropped to save memory", func(t *testing.T) {
		before := newTable(1 << 20)
		v := before.Begin(timeAt(time.Second), request("k", timeAt(time.Second)))
		assert.Assert(t, before.Finish(timeAt(time.Second), v.Ticket, ranWith("loan")))
		x, _ := before.Export(shard, allStarted)
		repeat := imported(x, 1).Begin(timeAt(time.Second+horizon+lag), request("k", time.Time{}))
		assert.Equal(t, repeat.Reason, dedup.ReasonBeforeTable)
	})
}

func TestKeepNewestDropsTheOldestEntries(t *testing.T) {
	x := dedup.Export{Shard: shard, CompleteSince: epoch}
	for i := range 5 {
		x.Entries = append(x.Entries, dedup.ExportedEntry{Key: fmt.Sprint("k", i), Begun: timeAt(time.Duration(i+1) * time.Second)})
	}
	assert.DeepEqual(t, x.KeepNewest(x.Bytes()), x)
	kept := x.KeepNewest(x.Bytes() - 1)
	assert.DeepEqual(t, kept.Entries, x.Entries[1:])
	assert.Equal(t, kept.CompleteSince, x.Entries[0].Begun)
	assert.Equal(t, len(x.KeepNewest(0).Entries), 0)
	assert.Equal(t, x.KeepNewest(0).CompleteSince, x.Entries[4].Begun)
}
