// Package state keeps a process's copy of the objects that mangopost stores on the
// platform, and the typed view on which the daemons base their decisions.
package state

import (
	"sort"
	"sync"

	"github.com/mangopost/mangopost/internal/platform"
)

// Cache holds the newest known version of each object. A lower version never replaces a
// higher one, whatever its source, so that nothing reverts. A deleted object stays as a
// tombstone.
type Cache struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	view    *View
	changed chan struct{} // closed and replaced on each change
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	c := &Cache{objects: make(map[string]platform.Object), changed: make(chan struct{})}
	c.view = newView(nil)
	return c
}

// Apply stores the objects that are newer than the cached versions and returns them.
func (c *Cache) Apply(objects []platform.Object) []platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied []platform.Object
	for _, o := range objects {
		if o.Version <= c.objects[o.Name].Version {
			continue
		}
		c.objects[o.Name] = o
		applied = append(applied, o)
	}
	if len(applied) > 0 {
		c.view = c.view.with(applied)
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return applied
}

// View returns the typed view of the cached objects. It is never modified.
func (c *Cache) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Changed returns a channel that is closed at the next change.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Versions returns the version of every object, tombstones included.
func (c *Cache) Versions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := make(map[string]uint64, len(c.objects))
	for name, o := range c.objects {
		versions[name] = o.Version
	}
	return versions
}

// NewerThan returns the objects that are newer than in versions or missing there, sorted
// by name.
func (c *Cache) NewerThan(versions map[string]uint64) []platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newer []platform.Object
	for name, o := range c.objects {
		if o.Version > versions[name] {
			newer = append(newer, o)
		}
	}
	sort.Slice(newer, func(i, j int) bool { return newer[i].Name < newer[j].Name })
	return newer
}

// Object returns the cached object with the given name. Its version is 0 if there is
// none.
func (c *Cache) Object(name string) platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.objects[name]
}
