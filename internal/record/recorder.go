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

// Recorder queues the events of one state machine in order and writes them to a
// trace. If it is nil, nothing is recorded.
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

// NewDaemonRecorder returns the recorder of a daemon's state machine, or nil if
// out is nil.
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
func (r *Recorder) LostEvents() uint64 { return r.queue.Dropped() }

// recordAt queues an event at a reading of the state machine's clock.
func (r *Recorder) recordAt(now time.Duration, kind string, input, outcome any) {
	if r == nil || r.stopped.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeq++
	r.lastTime = max(r.lastTime, now)
	r.queue.Offer(recordedCall{seq: r.lastSeq, at: r.lastTime, kind: kind, input: input, outcome: outcome})
}

// recordUntimed queues an event that does not depend on the clock.
func (r *Recorder) recordUntimed(kind string, input any) { r.recordAt(0, kind, input, nil) }

// Run writes queued events until ctx ends, then the remaining ones. An error
// ends the recording: a failed write, or ErrTraceFull.
func (r *Recorder) Run(ctx context.Context) error {
	if r == nil {
		return nil
	}
	defer r.stopped.Store(true)
	header, err := json.Marshal(r.header)
	if err != nil {
		return errors.Wrap(err, "encoding the header")
	}
	if err := r.writeLine(header); err != nil {
		return err
	}
	for {
		select {
		case e := <-r.queue.C():
			if err := r.writeCall(e); err != nil {
				return err
			}
		case <-ctx.Done():
			return r.drainQueue()
		}
	}
}

// drainQueue writes the remaining events, and a gap if the last events were lost.
func (r *Recorder) drainQueue() error {
	r.stopped.Store(true)
	for r.queue.Len() > 0 {
		if err := r.writeCall(<-r.queue.C()); err != nil {
			return err
		}
	}
	r.mu.Lock()
	end := recordedCall{seq: r.lastSeq + 1, at: r.lastTime}
	r.mu.Unlock()
	if err := r.writeGap(end); err != nil {
		return err
	}
	return errors.Wrap(r.writer.Flush(), "writing the trace")
}

func (r *Recorder) writeCall(e recordedCall) error {
	if err := r.writeGap(e); err != nil {
		return err
	}
	r.lastWrittenSeq = e.seq
	if err := r.writeCallLine(e); err != nil {
		return err
	}
	if r.queue.Len() > 0 {
		return nil
	}
	return errors.Wrap(r.writer.Flush(), "writing the trace")
}

// writeGap writes a gap with the number of events that were lost before e, if any.
func (r *Recorder) writeGap(e recordedCall) error {
	lost := e.seq - r.lastWrittenSeq - 1
	if lost == 0 {
		return nil
	}
	return r.writeCallLine(recordedCall{at: e.at, kind: KindGap, input: Gap{Lost: lost}})
}

func (r *Recorder) writeCallLine(e recordedCall) error {
	line, err := encodeLine(e)
	if err != nil {
		return err
	}
	if len(line) >= MaxLineBytes {
		return r.writeCallLine(recordedCall{at: e.at, kind: KindGap, input: Gap{Lost: 1}})
	}
	return r.writeLine(line)
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
func (r *Recorder) writeLine(line []byte) error {
	if r.lineCount == MaxLines {
		_ = r.writer.Flush()
		return ErrTraceFull
	}
	r.lineCount++
	line = append(line, '\n')
	if r.writer.Available() < len(line) {
		if err := r.writer.Flush(); err != nil {
			return errors.Wrap(err, "writing the trace")
		}
	}
	_, err := r.writer.Write(line)
	return errors.Wrap(err, "writing the trace")
}
