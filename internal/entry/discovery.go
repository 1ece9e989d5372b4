package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership/aggregators"
	"github.com/mangopost/mangopost/platform"
)

const (
	// firstStartAttempts is how often a host looks for the coordinator with cheap reads
	// at the first start of the whole system, discoveryInterval apart.
	firstStartAttempts = 3
	discoveryInterval  = 500 * time.Millisecond
	// eagerShare is the part of slow hosts that do not wait for another one to become
	// the coordinator at the first start.
	eagerShare = 0.15
)

// discover finds the coordinator and the aggregators with reads of the store that may
// be stale and cost a tenth of others. If it finds none, the feed is listed as usual.
func (f *feed) discover(ctx context.Context) {
	s := f.node.settings.Load()
	attempts := 1
	if s.FirstStart {
		// One of the first hosts becomes the coordinator, and the others find it.
		sleep(ctx, firstStagger(s))
		attempts = firstStartAttempts
		if isEager(s) {
			return
		}
	}
	for range attempts {
		batch, err := f.node.store.ListStale(ctx, f.prefix)
		if err != nil {
			f.node.log.Emit(evStoreLost, "kind", f.prefix, "error", err.Error())
			f.node.gate.failed(steadyClock(), false)
			return
		}
		if hasCoordinator(batch) {
			f.applyStale(batch)
			f.awaitRelay(ctx, restartRelayWait)
			return
		}
		if !s.FirstStart || !sleep(ctx, discoveryInterval) {
			return
		}
	}
}

// isEager reports whether a host tries to become the coordinator at the first start
// without looking for another one before.
func isEager(s *platform.Settings) bool {
	return s.Cores >= fastCores || hashFraction(s.Host) < eagerShare
}

func hasCoordinator(batch objectstore.Batch) bool {
	return slices.ContainsFunc(batch.Objects, func(o objectstore.Object) bool { return o.Name == coordinatorObject })
}

// applyAggregators applies the aggregators that the last coordinator recorded. They are
// a hint for a host that has just started: the coordinator's answers are newer.
func (n *Node) applyAggregators(value []byte) error {
	var all map[string]aggregators.Aggregator
	if err := json.Unmarshal(value, &all); err != nil {
		return errors.Wrap(err, "decode aggregators")
	}
	s := n.settings.Load()
	own, ok := all[s.DataCentre]
	if !ok || !n.mayUseHint.CompareAndSwap(true, false) {
		return nil
	}
	switch {
	case own.Host != s.Host:
		n.reports.assigned(own.Addr)
	case own.Addr == s.Peers.String():
		n.setAggregating(true)
	}
	return nil
}

// aggregatorsInterval is the least time between two writes of the aggregators.
const aggregatorsInterval = time.Second

// saveAggregators writes the aggregators to the store if they have changed, for hosts
// that start while there is no coordinator.
func (t *term) saveAggregators() {
	chosen := t.candidate.chosenAggregators()
	now := leaseClock()
	if len(chosen) == 0 || now < t.aggregatorsSavedAt+aggregatorsInterval {
		return
	}
	value, err := json.Marshal(chosen)
	if err != nil || string(value) == t.savedAggregators || !t.candidate.holdsLease() {
		return
	}
	t.aggregatorsSavedAt = now
	version, err := t.node.store.Put(t.ctx, aggregatorsObject, t.aggregatorsVersion, value)
	if err == nil {
		t.savedAggregators, t.aggregatorsVersion = string(value), version
		t.node.applyOwnWrite(aggregatorsObject, version, value)
		return
	}
	t.node.log.Emit(evWriteFailed, "object", aggregatorsObject, "error", err.Error())
	if obj, err := t.node.store.Get(t.ctx, aggregatorsObject); err == nil {
		t.aggregatorsVersion, t.savedAggregators = obj.Version, string(obj.Value)
	}
}
