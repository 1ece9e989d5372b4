package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/record"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// recordedCell is a cell of three voters and the gateway of targets a and b. The
// holder and the first voter are recorded.
type recordedCell struct {
	now         time.Duration
	holder      *record.Holder
	voters      map[lease.Incarnation]*record.Voter
	unreachable map[lease.Incarnation]bool // voters that are cut off
}

var (
	gatewayID = lease.Incarnation{Host: "kl-1", Run: 1764806400000000001}
	voterIDs  = []lease.Incarnation{{Host: "kl-1", Run: 1764806400000000000}, {Host: "kl-2", Run: 1}, {Host: "kl-3", Run: 1}}
)

func newRecordedCell(holderRecorder, voterRecorder *record.Recorder) *recordedCell {
	c := &recordedCell{
		holder:      record.NewHolder(lease.HolderConfig{Cell: "kl", Self: gatewayID, Timing: lease.DefaultTiming}, holderRecorder),
		voters:      make(map[lease.Incarnation]*record.Voter),
		unreachable: make(map[lease.Incarnation]bool),
	}
	for i, id := range voterIDs {
		recorder := voterRecorder
		if i > 0 {
			recorder = nil
		}
		c.voters[id] = record.NewVoter(lease.VoterConfig{Cell: "kl", Self: id, Timing: lease.DefaultTiming}, recorder)
	}
	return c
}

func (c *recordedCell) applyStoreObjects(e lease.Electorate, page ownership.Page) {
	for _, id := range voterIDs {
		c.voters[id].SetElectorate(c.now, e)
		c.voters[id].SetTargets(c.now, []string{"a", "b"})
	}
	c.holder.SetElectorate(c.now, e)
	var targets []lease.TargetClaim
	for _, name := range []string{"a", "b"} {
		targets = append(targets, lease.TargetClaim{Target: name, Service: "s", First: 1, Candidates: []lease.Incarnation{gatewayID}})
	}
	c.holder.SetTargets(c.now, targets)
	var shards []lease.ShardClaim
	for n, s := range page.Shards {
		shards = append(shards, lease.ShardClaim{Ref: ownership.ShardRef{Service: "s", Shard: uint32(n)}, Shard: s})
	}
	c.holder.SetShards(c.now, shards)
}

// run ticks the cell for a duration and delivers messages immediately.
func (c *recordedCell) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += leaseTickInterval {
		for _, id := range voterIDs {
			c.voters[id].Tick(c.now)
		}
		c.deliverToVoters(c.holder.Tick(c.now))
	}
}

func (c *recordedCell) deliverToVoters(envelopes []lease.Envelope) {
	for _, e := range envelopes {
		if c.unreachable[e.To] {
			continue
		}
		for _, reply := range c.voters[e.To].Step(c.now, gatewayID, e.Msg) {
			c.deliverToVoters(c.holder.Step(c.now, e.To, reply.Msg))
		}
	}
}

// runIncident serves two shards, performs a planned move of one while a voter is cut
// off, then cuts off a majority of the voters and reconnects it.
func (c *recordedCell) runIncident(t *testing.T) {
	t.Helper()
	page, err := ownership.NewPage("s", 2, []ownership.Place{{Cell: "kl", Target: "a"}}, ownership.Change{})
	assert.NilError(t, err)
	e := lease.Electorate{Cell: "kl", Record: 1, Voters: voterIDs}
	c.applyStoreObjects(e, page)
	c.holder.SetAlive("a", true, 3)
	c.run(2 * time.Second)
	assert.Equal(t, len(c.holder.Lines(c.now)), 2)

	c.unreachable[voterIDs[2]] = true
	page, err = ownership.BeginMove(page, 1, ownership.Place{Cell: "kl", Target: "b"}, ownership.MovePlanned, nil, ownership.Change{})
	assert.NilError(t, err)
	c.applyStoreObjects(e, page)
	assert.Assert(t, c.holder.Release(c.now, ownership.ShardRef{Service: "s", Shard: 0}, 1, 0) != nil)
	for _, l := range c.holder.Leaving() {
		assert.NilError(t, c.holder.Release(c.now, l.Shard.Shard, l.Shard.Epoch, 0))
	}
	c.run(time.Second)
	target, epoch, ok := c.holder.Serves(c.now, ownership.ShardRef{Service: "s", Shard: 1})
	assert.Assert(t, ok)
	assert.Equal(t, target, "b")
	assert.Equal(t, epoch, ownership.Epoch(2))

	c.unreachable[voterIDs[1]] = true
	c.holder.SetStoreDown(true)
	c.run(time.Second)
	assert.Equal(t, len(c.holder.Lines(c.now)), 0)
	clear(c.unreachable)
	c.holder.SetDrained("b", true)
	c.holder.SetStoreDown(false)
	c.run(time.Second)
	assert.Equal(t, len(c.holder.Lines(c.now)), 2)
}

// recordIncident returns the traces of the holder and the first voter, which are
// written during the incident.
func recordIncident(t *testing.T) (holder, voter []byte) {
	t.Helper()
	var out [2]bytes.Buffer
	holderRecorder := record.NewDaemonRecorder("router", gatewayID, &out[0])
	voterRecorder := record.NewDaemonRecorder("placer", voterIDs[0], &out[1])
	ctx, cancel := context.WithCancel(t.Context())
	written := make(chan error, 2)
	for _, recorder := range []*record.Recorder{holderRecorder, voterRecorder} {
		go func() { written <- recorder.Run(ctx) }()
	}
	newRecordedCell(holderRecorder, voterRecorder).runIncident(t)
	cancel()
	assert.NilError(t, <-written)
	assert.NilError(t, <-written)
	assert.Equal(t, holderRecorder.LostEvents()+voterRecorder.LostEvents(), uint64(0))
	return out[0].Bytes(), out[1].Bytes()
}

// TestRecordedIncidentReplaysIdentically verifies that replaying the recorded calls
// sends the recorded envelopes.
func TestRecordedIncidentReplaysIdentically(t *testing.T) {
	holder, voter := recordIncident(t)
	for _, data := range [][]byte{holder, voter} {
		transcript, first := replayBytes(t, data)
		_, second := replayBytes(t, data)
		assert.Equal(t, string(first), string(second))
		assert.Equal(t, transcript.WrongOutcomes, 0)
		assert.Equal(t, transcript.SkippedEvents, 0)
		assert.Assert(t, transcript.StatedOutcomes > 200)
	}
	for _, kind := range []string{
		record.KindHolderStart, record.KindHolderElectorate, record.KindHolderTargets, record.KindHolderShards,
		record.KindHolderAlive, record.KindHolderDrained, record.KindHolderStore, record.KindHolderTick,
		record.KindHolderStep, record.KindHolderRelease, "vote_request", "stop_request", "refused",
	} {
		assert.Assert(t, bytes.Contains(holder, []byte(`"`+kind+`"`)), kind)
	}
}

// TestMissingEventIsDetected verifies that a trace with one event removed does not
// replay to the recorded envelopes, so that the comparison can detect differences.
func TestMissingEventIsDetected(t *testing.T) {
	holder, _ := recordIncident(t)
	lines := strings.SplitAfter(string(holder), "\n")
	for i, line := range lines {
		if strings.Contains(line, record.KindHolderRelease) && !strings.Contains(line, "refused") {
			transcript, _ := replayBytes(t, []byte(strings.Join(append(lines[:i:i], lines[i+1:]...), "")))
			assert.Assert(t, transcript.WrongOutcomes > 0)
			return
		}
	}
	t.Fatal("the trace has no accepted release")
}

// TestEventsAfterGapAreSkipped verifies that no event after a gap is replayed, as
// the state there is unknown.
func TestEventsAfterGapAreSkipped(t *testing.T) {
	holder, _ := recordIncident(t)
	lines := strings.SplitAfter(string(holder), "\n")
	var before record.Line
	assert.NilError(t, json.Unmarshal([]byte(lines[99]), &before))
	gap, err := json.Marshal(record.Line{AtMS: before.AtMS, Kind: record.KindGap, In: []byte(`{"lost":1}`)})
	assert.NilError(t, err)
	lines[100] = string(gap) + "\n"
	transcript, _ := replayBytes(t, []byte(strings.Join(lines, "")))
	assert.Equal(t, transcript.WrongOutcomes, 0)
	assert.Equal(t, len(transcript.Entries), 100)
	assert.Equal(t, transcript.SkippedEvents, len(lines)-1-1-100)
}

// TestTraceWithoutStartIsRejected verifies that a trace without the start of its
// state machine is rejected, as are unknown input fields.
func TestTraceWithoutStartIsRejected(t *testing.T) {
	for _, line := range []string{
		`{"at_ms":0,"kind":"holder.tick","in":{"now_ns":0}}`,
		`{"at_ms":0,"kind":"voter.tick","in":{"now_ns":0}}`,
	} {
		trace, err := Decode(strings.NewReader(`{"trace":"t","about":"","promises":[]}` + "\n" + line))
		assert.NilError(t, err)
		_, err = Run(trace)
		assert.ErrorContains(t, err, "was started")
	}
	_, err := Decode(strings.NewReader(`{"trace":"t","about":"","promises":[]}` + "\n" + `{"at_ms":0,"kind":"holder.tick","in":{"now":0}}`))
	assert.ErrorContains(t, err, "line 2")
}
