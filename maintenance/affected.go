package maintenance

import (
	"slices"

	"github.com/mangopost/mangopost/template"
)

// Snapshot holds the newest configuration and host list known to the caller, on
// which the requirements of a stop depend.
type Snapshot struct {
	Config  template.Config
	Targets []Target
}

// Covers reports whether the scope includes a target.
func (s Scope) Covers(t Target) bool {
	switch {
	case s.Service != "":
		return t.Service == s.Service
	case s.DataCentre != "":
		return t.DataCentre == s.DataCentre
	default:
		return slices.Contains(s.Targets, t.Name)
	}
}

// CoveredTargets returns the targets of the host list that the scope includes.
func (s Scope) CoveredTargets(targets []Target) []Target {
	var covered []Target
	for _, t := range targets {
		if s.Covers(t) {
			covered = append(covered, t)
		}
	}
	return covered
}

// SharedTarget returns a target that both scopes include, if there is one.
func (s Scope) SharedTarget(other Scope, targets []Target) (Target, bool) {
	for _, t := range s.CoveredTargets(targets) {
		if other.Covers(t) {
			return t, true
		}
	}
	return Target{}, false
}

// affectedServices returns the services of the scope and of its targets without
// duplicates, in alphabetical order.
func affectedServices(scope Scope, targets []Target) []string {
	var services []string
	if scope.Service != "" {
		services = append(services, scope.Service)
	}
	for _, t := range targets {
		services = append(services, t.Service)
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// AffectedClients returns the clients that use any of the services, in the
// order of the configuration.
func AffectedClients(cfg template.Config, services []string) []template.Client {
	var clients []template.Client
	for _, c := range cfg.Clients {
		if slices.ContainsFunc(c.Services, func(s string) bool { return slices.Contains(services, s) }) {
			clients = append(clients, c)
		}
	}
	return clients
}

// refreshRequirements updates the services, the calls and, once the stop has begun,
// the targets from a snapshot. It keeps the recorded calls of clients that are
// still affected.
func refreshRequirements(s Stop, snap Snapshot) Stop {
	covered := s.Scope.CoveredTargets(snap.Targets)
	s.Services = unionSorted(s.Services, affectedServices(s.Scope, covered))
	if s.State == Draining {
		s.Targets = mergeTargets(s.Targets, covered)
	}
	if snap.Config.Version < s.ConfigVersion {
		return s // the stop already reflects a newer configuration
	}
	s.ConfigVersion = snap.Config.Version
	var calls []Call
	for _, c := range AffectedClients(snap.Config, s.Services) {
		call := Call{Client: c.Name, Phone: c.Phone}
		if i := slices.IndexFunc(s.Calls, func(old Call) bool { return old.Client == c.Name }); i >= 0 {
			call = s.Calls[i]
			call.Phone = c.Phone
		}
		calls = append(calls, call)
	}
	s.Calls = calls
	return s
}

// stateFromCalls returns the state of a stop that has not begun, given its calls.
func stateFromCalls(s Stop) State {
	uncalled := len(s.UncalledClients())
	switch {
	case uncalled == 0:
		return Cleared
	case uncalled == len(s.Calls):
		return Announced
	default:
		return Calling
	}
}

func unionSorted(a, b []string) []string {
	merged := append(slices.Clone(a), b...)
	slices.Sort(merged)
	return slices.Compact(merged)
}

func mergeTargets(a, b []Target) []Target {
	merged := slices.Clone(a)
	for _, t := range b {
		if !slices.ContainsFunc(merged, func(have Target) bool { return have.Name == t.Name }) {
			merged = append(merged, t)
		}
	}
	return merged
}
