package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	objectstore "github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	// probesObject counts the probes of quarantined requests by fingerprint. Its prefix is
	// not that of the other objects, so that nobody watches it.
	probesObject = "mangopost-probes/requests"
	// claimTimeout limits how long a request waits for the claim of its probe: two calls
	// to the store, over two round trips between regions each.
	claimTimeout = 400 * time.Millisecond
	// claimRetryInterval is the least time between two attempts of a host to claim a probe
	// of the same request.
	claimRetryInterval = time.Second
	// unusedProbeTime is how long a host keeps a probe that reached no target.
	unusedProbeTime = 30 * time.Second
	// maxProbeCounts bounds the object; the oldest are dropped.
	maxProbeCounts = 1024
)

// probeClaim is a host's claim of a probe of one request.
type probeClaim struct {
	at       time.Duration // when the claim was requested, or when its probe was not used
	isActive bool          // the claim is being made, or its probe runs
	isUnused bool          // the probe was claimed and has reached no target yet
}

// probeCount is the stored number of probes of a request.
type probeCount struct {
	Count  int   `json:"count"`
	LastMS int64 `json:"last_ms"` // Unix time in milliseconds, to drop old entries
}

// beginClaim reports whether this host may claim a probe now, or use one that it claimed
// before.
func (q *quarantine) beginClaim(fp routing.Fingerprint, isDue bool) (mayClaim, isClaimed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	c := q.claims[fp]
	switch {
	case c != nil && c.isActive:
		return false, false
	case c != nil && c.isUnused:
		c.isActive, c.isUnused = true, false
		return false, true
	case !isDue || c != nil && now < c.at+claimRetryInterval:
		return false, false
	}
	q.claims[fp] = &probeClaim{at: now, isActive: true}
	return true, false
}

// endClaim records the end of a probe or of an attempt to claim one. A probe that reached
// no target may be used again.
func (q *quarantine) endClaim(fp routing.Fingerprint, isUnused bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.claims[fp] = &probeClaim{at: steadyClock(), isUnused: isUnused}
}

// forgetOldClaims drops the claims that are of no use any more. q.mu is held.
func (q *quarantine) forgetOldClaims(now time.Duration) {
	for fp, c := range q.claims {
		if !c.isActive && (now >= c.at+unusedProbeTime || !c.isUnused && now >= c.at+claimRetryInterval) {
			delete(q.claims, fp)
		}
	}
}

// recordProbe records how many probes of a request hosts have taken.
func (q *quarantine) recordProbe(fp routing.Fingerprint, count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	if _, changed := q.table.RecordProbe(timeOf(now), fp, count); changed {
		q.changedAt[fp] = now
	}
}

// takeProbe reports whether a quarantined request may run once as a probe. The caller must
// then call endProbe.
func (n *Node) takeProbe(ctx context.Context, id string, fp routing.Fingerprint, v routing.Verdict) bool {
	mayClaim, isClaimed := n.quarantine.beginClaim(fp, v.ProbeDue && n.gate.isOpen())
	if !mayClaim {
		return isClaimed
	}
	count, err := n.claimProbe(ctx, fp, v.Probes+1)
	if count > v.Probes {
		n.quarantine.recordProbe(fp, count)
		n.requestReport()
	}
	if err != nil {
		n.quarantine.endClaim(fp, false)
		n.log.Emit(evProbeNotTaken, "request", id, "fingerprint", fp.String(), "error", err.Error())
		return false
	}
	n.log.Emit(evProbe, "request", id, "fingerprint", fp.String(), "number", count)
	return true
}

// errProbeTaken reports that another host has taken the probe.
var errProbeTaken = errors.New("another host has taken the probe")

// claimProbe takes the probe with the given number by a conditional update of the stored
// counts, and returns the count that is stored, 0 if it is not known. A write without an
// answer may be done later and counts as failed: the probe is then lost.
func (n *Node) claimProbe(ctx context.Context, fp routing.Fingerprint, number int) (count int, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, counts := n.store.Absent(), make(map[string]probeCount)
	switch obj, err := n.store.Get(ctx, probesObject); {
	case err == nil:
		version = obj.Version
		if err := json.Unmarshal(obj.Value, &counts); err != nil {
			return 0, errors.Wrap(err, "decode probe counts")
		}
	case !errors.Is(err, objectstore.ErrNotFound):
		return 0, errors.Wrap(err, "read probe counts")
	}
	if stored := counts[fp.String()].Count; stored >= number {
		return stored, errProbeTaken
	}
	dropOldCounts(counts, time.Now())
	counts[fp.String()] = probeCount{Count: number, LastMS: time.Now().UnixMilli()}
	value, err := json.Marshal(counts)
	if err != nil {
		return 0, errors.Wrap(err, "encode probe counts")
	}
	if _, err := n.store.Put(ctx, probesObject, version, value); err != nil {
		return 0, errors.Wrap(err, "write probe counts")
	}
	return number, nil
}

// dropOldCounts removes the counts of requests whose records are forgotten, and the oldest
// of more than maxProbeCounts.
func dropOldCounts(counts map[string]probeCount, now time.Time) {
	oldest := ""
	for fp, c := range counts {
		if now.UnixMilli()-c.LastMS > suspects.Retention.Milliseconds() {
			delete(counts, fp)
		} else if oldest == "" || c.LastMS < counts[oldest].LastMS {
			oldest = fp
		}
	}
	if len(counts) >= maxProbeCounts {
		delete(counts, oldest)
	}
}

// requestReport requests a report before the next one is due.
func (n *Node) requestReport() {
	select {
	case n.reportNow <- struct{}{}:
	default: // a report is due already
	}
}
