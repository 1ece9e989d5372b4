package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/keyrange"
	wire "github.com/mangopost/mangopost/platform"
)

const (
	// watchWait is how long a watch waits for a change. With the time of a call it
	// stays under the bound within which a configuration is in force, as a watch
	// may hang on a connection that fell silent.
	watchWait = 1100 * time.Millisecond
	// followRetry is the pause after a failed call.
	followRetry = 150 * time.Millisecond
	// callTime is added to a watch's wait for its way and answer.
	callTime = 900 * time.Millisecond
	// targetPause lets heartbeats of targets gather between two calls: a fifth of
	// the bound within which a leaving target gets no new work.
	targetPause = 450 * time.Millisecond
	// ownersPause lets changes of owners that follow each other closely gather.
	ownersPause = 10 * time.Millisecond
)

// Names of the objects that this system keeps on the users' platform.
const (
	ownPrefix         = "mangopost/"
	coordinatorObject = ownPrefix + "coordinator"
	ownersPrefix      = ownPrefix + "owners-" // keyrange.Map, by service
)

// feed is one kind of objects that is followed.
type feed struct {
	prefix string
	pause  time.Duration // between two watches
	// replace takes in all objects; apply those that changed.
	replace func(objects []platform.Object)
	apply   func(objects []platform.Object)
}

// follow returns a duty that lists the objects of a feed and then watches them.
func (n *Node) follow(f feed) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		lost, listed, revision := false, false, uint64(0)
		for ctx.Err() == nil {
			batch, err := n.next(ctx, f, listed, revision)
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				if errors.Is(err, platform.ErrCompacted) {
					listed = false
					continue
				}
				if !lost {
					n.log.Emit(evStoreLost, "kind", f.prefix, "error", err.Error())
				}
				lost = true
				sleep(ctx, followRetry)
				continue
			}
			if lost {
				n.log.Emit(evStoreBack, "kind", f.prefix, "revision", batch.Revision)
				lost = false
			}
			n.heardStore()
			if listed {
				f.apply(batch.Objects)
			} else {
				f.replace(batch.Objects)
			}
			listed, revision = true, batch.Revision
			sleep(ctx, f.pause)
		}
		return nil
	}
}

func (n *Node) next(ctx context.Context, f feed, listed bool, revision uint64) (platform.Batch, error) {
	if !listed {
		return n.store.List(ctx, f.prefix)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTime)
	defer cancel()
	return n.store.Watch(ctx, f.prefix, revision)
}

func (n *Node) heardStore() { n.heard.Store(int64(steady())) }

func (n *Node) badObject(obj platform.Object, err error) {
	n.log.Emit(evBadObject, "object", obj.Name, "version", obj.Version, "error", err.Error())
}

func configurationFeed(n *Node) feed {
	apply := func(objects []platform.Object) {
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
	}
	return feed{prefix: wire.ConfigurationPrefix, replace: apply, apply: apply}
}

func targetFeed(n *Node) feed {
	decode := func(obj platform.Object) (directory.Entry, bool) {
		t, err := wire.DecodeTarget(strings.TrimPrefix(obj.Name, wire.TargetPrefix), obj.Value)
		if err != nil {
			n.badObject(obj, err)
		}
		return directory.Entry(t), err == nil
	}
	return feed{
		prefix: wire.TargetPrefix,
		pause:  targetPause,
		replace: func(objects []platform.Object) {
			var entries []directory.Entry
			for _, obj := range objects {
				if e, ok := decode(obj); ok {
					entries = append(entries, e)
				}
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			n.directory.Heard(steady())
			n.directory.Replace(steady(), entries)
			n.log.Emit(evTargets, "listed", len(entries))
			n.targetsChanged()
		},
		apply: func(objects []platform.Object) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.directory.Heard(steady())
			changed := false
			for _, obj := range objects {
				changed = n.targetChange(obj, decode) || changed
			}
			if changed {
				n.targetsChanged()
			}
		},
	}
}

// targetChange takes in one changed entry and reports whether it changed what is
// believed beyond the heartbeat. mu is held.
func (n *Node) targetChange(obj platform.Object, decode func(platform.Object) (directory.Entry, bool)) bool {
	name := strings.TrimPrefix(obj.Name, wire.TargetPrefix)
	before, had := n.directory.Get(name)
	if obj.Deleted {
		n.directory.Remove(steady(), name)
		_, has := n.directory.Get(name)
		n.log.Emit(evTargets, "target", name, "service", before.Service, "gone", true, "kept", has, "version", obj.Version)
		return had && !has
	}
	e, ok := decode(obj)
	if !ok {
		n.directory.Remove(steady(), name)
		return had
	}
	n.directory.Put(steady(), e)
	if had && before.Leaving == e.Leaving && before.Run == e.Run && before.Addr == e.Addr && before.Slots == e.Slots {
		return false
	}
	n.log.Emit(evTargets, "target", name, "service", e.Service, "addr", e.Addr, "data_centre", e.DataCentre,
		"leaving", e.Leaving, "run", e.Run, "slots", e.Slots, "version", obj.Version)
	return true
}

func ownersFeed(n *Node) feed {
	apply := func(objects []platform.Object) {
		for _, obj := range objects {
			if obj.Deleted {
				continue
			}
			if err := n.ownObject(obj); err != nil {
				n.badObject(obj, err)
			}
		}
	}
	return feed{
		prefix: ownPrefix,
		pause:  ownersPause,
		replace: func(objects []platform.Object) {
			apply(objects)
			n.office.listed()
		},
		apply: apply,
	}
}

// ownObject takes in an object of this system.
func (n *Node) ownObject(obj platform.Object) error {
	if obj.Name == coordinatorObject {
		var r coordinator.Record
		if err := json.Unmarshal(obj.Value, &r); err != nil {
			return errors.Wrap(err, "coordinator")
		}
		n.office.observe(obj.Version, r)
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
