// Package template defines the operators' configuration: one template for each kind
// of service and one set of parameters for each client. It does no I/O.
package template

import "strings"

// CutPolicy says how the keys of a data centre are handled while it is cut off.
type CutPolicy string

const (
	// CutKeep leaves the keys with the cut-off data centre.
	CutKeep CutPolicy = "keep"
	// CutMove lets another cell take over the keys; leases then need the store's
	// confirmation.
	CutMove CutPolicy = "move"
)

// Route describes the requests with one method and path prefix.
type Route struct {
	Method     string `json:"method" toml:"method"`
	Path       string `json:"path" toml:"path"`
	Idempotent bool   `json:"idempotent" toml:"idempotent"`
	DeadlineMS int64  `json:"deadline_ms" toml:"deadline_ms"`
}

// Template configures one kind of service.
type Template struct {
	Service       string    `json:"service" toml:"service"`
	Keyed         bool      `json:"keyed" toml:"keyed"`             // each key has one owner
	Shards        uint32    `json:"shards" toml:"shards"`           // a power of two
	Slots         int       `json:"slots" toml:"slots"`             // requests that a target runs concurrently
	Connections   int       `json:"connections" toml:"connections"` // to one target, from all hosts together
	ChecksGrants  bool      `json:"checks_grants" toml:"checks_grants"`
	RefusesFirst  bool      `json:"refuses_first" toml:"refuses_first"` // its targets answer 429 and 503 only before running anything
	WhenCut       CutPolicy `json:"when_cut" toml:"when_cut"`
	QueueLimit    int       `json:"queue_limit" toml:"queue_limit"` // requests that may wait for one target
	QueueOrder    string    `json:"queue_order" toml:"queue_order"` // plug-in ID under "queue."
	Balancer      string    `json:"balancer" toml:"balancer"`       // plug-in ID under "balance."
	RetryHorizonS int64     `json:"retry_horizon_s" toml:"retry_horizon_s"`
	ClockSkewMS   int64     `json:"clock_skew_ms" toml:"clock_skew_ms"` // maximum error of callers' clocks
	Routes        []Route   `json:"routes" toml:"routes"`
}

// ShardCount returns the number of shards in the service's shard map. A service
// that is not keyed also has shards: its requests that must run at most once are
// divided by idempotency key.
func (t Template) ShardCount() uint32 {
	if !t.Keyed {
		return UnkeyedShards
	}
	return t.Shards
}

// Match returns the index of the route for a method and a path that starts with /,
// or false if there is none. The longest matching prefix of whole path segments
// wins; among equal prefixes, a route with an explicit method precedes AnyMethod.
func (t *Template) Match(method, path string) (int, bool) {
	best := -1
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.matches(method, path) && (best < 0 || r.moreSpecific(&t.Routes[best])) {
			best = i
		}
	}
	return best, best >= 0
}

func (r *Route) matches(method, path string) bool {
	if r.Method != method && r.Method != AnyMethod {
		return false
	}
	if r.Path == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(path, r.Path)
	return ok && (rest == "" || rest[0] == '/')
}

func (r *Route) moreSpecific(other *Route) bool {
	if len(r.Path) != len(other.Path) {
		return len(r.Path) > len(other.Path)
	}
	return other.Method == AnyMethod
}

// Client is a client account and its parameters for the templates.
type Client struct {
	Name     string   `json:"name" toml:"name"`
	Phone    string   `json:"phone" toml:"phone"`
	Services []string `json:"services" toml:"services"` // services that the client may use
	Weight   int      `json:"weight" toml:"weight"`     // fair share under overload
	// StopFrom and StopUntil delimit the time of day, HH:MM in Zone, at which a
	// planned stop that affects this client may begin.
	StopFrom  string `json:"stop_from" toml:"stop_from"`
	StopUntil string `json:"stop_until" toml:"stop_until"`
	Zone      string `json:"zone" toml:"zone"`
}

// Change is an accepted configuration change.
type Change struct {
	Version  uint64    `json:"version"`
	ID       string    `json:"id"` // request ID; identifies an update whose answer was lost
	Operator string    `json:"operator"`
	What     string    `json:"what"`
	Touched  []Subject `json:"touched,omitempty"`
	AtMS     int64     `json:"at_ms"` // Unix time
}

// Config is the store object that holds all templates and clients. Each accepted
// change increments Version by one; a host applies only a higher version.
type Config struct {
	Version   uint64     `json:"version"`
	Templates []Template `json:"templates"`
	Clients   []Client   `json:"clients"`
	History   []Change   `json:"history"` // the newest changes, oldest first
}
