package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/routing"
)

// randomSource supplies the random choices of a model run.
type randomSource interface{ IntN(n int) int }

type rapidSource struct{ t *rapid.T }

func (c rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "n") }

// call is one caller's request, sent one or more times. The caller's clock
// differs by at most the skew, and repeats are sent within the horizon.
type call struct {
	request dedup.Request
	sent    time.Time // actual time of the first sending
	runs    int       // runs that may have had an effect, at any gateway
	ticket  dedup.Ticket
	running bool
	answer  string // of the run in this table's gateway, if it finished there
}

// model is a shard served alternately by this table's gateway and by another one,
// whose runs this table does not see.
type model struct {
	random randomSource
	table  *dedup.Table
	bytes  int64
	now    time.Time
	open   bool
	calls  []*call
}

func newModel(random randomSource) *model {
	m := &model{random: random, bytes: int64(400 + 400*random.IntN(8)), now: epoch, open: true}
	m.table = newTable(m.bytes)
	return m
}

// step performs one random step and returns an error if it violates a property.
func (m *model) step() error {
	m.now = m.now.Add(time.Duration(m.random.IntN(1500)) * time.Millisecond)
	switch m.random.IntN(8) {
	case 0, 1:
		return m.send(m.newCall())
	case 2, 3, 4:
		return m.repeat()
	case 5, 6:
		return m.finish()
	default:
		m.toggleGateway()
		return nil
	}
}

func (m *model) newCall() *call {
	clockOffset := time.Duration(m.random.IntN(401)-200) * time.Millisecond
	c := &call{sent: m.now, request: request(fmt.Sprint("k", len(m.calls)), m.now.Add(clockOffset))}
	if m.random.IntN(5) == 0 {
		c.request.FirstSent = time.Time{}
	}
	m.calls = append(m.calls, c)
	return c
}

// repeat resends a random call to the gateway that serves the shard.
func (m *model) repeat() error {
	if len(m.calls) == 0 {
		return nil
	}
	c := m.calls[m.random.IntN(len(m.calls))]
	if m.now.Sub(c.sent) > horizon {
		return nil
	}
	return m.send(c)
}

func (m *model) send(c *call) error {
	if !m.open {
		c.runs = max(c.runs, 1) // the other gateway runs it once
		return nil
	}
	v := m.table.Begin(m.now, c.request)
	switch v.Kind {
	case dedup.Run:
		c.runs++
		c.running, c.ticket = true, v.Ticket
	case dedup.Replay:
		if string(v.Answer.Body) != c.answer {
			return fmt.Errorf("%s replayed answer %q, want %q", c.request.Key, v.Answer.Body, c.answer)
		}
	case dedup.Join:
		if !c.running {
			return fmt.Errorf("%s joined a run that has already ended", c.request.Key)
		}
	case dedup.Mismatch:
		return fmt.Errorf("%s got the verdict mismatch", c.request.Key)
	}
	if c.runs > 1 {
		return fmt.Errorf("%s ran twice, first sent %v, now %v", c.request.Key, c.sent, m.now)
	}
	return m.checkBytes()
}

func (m *model) checkBytes() error {
	if s := m.table.Stats(); s.Bytes > m.bytes {
		return fmt.Errorf("table holds %d bytes, limit %d", s.Bytes, m.bytes)
	}
	return nil
}

func (m *model) finish() error {
	for _, c := range m.calls {
		if !c.running || m.random.IntN(3) == 0 {
			continue
		}
		c.running = false
		switch m.random.IntN(4) {
		case 0:
			if m.table.Finish(m.now, c.ticket, dedup.Result{Outcome: routing.OutcomeNotRun}) {
				c.runs--
			}
		case 1:
			m.table.Finish(m.now, c.ticket, dedup.Result{Outcome: routing.OutcomeUnknown})
		default:
			c.answer = "answer of " + c.request.Key
			m.table.Finish(m.now, c.ticket, ranWith(c.answer))
		}
		return m.checkBytes()
	}
	return nil
}

// toggleGateway moves the shard to the other gateway or back.
func (m *model) toggleGateway() {
	if m.random.IntN(3) != 0 {
		return
	}
	if m.open {
		m.table.Close(shard)
	} else {
		m.table.Open(m.now, shard)
	}
	m.open = !m.open
}

func (m *model) run(steps int) error {
	for range steps {
		if err := m.step(); err != nil {
			return err
		}
	}
	return nil
}

func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newModel(rapidSource{t}).run(120); err != nil {
			t.Fatal(err)
		}
	})
}

// countModelFaults returns how many of the seeded model runs violate a property.
func countModelFaults(runs uint64) int {
	faults := 0
	for seed := range runs {
		if newModel(rand.New(rand.NewPCG(seed, 2))).run(200) != nil {
			faults++
		}
	}
	return faults
}

func TestModelCatchesMutant(t *testing.T) {
	assert.Equal(t, countModelFaults(200), 0)
	dedup.SetMutantAcceptsSentBeforeTable(true)
	defer dedup.SetMutantAcceptsSentBeforeTable(false)
	assert.Assert(t, countModelFaults(200) > 0)
}
