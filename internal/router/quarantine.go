package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	storeTimeout = 2 * time.Second
)

// serve evaluates crash candidates until ctx ends.
func (q *quarantine) serve(ctx context.Context) error {
	for {
		select {
		case c := <-q.candidates:
			q.evaluateCandidate(ctx, c)
			q.resolveCandidate(c)
		case <-ctx.Done():
			return nil
		}
	}
}

// serveStore writes the counts to the store until ctx ends. It is a separate duty
// because repeats wait for the count and must not wait for the store.
func (q *quarantine) serveStore(ctx context.Context) error {
	for {
		select {
		case record := <-q.toShare:
			q.logStoreError(record.Fingerprint, q.share(ctx, record))
		case run := <-q.toWithdraw:
			q.logStoreError(run.fp.String(), q.withdraw(ctx, run))
		case fp := <-q.probesToClaim:
			q.logStoreError(fp.String(), q.acquireProbe(ctx, fp))
		case <-ctx.Done():
			return nil
		}
	}
}

func (q *quarantine) logStoreError(fingerprint string, err error) {
	if err != nil {
		q.router.log.Emit(evStoreWriteFailed, "fingerprint", fingerprint, "error", err.Error())
	}
}

// evaluateCandidate counts the request if its target's process ended with it. A target
// that closed only one connection keeps the connection of its monitor open.
func (q *quarantine) evaluateCandidate(ctx context.Context, c crashCandidate) {
	w := q.router.gateway.worker(c.target)
	wait := c.brokenAt + crashMargin - q.router.now()
	if w == nil || !sleep(ctx, wait) || !w.health.wasResetNear(c.brokenAt, crashMargin) {
		return
	}
	record, changed := q.recordCrash(c, uint64(w.health.lastResetAt.Load()))
	if !changed {
		return
	}
	q.router.log.Emit(evCrashCounted, "request", c.forward.Id, "target", c.target,
		"fingerprint", record.Fingerprint, "crashes", len(record.Crashes))
	select {
	case q.toShare <- record:
	default:
		q.router.metrics.suspectsDropped.Inc()
	}
}

// withdraw deletes the object of a suspect that was cleared, unless it has become
// quarantined since and no probe has cleared it.
func (q *quarantine) withdraw(ctx context.Context, run survivedRun) error {
	if q.router.store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	name := platform.PoisonPrefix + run.fp.String()
	o, err := q.router.store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var stored routing.Suspect
	if json.Unmarshal(o.Value, &stored) == nil && !run.clears(stored) {
		return nil
	}
	err = q.router.store.Delete(ctx, name, o.Version)
	if errors.Is(err, platform.ErrConflict) {
		return nil // another host counted or cleared it
	}
	return err
}

// share merges a record into its object in the store.
func (q *quarantine) share(ctx context.Context, record routing.Suspect) error {
	if q.router.store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	name := platform.PoisonPrefix + record.Fingerprint
	for {
		o, err := q.router.store.Get(ctx, name)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		merged := q.merge(o, record)
		value, err := json.Marshal(merged)
		if err != nil {
			return errors.Wrap(err, "encode suspect")
		}
		_, err = q.router.store.Put(ctx, name, o.Version, value)
		if errors.Is(err, platform.ErrConflict) {
			continue
		}
		return err
	}
}

func (q *quarantine) merge(o platform.Object, record routing.Suspect) routing.Suspect {
	var stored routing.Suspect
	if len(o.Value) == 0 || json.Unmarshal(o.Value, &stored) != nil {
		return record
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	merged, _ := q.table.Merge(stored)
	return merged
}
