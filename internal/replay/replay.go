package replay

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
)

// Entry is one line of a transcript: an event and its outcome.
type Entry struct {
	Line  int             `json:"line"` // number of the event, starting at 1
	AtMS  int64           `json:"at_ms"`
	Kind  string          `json:"kind"`
	Got   json.RawMessage `json:"got"`
	Want  json.RawMessage `json:"want,omitempty"`
	Note  string          `json:"note,omitempty"`
	Wrong bool            `json:"wrong,omitempty"` // Got differs from Want
}

// Transcript is the result of a replay.
type Transcript struct {
	Header         Header
	Entries        []Entry
	StatedOutcomes int // events with a stated outcome
	WrongOutcomes  int // events whose outcome differs from the stated one
	SkippedEvents  int // events of a recorded daemon after a gap in the trace
}

// Run replays a trace. It returns an error only for a fault of the trace itself,
// such as an event for a state machine that was not created. Outcomes that differ
// from the stated ones are counted in the transcript.
func Run(trace Trace) (Transcript, error) {
	rs := newReplayState()
	result := Transcript{Header: trace.Header}
	for i, line := range trace.Lines {
		if rs.recorded.lostEvents > 0 && isRecorded(trace.steps[i]) {
			result.SkippedEvents++
			continue
		}
		at := traceTime(time.Duration(line.AtMS) * time.Millisecond)
		outcome, err := trace.steps[i].apply(rs, at)
		if err != nil {
			return result, errors.Wrapf(err, "event %d (%s)", i+1, line.Kind)
		}
		if err := result.addEntry(i+1, line, outcome); err != nil {
			return result, errors.Wrapf(err, "event %d (%s)", i+1, line.Kind)
		}
	}
	return result, nil
}

func (t *Transcript) addEntry(n int, line Line, outcome any) error {
	got, err := json.Marshal(outcome)
	if err != nil {
		return errors.Wrap(err, "encoding the outcome")
	}
	entry := Entry{Line: n, AtMS: line.AtMS, Kind: line.Kind, Got: got, Want: line.Want, Note: line.Note}
	if line.Want != nil {
		t.StatedOutcomes++
		same, err := equalJSON(got, line.Want)
		if err != nil {
			return errors.Wrap(err, "comparing with the stated outcome")
		}
		entry.Wrong = !same
	}
	if entry.Wrong {
		t.WrongOutcomes++
	}
	t.Entries = append(t.Entries, entry)
	return nil
}

// equalJSON reports whether two JSON values are equal, ignoring the order of fields.
func equalJSON(a, b json.RawMessage) (bool, error) {
	x, err := decodeAny(a)
	if err != nil {
		return false, err
	}
	y, err := decodeAny(b)
	return reflect.DeepEqual(x, y), err
}

func decodeAny(data json.RawMessage) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var v any
	err := dec.Decode(&v)
	return v, errors.Wrap(err, "decoding")
}

// Write writes the header and then the entries as JSON lines.
func (t Transcript) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(t.Header); err != nil {
		return errors.Wrap(err, "writing the header")
	}
	for _, e := range t.Entries {
		if err := enc.Encode(e); err != nil {
			return errors.Wrapf(err, "writing event %d", e.Line)
		}
	}
	return nil
}
