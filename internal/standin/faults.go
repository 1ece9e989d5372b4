package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// PlatformFaults are the faults injected into the platform stand-in. A new set
// replaces all previous faults; the zero value injects none.
type PlatformFaults struct {
	// Down refuses every call with 503.
	Down bool `json:"down,omitempty"`
	// SlowMS is the delay of every call before it takes effect, in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// LoseAnswerEvery is N to close the connection of every Nth write after the
	// change was applied; 1 loses every answer.
	LoseAnswerEvery uint64 `json:"lose_answer_every,omitempty"`
	// StaleMS is the age in milliseconds of the state that gets and lists return.
	StaleMS int64 `json:"stale_ms,omitempty"`
	// Cut lists the callers whose calls are dropped before they take effect.
	Cut []string `json:"cut,omitempty"`
	// CutAll drops every call before it takes effect.
	CutAll bool `json:"cut_all,omitempty"`
	// Hang keeps cut calls waiting until the caller gives up, instead of closing
	// their connections.
	Hang bool `json:"hang,omitempty"`
}

// maxFaultMS bounds delays, so that a mistyped value doesn't hang a test.
const maxFaultMS = 600_000

// Check returns all validation errors of the settings, joined.
func (f PlatformFaults) Check() error {
	var errs error
	if f.SlowMS < 0 || f.SlowMS > maxFaultMS {
		errs = errors.Join(errs, errors.Newf("slow_ms: %d is not in 0 to %d", f.SlowMS, maxFaultMS))
	}
	if f.StaleMS < 0 || f.StaleMS > maxFaultMS {
		errs = errors.Join(errs, errors.Newf("stale_ms: %d is not in 0 to %d", f.StaleMS, maxFaultMS))
	}
	if slices.Contains(f.Cut, "") {
		errs = errors.Join(errs, errors.New("cut: empty caller"))
	}
	return errs
}

func (f PlatformFaults) cutsCaller(caller string) bool {
	return f.CutAll || slices.Contains(f.Cut, caller)
}

func (f PlatformFaults) delay() time.Duration {
	return time.Duration(f.SlowMS) * time.Millisecond
}

func (f PlatformFaults) staleness() time.Duration {
	return time.Duration(f.StaleMS) * time.Millisecond
}

type checker interface{ Check() error }

// DecodePlatformFaults decodes and checks the body of POST /v1/faults.
func DecodePlatformFaults(body []byte) (PlatformFaults, error) {
	var faults PlatformFaults
	err := decodeStrict(body, &faults)
	return faults, err
}

// decodeStrict decodes exactly one JSON value, rejects unknown fields and checks
// the result.
func decodeStrict(body []byte, into checker) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode: more than one JSON value")
	}
	return into.Check()
}
