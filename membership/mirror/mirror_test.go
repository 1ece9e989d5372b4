package mirror_test

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/membership/mirror"
)

func TestNewHostIsSentAllObjects(t *testing.T) {
	m := mirror.New()
	m.Replace(7, []mirror.Object{{Name: "a", Version: 3}})
	c := m.Since(0)
	assert.Assert(t, c.Full)
	assert.Equal(t, len(c.Objects), 1)
	assert.Equal(t, c.Revision, uint64(7))
	assert.Equal(t, len(m.Since(7).Objects), 0)
}

// A host that applies changes at random times has exactly the store's objects at
// the revision that it was sent, and this revision never decreases.
func TestAppliedChangesMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]uint64)
		revision := uint64(0)
		m := mirror.New()
		m.Replace(0, nil)
		copied, known := make(map[string]uint64), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var changed []mirror.Object
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				revision++
				name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
				if _, exists := store[name]; exists && rapid.Bool().Draw(t, "delete") {
					// A removal carries the version before it.
					changed = append(changed, mirror.Object{Name: name, Version: store[name], Deleted: true})
					delete(store, name)
					continue
				}
				store[name] = revision
				changed = append(changed, mirror.Object{Name: name, Version: revision})
			}
			m.Apply(revision, changed)
			if rapid.Bool().Draw(t, "relay") {
				c := m.Since(known)
				if c.Full {
					clear(copied)
				}
				for _, o := range c.Objects {
					copied[o.Name] = o.Version
					if o.Deleted {
						delete(copied, o.Name)
					}
				}
				assert.Assert(t, c.Revision >= known)
				known = c.Revision
				assert.Assert(t, maps.Equal(copied, store), "%v, store %v", copied, store)
			}
		}
	})
}

func TestOldRevisionIsSentFullCopy(t *testing.T) {
	m := mirror.New()
	m.Replace(1, nil)
	for i := range uint64(2000) {
		m.Apply(i+2, []mirror.Object{{Name: fmt.Sprint(i), Version: i + 2, Deleted: true}})
	}
	assert.Assert(t, m.Since(5).Full)
	assert.Assert(t, !m.Since(1990).Full)
}
