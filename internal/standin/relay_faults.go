package standin

import "github.com/cockroachdb/errors"

// LinkFaults are the faults injected into a relayed link. A new set replaces all
// previous faults; the zero value injects none.
type LinkFaults struct {
	// Refuse closes the listener and resets every connection.
	Refuse bool `json:"refuse,omitempty"`
	// CutUp holds data sent to the upstream, CutDown data from the upstream. Held
	// data and connection closes are delivered when the cut ends.
	CutUp   bool `json:"cut_up,omitempty"`
	CutDown bool `json:"cut_down,omitempty"`
	// DelayMS is the delay added to each direction, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// BytesPerSecond limits each direction of the link; 0 is unlimited.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
}

// Blackhole cuts both directions.
var Blackhole = LinkFaults{CutUp: true, CutDown: true}

// SourceFaults are the faults injected into a link's connections from one source
// IP, in addition to those of the whole link. A new set replaces all previous
// faults; the zero value injects none.
type SourceFaults struct {
	Refuse  bool // resets the connections from this IP
	CutUp   bool // holds data sent to the upstream
	CutDown bool // holds data from the upstream
}

// Check returns all validation errors of the settings, joined.
func (f *LinkFaults) Check() error {
	var errs []error
	if f.DelayMS < 0 || f.DelayMS > maxFaultMS {
		errs = append(errs, errors.Newf("delay_ms: %d is not in 0 to %d", f.DelayMS, maxFaultMS))
	}
	if f.BytesPerSecond < 0 {
		errs = append(errs, errors.Newf("bytes_per_second: %d is below 0", f.BytesPerSecond))
	}
	return errors.Join(errs...)
}

// LinkFaultChange is the body of POST /admin/links. An empty Link applies to all
// links of the process.
type LinkFaultChange struct {
	Link   string     `json:"link,omitempty"`
	Faults LinkFaults `json:"faults"`
}

// Check returns all validation errors of the settings, joined.
func (c *LinkFaultChange) Check() error { return c.Faults.Check() }

// DecodeLinkFaults decodes the body of POST /admin/links.
func DecodeLinkFaults(body []byte) (LinkFaultChange, error) {
	var change LinkFaultChange
	err := decodeStrict(body, &change)
	return change, err
}
