package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/membership/mirror"
	"github.com/mangopost/mangopost/platform"
)

const (
	// watchWait is how long a watch waits for a change. Together with
	// callTimeAllowance it stays below the bound within which a configuration must be
	// in force, as a watch may hang on a connection whose other end has gone
	// silent.
	watchWait = 1100 * time.Millisecond
	// callTimeAllowance is added to a watch's wait for the round trip and the answer.
	callTimeAllowance = 900 * time.Millisecond
	// targetPause is the pause between two calls for targets, so that heartbeats
	// are batched: a fifth of the bound within which a leaving target must stop
	// receiving new work.
	targetPause = 450 * time.Millisecond
	// coordinatorWatchWait replaces watchWait at the coordinator, whose hosts
	// trust what it relays only while it is fresh.
	coordinatorWatchWait = 500 * time.Millisecond
	// relayValidity is how long after a relay a host does not call the store
	// itself: two report intervals and a margin.
	relayValidity = 2*reportInterval + 100*time.Millisecond
	// minRelayAge and maxRelayAge limit the age from which relayed store data is no
	// longer trusted. It is relayAgeMargin less than the bound within which a
	// configuration must be in force, in which the host can call the store itself.
	minRelayAge    = 1300 * time.Millisecond
	maxRelayAge    = 2600 * time.Millisecond
	relayAgeMargin = 1200 * time.Millisecond
	// staleReadAge is the age that is assumed of data from a read that may be stale.
	staleReadAge = 5 * time.Second
	// aggregatorWait is how long a host waits for its aggregator when both have found
	// that the store answers again.
	aggregatorWait = 500 * time.Millisecond
	// firstStartRelayWait is how long a host waits for the coordinator at the
	// first start of the whole system before it lists everything from the store:
	// less than the time until callers arrive.
	firstStartRelayWait = 4 * time.Second
	// restartRelayWait replaces firstStartRelayWait for a host that starts later,
	// when callers may be waiting: two connections and a report between regions.
	restartRelayWait = 400 * time.Millisecond
	// memberRelayWait replaces restartRelayWait for a host whose data centre has an
	// aggregator, which may be starting too.
	memberRelayWait = startGrace
	// ownWriteValidity is how long the coordinator relies on its last write
	// instead of watching its own objects: slightly longer than the time between
	// two renewals of its lease.
	ownWriteValidity = time.Second
	// relayCheckInterval is the time between two checks whether the relay is still
	// fresh.
	relayCheckInterval = 150 * time.Millisecond
	// panicPause is the pause after an unexpected error, which the same objects may
	// cause again.
	panicPause = time.Second
	// ownersPause is the pause between two calls for owner maps, so that changes
	// in quick succession are batched.
	ownersPause = 10 * time.Millisecond
)

// feed keeps one kind of objects up to date, from the store or from what the
// coordinator relays.
type feed struct {
	node   *Node
	prefix string
	pause  time.Duration // between two calls to the store
	// replace applies a complete listing.
	replace func(objects []objectstore.Object)
	// apply applies changed objects and returns those that other hosts need.
	apply func(objects []objectstore.Object) []objectstore.Object
	// onAnswer, if set, is called when the store has answered, before the answer
	// is applied.
	onAnswer func()
	// onRestore, if set, is called before the first listing of a later era of the store is
	// applied.
	onRestore func()
	// relist makes a watch start with a listing after an interruption.
	relist bool
	// awaitsRelay makes a starting host wait for the coordinator first.
	awaitsRelay bool
	// isOwn marks objects that only the coordinator writes: it need not watch what
	// it writes itself.
	isOwn bool
	// isOptional marks a feed that not all hosts have.
	isOptional bool
	storeLost  bool // the store did not answer the last call; used by follow alone

	mu         sync.Mutex
	mirror     *mirror.Mirror
	compressed compressedValues
	isListed   bool
	objectsAge time.Duration // least age of the objects that are being applied
	isOwnList  bool          // it was listed by this host, and not relayed since
	needsFresh bool          // the next listing must not be stale
	lastAnswer time.Duration // when the store last answered this host or the coordinator
	lastRelay  time.Duration // when the coordinator last relayed
}

// follow keeps the feed up to date until ctx ends. It lists and watches the
// objects in the store while the coordinator does not relay them.
func (f *feed) follow(ctx context.Context) error {
	if f.awaitsRelay {
		f.awaitRelay(ctx, restartRelayWait)
	} else {
		f.node.guard("discovery", func() { f.discover(ctx) })
	}
	for ctx.Err() == nil {
		if f.isRelayFresh() {
			sleep(ctx, relayCheckInterval)
			continue
		}
		if f.knowsOwnWrites() {
			sleep(ctx, relayCheckInterval)
			continue
		}
		mayCall, probe := f.node.gate.enter(steadyClock(), f.isRelayed())
		if !mayCall {
			sleep(ctx, gateCheckInterval)
			continue
		}
		if f.relist && f.node.candidate.holdsLease() && !f.hasOwnList() {
			f.requireListing()
		}
		if f.node.reports.hasAggregator() && f.isRelayed() {
			// The aggregator calls the store too. A probe, which is cheap, tells whether
			// the store answers this host; then the aggregator is likely to be first.
			f.callStore(ctx, true)
			if f.node.gate.isOpen() && f.awaitFresh(ctx, aggregatorWait) {
				continue
			}
			if !f.node.gate.isOpen() {
				continue
			}
		}
		completed := false
		f.node.guard("feed "+f.prefix, func() {
			f.callStore(ctx, probe)
			completed = true
		})
		if !completed {
			sleep(ctx, panicPause)
		}
	}
	return nil
}

// callStore makes one call to the store and updates the gate and the feed
// according to its result.
func (f *feed) callStore(ctx context.Context, probe bool) {
	var err error
	if probe {
		err = f.node.store.Probe(ctx, coordinatorObject)
	} else {
		err = f.listOrWatch(ctx)
	}
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, objectstore.ErrCompacted):
		f.node.gate.answered()
		f.requireFreshListing()
	case err != nil:
		if !f.storeLost {
			f.node.log.Emit(evStoreLost, "kind", f.prefix, "error", err.Error())
		}
		f.storeLost = true
		if !errors.Is(err, platform.ErrTooManyCalls) {
			f.node.recordStoreFailure()
		}
		f.node.gate.failed(steadyClock(), probe)
	case probe:
		f.node.gate.answered()
	default:
		f.node.gate.answered()
		if f.storeLost {
			f.node.log.Emit(evStoreBack, "kind", f.prefix)
			f.storeLost = false
		}
		sleep(ctx, f.pauseBetweenCalls())
	}
}

// awaitRelay waits up to limit for the coordinator to relay what this host lacks.
func (f *feed) awaitRelay(ctx context.Context, limit time.Duration) {
	isFirstStart := f.node.settings.Load().FirstStart
	if isFirstStart {
		limit = firstStartRelayWait
	} else if f.node.reports.hasAggregator() {
		limit = memberRelayWait
	}
	for until := steadyClock() + limit; steadyClock() < until && !f.isRelayFresh() && !f.node.candidate.holdsLease(); {
		if !isFirstStart && f.node.hasNoRelayer() || !sleep(ctx, relayCheckInterval/5) {
			return
		}
	}
}

// hasNoRelayer reports whether no relay is to be expected: the last known
// coordinator does not answer, or it was this host before its restart. After an
// outage of all hosts callers wait, and nobody relays.
func (n *Node) hasNoRelayer() bool {
	if n.reports.hasAggregator() {
		return false
	}
	return n.reportFailed.Load() || n.candidate.holder().Holder == n.settings.Load().Host
}

// knowsOwnWrites reports whether this host, as the coordinator, has the objects up
// to date from a recent write of its own.
func (f *feed) knowsOwnWrites() bool {
	if !f.isOwn || !f.node.candidate.holdsLease() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListed && steadyClock()-f.lastAnswer < ownWriteValidity
}

// applyOwnWrite applies an object of this system that this host wrote as the
// coordinator.
func (n *Node) applyOwnWrite(name string, version uint64, value json.RawMessage) {
	for _, f := range n.feeds {
		switch {
		case !f.isOwn:
		case version < f.revision():
			// A later write was acknowledged first: hosts that already have its
			// revision would never be sent this object as a change.
			f.requireListing()
		default:
			f.applyBatch(objectstore.Batch{Revision: version, Objects: []objectstore.Object{{Name: name, Version: version, Value: value}}}, false, 0)
		}
	}
}

// isRelayFresh reports whether the coordinator relays the feed with recent answers
// from the store.
func (f *feed) isRelayFresh() bool {
	if f.node.candidate.holdsLease() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := steadyClock()
	return f.isListed && f.lastRelay > 0 && now-f.lastRelay < f.node.relayValidity() && now-f.lastAnswer < f.node.maxRelayAge()
}

// maxRelayAge returns the age from which relayed store data is no longer trusted.
func (n *Node) maxRelayAge() time.Duration {
	b := n.settings.Load().Bounds
	bound := min(b.Apply, b.Drain)
	if n.hasPlaces {
		bound = min(bound, b.Evacuate)
	}
	return min(max(bound-relayAgeMargin, minRelayAge), maxRelayAge)
}

// relayValidity returns how long after a relay the next one is awaited. A host with an
// aggregator may report to the coordinator in between, in vain.
func (n *Node) relayValidity() time.Duration {
	if n.reports.hasAggregator() {
		return relayValidity + reportTimeout
	}
	return relayValidity
}

// awaitFresh waits up to limit for a relay with recent answers of the store.
func (f *feed) awaitFresh(ctx context.Context, limit time.Duration) bool {
	for until := steadyClock() + limit; steadyClock() < until; {
		if f.isRelayFresh() {
			return true
		}
		if !sleep(ctx, relayCheckInterval/3) {
			return false
		}
	}
	return f.isRelayFresh()
}

// isRelayed reports whether the coordinator relays the feed, however old its data
// from the store is.
func (f *feed) isRelayed() bool {
	if f.node.candidate.holdsLease() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListed && f.lastRelay > 0 && steadyClock()-f.lastRelay < f.node.relayValidity()
}

func (f *feed) requireListing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isListed = false
}

// requireFreshListing requires a listing that is not stale.
func (f *feed) requireFreshListing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isListed, f.needsFresh = false, true
}

// hasOwnList reports whether this host has listed the feed itself and followed the
// changes since.
func (f *feed) hasOwnList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListed && f.isOwnList
}

// listOrWatch makes one call to the store and applies its answer.
func (f *feed) listOrWatch(ctx context.Context) error {
	f.mu.Lock()
	isListed, revision, age := f.isListed, f.mirror.Revision(), steadyClock()-f.lastAnswer
	f.mu.Unlock()
	if !isListed {
		return f.list(ctx)
	}
	wait := watchWait
	switch {
	case age > watchWait:
		wait = 0 // what has changed meanwhile is needed at once
	case f.node.candidate.holdsLease() || f.node.aggregation.isActive():
		wait = f.node.relayingWatchWait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeAllowance)
	defer cancel()
	batch, err := f.node.store.Watch(ctx, f.prefix, revision)
	if err == nil {
		err = f.checkEra(batch)
	}
	if err == nil {
		f.applyBatch(batch, false, 0)
	}
	return err
}

// checkEra returns an error for an answer of an earlier era of the store than is known.
// The feed then waits as if the store had not answered.
func (f *feed) checkEra(batch objectstore.Batch) error {
	if named, known := era.Of(batch.Revision), f.node.store.Era(); named < known {
		return errors.Newf("answer of era %d of the store, which is in era %d", named, known)
	}
	return nil
}

// relayingWatchWait returns how long a watch of a host waits whose data is relayed: it
// must answer well before the relayed data is too old.
func (n *Node) relayingWatchWait() time.Duration {
	return min(coordinatorWatchWait+(n.maxRelayAge()-minRelayAge)/3, watchWait)
}

// pauseBetweenCalls returns the feed's pause between two calls, longer where relayed
// data may be older.
func (f *feed) pauseBetweenCalls() time.Duration {
	return f.pause + time.Duration(float64(f.pause)*float64(f.node.maxRelayAge()-minRelayAge)/float64(2*minRelayAge))
}

// list lists the feed from the store. Entries of targets are many, and hosts other than
// the coordinator follow their changes at once, so that a stale listing will do.
func (f *feed) list(ctx context.Context) error {
	f.mu.Lock()
	mayBeStale := f.relist && !f.needsFresh && !f.node.candidate.holdsLease()
	f.mu.Unlock()
	if mayBeStale {
		batch, err := f.node.store.ListStale(ctx, f.prefix)
		if err == nil {
			err = f.checkEra(batch)
		}
		if err == nil {
			f.applyStale(batch)
		}
		return err
	}
	if err := f.listFresh(ctx); err != nil {
		return err
	}
	if f.node.candidate.holder().Addr != "" {
		f.awaitRelay(ctx, restartRelayWait) // the coordinator relays later changes
	}
	return nil
}

// listFresh lists the feed from the store as it is now.
func (f *feed) listFresh(ctx context.Context) error {
	batch, err := f.node.store.List(ctx, f.prefix)
	if err == nil {
		err = f.checkEra(batch)
	}
	if err != nil {
		return err
	}
	f.applyBatch(batch, true, 0)
	f.mu.Lock()
	f.isOwnList, f.needsFresh = true, false
	f.mu.Unlock()
	return nil
}

// applyBatch applies objects that the store returned age ago, unless the feed is
// already newer.
func (f *feed) applyBatch(batch objectstore.Batch, full bool, age time.Duration) {
	f.applyAged(batch, full, age, age)
}

// applyStale applies a complete listing that may be stale, which may also be new.
func (f *feed) applyStale(batch objectstore.Batch) { f.applyAged(batch, true, staleReadAge, 0) }

// applyAged is applyBatch for objects of which only the least and the greatest age are
// known.
func (f *feed) applyAged(batch objectstore.Batch, full bool, age, leastAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objectsAge = leastAge
	if batch.Revision < f.mirror.Revision() || !full && !f.isListed {
		return
	}
	if named := era.Of(batch.Revision); named < f.node.store.Era() || !full && named > era.Of(f.mirror.Revision()) {
		return // an answer of an earlier era, or changes to objects of one
	}
	f.lastAnswer = max(f.lastAnswer, steadyClock()-age)
	f.node.recordStoreAnswer(f.lastAnswer)
	if f.onAnswer != nil && age < minRelayAge {
		f.onAnswer()
	}
	f.node.logFaults(batch.Faults)
	if f.onRestore != nil && f.mirror.Revision() > 0 && era.Of(batch.Revision) > era.Of(f.mirror.Revision()) {
		f.onRestore()
	}
	if full {
		f.replace(batch.Objects)
		f.mirror.Replace(batch.Revision, toMirror(batch.Objects))
	} else {
		f.mirror.Apply(batch.Revision, toMirror(f.apply(batch.Objects)))
	}
	f.isListed = true
}

func toMirror(objects []objectstore.Object) []mirror.Object {
	out := make([]mirror.Object, len(objects))
	for i, o := range objects {
		out[i] = mirror.Object(o)
	}
	return out
}

// recordStoreFailure records that the store did not answer this host: entries of targets may
// expire until it does.
func (n *Node) recordStoreFailure() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directory.RecordFailure()
}

// recordStoreAnswer records the time of the store's last answer.
func (n *Node) recordStoreAnswer(at time.Duration) {
	n.lastStoreAnswer.Store(max(n.lastStoreAnswer.Load(), int64(at)))
}
