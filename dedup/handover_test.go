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

// TestImportPreservesVerdicts verifies that a repeat gets the same verdict
// from the next gateway as from the previous one, and that a request that reached
// neither of them runs.
func TestImportPreservesVerdicts(t *testing.T) {
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

// TestExportOmitsRunsThatNeverStart covers a request that was still queued when
// the gateway's lease ended. It is refused as not run, so its key is not
// exported.
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

var errImportRefused = errors.New("import into an open shard failed")

func newHandoverModel(random randomSource) *handoverModel {
	m := &handoverModel{model: model{random: random, bytes: int64(400 + 400*random.IntN(8)), now: epoch, open: true}}
	m.maxClockOffsetMS = random.IntN(int(skew.Milliseconds()) + 1)
	m.startNextGateway()
	return m
}

// startNextGateway replaces the table by an empty one of the next gateway.
func (m *handoverModel) startNextGateway() {
	m.clockOffset = m.randomOffset(m.maxClockOffsetMS)
	m.table = dedup.New(dedup.Config{Bytes: m.bytes, Horizon: horizon, Skew: skew})
	m.table.Open(m.gatewayTime(), shard)
}

func (m *handoverModel) randomOffset(ms int) time.Duration {
	return time.Duration(m.random.IntN(2*ms+1)-ms) * time.Millisecond
}

// gatewayTime returns the current reading of the gateway's clock.
func (m *handoverModel) gatewayTime() time.Time { return m.now.Add(m.clockOffset) }

func (m *handoverModel) step() error {
	m.now = m.now.Add(time.Duration(m.random.IntN(1500)) * time.Millisecond)
	switch m.random.IntN(10) {
	case 0, 1, 2:
		c := &call{sent: m.now, request: request(fmt.Sprint("k", len(m.calls)), m.now.Add(m.randomOffset(int(skew.Milliseconds())-m.maxClockOffsetMS)))}
		if m.random.IntN(5) == 0 {
			c.request.FirstSent = time.Time{}
		}
		m.calls = append(m.calls, c)
		if m.random.IntN(4) == 0 {
			return nil // the call did not reach a gateway
		}
		return m.sendToGateway(c)
	case 3, 4, 5:
		return m.repeatCall()
	case 6, 7:
		return m.finishCall()
	case 8:
		m.replaceGateway()
	default:
		return m.importPending()
	}
	return nil
}

func (m *handoverModel) repeatCall() error {
	if len(m.calls) == 0 {
		return nil
	}
	c := m.calls[m.random.IntN(len(m.calls))]
	if m.now.Sub(c.sent) > horizon {
		return nil
	}
	return m.sendToGateway(c)
}

// sendToGateway sends a call to the gateway that serves the shard.
func (m *handoverModel) sendToGateway(c *call) error {
	now := m.now
	m.now = m.gatewayTime()
	defer func() { m.now = now }()
	return m.send(c)
}

func (m *handoverModel) finishCall() error {
	now := m.now
	m.now = m.gatewayTime()
	defer func() { m.now = now }()
	return m.finish()
}

// replaceGateway moves the shard to the next gateway. Runs of the previous gateway
// end without being observed. Sometimes a third gateway serves in between, and
// nothing is handed over.
func (m *handoverModel) replaceGateway() {
	if m.random.IntN(3) != 0 {
		return
	}
	x, _ := m.table.Export(shard, allStarted)
	m.pendingExport = &x
	for _, c := range m.calls {
		c.running = false
	}
	if m.random.IntN(4) == 0 {
		m.pendingExport = nil
		for _, c := range m.calls {
			if m.now.Sub(c.sent) <= horizon && m.random.IntN(2) == 0 {
				c.runs = max(c.runs, 1)
			}
		}
	}
	m.now = m.now.Add(time.Duration(m.random.IntN(600)) * time.Millisecond)
	m.startNextGateway()
}

// importPending imports the table that was handed over, sometimes twice.
func (m *handoverModel) importPending() error {
	if m.pendingExport == nil {
		return nil
	}
	if !m.table.Import(m.gatewayTime(), *m.pendingExport) {
		return errImportRefused
	}
	if m.random.IntN(3) > 0 {
		m.pendingExport = nil
	}
	return m.checkBytes()
}

func (m *handoverModel) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
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
