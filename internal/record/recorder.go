package record

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/lease"
)

// queueCapacity is the number of events that may wait to be written, which a busy
// cell produces in a few seconds.
const queueCapacity = 4096

const writeBufferBytes = 64 << 10

// ErrTraceFull is returned by Run when the trace has MaxLines lines.
var ErrTraceFull = errors.New("the trace has reached its maximum number of lines")

// Recorder queues the events of one state machine in order and writes them to a trace.
// If it is nil, nothing is recorded.
type Recorder struct {
	header  Header
	writer  *bufio.Writer
	queue   *kernel.Ring[recordedCall]
	stopped atomic.Bool

	mu       sync.Mutex
	lastSeq  uint64        // sequence number of the newest event
	lastTime time.Duration // clock reading at the newest event

	lineCount      int    // lines written; used only by Run
	lastWrittenSeq uint64 // sequence number of the newest written event; used only by Run
}

// recordedCall is one call of a state machine. Its values must not be modified.
type recordedCall struct {
	seq     uint64
	at      time.Duration
	kind    string
	input   any
	outcome any // nil if the call has no outcome; []lease.Envelope for sent messages
}

// NewRecorder returns a recorder that writes to out while Run is running.
func NewRecorder(header Header, out io.Writer) *Recorder {
	return &Recorder{header: header, writer: bufio.NewWriterSize(out, writeBufferBytes), queue: kernel.NewRing[recordedCall](queueCapacity)}
}

// NewDaemonRecorder returns the recorder of a daemon's state machine, or nil if out is nil.
func NewDaemonRecorder(daemon string, self lease.Incarnation, out io.Writer) *Recorder {
	if out == nil {
		return nil
	}
	return NewRecorder(Header{
		Trace: fmt.Sprintf("%s-%s-%d", daemon, self.Host, self.Run),
		About: fmt.Sprintf("recorded by the %s of host %s", daemon, self.Host),
	}, out)
}

// LostEvents returns the number of events lost because the queue was full.
func (t *Recorder) LostEvents() uint64 { return t.queue.Dropped() }

// recordAt queues an event at a reading of the state machine's clock.
func (t *Recorder) recordAt(now time.Duration, kind string, input, outcome any) {
	if t == nil || t.stopped.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSeq++
	t.lastTime = max(t.lastTime, now)
	t.queue.Offer(recordedCall{seq: t.lastSeq, at: t.lastTime, kind: kind, input: input, outcome: outcome})
}

// recordUntimed queues an event that does not depend on the clock.
func (t *Recorder) recordUntimed(kind string, input any) { t.recordAt(0, kind, input, nil) }

// Run writes queued events until ctx ends, then the remaining ones. An error ends
// the recording: a failed write, or ErrFull.
func (t *Recorder) Run(ctx context.Context) error {
	if t == nil {
		return nil
	}
	defer t.stopped.Store(true)
	header, err := json.Marshal(t.header)
	if err != nil {
		return errors.Wrap(err, "encoding the header")
	}
	if err := t.writeLine(header); err != nil {
		return err
	}
	for {
		select {
		case e := <-t.queue.C():
			if err := t.writeCall(e); err != nil {
				return err
			}
		case <-ctx.Done():
			return t.drainQueue()
		}
	}
}

// drainQueue writes the remaining events, and a gap if the last events were lost.
func (t *Recorder) drainQueue() error {
	t.stopped.Store(true)
	for t.queue.Len() > 0 {
		if err := t.writeCall(<-t.queue.C()); err != nil {
			return err
		}
	}
	t.mu.Lock()
	end := recordedCall{seq: t.lastSeq + 1, at: t.lastTime}
	t.mu.Unlock()
	if err := t.writeGap(end); err != nil {
		return err
	}
	return errors.Wrap(t.writer.Flush(), "writing the trace")
}

func (t *Recorder) writeCall(e recordedCall) error {
	if err := t.writeGap(e); err != nil {
		return err
	}
	t.lastWrittenSeq = e.seq
	if err := t.writeCallLine(e); err != nil {
		return err
	}
	if t.queue.Len() > 0 {
		return nil
	}
	return errors.Wrap(t.writer.Flush(), "writing the trace")
}

// writeGap writes a gap with the number of events that were lost before e, if any.
func (t *Recorder) writeGap(e recordedCall) error {
	lost := e.seq - t.lastWrittenSeq - 1
	if lost == 0 {
		return nil
	}
	return t.writeCallLine(recordedCall{at: e.at, kind: KindGap, input: Gap{Lost: lost}})
}

func (t *Recorder) writeCallLine(e recordedCall) error {
	line, err := encodeLine(e)
	if err != nil {
		return err
	}
	if len(line) >= MaxLineBytes {
		return t.writeCallLine(recordedCall{at: e.at, kind: KindGap, input: Gap{Lost: 1}})
	}
	return t.writeLine(line)
}

func encodeLine(e recordedCall) ([]byte, error) {
	line := Line{AtMS: e.at.Milliseconds(), Kind: e.kind}
	var err error
	if line.In, err = json.Marshal(e.input); err != nil {
		return nil, errors.Wrapf(err, "encoding %s", e.kind)
	}
	if e.outcome != nil {
		if line.Want, err = json.Marshal(encodableOutcome(e.outcome)); err != nil {
			return nil, errors.Wrapf(err, "encoding the outcome of %s", e.kind)
		}
	}
	data, err := json.Marshal(line)
	return data, errors.Wrapf(err, "encoding %s", e.kind)
}

func encodableOutcome(outcome any) any {
	if envelopes, ok := outcome.([]lease.Envelope); ok {
		return NewSentList(envelopes)
	}
	return outcome
}

// writeLine passes only whole lines to the file, so that a process that is killed
// leaves no partial line behind.
func (t *Recorder) writeLine(line []byte) error {
	if t.lineCount == MaxLines {
		_ = t.writer.Flush()
		return ErrTraceFull
	}
	t.lineCount++
	line = append(line, '\n')
	if t.writer.Available() < len(line) {
		if err := t.writer.Flush(); err != nil {
			return errors.Wrap(err, "writing the trace")
		}
	}
	_, err := t.writer.Write(line)
	return errors.Wrap(err, "writing the trace")
}
