package router

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// modelCall is a request whose caller repeats it.
type modelCall struct {
	key       string
	sentAt    time.Time
	runs      int
	ticket    dedup.Ticket
	runningAt *dedupTable // table of the gateway where it runs, nil if it does not run
}

// moveModel is a shard that gateways serve in turn, after planned moves and after
// losses. Exported tables arrive late, more than once or never, at any gateway, and
// gateways restart.
type moveModel struct {
	t             *rapid.T
	now           time.Time
	gateways      []*dedupTable
	serving       *dedupTable
	line          lease.Line
	lastChain     lease.GatewayEpoch
	exported      []wire.DedupTable
	calls         []*modelCall
	appliedTables int // number of tables that a gateway applied
}

func (m *moveModel) drawIndex(n int) int { return rapid.IntRange(0, n-1).Draw(m.t, "n") }

func (m *moveModel) anyGateway() *dedupTable { return m.gateways[m.drawIndex(len(m.gateways))] }

func (m *moveModel) newGateway() *dedupTable {
	d := newDedupTable(dedup.Config{Bytes: testDedupBytes, Horizon: time.Minute, Skew: time.Millisecond})
	d.onHandover = func(_ wire.DedupTable, applied bool) {
		if applied {
			m.appliedTables++
		}
	}
	return d
}

func (m *moveModel) step() {
	m.now = m.now.Add(time.Duration(m.drawIndex(300)) * time.Millisecond)
	switch m.drawIndex(8) {
	case 0, 1:
		m.calls = append(m.calls, &modelCall{key: fmt.Sprint(len(m.calls)), sentAt: m.now})
	case 2, 3:
		m.sendCall()
	case 4:
		m.finishRunning(2)
	case 5:
		if len(m.exported) > 0 {
			m.anyGateway().receive(m.now, m.exported[m.drawIndex(len(m.exported))])
		}
	case 6:
		m.planMove()
	default:
		m.loseGateway()
	}
}

func (m *moveModel) sendCall() {
	if len(m.calls) == 0 {
		return
	}
	c := m.calls[m.drawIndex(len(m.calls))]
	verdict, run := m.serving.begin(m.now, testDedupRequest(c.key, c.sentAt), m.line)
	if verdict.Kind != dedup.Run {
		return
	}
	run.mayBeWritten.Store(true)
	c.runs++
	c.ticket, c.runningAt = verdict.Ticket, m.serving
	if c.runs > 1 {
		m.t.Fatalf("call %s ran twice, the second time under %+v", c.key, m.line)
	}
}

// finishRunning ends one in oneIn, on average, of the calls that run at the serving
// gateway.
func (m *moveModel) finishRunning(oneIn int) {
	for _, c := range m.calls {
		if c.runningAt == m.serving && m.drawIndex(oneIn) == 0 {
			c.runningAt.finish(m.now, c.ticket, &pb.Answer{Outcome: pb.Outcome_OUTCOME_RAN, Status: 200})
			c.runningAt = nil
		}
	}
}

// startLine begins a line with a new chain at any gateway.
func (m *moveModel) startLine(line lease.Line) {
	m.lastChain++
	line.Chain = m.lastChain
	m.serving, m.line = m.anyGateway(), line
	m.serving.open(m.now, line)
}

// planMove moves the shard. The line that received the table may be replaced by another
// before or after it serves the shard.
func (m *moveModel) planMove() {
	m.finishRunning(1)
	next := m.line.ShardEpoch
	next.Epoch++
	leaving := lease.Leaving{Shard: m.line.ShardEpoch, Target: m.line.Target}
	announced := lease.Line{ShardEpoch: next, Target: fmt.Sprint("t", next.Epoch), Moved: m.line.Chain}
	to := nextOwnerAssignment
	to.Target, to.Epoch = announced.Target, next.Epoch
	table, ok := m.serving.exportMovedShard(leaving, to, 1)
	assert.Assert(m.t, ok)
	m.exported = append(m.exported, table)
	if m.drawIndex(2) == 0 {
		m.serving.close(testShardRef)
	}
	replacement := m.drawIndex(4)
	if replacement != 0 {
		m.startLine(announced)
		m.sendCall()
	}
	if replacement <= 1 {
		announced.Moved = 0
		m.startLine(announced)
	}
}

// loseGateway lets a gateway serve the shard without the previous dedup table. A
// gateway that restarted has lost its own tables.
func (m *moveModel) loseGateway() {
	if m.drawIndex(3) > 0 {
		return
	}
	if i := m.drawIndex(2 * len(m.gateways)); i < len(m.gateways) {
		m.gateways[i] = m.newGateway()
	}
	line := lease.Line{ShardEpoch: m.line.ShardEpoch, Target: m.line.Target}
	if m.drawIndex(2) == 0 {
		line.Epoch++
	}
	m.startLine(line)
}

// No call runs twice, whichever tables arrive when and at which gateway.
func TestCallsRunAtMostOnceAcrossMoves(t *testing.T) {
	appliedTables := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &moveModel{t: t, now: time.Unix(1000, 0)}
		m.gateways = []*dedupTable{m.newGateway(), m.newGateway(), m.newGateway()}
		m.startLine(lease.Line{ShardEpoch: testShardEpoch, Target: "t"})
		for range 80 {
			m.step()
		}
		appliedTables += m.appliedTables
	})
	assert.Assert(t, appliedTables > 0, "no table was applied")
}
