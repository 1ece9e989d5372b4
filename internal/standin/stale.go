package standin

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
)

// undo records the state of an object before a change, for stale reads.
type undo struct {
	at       time.Time
	previous platform.Object // version 0 when the object did not exist
	name     string
	version  uint64 // version that the change created
}

// maxUndoAge is how far back stale reads can go.
const maxUndoAge = 10 * time.Minute

// recordUndo records the object that a change is about to replace. The caller
// holds the lock.
func (o *objectStore) recordUndo(name string, version uint64, now time.Time) {
	o.undos = append(o.undos, undo{at: now, previous: o.live[name], name: name, version: version})
	if len(o.undos) > historySize {
		o.undos = slices.Clone(o.undos[len(o.undos)-historySize/2:])
	}
	for len(o.undos) > 0 && now.Sub(o.undos[0].at) > maxUndoAge {
		o.undos = o.undos[1:]
	}
}

// listAt returns the objects with a prefix as they were at the given time.
func (o *objectStore) listAt(prefix string, at time.Time) platform.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	revision := o.revision
	objects := make(map[string]platform.Object, len(o.live))
	for name, obj := range o.live {
		objects[name] = obj
	}
	for _, u := range slices.Backward(o.undos) {
		if !u.at.After(at) {
			break
		}
		revision = u.version - 1
		if u.previous.Version == 0 {
			delete(objects, u.name)
		} else {
			objects[u.name] = u.previous
		}
	}
	batch := platform.Batch{Revision: revision, Objects: []platform.Object{}}
	for name, obj := range objects {
		if strings.HasPrefix(name, prefix) {
			batch.Objects = append(batch.Objects, obj)
		}
	}
	slices.SortFunc(batch.Objects, compareNames)
	return batch
}

func (o *objectStore) getAt(name string, at time.Time) (platform.Object, error) {
	for _, obj := range o.listAt(name, at).Objects {
		if obj.Name == name {
			return obj, nil
		}
	}
	return platform.Object{}, errors.Wrap(platform.ErrNotFound, name)
}
