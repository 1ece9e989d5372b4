package entry

import (
	"time"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/membership/evacuation"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	// evacuationPause is the pause between two calls for evacuations, so that writers
	// that change them without end cost ten calls a second at most.
	evacuationPause = 100 * time.Millisecond
	// evacuationSettleBeats is the time after the end of an evacuation, in heartbeats,
	// within which entries may still be from before it: a target may have sent a write just
	// before the end, and hosts watch targets with pauses.
	evacuationSettleBeats = 2
	// coldTolerance is the growth of a target's cold time that is not passed on: times of
	// entries differ by the pause of the target feed.
	coldTolerance = targetPause
)

// evacuationFeed follows the evacuations of data centres.
func evacuationFeed(n *Node) *feed {
	return &feed{
		prefix:      platform.EvacuationPrefix,
		pause:       evacuationPause,
		awaitsRelay: true,
		isOptional:  true,
		onAnswer: func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.evacuations.RecordAnswer()
		},
		replace: func(objects []objectstore.Object) {
			var names []string
			for _, obj := range objects {
				names = append(names, n.evacuatedDataCentre(obj))
			}
			n.changeEvacuations(func(now time.Duration, known []evacuation.Entry) []evacuation.Change {
				return n.evacuations.Replace(now, names, known)
			})
		},
		apply: func(objects []objectstore.Object) []objectstore.Object {
			for _, obj := range objects {
				n.changeEvacuations(func(now time.Duration, known []evacuation.Entry) []evacuation.Change {
					return n.evacuations.Set(now, n.evacuatedDataCentre(obj), !obj.Deleted, known)
				})
			}
			return objects
		},
	}
}

// evacuatedDataCentre returns the data centre that an object names. What the object
// contains does not matter.
func (n *Node) evacuatedDataCentre(obj objectstore.Object) string {
	return platform.EvacuatedDataCentre(obj.Name)
}

// changeEvacuations applies a change of the evacuations to the pools.
func (n *Node) changeEvacuations(change func(now time.Duration, known []evacuation.Entry) []evacuation.Change) {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := n.directory.All()
	known := make([]evacuation.Entry, len(all))
	targets := make(map[string]int)
	for i, e := range all {
		known[i] = evacuationEntry(e)
		targets[e.DataCentre]++
	}
	changes := change(steadyClock(), known)
	for _, c := range changes {
		n.logEvacuation(c, targets[c.DataCentre])
	}
	if len(changes) > 0 {
		n.updateTargets()
	}
}

// logEvacuation logs a change, or once that it names nothing known. mu is held.
func (n *Node) logEvacuation(c evacuation.Change, targets int) {
	if targets > 0 || n.regionOf(c.DataCentre) != "" {
		n.log.Emit(evEvacuation, "data_centre", c.DataCentre, "evacuated", c.IsEvacuated, "targets", targets)
		return
	}
	const reason = "no such data centre"
	if n.badObjects.isNew(platform.EvacuationPrefix+c.DataCentre, reason) {
		n.log.Emit(evNoSuchDataCentre, "data_centre", c.DataCentre[:min(len(c.DataCentre), maxReasonBytes)])
	}
}

func evacuationEntry(e directory.Entry) evacuation.Entry {
	return evacuation.Entry{Target: e.Name, DataCentre: e.DataCentre, Run: e.Run, Heartbeat: e.Heartbeat}
}

// knowsEvacuations reports whether this host knows which data centres are evacuated, as
// far as that matters. mu is held.
func (n *Node) knowsEvacuations() bool { return !n.hasPlaces || n.evacuations.IsKnown() }

// knowsEvacuations reports whether the coordinator's host knows which data centres are
// evacuated.
func (t *term) knowsEvacuations() bool {
	t.node.mu.Lock()
	defer t.node.mu.Unlock()
	return t.node.knowsEvacuations()
}

// evacuationCount returns the number of evacuations in force.
func (n *Node) evacuationCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.evacuations.Count()
}

// mayGrant reports whether keys may be granted to a target: its data centre is not
// evacuated. Its earlier grants count as before.
func (n *Node) mayGrant(owner keyrange.Owner) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, ok := n.directory.Announced(owner.Target)
	return n.knowsEvacuations() && !(ok && n.evacuations.IsEvacuated(e.DataCentre))
}

// grantableEntries returns the entries of a service's targets, without those of
// evacuated data centres.
func (n *Node) grantableEntries(service string) []directory.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []directory.Entry
	for _, e := range n.directory.TargetsOf(service) {
		if !n.evacuations.IsEvacuated(e.DataCentre) {
			out = append(out, e)
		}
	}
	return out
}

// coldFor returns how much longer a target is cold, or may be because an evacuation of
// its data centre has ended. For a service that does not limit the requests of cold
// targets it is what the entry says, whatever its age. mu is held.
func (n *Node) coldFor(s routing.Service, e directory.Entry) time.Duration {
	now := steadyClock()
	cold := e.ColdFor
	if s.ColdRate > 0 {
		cold = n.directory.ColdFor(now, e.Name)
	}
	return max(cold, n.evacuations.ColdFor(now, e.Name, e.DataCentre, s.ColdDuration))
}

// recordSighting records that an entry was in the store age ago, before it is put into
// the directory. It reports whether it is one of the first that its target has written
// since an evacuation. mu is held.
func (n *Node) recordSighting(e directory.Entry, age time.Duration) (isBack bool) {
	now := steadyClock()
	n.directory.RecordSighting(now-age, e)
	return n.evacuations.Observe(now, evacuationEntry(e))
}

// changesCold records an entry that was in the store age ago, and reports whether it
// changes for how long other hosts take its target to be cold. mu is held.
func (n *Node) changesCold(e directory.Entry, age time.Duration) bool {
	hasTurned := n.directory.HasTurnedCold(steadyClock()-age, coldTolerance, e)
	isBack := n.recordSighting(e, age)
	table := n.table.Load()
	return (hasTurned || isBack) && table != nil && table.Services[e.Service].ColdRate > 0
}
