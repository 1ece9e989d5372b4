package template

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors returned by View.Resolve.
var (
	// ErrNoClient means that there is no such client account.
	ErrNoClient = errors.New("no such client")
	// ErrNoService means that there is no template for the service.
	ErrNoService = errors.New("no such service")
	// ErrNoAccess means that the client's parameters do not include the service.
	ErrNoAccess = errors.New("client does not reach the service")
	// ErrNoRoute means that the template has no route for the method and path.
	ErrNoRoute = errors.New("no such route")
)

// View is a configuration compiled for the data path. It is immutable, so
// goroutines may share it without a lock.
type View struct {
	version  uint64
	services map[string]*Template
	clients  map[string]*clientAccount
}

type clientAccount struct {
	client   Client
	services map[string]bool
}

// Match is the part of a configuration that applies to one request.
type Match struct {
	Template *Template // must not be modified
	Route    *Route    // must not be modified
	Weight   int       // the client's fair share
}

// Compile returns the view of a configuration that has passed Check.
func Compile(cfg Config) *View {
	v := &View{
		version:  cfg.Version,
		services: make(map[string]*Template, len(cfg.Templates)),
		clients:  make(map[string]*clientAccount, len(cfg.Clients)),
	}
	for _, t := range cfg.Templates {
		v.services[t.Service] = &t
	}
	for _, c := range cfg.Clients {
		a := &clientAccount{client: c, services: make(map[string]bool, len(c.Services))}
		for _, s := range c.Services {
			a.services[s] = true
		}
		v.clients[c.Name] = a
	}
	return v
}

// Version returns the configuration's version.
func (v *View) Version() uint64 { return v.version }

// Template returns the template of a service.
func (v *View) Template(name string) (*Template, bool) {
	t, ok := v.services[name]
	return t, ok
}

// Client returns a client account.
func (v *View) Client(name string) (Client, bool) {
	a, ok := v.clients[name]
	if !ok {
		return Client{}, false
	}
	return a.client, true
}

// Services returns the names of all services in alphabetical order.
func (v *View) Services() []string {
	names := make([]string, 0, len(v.services))
	for name := range v.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Resolve returns the template, route and weight of a request. Template.Match
// selects the route.
func (v *View) Resolve(client, serviceName, method, path string) (Match, error) {
	t, ok := v.services[serviceName]
	if !ok {
		return Match{}, ErrNoService
	}
	a, ok := v.clients[client]
	if !ok {
		return Match{}, ErrNoClient
	}
	if !a.services[serviceName] {
		return Match{}, ErrNoAccess
	}
	i, ok := t.Match(method, path)
	if !ok {
		return Match{}, ErrNoRoute
	}
	return Match{Template: t, Route: &t.Routes[i], Weight: a.client.Weight}, nil
}
