package kernel

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// eventRingSize is the maximum number of events queued for the writer.
	eventRingSize = 8192
	// eventBatchInterval is the pause after each write. Events that arrive during
	// it are written together, so that the writer is not woken for each one.
	eventBatchInterval = 2 * time.Millisecond

	eventKey = "event"
)

// record is an event queued for the writer.
type record struct {
	id     EventID
	at     time.Time
	fields []Field
}

// eventSink encodes events one by one and writes the buffered ones on flush.
type eventSink interface {
	add(def EventDef, r *record)
	flush()
}

// EventLog writes numbered events in a separate duty, so that a slow sink never
// delays a request. Events are dropped and counted while the ring is full.
type EventLog struct {
	ring       *Ring[*record]
	sink       eventSink
	recordPool sync.Pool // *record
}

// NewEventLog returns a log that writes to logger once Run is started.
func NewEventLog(logger hclog.Logger) *EventLog {
	l := &EventLog{ring: NewRing[*record](eventRingSize), sink: hclogSink{logger}}
	l.recordPool.New = func() any { return new(record) }
	if j, ok := logger.(*jsonLogger); ok {
		l.sink = &jsonSink{logger: j}
	}
	return l
}

// Emit queues one event with alternating field names and values.
func (l *EventLog) Emit(id EventID, args ...any) {
	r := l.newRecord(id)
	r.fields = appendFields(r.fields, args)
	l.offer(r)
}

// EmitFields queues one event without allocating for its fields.
func (l *EventLog) EmitFields(id EventID, fields ...Field) {
	r := l.newRecord(id)
	r.fields = append(r.fields, fields...)
	l.offer(r)
}

func (l *EventLog) newRecord(id EventID) *record {
	r := l.recordPool.Get().(*record)
	r.id = id
	r.at = time.Now()
	return r
}

func (l *EventLog) offer(r *record) {
	if !l.ring.Offer(r) {
		l.recycle(r)
	}
}

func (l *EventLog) recycle(r *record) {
	clear(r.fields)
	r.fields = r.fields[:0]
	l.recordPool.Put(r)
}

// Dropped returns the number of events dropped because the ring was full.
func (l *EventLog) Dropped() uint64 { return l.ring.Dropped() }

// Run writes queued events until ctx ends, then writes the remaining ones.
func (l *EventLog) Run(ctx context.Context) error {
	timer := time.NewTimer(eventBatchInterval)
	defer timer.Stop()
	for {
		select {
		case r := <-l.ring.C():
			l.write(r)
			l.writeQueued()
		case <-ctx.Done():
			l.writeQueued()
			return nil
		}
		timer.Reset(eventBatchInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// writeQueued writes all queued events and flushes the sink.
func (l *EventLog) writeQueued() {
	for {
		select {
		case r := <-l.ring.C():
			l.write(r)
		default:
			l.sink.flush()
			return
		}
	}
}

func (l *EventLog) write(r *record) {
	l.sink.add(lookupEvent(r.id), r)
	l.recycle(r)
}
