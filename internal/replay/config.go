package replay

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/template"
)

func init() {
	register("config.new", func() step { return new(configNew) })
	register("config.change", func() step { return new(configChange) })
	register("cache.new", func() step { return new(cacheNew) })
	register("cache.apply", func() step { return new(cacheApply) })
	register("cache.exchange", func() step { return new(cacheExchange) })
}

// acceptedConfig is a stored configuration and the version of its store object.
type acceptedConfig struct {
	version uint64
	config  template.Config
}

// configNew creates the initial configuration.
type configNew struct {
	Templates []template.Template `json:"templates"`
	Clients   []template.Client   `json:"clients"`
}

func (s *configNew) apply(rs *replayState, at traceTime) (any, error) {
	req := template.Request{ID: "first", Operator: "trace", PutTemplates: s.Templates, PutClients: s.Clients}
	cfg, findings, err := template.Apply(template.Config{}, req, at.wallClock())
	if err != nil || len(findings) > 0 {
		return nil, errors.Newf("applying the first configuration: findings %v, error %v", findings, err)
	}
	rs.configs = append(rs.configs, acceptedConfig{version: 1, config: cfg})
	return nil, nil
}

// configChange is an operator's change, based on version Base.
type configChange struct {
	ID              string              `json:"id"`
	Operator        string              `json:"operator"`
	Base            uint64              `json:"base"`
	PutTemplates    []template.Template `json:"put_templates"`
	PutClients      []template.Client   `json:"put_clients"`
	RemoveTemplates []string            `json:"remove_templates"`
	RemoveClients   []string            `json:"remove_clients"`
}

// configChangeResult is the outcome of config.change.
type configChangeResult struct {
	Version  uint64   `json:"version,omitempty"` // version of the accepted configuration
	Conflict bool     `json:"conflict,omitempty"`
	Findings []string `json:"findings,omitempty"`
}

func (s *configChange) apply(rs *replayState, at traceTime) (any, error) {
	if len(rs.configs) == 0 {
		return nil, errors.New("there is no configuration yet")
	}
	last := rs.configs[len(rs.configs)-1]
	cfg, findings, err := template.Apply(last.config, template.Request{
		ID: s.ID, Operator: s.Operator, Base: s.Base,
		PutTemplates: s.PutTemplates, PutClients: s.PutClients,
		RemoveTemplates: s.RemoveTemplates, RemoveClients: s.RemoveClients,
	}, at.wallClock())
	var conflict *template.ConflictError
	switch {
	case errors.As(err, &conflict):
		return configChangeResult{Conflict: true}, nil
	case err != nil:
		return nil, err
	case len(findings) > 0:
		return configChangeResult{Findings: toStrings(findings)}, nil
	}
	rs.configs = append(rs.configs, acceptedConfig{version: last.version + 1, config: cfg})
	return configChangeResult{Version: cfg.Version}, nil
}

func toStrings[T interface{ String() string }](list []T) []string {
	texts := make([]string, 0, len(list))
	for _, item := range list {
		texts = append(texts, item.String())
	}
	return texts
}

type cacheNew struct {
	Host string `json:"host"`
}

func (s *cacheNew) apply(rs *replayState, _ traceTime) (any, error) {
	rs.caches[s.Host] = state.NewCache()
	return nil, nil
}

// cacheApply delivers an accepted configuration to a host's cache.
type cacheApply struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"` // configuration version
}

// configInForce is the configuration that a host applies after an event.
type configInForce struct {
	Version uint64 `json:"version"`
}

func (s *cacheApply) apply(rs *replayState, _ traceTime) (any, error) {
	cache, err := findByName(rs.caches, "host", s.Host)
	if err != nil {
		return nil, err
	}
	for _, a := range rs.configs {
		if a.config.Version != s.Version {
			continue
		}
		value, err := json.Marshal(a.config)
		if err != nil {
			return nil, err
		}
		cache.Apply([]platform.Object{{Name: platform.ConfigObject, Version: a.version, Value: value}})
		return configInForce{cache.View().Config.Value.Version}, nil
	}
	return nil, errors.Newf("no accepted configuration has version %d", s.Version)
}

// cacheExchange updates a host's cache from that of another host.
type cacheExchange struct {
	From string `json:"from"`
	To   string `json:"to"`
}

func (s *cacheExchange) apply(rs *replayState, _ traceTime) (any, error) {
	from, err := findByName(rs.caches, "host", s.From)
	if err != nil {
		return nil, err
	}
	to, err := findByName(rs.caches, "host", s.To)
	if err != nil {
		return nil, err
	}
	to.Apply(from.NewerThan(to.Versions()))
	return configInForce{to.View().Config.Value.Version}, nil
}
