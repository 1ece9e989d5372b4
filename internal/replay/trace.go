// Package replay feeds recorded traces to the decision packages and compares their
// decisions with the outcomes stated in the trace. A trace is a file of JSON lines:
// a header, then timed events in order. A replay has no other input, so two replays
// of a trace produce identical bytes.
//
// A trace recorded by a daemon (package record) replays only that daemon's lease
// state machine, call by call. Its stated outcomes are the messages that the daemon
// sent.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/record"
)

// Header is the first line of a trace.
type Header = record.Header

// Line is one event and, unless it only sets up state, its stated outcome.
type Line = record.Line

// Trace is a decoded trace. Every event has a known kind.
type Trace struct {
	Header Header
	Lines  []Line
	steps  []step
}

// Bounds of a trace.
const (
	maxLineBytes = record.MaxLineBytes
	maxLines     = record.MaxLines
	maxAtMS      = int64(30 * 24 * time.Hour / time.Millisecond)
)

// Decode reads a trace. The error joins the faults of all lines, each with its line
// number.
func Decode(r io.Reader) (Trace, error) {
	var trace Trace
	var faults []error
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if n > maxLines {
			return Trace{}, errors.Newf("trace has more than %d lines", maxLines)
		}
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err := trace.decodeLine(n, lines.Bytes()); err != nil {
			faults = append(faults, errors.Wrapf(err, "line %d", n))
		}
	}
	if err := lines.Err(); err != nil {
		return Trace{}, errors.Wrap(err, "reading the trace")
	}
	if trace.Header.Trace == "" && len(faults) == 0 {
		faults = append(faults, errors.New("trace has no header"))
	}
	return trace, errors.Join(faults...)
}

func (t *Trace) decodeLine(n int, data []byte) error {
	if n == 1 {
		return t.decodeHeader(data)
	}
	var line Line
	if err := decodeStrict(data, &line); err != nil {
		return err
	}
	if line.AtMS < t.lastMS() || line.AtMS > maxAtMS {
		return errors.Newf("at_ms %d is not between the previous event's %d and the maximum %d", line.AtMS, t.lastMS(), maxAtMS)
	}
	s, err := decodeStep(line.Kind, line.In)
	if err != nil {
		return err
	}
	t.Lines = append(t.Lines, line)
	t.steps = append(t.steps, s)
	return nil
}

func (t *Trace) decodeHeader(data []byte) error {
	if err := decodeStrict(data, &t.Header); err != nil {
		return errors.Wrap(err, "header")
	}
	if t.Header.Trace == "" {
		return errors.New("header has no trace name")
	}
	return nil
}

func (t *Trace) lastMS() int64 {
	if len(t.Lines) == 0 {
		return 0
	}
	return t.Lines[len(t.Lines)-1].AtMS
}

// decodeStrict decodes exactly one JSON value. Unknown fields and trailing data are
// errors.
func decodeStrict(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return errors.Wrap(err, "decoding")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	return nil
}
