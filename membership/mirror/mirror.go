// Package mirror holds a copy of the store's objects of one kind, so that a host
// can tell others what changed after the revision that they know. It is pure and
// not safe for concurrent use.
//
// Pattern of load that it answers to: calls to the store that grow with the number
// of hosts. One host watches, and the others ask it.
package mirror

import (
	"cmp"
	"encoding/json"
	"slices"
)

// maxGone is the number of removed objects that are remembered. A host that
// knows less is sent everything.
const maxGone = 512

// Object is a stored value.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"` // revision of its last change that matters
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Changes are what happened after a revision.
type Changes struct {
	Revision uint64   `json:"revision"`       // of the store, up to which they go
	Full     bool     `json:"full,omitempty"` // Objects are all there are
	Objects  []Object `json:"objects,omitempty"`
}

// Mirror is the copy. The zero value is not usable.
type Mirror struct {
	revision uint64
	objects  map[string]Object
	gone     []Object // in order of their versions
	floor    uint64   // removals up to it are forgotten
}

// New returns an empty copy at revision 0.
func New() *Mirror { return &Mirror{objects: make(map[string]Object)} }

// Revision returns the store's revision of the copy; 0: nothing was read yet.
func (m *Mirror) Revision() uint64 { return m.revision }

// Replace takes in all objects of the store at a revision.
func (m *Mirror) Replace(revision uint64, objects []Object) {
	clear(m.objects)
	m.gone = nil
	m.floor = revision
	for _, o := range objects {
		m.objects[o.Name] = o
	}
	m.revision = revision
}

// Apply takes in changes up to a revision. Those that do not matter may be left
// out.
func (m *Mirror) Apply(revision uint64, objects []Object) {
	for _, o := range objects {
		if !o.Deleted {
			m.objects[o.Name] = o
			continue
		}
		delete(m.objects, o.Name)
		// The store does not tell at which revision it went: no later than this.
		m.gone = append(m.gone, Object{Name: o.Name, Version: revision, Deleted: true})
	}
	if extra := len(m.gone) - maxGone; extra > 0 {
		m.floor = m.gone[extra-1].Version
		m.gone = slices.Delete(m.gone, 0, extra)
	}
	m.revision = max(m.revision, revision)
}

// Since returns what changed after a revision.
func (m *Mirror) Since(revision uint64) Changes {
	c := Changes{Revision: m.revision, Full: revision < m.floor}
	if revision >= m.revision {
		return c
	}
	for _, o := range m.objects {
		if c.Full || o.Version > revision {
			c.Objects = append(c.Objects, o)
		}
	}
	slices.SortFunc(c.Objects, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	if c.Full {
		return c
	}
	for _, o := range m.gone {
		if _, back := m.objects[o.Name]; o.Version > revision && !back {
			c.Objects = append(c.Objects, o)
		}
	}
	return c
}
