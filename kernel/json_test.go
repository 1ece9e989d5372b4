package kernel

import (
	"bytes"
	"context"
	"io"
	"math"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

var evJSON = RegisterEvent(9998, hclog.Warn, `"odd" <summary>`)

var timestamp = regexp.MustCompile(`"@timestamp":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}(Z|[+-]\d\d:\d\d)"`)

// emitAndRead returns the output of a log with its timestamps replaced by "T".
func emitAndRead(t *testing.T, emit func(*EventLog), logger func(out *bytes.Buffer) hclog.Logger) string {
	t.Helper()
	var out bytes.Buffer
	log := NewEventLog(logger(&out))
	emit(log)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, log.Run(ctx))
	return timestamp.ReplaceAllString(out.String(), `"@timestamp":"T"`)
}

func newHclogJSONLogger(out *bytes.Buffer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: "router", Level: hclog.Info, JSONFormat: true, Output: out})
}

func newKernelJSONLogger(out *bytes.Buffer) hclog.Logger {
	return NewJSONLogger("router", hclog.Info, out)
}

func TestJSONEventsMatchHclog(t *testing.T) {
	values := []any{
		"", "plain", "with \"quotes\" and \\", "<a href=\"x\">&</a>", "tab\tnewline\n\x00\x7f", "Shah Alam – é 漢\u2028", "bad \xff utf",
		0, -7, int64(math.MinInt64), uint32(math.MaxUint32), uint64(math.MaxUint64), true, false, 1.5, nil,
		errors.New("a \"fault\""),
		[]string{"a", "b"},
		struct{ A int }{1},
		hclog.Fmt("%d of %s", 3, "x"), EventID(7),
	}
	for _, v := range values {
		emit := func(l *EventLog) { l.Emit(evJSON, "zeta", "last", "value", v, "alpha", "first") }
		want := emitAndRead(t, emit, newHclogJSONLogger)
		assert.Assert(t, strings.Contains(want, `"@timestamp":"T"`), want)
		assert.Equal(t, emitAndRead(t, emit, newKernelJSONLogger), want)
	}
}

func TestUnusualJSONEventsMatchHclog(t *testing.T) {
	for name, emit := range map[string]func(*EventLog){
		"no fields":                     func(l *EventLog) { l.Emit(evJSON) },
		"name without a value":          func(l *EventLog) { l.Emit(evJSON, "a", 1, "b") },
		"repeated name":                 func(l *EventLog) { l.Emit(evJSON, "a", 1, "b", 2, "a", 3) },
		"reserved name":                 func(l *EventLog) { l.Emit(evJSON, "@message", "mine", "event", "other") },
		"name that needs escaping":      func(l *EventLog) { l.Emit(evJSON, "a<b", 1) },
		"value without a JSON encoding": func(l *EventLog) { l.Emit(evJSON, "a", func() {}); l.Emit(evJSON, "b", 2) },
		"typed fields":                  func(l *EventLog) { l.EmitFields(evJSON, String("b", "x"), Int("c", -3), Uint("a", 5)) },
		"several events":                func(l *EventLog) { l.Emit(evJSON, "n", 1); l.Emit(evJSON, "n", 2) },
		"more than one batch":           func(l *EventLog) { emitMany(l) },
	} {
		want := emitAndRead(t, emit, newHclogJSONLogger)
		assert.Equal(t, emitAndRead(t, emit, newKernelJSONLogger), want, name)
	}
}

func emitMany(l *EventLog) {
	for i := range 500 {
		l.EmitFields(evJSON, Int("n", int64(i)), String("text", strings.Repeat("x", 200)))
	}
}

func TestEventsBelowTheLevelAreNotWritten(t *testing.T) {
	emit := func(l *EventLog) { l.Emit(evJSON, "a", 1) }
	quiet := func(out *bytes.Buffer) hclog.Logger { return NewJSONLogger("", hclog.Error, out) }
	assert.Equal(t, emitAndRead(t, emit, quiet), "")
}

func TestTypedFieldsInTextFormat(t *testing.T) {
	emit := func(l *EventLog) { l.EmitFields(evJSON, String("b", "x"), Int("c", -3), Uint("a", 5)) }
	text := func(out *bytes.Buffer) hclog.Logger {
		return hclog.New(&hclog.LoggerOptions{Output: out, DisableTime: true})
	}
	assert.Equal(t, emitAndRead(t, emit, text), "[WARN]  \"odd\" <summary>: event=MP9998 b=x c=-3 a=5\n")
}

func TestDirectLogCallsAreWrittenByHclog(t *testing.T) {
	var out bytes.Buffer
	log := NewJSONLogger("router", hclog.Info, &out)
	log.Error("cannot read", "error", errors.New("fault"))
	assert.Equal(t, timestamp.ReplaceAllString(out.String(), "T"),
		`{"@level":"error","@message":"cannot read","@module":"router",T,"error":"fault"}`+"\n")
	assert.Assert(t, log.IsInfo() && !log.IsDebug())
}

func BenchmarkEmitFields(b *testing.B) {
	log := NewEventLog(NewJSONLogger("router", hclog.Info, io.Discard))
	b.ReportAllocs()
	for b.Loop() {
		log.EmitFields(evJSON, String("request", "id"), Uint("shard", 70000), Int("took_us", 70000))
		log.writeQueued()
	}
}
