package record

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// endedContext returns a cancelled context, with which Run only writes the queued
// events.
func endedContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

func decodeLines(t *testing.T, out *bytes.Buffer) []Line {
	t.Helper()
	var lines []Line
	for i, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var line Line
		if i > 0 {
			assert.NilError(t, json.Unmarshal([]byte(text), &line))
			lines = append(lines, line)
		}
	}
	return lines
}

// TestOverflowIsRecordedAsGap verifies that events lost at a full queue are counted
// in a gap at the place where they are missing.
func TestOverflowIsRecordedAsGap(t *testing.T) {
	var out bytes.Buffer
	recorder := NewRecorder(Header{Trace: "t"}, &out)
	holder := NewHolder(lease.HolderConfig{}, recorder)
	for i := range queueCapacity + 6 {
		holder.Tick(time.Duration(i) * time.Millisecond)
	}
	assert.Equal(t, recorder.LostEvents(), uint64(7))
	assert.NilError(t, recorder.Run(endedContext(t)))
	lines := decodeLines(t, &out)
	assert.Equal(t, len(lines), queueCapacity+1)
	last := lines[queueCapacity]
	assert.Equal(t, last.Kind, KindGap)
	assert.Equal(t, string(last.In), `{"lost":7}`)
	assert.Equal(t, last.AtMS, int64(queueCapacity+5))
}

// TestGapIsWrittenBetweenEvents verifies that a gap is written between the events
// before and after the lost ones.
func TestGapIsWrittenBetweenEvents(t *testing.T) {
	var out bytes.Buffer
	recorder := NewRecorder(Header{Trace: "t"}, &out)
	for i := range queueCapacity + 3 {
		recorder.recordAt(time.Duration(i), "k", nil, nil)
	}
	<-recorder.queue.C() // frees room for one event
	recorder.recordAt(time.Second, "k", nil, nil)
	recorder.lastWrittenSeq = 1
	assert.NilError(t, recorder.Run(endedContext(t)))
	lines := decodeLines(t, &out)
	assert.Equal(t, lines[queueCapacity-1].Kind, KindGap)
	assert.Equal(t, string(lines[queueCapacity-1].In), `{"lost":3}`)
	assert.Equal(t, lines[queueCapacity].AtMS, int64(1000))
	assert.Equal(t, len(lines), queueCapacity+1)
}

// TestUntimedEventGetsPreviousTime verifies that an event without a clock reading
// gets the time of the previous event.
func TestUntimedEventGetsPreviousTime(t *testing.T) {
	var out bytes.Buffer
	recorder := NewRecorder(Header{Trace: "t"}, &out)
	holder := NewHolder(lease.HolderConfig{}, recorder)
	holder.Tick(3 * time.Millisecond)
	holder.SetStoreDown(true)
	assert.NilError(t, recorder.Run(endedContext(t)))
	lines := decodeLines(t, &out)
	assert.Equal(t, lines[1].AtMS, int64(3))
	assert.Equal(t, string(lines[1].Want), "[]", "nothing was sent")
	assert.Equal(t, lines[2].AtMS, int64(3))
	assert.Assert(t, lines[2].Want == nil)
}

// lineWriter counts writes, and those that do not end with a whole line.
type lineWriter struct{ writes, partial int }

func (w *lineWriter) Write(data []byte) (int, error) {
	w.writes++
	if data[len(data)-1] != '\n' {
		w.partial++
	}
	return len(data), nil
}

// TestLinesAreWrittenWhole verifies that the file receives only whole lines, so that
// a killed process leaves a trace that can be decoded.
func TestLinesAreWrittenWhole(t *testing.T) {
	var out lineWriter
	recorder := NewRecorder(Header{Trace: "t"}, &out)
	for n := range 200 {
		recorder.recordAt(0, "k", strings.Repeat("x", n*n*10), nil)
	}
	assert.NilError(t, recorder.Run(endedContext(t)))
	assert.Assert(t, out.writes > 10)
	assert.Equal(t, out.partial, 0)
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space") }

// TestFailedWriteEndsRecording verifies that after a failed write events are
// discarded without waiting.
func TestFailedWriteEndsRecording(t *testing.T) {
	recorder := NewRecorder(Header{Trace: "t"}, failingWriter{})
	recorder.recordAt(0, "k", nil, nil)
	assert.ErrorContains(t, recorder.Run(t.Context()), "no space")
	for range 2 * queueCapacity {
		recorder.recordAt(0, "k", nil, nil)
	}
	assert.Equal(t, recorder.LostEvents(), uint64(0))
}

func TestRunEndsAtMaxLines(t *testing.T) {
	var out bytes.Buffer
	recorder := NewRecorder(Header{Trace: "t"}, &out)
	recorder.lineCount = MaxLines - 2
	for range 3 {
		recorder.recordAt(0, "k", nil, nil)
	}
	assert.Assert(t, errors.Is(recorder.Run(t.Context()), ErrTraceFull))
	assert.Equal(t, len(decodeLines(t, &out)), 1)
}

func TestNilRecorderRecordsNothing(t *testing.T) {
	recorder := NewDaemonRecorder("router", lease.Incarnation{}, nil)
	voter := NewVoter(lease.VoterConfig{}, recorder)
	assert.Equal(t, len(voter.Tick(time.Second)), 0)
	assert.NilError(t, recorder.Run(t.Context()))
}
