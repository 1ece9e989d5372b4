package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
)

// historySize is the number of changes that a watch may lag behind.
const historySize = 4096

// objectStore is a versioned map with one revision counter. It applies no faults
// and no rate limits.
type objectStore struct {
	mu             sync.Mutex
	revision       uint64
	live           map[string]platform.Object
	history        []platform.Object // the newest changes, oldest first
	oldestRevision uint64            // revision before history[0]; earlier watches are refused
	changed        chan struct{}     // closed by the next change
	undos          []undo
}

func newObjectStore() *objectStore {
	return &objectStore{
		live:    make(map[string]platform.Object),
		changed: make(chan struct{}),
	}
}

func (o *objectStore) get(name string) (platform.Object, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	obj, ok := o.live[name]
	if !ok {
		return platform.Object{}, errors.Wrap(platform.ErrNotFound, name)
	}
	return obj, nil
}

// put writes value if the object has the expected version. On a conflict it
// returns the object's current version.
func (o *objectStore) put(name string, expected uint64, value json.RawMessage) (uint64, error) {
	if !json.Valid(value) || len(value) > platform.MaxValueBytes {
		return 0, errors.Wrapf(platform.ErrRejected, "value of %s is not JSON or exceeds %d bytes", name, platform.MaxValueBytes)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if version := o.live[name].Version; version != expected {
		return version, errors.Wrapf(platform.ErrConflict, "%s has version %d", name, version)
	}
	obj := platform.Object{Name: name, Value: bytes.Clone(value)}
	return o.commit(obj), nil
}

func (o *objectStore) remove(name string, expected uint64) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version := o.live[name].Version; version != expected || version == 0 {
		return version, errors.Wrapf(platform.ErrConflict, "%s has version %d", name, version)
	}
	return o.commit(platform.Object{Name: name, Deleted: true}), nil
}

// commit stores or deletes obj at the next revision. The caller holds the lock.
func (o *objectStore) commit(obj platform.Object) uint64 {
	o.revision++
	obj.Version = o.revision
	o.recordUndo(obj.Name, obj.Version, time.Now())
	if obj.Deleted {
		delete(o.live, obj.Name)
	} else {
		o.live[obj.Name] = obj
	}
	o.history = append(o.history, obj)
	if surplus := len(o.history) - historySize; surplus > 0 {
		o.dropHistory(surplus)
	}
	close(o.changed)
	o.changed = make(chan struct{})
	return obj.Version
}

func (o *objectStore) dropHistory(n int) {
	o.oldestRevision = o.history[n-1].Version
	o.history = slices.Clone(o.history[n:])
}

// compact drops the history, so that a watch from an earlier revision fails.
func (o *objectStore) compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.history); n > 0 {
		o.dropHistory(n)
	}
}

func (o *objectStore) list(prefix string) platform.Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := platform.Batch{Revision: o.revision, Objects: []platform.Object{}}
	for name, obj := range o.live {
		if strings.HasPrefix(name, prefix) {
			batch.Objects = append(batch.Objects, obj)
		}
	}
	slices.SortFunc(batch.Objects, compareNames)
	return batch
}

func compareNames(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) }

// watch returns the changes after revision, and waits for one until ctx ends. Of
// several changes of one object it returns the newest.
func (o *objectStore) watch(ctx context.Context, prefix string, revision uint64) (platform.Batch, error) {
	for {
		batch, changed, err := o.changesSince(prefix, revision)
		if err != nil || len(batch.Objects) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch, nil
		}
	}
}

func (o *objectStore) changesSince(prefix string, revision uint64) (platform.Batch, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision < o.oldestRevision || revision > o.revision {
		return platform.Batch{}, nil, errors.Wrapf(platform.ErrCompacted, "revision %d is not in %d to %d", revision, o.oldestRevision, o.revision)
	}
	newest := make(map[string]platform.Object)
	for _, obj := range o.history {
		if obj.Version > revision && strings.HasPrefix(obj.Name, prefix) {
			newest[obj.Name] = obj
		}
	}
	batch := platform.Batch{Revision: o.revision, Objects: make([]platform.Object, 0, len(newest))}
	for _, obj := range newest {
		batch.Objects = append(batch.Objects, obj)
	}
	slices.SortFunc(batch.Objects, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	return batch, o.changed, nil
}
