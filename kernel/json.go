package kernel

import (
	"encoding"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
)

// appendJSON appends a line with the fields to buf in the same form as hclog's
// JSON: sorted by name, with only the last field of each name. It sorts fields
// in place.
func appendJSON(buf []byte, fields []Field) ([]byte, error) {
	slices.SortStableFunc(fields, compareKeys)
	var err error
	start := byte('{')
	for i, f := range fields {
		if i+1 < len(fields) && fields[i+1].key == f.key {
			continue
		}
		buf = append(buf, start)
		buf = appendString(buf, f.key)
		buf = append(buf, ':')
		if buf, err = appendValue(buf, f); err != nil {
			return buf, err
		}
		start = ','
	}
	return append(buf, '}', '\n'), nil
}

func compareKeys(a, b Field) int {
	switch {
	case a.key < b.key:
		return -1
	case a.key > b.key:
		return 1
	default:
		return 0
	}
}

func appendValue(buf []byte, f Field) ([]byte, error) {
	switch f.kind {
	case textField:
		return appendString(buf, f.text), nil
	case intField:
		return strconv.AppendInt(buf, int64(f.number), 10), nil
	case uintField:
		return strconv.AppendUint(buf, f.number, 10), nil
	case timeField:
		buf = append(buf, '"')
		buf = time.Unix(0, int64(f.number)).AppendFormat(buf, hclog.TimeFormatJSON)
		return append(buf, '"'), nil
	default:
		return appendOther(buf, f.other)
	}
}

func appendOther(buf []byte, value any) ([]byte, error) {
	raw, err := json.Marshal(marshalable(value))
	if err != nil {
		return buf, errors.Wrap(err, "marshal event field")
	}
	return append(buf, raw...), nil
}

// marshalable converts a value in the same way as hclog before it marshals it.
func marshalable(value any) any {
	switch v := value.(type) {
	case json.Marshaler, encoding.TextMarshaler:
		return v
	case error:
		return v.Error()
	case hclog.Format:
		return fmt.Sprintf(v[0].(string), v[1:]...)
	default:
		return v
	}
}

// appendString appends a quoted JSON string.
func appendString(buf []byte, s string) []byte {
	if isPlainASCII(s) {
		buf = append(buf, '"')
		buf = append(buf, s...)
		return append(buf, '"')
	}
	raw, _ := json.Marshal(s) // marshalling a string never fails
	return append(buf, raw...)
}

// isPlainASCII reports whether a string needs no escaping in JSON.
func isPlainASCII(s string) bool {
	for i := range len(s) {
		switch c := s[i]; {
		case c < ' ', c > '~':
			return false
		case c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}
