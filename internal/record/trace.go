// Package record writes the inputs and outputs of a daemon's lease state
// machine to a trace, which internal/replay replays. Its Holder and Voter wrap
// those of package lease and queue their events in a recorder. A separate duty
// (Recorder.Run) encodes and writes the events, so that no control path waits
// for the file.
package record

import (
	"encoding/json"
)

// Header is the first line of a trace.
type Header struct {
	Trace    string   `json:"trace"`            // name of the trace
	About    string   `json:"about"`            // what happens in the trace
	Promises []string `json:"promises"`         // properties that must hold
	Faults   []string `json:"faults,omitempty"` // faults that the trace contains
}

// Line is one event and, unless it only sets up state, its expected outcome.
type Line struct {
	AtMS int64           `json:"at_ms"` // since the start of the trace; never decreases
	Kind string          `json:"kind"`  // such as "dedup.begin"
	In   json.RawMessage `json:"in,omitempty"`
	Want json.RawMessage `json:"want,omitempty"`
	Note string          `json:"note,omitempty"`
}

// Bounds of a trace.
const (
	MaxLineBytes = 16 << 20
	MaxLines     = 1 << 20
)
