package entry

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/membership/mirror"
	"github.com/mangopost/mangopost/ownership/keyrange"
	wire "github.com/mangopost/mangopost/platform"
)

// Names of the objects that this system keeps on the users' platform.
const (
	ownPrefix         = "mangopost/"
	coordinatorObject = ownPrefix + "coordinator"
	ownersPrefix      = ownPrefix + "owners-" // keyrange.Map, by service
)

func newFeeds(n *Node) []*feed {
	feeds := []*feed{configurationFeed(n), targetFeed(n), ownersFeed(n)}
	for _, f := range feeds {
		f.n, f.mirror, f.packed = n, mirror.New(), make(packedValues)
	}
	return feeds
}

func configurationFeed(n *Node) *feed {
	apply := func(objects []platform.Object) []platform.Object {
		for _, obj := range objects {
			if obj.Name != wire.ConfigurationObject || obj.Deleted {
				continue
			}
			table, err := wire.DecodeConfiguration(obj.Value)
			if err != nil {
				n.badObject(obj, err)
				continue
			}
			n.configure(table)
		}
		return objects
	}
	return &feed{prefix: wire.ConfigurationPrefix, awaits: true, apply: apply, replace: func(objects []platform.Object) { apply(objects) }}
}

func targetFeed(n *Node) *feed {
	return &feed{
		prefix: wire.TargetPrefix,
		pause:  targetPause,
		// Only a listing tells which targets write while nothing else changes.
		relist:  true,
		awaits:  true,
		replace: n.replaceTargets,
		apply:   n.applyTargets,
		heard: func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.directory.Heard(steady())
		},
	}
}

// decodeTarget reads an entry. ok is false for one that names no target to use.
func (n *Node) decodeTarget(obj platform.Object) (e directory.Entry, ok bool) {
	t, err := wire.DecodeTarget(strings.TrimPrefix(obj.Name, wire.TargetPrefix), obj.Value)
	if err != nil {
		n.badObject(obj, err)
	}
	return directory.Entry(t), err == nil
}

// replaceTargets takes in all entries.
func (n *Node) replaceTargets(objects []platform.Object) {
	var entries []directory.Entry
	for _, obj := range objects {
		if e, ok := n.decodeTarget(obj); ok {
			entries = append(entries, e)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directory.Replace(steady(), entries)
	n.log.Emit(evTargets, "listed", len(entries))
	n.targetsChanged()
}

// applyTargets takes in changed entries and returns those that changed more than
// their heartbeat.
func (n *Node) applyTargets(objects []platform.Object) []platform.Object {
	n.mu.Lock()
	defer n.mu.Unlock()
	var changed []platform.Object
	for _, obj := range objects {
		if n.targetChange(obj) {
			changed = append(changed, obj)
		}
	}
	if len(changed) > 0 {
		n.targetsChanged()
	}
	return changed
}

// targetChange takes in one changed entry and reports whether it changed what is
// believed beyond the heartbeat. mu is held.
func (n *Node) targetChange(obj platform.Object) bool {
	name := strings.TrimPrefix(obj.Name, wire.TargetPrefix)
	before, had := n.directory.Get(name)
	if obj.Deleted {
		n.directory.Remove(steady(), name)
		_, has := n.directory.Get(name)
		n.log.Emit(evTargets, "target", name, "service", before.Service, "gone", true, "kept", has, "version", obj.Version)
		return had
	}
	e, ok := n.decodeTarget(obj)
	if !ok {
		n.directory.Remove(steady(), name)
		return had
	}
	back := n.directory.Put(steady(), e)
	if had && !back && before.Leaving == e.Leaving && before.Run == e.Run && before.Addr == e.Addr && before.Slots == e.Slots {
		return false
	}
	n.log.Emit(evTargets, "target", name, "service", e.Service, "addr", e.Addr, "data_centre", e.DataCentre,
		"leaving", e.Leaving, "run", e.Run, "slots", e.Slots, "version", obj.Version)
	return true
}

func ownersFeed(n *Node) *feed {
	apply := func(objects []platform.Object) []platform.Object {
		for _, obj := range objects {
			if obj.Deleted {
				continue
			}
			if err := n.ownObject(obj); err != nil {
				n.badObject(obj, err)
			}
		}
		return objects
	}
	return &feed{
		prefix: ownPrefix,
		pause:  ownersPause,
		own:    true,
		replace: func(objects []platform.Object) {
			apply(objects)
			n.candidate.listed()
		},
		apply: apply,
		heard: n.candidate.heard,
	}
}

// ownObject takes in an object of this system.
func (n *Node) ownObject(obj platform.Object) error {
	if obj.Name == coordinatorObject {
		var r coordinator.Record
		if err := json.Unmarshal(obj.Value, &r); err != nil {
			return errors.Wrap(err, "coordinator")
		}
		n.candidate.observe(obj.Version, r)
		return nil
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

func decodeOwners(obj platform.Object) (owners, error) {
	var m keyrange.Map
	if err := json.Unmarshal(obj.Value, &m); err != nil {
		return owners{}, errors.Wrap(err, "owners")
	}
	if faults := keyrange.Check(&m); len(faults) > 0 {
		return owners{}, errors.Newf("owners: %s", strings.Join(faults, "; "))
	}
	return owners{keys: &m, version: obj.Version}, nil
}

func (n *Node) badObject(obj platform.Object, err error) {
	n.log.Emit(evBadObject, "object", obj.Name, "version", obj.Version, "error", err.Error())
}
