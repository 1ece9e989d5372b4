package entry

import (
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
)

// ownedMap is an owner map as the store acknowledged it, with the moves completed
// since.
type ownedMap struct {
	keys *keyrange.Map // nil if there is none
	// restored is a map of an earlier era of the store, in place of keys: nothing is
	// granted under its fences.
	restored *keyrange.Map
	version  uint64
	settled  []keyrange.ID // completed moves that the stored map does not yet record as complete
}

// settle returns a copy of the map with the given moves completed. Moves that are
// not pending in the map are skipped.
func (m *ownedMap) settle(ids []keyrange.ID) *ownedMap {
	next := &ownedMap{keys: m.keys.Clone(), version: m.version, settled: slices.Clone(m.settled)}
	for _, id := range ids {
		if next.keys.Settle(id) {
			next.settled = append(next.settled, id)
		}
	}
	return next
}

// mapOf returns the map of a service as the store acknowledged it, or nil if it
// must be read again.
func (t *term) mapOf(service string) *ownedMap {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maps[service]
}

// setMap sets the map of a service; nil means that it must be read again.
func (t *term) setMap(service string, m *ownedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maps[service] = m
}

// loadMap reads the map of a service directly from the store.
func (t *term) loadMap(service string) error {
	obj, err := t.node.store.Get(t.ctx, ownersPrefix+service)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		t.setMap(service, &ownedMap{version: era.Version(t.era, 0)})
		return nil
	case err != nil:
		return err
	}
	o, err := decodeOwners(obj)
	if err != nil {
		return err
	}
	t.recordRead(service, o)
	t.recordFence(service, o.keys.Fence)
	owned := &ownedMap{keys: o.keys, version: o.version}
	if o.keys.Fence <= era.FenceFloor(t.era) && t.era > 0 {
		t.loseTrack(service)
		owned.keys, owned.restored = nil, o.keys
	}
	t.setMap(service, owned)
	t.node.setOwners(service, o)
	return nil
}

// loseTrack prepares for a map of an earlier era. If this term has already tried to write
// one, a write of before the restore has replaced it, because its condition was a revision
// that was given out again: the grants of this term are then not those of the map.
func (t *term) loseTrack(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sentMaps[service] != nil {
		t.ledger.RaiseFloor(grants.UnknownFloor(leaseClock(), grantTimeout, longGrantHold))
	}
}

// refence writes a restored map under fences of this era. Its owners are granted their
// keys when every grant of before has ended.
func (t *term) refence(service string, restored *keyrange.Map) error {
	next := restored.Clone()
	next.Refence(max(era.FenceFloor(t.era), t.highestFence(service)))
	if err := t.saveMap(service, next); err != nil {
		return err
	}
	t.recordNewFences(service, restored.Fence, next)
	t.logRefenced(service, restored, next, false)
	t.startMoves(service)
	return nil
}

// renumber writes the last map of the era before under fences of this one, if this term
// goes on from the one that wrote it. Owners keep their keys. The store's older copy, or
// its absence, does not matter. done is false if there is no such map.
func (t *term) renumber(service string) (done bool, err error) {
	t.mu.Lock()
	last := t.keptMaps[service]
	delete(t.keptMaps, service)
	t.mu.Unlock()
	owned := t.mapOf(service)
	if last == nil || owned.keys != nil {
		return false, nil
	}
	next := last.Clone()
	next.Renumber(max(era.FenceFloor(t.era), t.highestFence(service)))
	if err := t.saveMap(service, next); err != nil {
		return true, err
	}
	t.logRefenced(service, last, next, true)
	t.startMoves(service)
	return true, nil
}

func (t *term) logRefenced(service string, before, after *keyrange.Map, isLast bool) {
	t.node.log.Emit(evRefenced, "service", service, "era", t.era, "ranges", len(after.Ranges), "before", before.Fence, "fence", after.Fence, "is_last", isLast)
}

// recordFence records that a map of a service has fences up to the given one.
func (t *term) recordFence(service string, fence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.highestFences[service] = max(t.highestFences[service], fence)
}

// highestFence returns the highest fence of a service in the maps that this term read or
// tried to write.
func (t *term) highestFence(service string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.highestFences[service]
}

// recordRead records the version of a map that was read, unless this term wrote it.
func (t *term) recordRead(service string, o owners) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !reflect.DeepEqual(o.keys, t.sentMaps[service]) {
		t.listingFloors[service] = o.version
	}
}

// refreshListing lists the targets anew if the known listing is older than the map of a
// service: it would lack targets, or show earlier runs of those that own keys.
func (t *term) refreshListing(service string) error {
	t.mu.Lock()
	floor := t.listingFloors[service]
	t.mu.Unlock()
	if f := t.node.feedOf(platform.TargetPrefix); f.revision() < floor {
		return f.listFresh(t.ctx)
	}
	return nil
}

// saveMap writes a map on the condition that the stored one is the one that this
// term knows. It retries until a write is acknowledged or another writer was
// first. saving is held.
func (t *term) saveMap(service string, next *keyrange.Map) error {
	if faults := keyrange.Check(next); len(faults) > 0 {
		return errors.Newf("invalid owner map planned: %v", faults)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode owner map")
	}
	t.recordFence(service, next.Fence)
	owned := t.mapOf(service)
	t.mu.Lock()
	t.sentMaps[service] = next
	t.mu.Unlock()
	for {
		if !t.candidate.holdsLease() {
			t.setMap(service, nil)
			return errors.New("the lease has ended")
		}
		version, err := t.node.store.Put(t.ctx, ownersPrefix+service, owned.version, value)
		if err == nil {
			t.setAcknowledged(service, &ownedMap{keys: next, version: version})
			t.node.setOwners(service, owners{keys: next, version: version})
			t.node.applyOwnWrite(ownersPrefix+service, version, value)
			return nil
		}
		if errors.IsAny(err, objectstore.ErrConflict, objectstore.ErrNotFound, objectstore.ErrRejected) {
			// An update without an answer may have been done after all, or another
			// host wrote. The stored map is read again before anything else is
			// planned.
			t.setMap(service, nil)
			return err
		}
		if !sleep(t.ctx, writeRetryInterval) {
			t.setMap(service, nil)
			return err
		}
	}
}

// setAcknowledged sets a map that the store has accepted. Moves completed while it
// was being written are kept.
func (t *term) setAcknowledged(service string, m *ownedMap) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if before := t.maps[service]; before != nil {
		m = m.settle(before.settled)
	}
	t.maps[service] = m
}

// settledMoves returns, by service, the completed moves that the stored map does
// not yet record as complete.
func (t *term) settledMoves() map[string][]keyrange.ID {
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
