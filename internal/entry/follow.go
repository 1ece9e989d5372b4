package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership/mirror"
)

const (
	// watchWait is how long a watch waits for a change. With the time of a call it
	// stays under the bound within which a configuration is in force, as a watch
	// may hang on a connection that fell silent.
	watchWait = 1100 * time.Millisecond
	// callTime is added to a watch's wait for its way and answer.
	callTime = 900 * time.Millisecond
	// targetPause lets heartbeats of targets gather between two calls: a fifth of
	// the bound within which a leaving target gets no new work.
	targetPause = 450 * time.Millisecond
	// relayWait is the same at the coordinator, whose hosts trust what it relays
	// only while it is fresh.
	relayWait = 500 * time.Millisecond
	// relayKeep is how long after a relay a host does not ask the store: two
	// reports.
	relayKeep = 2*reportEvery + 100*time.Millisecond
	// relayAge is the age from which on what the coordinator has from the store
	// does not count: with a host's own call after it, it stays within the bound
	// in which a configuration is in force.
	relayAge = 1300 * time.Millisecond
	// firstRelay is how long after the start of the whole system a host waits for the
	// coordinator before it asks the store for everything: less than the time until
	// callers come.
	firstRelay = 4 * time.Second
	// restartRelay is the same for a host that starts later, when callers may be
	// waiting: two connections and a report between regions.
	restartRelay = 400 * time.Millisecond
	// ownWrites is for how long the coordinator knows its own objects from its last
	// write: a renewal of its lease, and a little more.
	ownWrites = time.Second
	// relayCheck is how often a host looks whether it is still relayed to.
	relayCheck = 150 * time.Millisecond
	// ownersPause lets changes of owners that follow each other closely gather.
	ownersPause = 10 * time.Millisecond
)

// feed is one kind of objects that is followed: in the store, or as the
// coordinator relays it.
type feed struct {
	n      *Node
	prefix string
	pause  time.Duration // between two watches
	// replace takes in all objects.
	replace func(objects []platform.Object)
	// apply takes in those that changed and returns what matters to other hosts.
	apply func(objects []platform.Object) []platform.Object
	// heard is told that the store answered, before what it answered.
	heard func()
	// relist says that a watch that was interrupted begins with a listing.
	relist bool
	// awaits says that a host waits for the coordinator first when it starts.
	awaits bool
	// own says that only the coordinator writes the objects: it need not watch what
	// it writes.
	own  bool
	lost bool // the store did not answer the last call; used by follow alone

	mu       sync.Mutex
	mirror   *mirror.Mirror
	packed   packedValues
	listed   bool
	answered time.Duration // when the store last answered, here or at the coordinator
	relayed  time.Duration // when the coordinator last relayed
}

// follow lists the objects of a feed and then watches them, while the coordinator
// does not relay them.
func (f *feed) follow(ctx context.Context) error {
	if f.awaits {
		f.awaitRelay(ctx, restartRelay)
	}
	if s := f.n.settings.Load(); !f.awaits && s.FirstStart {
		// The first hosts make one of them the coordinator; the others find it.
		sleep(ctx, firstStagger(s))
	}
	relayed := false
	for ctx.Err() == nil {
		if f.fresh() {
			relayed = true
			sleep(ctx, relayCheck)
			continue
		}
		if f.writes() {
			sleep(ctx, relayCheck)
			continue
		}
		enter, probe := f.n.gate.enter(steady(), f.hearsCoordinator())
		if !enter {
			sleep(ctx, gateCheck)
			continue
		}
		if relayed && f.relist {
			f.unlist()
		}
		relayed = false
		f.ask(ctx, probe)
	}
	return nil
}

// ask makes one call to the store and notes what came of it.
func (f *feed) ask(ctx context.Context, probe bool) {
	var err error
	if probe {
		err = f.n.store.Probe(ctx, coordinatorObject)
	} else {
		err = f.once(ctx)
	}
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, platform.ErrCompacted):
		f.n.gate.answered()
		f.unlist()
	case err != nil:
		if !f.lost {
			f.n.log.Emit(evStoreLost, "kind", f.prefix, "error", err.Error())
		}
		f.lost = true
		f.n.gate.failed(steady(), probe)
	case probe:
		f.n.gate.answered()
	default:
		f.n.gate.answered()
		if f.lost {
			f.n.log.Emit(evStoreBack, "kind", f.prefix)
			f.lost = false
		}
		sleep(ctx, f.pause)
	}
}

// awaitRelay gives the coordinator time to send what this host does not know.
func (f *feed) awaitRelay(ctx context.Context, limit time.Duration) {
	first := f.n.settings.Load().FirstStart
	if first {
		limit = firstRelay
	}
	for until := steady() + limit; steady() < until && !f.fresh() && !f.n.candidate.holds(); {
		if !first && f.n.noRelay() || !sleep(ctx, relayCheck/5) {
			return
		}
	}
}

// noRelay reports whether the coordinator, as far as this host knows of one, does not
// answer, or was this host before it started again. After an outage of all hosts
// callers wait, and nobody relays.
func (n *Node) noRelay() bool {
	return n.reportFailed.Load() || n.candidate.holder().Holder == n.settings.Load().Host
}

// writes reports whether this host knows the objects from what it wrote itself a
// short while ago.
func (f *feed) writes() bool {
	if !f.own || !f.n.candidate.holds() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && steady()-f.answered < ownWrites
}

// wrote takes in an object of this system that this host wrote as the coordinator.
func (n *Node) wrote(name string, version uint64, value json.RawMessage) {
	for _, f := range n.feeds {
		switch {
		case !f.own:
		case version < f.revision():
			// A later write was acknowledged first: hosts that know of that one would
			// not be sent this one as a change.
			f.unlist()
		default:
			f.take(platform.Batch{Revision: version, Objects: []platform.Object{{Name: name, Version: version, Value: value}}}, false, 0)
		}
	}
}

// fresh reports whether the coordinator relays the feed, and has it from a store
// that answers.
func (f *feed) fresh() bool {
	if f.n.candidate.holds() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := steady()
	return f.listed && f.relayed > 0 && now-f.relayed < relayKeep && now-f.answered < relayAge
}

// hearsCoordinator reports whether the coordinator relays the feed, however old
// what it has from the store is.
func (f *feed) hearsCoordinator() bool {
	if f.n.candidate.holds() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.relayed > 0 && steady()-f.relayed < relayKeep
}

func (f *feed) unlist() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = false
}

// once makes one call to the store and takes its answer in.
func (f *feed) once(ctx context.Context) error {
	f.mu.Lock()
	listed, revision := f.listed, f.mirror.Revision()
	f.mu.Unlock()
	if !listed {
		batch, err := f.n.store.List(ctx, f.prefix)
		if err == nil {
			f.take(batch, true, 0)
			if f.n.candidate.holder().Addr != "" {
				f.awaitRelay(ctx, restartRelay) // of what changes from here on
			}
		}
		return err
	}
	wait := watchWait
	if f.n.candidate.holds() {
		wait = relayWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	batch, err := f.n.store.Watch(ctx, f.prefix, revision)
	if err == nil {
		f.take(batch, false, 0)
	}
	return err
}

// take brings objects in force that the store gave age ago, unless newer ones are.
func (f *feed) take(batch platform.Batch, full bool, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if batch.Revision < f.mirror.Revision() || !full && !f.listed {
		return
	}
	f.answered = max(f.answered, steady()-age)
	f.n.heardStore(f.answered)
	if f.heard != nil && age < relayAge {
		f.heard()
	}
	if full {
		f.replace(batch.Objects)
		f.mirror.Replace(batch.Revision, toMirror(batch.Objects))
	} else {
		f.mirror.Apply(batch.Revision, toMirror(f.apply(batch.Objects)))
	}
	f.listed = true
}

func toMirror(objects []platform.Object) []mirror.Object {
	out := make([]mirror.Object, len(objects))
	for i, o := range objects {
		out[i] = mirror.Object(o)
	}
	return out
}

// heardStore notes when the store last answered.
func (n *Node) heardStore(at time.Duration) {
	n.heard.Store(max(n.heard.Load(), int64(at)))
}
