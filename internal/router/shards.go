package router

import (
	"context"
	"slices"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// shardCheckInterval is how often the gateway checks whether requests of a shard that
// it gives up still run.
const shardCheckInterval = 10 * time.Millisecond

// shardWatch follows which shards this gateway serves: it opens and closes their dedup
// tables and releases moved shards once none of their requests runs. It also wakes the
// monitors of targets that this router begins or ceases to claim or whose gateway
// becomes or ceases to be suspect.
type shardWatch struct {
	router         *Router
	served         map[ownership.ShardRef]lease.Line
	shardTransfers map[lease.ShardEpoch]*shardTransfer // shards that are given up
	claimed        []string
	unreachable    []string
	// handingOver holds the targets that were to be handed over at the last round.
	handingOver       []string
	handoverTransfers map[string]*handoverTransfer // by target, during its handover
	wake              chan struct{}                // starts the next round at once
}

// serveShards runs a shardWatch until ctx ends.
func (r *Router) serveShards(ctx context.Context) error {
	w := &shardWatch{
		router:            r,
		served:            make(map[ownership.ShardRef]lease.Line),
		shardTransfers:    make(map[lease.ShardEpoch]*shardTransfer),
		handoverTransfers: make(map[string]*handoverTransfer),
		wake:              make(chan struct{}, 1),
	}
	for {
		var retry <-chan time.Time
		if w.round() {
			retry = time.After(shardCheckInterval)
		}
		select {
		case <-r.leases.changed:
		case <-retry:
		case <-w.wake:
		case <-ctx.Done():
			return nil
		}
	}
}

// wakeNow starts the next round at once.
func (w *shardWatch) wakeNow() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// round processes all changes since the last round. It reports whether work remains:
// shards to give up, targets to hand over, or tables or learned state that wait for
// their line.
func (w *shardWatch) round() (isWaiting bool) {
	w.wakeMonitors()
	isWaiting = w.router.gateway.adoptLearned(time.Now())
	servedNow := make(map[ownership.ShardRef]bool, len(w.served))
	for _, line := range w.router.leases.lines() {
		servedNow[line.Shard] = true
		if w.served[line.Shard] != line {
			w.startServing(line)
		}
	}
	handingOver := w.router.leases.handingOver()
	leaving := w.router.leases.leaving()
	t := w.router.table.Load() // not older than the state of the leases, as it names the next owners
	for ref, line := range w.served {
		if !servedNow[ref] && w.hasLineEnded(t, line) && !slices.Contains(handingOver, line.Target) && !isLeaving(leaving, line) {
			w.stopServing(ref)
		}
	}
	for _, l := range leaving {
		w.releaseShard(t, l, len(leaving))
		isWaiting = true
	}
	w.pruneShardTransfers(leaving)
	isWaiting = w.handOverTargets(t) || isWaiting
	return w.router.gateway.dedup.expirePending(time.Now()) || isWaiting
}

// wakeMonitors wakes the monitors of targets that this router has begun or ceased to
// claim, or whose gateway has become or ceased to be suspect.
func (w *shardWatch) wakeMonitors() {
	claimed := w.router.leases.claimed()
	unreachable := w.router.leases.reportedUnreachable()
	for _, name := range slices.Concat(symmetricDifference(claimed, w.claimed), symmetricDifference(unreachable, w.unreachable)) {
		if worker := w.router.gateway.worker(name); worker != nil {
			worker.wakeMonitor()
		}
	}
	w.claimed = claimed
	w.unreachable = unreachable
}

// symmetricDifference returns the names that are in only one of two lists.
func symmetricDifference(a, b []string) []string {
	var names []string
	for _, name := range slices.Concat(a, b) {
		if !slices.Contains(a, name) || !slices.Contains(b, name) {
			names = append(names, name)
		}
	}
	return names
}

// hasLineEnded reports whether a shard that is not served now will not be served again
// under the same line: it has another owner, or is no longer relevant for this router.
func (w *shardWatch) hasLineEnded(t *table, line lease.Line) bool {
	s := t.services[line.Shard.Service]
	if s == nil {
		return true
	}
	shard, _ := s.page.Shard(line.Shard.Shard)
	return line.Epoch < shard.Epoch || !t.isShardRelevant(shard, w.router.cfg.Self)
}

// startServing opens the dedup table of a shard. Entries of an earlier line are
// dropped, as other gateways may have served the shard in between.
func (w *shardWatch) startServing(line lease.Line) {
	w.router.gateway.dedup.open(time.Now(), line)
	w.served[line.Shard] = line
	if worker := w.router.gateway.worker(line.Target); worker != nil {
		worker.wakeMonitor() // the target's grant lacks the shard
	}
	w.router.log.Emit(evShardServed, "service", line.Shard.Service, "shard", line.Shard.Shard, "target", line.Target, "owner_epoch", uint64(line.Epoch))
}

// releaseShard gives up a shard that was moved away, once none of its requests runs and
// its dedup table was transferred. shardCount is the number of shards that are given up
// at once.
func (w *shardWatch) releaseShard(t *table, l lease.Leaving, shardCount int) {
	worker := w.router.gateway.worker(l.Target)
	if l.Failed || worker != nil && !worker.canReleaseShard(l.Shard) {
		return
	}
	to, isDone := w.transferShard(t, l, shardCount)
	if !isDone {
		return
	}
	err := w.router.leases.release(l.Shard, to)
	w.router.log.Emit(evShardReleased, "service", l.Shard.Shard.Service, "shard", l.Shard.Shard.Shard,
		"target", l.Target, "owner_epoch", uint64(l.Shard.Epoch), "ok", err == nil)
}

func (w *shardWatch) stopServing(ref ownership.ShardRef) {
	w.router.gateway.dedup.close(ref)
	delete(w.served, ref)
}
