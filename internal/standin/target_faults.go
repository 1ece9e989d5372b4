package standin

import "github.com/cockroachdb/errors"

// Health selects the health that a target reports.
type Health string

const (
	// HealthActual reports the actual health.
	HealthActual Health = ""
	// HealthUp always reports healthy.
	HealthUp Health = "up"
	// HealthDown always reports unhealthy.
	HealthDown Health = "down"
)

// TargetFaults are the faults injected into a target. A new set replaces all
// previous faults.
type TargetFaults struct {
	// Shed refuses every request with reason shedding.
	Shed bool `json:"shed,omitempty"`
	// Freeze stops all requests, answers and grant processing until it is unset;
	// the target then continues as if no time had passed.
	Freeze bool `json:"freeze,omitempty"`
	// Health and Running replace the reported health and load when set.
	Health  Health `json:"health,omitempty"`
	Running *int   `json:"running,omitempty"`
	// LagMS is the age of the reported load in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LoseAnswerEvery is N to close the connection of every Nth request after it
	// ran.
	LoseAnswerEvery uint64 `json:"lose_answer_every,omitempty"`
	// CutAnswerEvery is N to abort every Nth answer halfway.
	CutAnswerEvery uint64 `json:"cut_answer_every,omitempty"`
	// CrossAnswerEvery is N to give every Nth request the answer of the request
	// before it.
	CrossAnswerEvery uint64 `json:"cross_answer_every,omitempty"`
}

// Check returns all validation errors of the settings, joined.
func (f *TargetFaults) Check() error {
	var errs []error
	if f.Health != HealthActual && f.Health != HealthUp && f.Health != HealthDown {
		errs = append(errs, errors.Newf("health: unknown value %q", f.Health))
	}
	if f.LagMS < 0 || f.LagMS > maxFaultMS {
		errs = append(errs, errors.Newf("lag_ms: %d is not in 0 to %d", f.LagMS, maxFaultMS))
	}
	if f.SlowFactor < 0 {
		errs = append(errs, errors.Newf("slow_factor: %v is below 0", f.SlowFactor))
	}
	return errors.Join(errs...)
}

// TargetFaultChange is the body of POST /admin/faults. An empty Target applies to
// all targets of the process.
type TargetFaultChange struct {
	Target string       `json:"target,omitempty"`
	Faults TargetFaults `json:"faults"`
}

// Check returns all validation errors of the settings, joined.
func (c *TargetFaultChange) Check() error { return c.Faults.Check() }

// DecodeTargetFaults decodes the body of POST /admin/faults.
func DecodeTargetFaults(body []byte) (TargetFaultChange, error) {
	var change TargetFaultChange
	err := decodeStrict(body, &change)
	return change, err
}
