package kernel

import (
	"io"
	"sync"

	"github.com/hashicorp/go-hclog"
)

// flushThresholdBytes is the size at which buffered lines are written at once.
const flushThresholdBytes = 32 << 10

// jsonLogger is an hclog.Logger for which an EventLog encodes its events itself,
// as hclog's encoder needs a map and reflection for each line. Other callers'
// lines are encoded by hclog. Both write whole lines under one lock.
type jsonLogger struct {
	hclog.Logger
	out io.Writer
	mu  sync.Mutex
}

// NewJSONLogger returns a logger that writes JSON to out in hclog's format.
func NewJSONLogger(name string, level hclog.Level, out io.Writer) hclog.Logger {
	l := &jsonLogger{out: out}
	l.Logger = hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      level,
		JSONFormat: true,
		Output:     out,
		Mutex:      &l.mu,
	})
	return l
}

// write writes whole lines. Like hclog, it ignores write errors, as there is no
// other place to report them.
func (l *jsonLogger) write(lines []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.out.Write(lines)
}

// jsonSink is the sink of an EventLog that encodes events as JSON. It buffers
// lines until flush.
type jsonSink struct {
	logger *jsonLogger
	buf    []byte
	fields []Field
}

// add encodes one event.
func (j *jsonSink) add(def EventDef, r *record) {
	if def.Level < j.logger.GetLevel() {
		return
	}
	start := len(j.buf)
	j.fields = j.header(j.fields[:0], def, r)
	j.fields = append(j.fields, r.fields...)
	buf, err := appendJSON(j.buf, j.fields)
	j.buf = buf
	if err != nil { // hclog writes a line of its own for values that cannot be encoded
		j.buf = buf[:start]
		j.flush()
		j.logger.Log(def.Level, def.Summary, hclogArgs(def.name, r.fields)...)
	}
	if len(j.buf) >= flushThresholdBytes {
		j.flush()
	}
}

func (j *jsonSink) header(fields []Field, def EventDef, r *record) []Field {
	fields = append(fields, String("@level", def.Level.String()), String("@message", def.Summary))
	if name := j.logger.Name(); name != "" {
		fields = append(fields, String("@module", name))
	}
	at := Field{key: "@timestamp", kind: timeField, number: uint64(r.at.UnixNano())}
	return append(fields, at, String(eventKey, def.name))
}

func (j *jsonSink) flush() {
	if len(j.buf) == 0 {
		return
	}
	j.logger.write(j.buf)
	j.buf = j.buf[:0]
	clear(j.fields[:cap(j.fields)])
}

// hclogSink is the sink for loggers other than jsonLogger.
type hclogSink struct{ logger hclog.Logger }

func (p hclogSink) add(def EventDef, r *record) {
	p.logger.Log(def.Level, def.Summary, hclogArgs(def.name, r.fields)...)
}

func (p hclogSink) flush() {}
