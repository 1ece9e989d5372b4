package load

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome is the outcome of one attempt as its caller sees it.
type Outcome string

const (
	// Ran means that the target answered.
	Ran Outcome = "ran"
	// NotRun means that the request was refused and did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the answer does not say whether the request ran.
	Unknown Outcome = "unknown"
	// NoAnswer means that the attempt timed out or its connection broke.
	NoAnswer Outcome = "no-answer"
	// NotSent means that the load tool did not send the attempt, because
	// MaxInFlight requests were in flight.
	NotSent Outcome = "not-sent"
)

// Result describes one attempt. Fields ending in US are in microseconds, those
// ending in UnixUS since the Unix epoch.
type Result struct {
	RequestID      string  `json:"request_id"`
	Attempt        int     `json:"attempt"` // 0 for the first
	Service        string  `json:"service"`
	Class          string  `json:"class"`
	Client         string  `json:"client"`
	Method         string  `json:"method"`
	Key            string  `json:"key,omitempty"`
	IdempotencyKey string  `json:"idempotency_key,omitempty"`
	Idempotent     bool    `json:"idempotent"`
	Straggler      bool    `json:"straggler,omitempty"`
	DeadlineMS     int64   `json:"deadline_ms,omitempty"`
	Entry          string  `json:"entry"`
	IntendedUnixUS int64   `json:"intended_unix_us"`
	SentUnixUS     int64   `json:"sent_unix_us"`
	LatencyUS      int64   `json:"latency_us"` // from the intended send time to the end of the attempt
	Status         int     `json:"status"`
	Outcome        Outcome `json:"outcome"`
	Reason         string  `json:"reason,omitempty"`
	Replayed       bool    `json:"replayed,omitempty"`
	EchoedID       string  `json:"echoed_id,omitempty"`    // request ID of this load run found in the answer's body
	WrongAnswer    bool    `json:"wrong_answer,omitempty"` // EchoedID belongs to another request
	Error          string  `json:"error,omitempty"`
}

// Intended returns the intended send time of the attempt.
func (r Result) Intended() time.Time { return time.UnixMicro(r.IntendedUnixUS) }

// Latency returns the time from the intended send time to the end of the attempt.
func (r Result) Latency() time.Duration { return time.Duration(r.LatencyUS) * time.Microsecond }

// Served reports whether the caller received a complete and correct answer from
// a target with a status below 500.
func (r Result) Served() bool {
	return r.Outcome == Ran && r.Status < 500 && !r.WrongAnswer && r.Error == ""
}

// InTime reports whether the attempt was served within its deadline. An attempt
// without a DeadlineMS is in time whenever it was served.
func (r Result) InTime() bool {
	deadline := time.Duration(r.DeadlineMS) * time.Millisecond
	return r.Served() && (deadline == 0 || r.Latency() <= deadline)
}

// WriteResults writes results as JSON lines.
func WriteResults(w io.Writer, results []Result) error {
	buf := bufio.NewWriter(w)
	enc := json.NewEncoder(buf)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return errors.Wrapf(err, "writing result of %s", r.RequestID)
		}
	}
	return errors.Wrap(buf.Flush(), "writing results")
}

// ReadResults reads results in the format of WriteResults.
func ReadResults(r io.Reader) ([]Result, error) {
	var results []Result
	dec := json.NewDecoder(r)
	for dec.More() {
		var result Result
		if err := dec.Decode(&result); err != nil {
			return nil, errors.Wrapf(err, "reading result %d", len(results)+1)
		}
		results = append(results, result)
	}
	return results, nil
}
