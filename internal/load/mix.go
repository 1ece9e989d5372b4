// Package load sends an open-loop mix of requests to entry hosts and records
// the result that each caller receives. Arrivals follow a plan that depends only
// on the mix and its seed, not on response times, and latencies are measured from
// the intended send time.
package load

import (
	"os"
	"slices"

	"github.com/cockroachdb/errors"
)

// Mix describes the load of one run. Times are in milliseconds.
type Mix struct {
	Seed        uint64    `toml:"seed"`
	DurationMS  int64     `toml:"duration_ms"`
	Requests    int       `toml:"requests"`      // maximum number of requests; 0: limited by the duration only
	Rate        float64   `toml:"rate"`          // requests per second, before swings
	Arrivals    string    `toml:"arrivals"`      // "poisson" or "uniform"
	MaxInFlight int       `toml:"max_in_flight"` // concurrent requests; further ones are recorded as not sent
	TimeoutMS   int64     `toml:"timeout_ms"`    // timeout of an attempt at the caller
	Repeat      Repeat    `toml:"repeat"`
	Swings      []Swing   `toml:"swing"`
	Services    []Service `toml:"service"`
}

// Repeat configures when a caller sends a request again, through another entry
// host.
type Repeat struct {
	FailedShare float64 `toml:"failed_share"` // share of unserved requests (no answer, unknown or not run) that are repeated
	ServedShare float64 `toml:"served_share"` // share of served requests that are repeated, as if the answer was lost
	Most        int     `toml:"most"`         // maximum repeats of one request
	DelayMS     int64   `toml:"delay_ms"`
}

// Swing multiplies the rate by Factor from AtMS on for ForMS. The factor rises
// and falls linearly over RampMS at either end.
type Swing struct {
	AtMS   int64   `toml:"at_ms"`
	ForMS  int64   `toml:"for_ms"`
	RampMS int64   `toml:"ramp_ms"`
	Factor float64 `toml:"factor"`
}

// Service describes the requests to one service. Weight sets its share of all
// requests.
type Service struct {
	Name    string   `toml:"name"`
	Weight  float64  `toml:"weight"`
	Clients []string `toml:"clients"`
	Keys    Keys     `toml:"keys"` // Count 0: no key is sent
	Routes  []Route  `toml:"route"`
}

// Keys describes the distribution of a service's keys.
type Keys struct {
	Count     uint64  `toml:"count"`
	Zipf      float64 `toml:"zipf"`        // exponent above 1; 0: uniform
	Hot       int     `toml:"hot"`         // number of hot keys
	HotShare  float64 `toml:"hot_share"`   // share of requests that use a hot key
	HotMoveMS int64   `toml:"hot_move_ms"` // period after which other keys become hot; 0: never
}

// Route describes one kind of request to a service.
type Route struct {
	Method         string  `toml:"method"`
	Path           string  `toml:"path"`  // below /SERVICE
	Class          string  `toml:"class"` // name in reports; defaults to the path
	Weight         float64 `toml:"weight"`
	Idempotent     bool    `toml:"idempotent"`
	DeadlineMS     int64   `toml:"deadline_ms"` // 0: the deadline configured for the route
	WorkMS         int64   `toml:"work_ms"`     // service time requested from the target stand-in; 0: its default
	WorkSigma      float64 `toml:"work_sigma"`  // sigma of a lognormal service time with mean WorkMS; 0: constant
	StragglerShare float64 `toml:"straggler_share"`
	StragglerMS    int64   `toml:"straggler_ms"`
	BodyBytes      int     `toml:"body_bytes"`
}

// Default values of a mix.
const (
	defaultMaxInFlight = 4096
	defaultTimeoutMS   = 3000
	defaultDelayMS     = 50
)

// ReadMix reads a mix file and validates it.
func ReadMix(path string) (Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Mix{}, errors.Wrap(err, "reading the mix")
	}
	mix, err := ParseMix(data)
	return mix, errors.Wrapf(err, "mix %s", path)
}

// ParseMix decodes a mix, applies the defaults and validates it. Unknown fields
// are errors. The error for an invalid mix is of type Findings.
func ParseMix(data []byte) (Mix, error) {
	var mix Mix
	if err := decodeTOML(data, &mix); err != nil {
		return Mix{}, err
	}
	mix.setDefaults()
	if findings := mix.check(); len(findings) > 0 {
		return Mix{}, findings
	}
	return mix, nil
}

func (m *Mix) setDefaults() {
	if m.MaxInFlight == 0 {
		m.MaxInFlight = defaultMaxInFlight
	}
	if m.TimeoutMS == 0 {
		m.TimeoutMS = defaultTimeoutMS
	}
	if m.Repeat.DelayMS == 0 {
		m.Repeat.DelayMS = defaultDelayMS
	}
	if m.Arrivals == "" {
		m.Arrivals = ArrivalsPoisson
	}
	for i := range m.Services {
		for j := range m.Services[i].Routes {
			m.Services[i].Routes[j].setDefaults()
		}
	}
}

// SetStragglers sets the straggler share of every route. It replaces the services
// and routes by copies, so that other copies of the mix are unaffected.
func (m *Mix) SetStragglers(share float64) {
	m.Services = slices.Clone(m.Services)
	for i := range m.Services {
		routes := slices.Clone(m.Services[i].Routes)
		for j := range routes {
			routes[j].StragglerShare = share
		}
		m.Services[i].Routes = routes
	}
}

func (r *Route) setDefaults() {
	if r.Class == "" {
		r.Class = r.Path
	}
}
