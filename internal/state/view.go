package state

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// Versioned is a decoded object with its store version.
type Versioned[T any] struct {
	Version uint64
	Value   T
}

// View is a consistent set of decoded objects. An object that cannot be decoded keeps its
// last good value and is listed in Broken.
type View struct {
	Config  Versioned[template.Config]
	Records map[string]Versioned[membership.Record] // by cell
	Pages   map[string]Versioned[ownership.Page]    // by service
	Other   map[string]platform.Object              // stops, quarantined requests and store leases, by object name
	Broken  map[string]string                       // decoding error, by object name
}

func newView(objects []platform.Object) *View {
	v := &View{
		Records: make(map[string]Versioned[membership.Record]),
		Pages:   make(map[string]Versioned[ownership.Page]),
		Other:   make(map[string]platform.Object),
		Broken:  make(map[string]string),
	}
	for _, o := range objects {
		v.apply(o)
	}
	return v
}

func (v *View) with(objects []platform.Object) *View {
	next := &View{
		Config:  v.Config,
		Records: maps.Clone(v.Records),
		Pages:   maps.Clone(v.Pages),
		Other:   maps.Clone(v.Other),
		Broken:  maps.Clone(v.Broken),
	}
	for _, o := range objects {
		next.apply(o)
	}
	return next
}

func (v *View) apply(o platform.Object) {
	var err error
	switch {
	case o.Name == platform.ConfigObject:
		err = v.applyConfig(o)
	case strings.HasPrefix(o.Name, platform.CellPrefix):
		err = applyVersioned(v.Records, platform.CellPrefix, o)
	case strings.HasPrefix(o.Name, platform.OwnersPrefix):
		err = applyVersioned(v.Pages, platform.OwnersPrefix, o)
	case o.Deleted:
		delete(v.Other, o.Name)
	default:
		v.Other[o.Name] = o
	}
	if err != nil {
		v.Broken[o.Name] = err.Error()
		return
	}
	delete(v.Broken, o.Name)
}

func (v *View) applyConfig(o platform.Object) error {
	if o.Deleted {
		return nil // the last accepted configuration stays in force
	}
	var cfg template.Config
	if err := json.Unmarshal(o.Value, &cfg); err != nil {
		return err
	}
	if cfg.Version < v.Config.Value.Version {
		return nil
	}
	v.Config = Versioned[template.Config]{Version: o.Version, Value: cfg}
	return nil
}

func applyVersioned[T any](values map[string]Versioned[T], prefix string, o platform.Object) error {
	name := strings.TrimPrefix(o.Name, prefix)
	if o.Deleted {
		delete(values, name)
		return nil
	}
	var value T
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return err
	}
	values[name] = Versioned[T]{Version: o.Version, Value: value}
	return nil
}
