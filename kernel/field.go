package kernel

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
)

// Field is a named value of an event.
type Field struct {
	key    string
	kind   fieldKind
	text   string
	number uint64
	other  any
}

type fieldKind uint8

const (
	textField fieldKind = iota
	intField
	uintField
	timeField // Unix nanoseconds
	otherField
)

// String returns a field that holds a string.
func String(key, value string) Field { return Field{key: key, kind: textField, text: value} }

// Int returns a field that holds a signed integer.
func Int(key string, value int64) Field {
	return Field{key: key, kind: intField, number: uint64(value)}
}

// Uint returns a field that holds an unsigned integer.
func Uint(key string, value uint64) Field { return Field{key: key, kind: uintField, number: value} }

// appendFields appends alternating names and values to fields.
func appendFields(fields []Field, args []any) []Field {
	for len(args) > 1 {
		fields = append(fields, newField(keyOf(args[0]), args[1]))
		args = args[2:]
	}
	if len(args) == 1 {
		fields = append(fields, newField(hclog.MissingKey, args[0]))
	}
	return fields
}

func keyOf(arg any) string {
	if name, ok := arg.(string); ok {
		return name
	}
	return fmt.Sprintf("%s", arg)
}

func newField(key string, value any) Field {
	switch v := value.(type) {
	case string:
		return String(key, v)
	case int:
		return Int(key, int64(v))
	case int64:
		return Int(key, v)
	case uint32:
		return Uint(key, uint64(v))
	case uint64:
		return Uint(key, v)
	default:
		return Field{key: key, kind: otherField, other: value}
	}
}

// value returns the field's value in the form passed to hclog.
func (f Field) value() any {
	switch f.kind {
	case textField:
		return f.text
	case intField:
		return int64(f.number)
	case uintField:
		return f.number
	default:
		return f.other
	}
}

// hclogArgs returns an event number and fields as hclog's alternating keys and values.
func hclogArgs(event string, fields []Field) []any {
	out := make([]any, 0, 2+2*len(fields))
	out = append(out, eventKey, event)
	for _, f := range fields {
		out = append(out, f.key, f.value())
	}
	return out
}
