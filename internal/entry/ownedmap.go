package entry

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

// ownedMap is a map as the store acknowledged it, with the moves that are complete
// since.
type ownedMap struct {
	keys    *keyrange.Map
	version uint64
	settled []keyrange.ID // moves that the store does not have as complete
}

// settle returns the map with moves that are complete. Those that it does not
// have as moving are left out.
func (m *ownedMap) settle(ids []keyrange.ID) *ownedMap {
	next := &ownedMap{keys: m.keys.Clone(), version: m.version, settled: slices.Clone(m.settled)}
	for _, id := range ids {
		if next.keys.Settle(id) {
			next.settled = append(next.settled, id)
		}
	}
	return next
}

// owned returns the map of a service as the store acknowledged it, or nil.
func (t *term) owned(service string) *ownedMap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maps[service]
}

// setOwned notes the map of a service; nil: it is to be read again.
func (t *term) setOwned(service string, m *ownedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maps[service] = m
}

// load reads the map of a service directly from the store.
func (t *term) load(service string) error {
	obj, err := t.n.store.Get(t.ctx, ownersPrefix+service)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		t.setOwned(service, &ownedMap{})
		return nil
	case err != nil:
		return err
	}
	o, err := decodeOwners(obj)
	if err != nil {
		return err
	}
	t.setOwned(service, &ownedMap{keys: o.keys, version: o.version})
	t.n.setOwners(service, o)
	return nil
}

// save writes a map on the condition that it is as this term knows it, until a
// write is acknowledged or another writer was first. saving is held.
func (t *term) save(service string, next *keyrange.Map) error {
	if faults := keyrange.Check(next); len(faults) > 0 {
		return errors.Newf("plan is wrong: %v", faults)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "owners")
	}
	owned := t.owned(service)
	for {
		if !t.candidate.holds() {
			t.setOwned(service, nil)
			return errors.New("the lease has ended")
		}
		version, err := t.n.store.Put(t.ctx, ownersPrefix+service, owned.version, value)
		if err == nil {
			t.acknowledged(service, &ownedMap{keys: next, version: version})
			t.n.setOwners(service, owners{keys: next, version: version})
			t.n.wrote(ownersPrefix+service, version, value)
			return nil
		}
		if errors.IsAny(err, platform.ErrConflict, platform.ErrNotFound, platform.ErrRejected) {
			// An update without an answer may have been done after all, or another
			// host wrote: what the store holds is read before anything is planned.
			t.setOwned(service, nil)
			return err
		}
		if !sleep(t.ctx, writeRetry) {
			t.setOwned(service, nil)
			return err
		}
	}
}

// acknowledged takes in a map that the store has. Moves that were completed while
// it was written are kept.
func (t *term) acknowledged(service string, m *ownedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if before := t.maps[service]; before != nil {
		m = m.settle(before.settled)
	}
	t.maps[service] = m
}

// settled returns the completed moves of which the store does not know, by service.
func (t *term) settled() map[string][]keyrange.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]keyrange.ID)
	for service, m := range t.maps {
		if m != nil && len(m.settled) > 0 {
			out[service] = m.settled
		}
	}
	return out
}
