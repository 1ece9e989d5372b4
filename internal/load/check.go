package load

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Finding is one fault in a mix and the field that has it.
type Finding struct {
	Place string // path of the field, such as service[1].route[0].weight
	Fault string
}

// Findings lists all faults of a mix.
type Findings []Finding

// Error returns one line for each finding.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.Place+": "+finding.Fault)
	}
	return strings.Join(lines, "\n")
}

// require adds a finding if ok is false.
func (f *Findings) require(ok bool, place, fault string) {
	if !ok {
		*f = append(*f, Finding{Place: place, Fault: fault})
	}
}

// decodeTOML decodes data into a value and rejects unknown fields.
func decodeTOML(data []byte, into any) error {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return errors.Newf("unknown fields:\n%s", missing.String())
	}
	return errors.Wrap(err, "decoding TOML")
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }

func (m *Mix) check() Findings {
	var f Findings
	f.require(m.DurationMS > 0, "duration_ms", "must be above 0")
	f.require(m.Requests >= 0, "requests", "must not be negative")
	f.require(m.Rate > 0, "rate", "must be above 0")
	f.require(m.MaxInFlight > 0, "max_in_flight", "must be above 0")
	f.require(m.TimeoutMS > 0, "timeout_ms", "must be above 0")
	f.require(m.Arrivals == ArrivalsPoisson || m.Arrivals == ArrivalsUniform, "arrivals", `must be "poisson" or "uniform"`)
	f.require(isShare(m.Repeat.FailedShare), "repeat.failed_share", "must be from 0 to 1")
	f.require(isShare(m.Repeat.ServedShare), "repeat.served_share", "must be from 0 to 1")
	f.require(m.Repeat.Most >= 0, "repeat.most", "must not be negative")
	f.require(m.Repeat.DelayMS >= 0, "repeat.delay_ms", "must not be negative")
	f.require(len(m.Services) > 0, "service", "at least one is needed")
	for i, s := range m.Swings {
		s.check(&f, fmt.Sprintf("swing[%d]", i))
	}
	for i, s := range m.Services {
		s.check(&f, fmt.Sprintf("service[%d]", i))
	}
	return f
}

func (s Swing) check(f *Findings, at string) {
	f.require(s.AtMS >= 0, at+".at_ms", "must not be negative")
	f.require(s.ForMS > 0, at+".for_ms", "must be above 0")
	f.require(s.RampMS >= 0 && 2*s.RampMS <= s.ForMS, at+".ramp_ms", "must be from 0 to half of for_ms")
	f.require(s.Factor > 0, at+".factor", "must be above 0")
}

func (s Service) check(f *Findings, at string) {
	f.require(s.Name != "" && !strings.Contains(s.Name, "/"), at+".name", "must be a name without a slash")
	f.require(s.Weight > 0, at+".weight", "must be above 0")
	f.require(len(s.Clients) > 0, at+".clients", "at least one is needed")
	f.require(len(s.Routes) > 0, at+".route", "at least one is needed")
	s.Keys.check(f, at+".keys")
	for i, r := range s.Routes {
		r.check(f, fmt.Sprintf("%s.route[%d]", at, i))
	}
}

func (k Keys) check(f *Findings, at string) {
	f.require(k.Zipf == 0 || k.Zipf > 1, at+".zipf", "must be 0 or above 1")
	f.require(k.Hot >= 0, at+".hot", "must not be negative")
	f.require(k.Hot == 0 || k.Count > 0, at+".count", "hot keys need a count")
	f.require(isShare(k.HotShare), at+".hot_share", "must be from 0 to 1")
	f.require(k.HotMoveMS >= 0, at+".hot_move_ms", "must not be negative")
}

func (r Route) check(f *Findings, at string) {
	f.require(r.Method != "", at+".method", "is missing")
	f.require(strings.HasPrefix(r.Path, "/"), at+".path", "must begin with a slash")
	f.require(r.Weight > 0, at+".weight", "must be above 0")
	f.require(r.DeadlineMS >= 0, at+".deadline_ms", "must not be negative")
	f.require(r.WorkMS >= 0, at+".work_ms", "must not be negative")
	f.require(r.WorkSigma >= 0, at+".work_sigma", "must not be negative")
	f.require(isShare(r.StragglerShare), at+".straggler_share", "must be from 0 to 1")
	f.require(r.StragglerMS >= 0, at+".straggler_ms", "must not be negative")
	f.require(r.BodyBytes >= 0, at+".body_bytes", "must not be negative")
}
