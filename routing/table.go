package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table is one version of the active routes. It is immutable.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   CallerLimits

	byHost map[string][]Route // longest prefix first
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // maximum time that a caller waits
	LatencyGoal time.Duration // answers within it have their full value
	Priority    int           // 0 is the most urgent
	MaxAttempts int           // maximum number of targets that one request is sent to
	Regions     []string      // regions whose targets may run the requests; empty: all
	Parts       []Part        // at least one
}

// Part is a service that receives a share of a route's requests.
type Part struct {
	Service string
	Weight  int // relative to the route's other parts
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name           string
	HealthCheck    string // path
	MaxConnections int    // to one target, from all hosts together
	Keyed          bool   // each key has one owner

	ColdDuration time.Duration // how long a target is cold after it starts while there are requests; 0 if not given
	ColdRate     float64       // requests per second that a cold target can take; 0: no limit
}

// CallerLimits limits what a caller may send.
type CallerLimits struct {
	BodyBytes int64
}

// NewTable returns a table of the routes.
func NewTable(version uint64, routes []Route, services []Service, limits CallerLimits) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// RouteNames returns the names of all routes.
func (t *Table) RouteNames() map[string]bool {
	names := make(map[string]bool)
	for _, routes := range t.byHost {
		for i := range routes {
			names[routes[i].Name] = true
		}
	}
	return names
}

// Match returns the route of the host with the longest prefix that matches the
// path, or nil.
func (t *Table) Match(host, path string) *Route {
	routes := t.byHost[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i]
		}
	}
	return nil
}

// Splitter distributes a route's requests over its parts so that each prefix of
// the sequence is as close to the weights as whole requests allow (smooth
// weighted round robin). It is not safe for concurrent use.
type Splitter struct {
	credit map[string][]int // by route
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{credit: make(map[string][]int)} }

// Next returns the service of the route's next request. A part with weight 0
// gets none.
func (s *Splitter) Next(r *Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	credit := s.credit[r.Name]
	if len(credit) != len(r.Parts) {
		credit = make([]int, len(r.Parts))
		s.credit[r.Name] = credit
	}
	best, total := 0, 0
	for i, p := range r.Parts {
		credit[i] += p.Weight
		total += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Parts[best].Service
}
