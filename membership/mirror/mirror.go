// Package mirror maintains a copy of the store's objects of one kind, from which a
// host can send others the changes since a revision that they have. It does no I/O
// and is not safe for concurrent use.
//
// It keeps the number of calls to the store independent of the number of hosts: one
// host watches the store, and the others ask that host.
package mirror

import (
	"cmp"
	"encoding/json"
	"slices"
)

// maxRemovals is the maximum number of removed objects that are kept. A host whose
// revision is older than these is sent all objects.
const maxRemovals = 512

// Object is an object of the store.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"` // revision of its last relevant change
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Changes holds the changes of the objects after a revision.
type Changes struct {
	Revision uint64   `json:"revision"`       // store revision up to which changes are included
	Full     bool     `json:"full,omitempty"` // Objects are all objects, not only changed ones
	Objects  []Object `json:"objects,omitempty"`
}

// Mirror is a copy of the objects. The zero value is not usable; call New.
type Mirror struct {
	revision     uint64
	objects      map[string]Object
	removals     []Object // removed objects, sorted by version
	removalFloor uint64   // revision up to which removals are not kept
}

// New returns an empty copy at revision 0.
func New() *Mirror { return &Mirror{objects: make(map[string]Object)} }

// Revision returns the store revision of the copy, or 0 if nothing was read yet.
func (m *Mirror) Revision() uint64 { return m.revision }

// Replace replaces the copy by all objects of the store at a revision.
func (m *Mirror) Replace(revision uint64, objects []Object) {
	clear(m.objects)
	m.removals = nil
	m.removalFloor = revision
	for _, o := range objects {
		m.objects[o.Name] = o
	}
	m.revision = revision
}

// Apply applies changes up to a revision. Irrelevant changes may be left out.
func (m *Mirror) Apply(revision uint64, objects []Object) {
	for _, o := range objects {
		if !o.Deleted {
			m.objects[o.Name] = o
			continue
		}
		delete(m.objects, o.Name)
		// The store does not report the revision of a removal, only that it is not
		// later than this one.
		m.removals = append(m.removals, Object{Name: o.Name, Version: revision, Deleted: true})
	}
	if extra := len(m.removals) - maxRemovals; extra > 0 {
		m.removalFloor = m.removals[extra-1].Version
		m.removals = slices.Delete(m.removals, 0, extra)
	}
	m.revision = max(m.revision, revision)
}

// Since returns the changes after a revision, or all objects if removals after it
// are no longer known.
func (m *Mirror) Since(revision uint64) Changes {
	c := Changes{Revision: m.revision, Full: revision < m.removalFloor}
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
	for _, o := range m.removals {
		if _, back := m.objects[o.Name]; o.Version > revision && !back {
			c.Objects = append(c.Objects, o)
		}
	}
	return c
}
