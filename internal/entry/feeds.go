package entry

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/membership/mirror"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
)

// Names of the objects that this system keeps in the store.
const (
	ownPrefix         = "mangopost/"
	coordinatorObject = ownPrefix + "coordinator"
	aggregatorsObject = ownPrefix + "aggregators" // map of aggregators.Aggregator by data centre
	ownersPrefix      = ownPrefix + "owners-"     // one encoded keyrange.Map per service
)

func newFeeds(n *Node) []*feed {
	feeds := []*feed{configurationFeed(n), targetFeed(n), ownersFeed(n)}
	if n.hasPlaces {
		feeds = append(feeds, evacuationFeed(n))
	}
	for _, f := range feeds {
		f.node, f.mirror, f.compressed = n, mirror.New(), make(compressedValues)
	}
	return feeds
}

// feedOf returns the feed of the objects with the given prefix, which must be one of
// those of newFeeds.
func (n *Node) feedOf(prefix string) *feed {
	for _, f := range n.feeds {
		if f.prefix == prefix {
			return f
		}
	}
	panic("no feed of " + prefix)
}

func configurationFeed(n *Node) *feed {
	apply := func(objects []objectstore.Object) []objectstore.Object {
		for _, obj := range objects {
			if obj.Name != platform.ConfigurationObject || obj.Deleted {
				continue
			}
			table, err := platform.DecodeConfiguration(obj.Value)
			if err != nil {
				n.logBadObject(obj.Name, err.Error())
				continue
			}
			n.configure(table)
		}
		return objects
	}
	return &feed{prefix: platform.ConfigurationPrefix, awaitsRelay: true, apply: apply, replace: func(objects []objectstore.Object) { apply(objects) }}
}

func targetFeed(n *Node) *feed {
	f := &feed{
		prefix: platform.TargetPrefix,
		pause:  targetPause,
		// Only a listing shows which targets still write heartbeats while nothing
		// else changes.
		relist:      true,
		awaitsRelay: true,
		onAnswer: func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.directory.RecordAnswer(steadyClock()) {
				// Without it, targets that have left are used until the next housekeeping.
				time.AfterFunc(storeReturn, func() { n.guard("return of the store", n.tickDirectory) })
			}
		},
		onRestore: func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.directory.RecordRestore(steadyClock())
		},
	}
	f.replace = func(objects []objectstore.Object) { n.replaceTargets(objects, f.objectsAge) }
	f.apply = func(objects []objectstore.Object) []objectstore.Object { return n.applyTargets(objects, f.objectsAge) }
	return f
}

// decodeTarget decodes a target's entry. ok is false for an entry that names no
// usable target.
func (n *Node) decodeTarget(obj objectstore.Object) (e directory.Entry, ok bool) {
	t, err := platform.DecodeTarget(strings.TrimPrefix(obj.Name, platform.TargetPrefix), obj.Value)
	if err != nil && len(obj.Value) > 0 { // an object without a value was logged as a fault
		n.logBadObject(obj.Name, err.Error())
	}
	return directory.Entry(t), err == nil
}

// replaceTargets replaces all targets in the directory by the entries that were listed
// at least age ago.
func (n *Node) replaceTargets(objects []objectstore.Object, age time.Duration) {
	var entries []directory.Entry
	for _, obj := range objects {
		if e, ok := n.decodeTarget(obj); ok {
			entries = append(entries, e)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range entries {
		n.recordSighting(e, age)
	}
	n.directory.Replace(steadyClock(), entries)
	n.log.Emit(evTargets, "listed", len(entries))
	n.updateTargets()
}

// applyTargets applies changed entries, which were in the store at least age ago, to the
// directory and returns those that changed more than their heartbeat.
func (n *Node) applyTargets(objects []objectstore.Object, age time.Duration) []objectstore.Object {
	n.mu.Lock()
	defer n.mu.Unlock()
	var changed []objectstore.Object
	for _, obj := range objects {
		if n.applyTargetChange(obj, age) {
			changed = append(changed, obj)
		}
	}
	if len(changed) > 0 {
		n.updateTargets()
	}
	return changed
}

// applyTargetChange applies one changed entry and reports whether it changed the
// directory beyond the heartbeat. mu is held.
func (n *Node) applyTargetChange(obj objectstore.Object, age time.Duration) bool {
	name := strings.TrimPrefix(obj.Name, platform.TargetPrefix)
	before, wasKnown := n.directory.Announced(name)
	if obj.Deleted {
		n.directory.Remove(steadyClock(), name)
		_, isKept := n.directory.Get(name)
		n.log.Emit(evTargets, "target", name, "service", before.Service, "gone", true, "kept", isKept, "version", era.Revision(obj.Version))
		return wasKnown
	}
	e, ok := n.decodeTarget(obj)
	if !ok {
		n.directory.Remove(steadyClock(), name)
		return wasKnown
	}
	changesCold := n.changesCold(e, age)
	hasReturned := n.directory.Put(e)
	if wasKnown && !hasReturned && !changesCold && before.Leaving == e.Leaving && before.Run == e.Run && before.Addr == e.Addr && before.Slots == e.Slots {
		return false
	}
	n.log.Emit(evTargets, "target", name, "service", e.Service, "addr", e.Addr, "data_centre", e.DataCentre,
		"leaving", e.Leaving, "run", e.Run, "slots", e.Slots, "cold_ms", ms(e.ColdFor), "version", era.Revision(obj.Version))
	return true
}

func ownersFeed(n *Node) *feed {
	apply := func(objects []objectstore.Object) []objectstore.Object {
		for _, obj := range objects {
			if obj.Deleted {
				continue
			}
			if err := n.applyOwnObject(obj); err != nil {
				n.logBadObject(obj.Name, err.Error())
			}
		}
		return objects
	}
	return &feed{
		prefix: ownPrefix,
		pause:  ownersPause,
		isOwn:  true,
		replace: func(objects []objectstore.Object) {
			apply(objects)
			n.candidate.observeListing()
		},
		apply:    apply,
		onAnswer: n.candidate.observeStoreAnswer,
	}
}

// applyOwnObject applies an object that this system keeps in the store: the lease
// record or an owner map.
func (n *Node) applyOwnObject(obj objectstore.Object) error {
	if obj.Name == coordinatorObject {
		var r coordinator.Record
		if err := json.Unmarshal(obj.Value, &r); err != nil {
			// Nobody holds a record that cannot be read, so that it can be taken over.
			n.candidate.observeRecord(obj.Version, coordinator.Record{})
			return errors.Wrap(err, "decode coordinator record")
		}
		n.candidate.observeRecord(obj.Version, r)
		return nil
	}
	if obj.Name == aggregatorsObject {
		return n.applyAggregators(obj.Value)
	}
	if service, ok := strings.CutPrefix(obj.Name, ownersPrefix); ok {
		o, err := decodeOwners(obj)
		if err != nil {
			return err
		}
		n.setOwners(service, o)
	}
	return nil
}

func decodeOwners(obj objectstore.Object) (owners, error) {
	var m keyrange.Map
	if err := json.Unmarshal(obj.Value, &m); err != nil {
		return owners{}, errors.Wrap(err, "decode owner map")
	}
	if faults := keyrange.Check(&m); len(faults) > 0 {
		return owners{}, errors.Newf("invalid owner map: %s", strings.Join(faults, "; "))
	}
	return owners{keys: &m, version: obj.Version}, nil
}

// maxReasonBytes limits the reason in a log line: it may quote what another writer
// left.
const maxReasonBytes = 256

// logBadObject logs an object that cannot be used, once for each reason.
func (n *Node) logBadObject(name, reason string) {
	reason = reason[:min(len(reason), maxReasonBytes)]
	if n.badObjects.isNew(name, reason) {
		n.log.Emit(evBadObject, "object", name, "error", reason)
	}
}

// maxBadObjects is the maximum number of objects whose last reason is remembered.
const maxBadObjects = 256

// badObjects remembers why objects could not be used, so that each reason is logged
// once, not with each listing.
type badObjects struct {
	mu      sync.Mutex
	reasons map[string]string // by object
}

func (b *badObjects) isNew(name, reason string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reasons[name] == reason {
		return false
	}
	if b.reasons == nil || len(b.reasons) >= maxBadObjects {
		b.reasons = make(map[string]string)
	}
	b.reasons[name] = reason
	return true
}

// maxLoggedFaults is the maximum number of unreadable objects of one answer that are
// logged.
const maxLoggedFaults = 8

func (n *Node) logFaults(faults []objectstore.Fault) {
	for _, f := range faults[:min(len(faults), maxLoggedFaults)] {
		n.logBadObject(f.Name, f.Reason)
	}
}
