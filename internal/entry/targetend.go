package entry

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/routing"
)

const (
	// endCheckInterval is the least time between two checks whether a target has ended,
	// so that targets that reset connections are not asked again and again.
	endCheckInterval = time.Second
	// endCheckTime is how long the connection of a check is watched: a process that ends
	// may reset its connections before its listener is gone.
	endCheckTime = 100 * time.Millisecond
)

// endCheck is a check whether a target has ended. hasEnded may be read once done is
// closed.
type endCheck struct {
	began    time.Duration
	done     chan struct{}
	hasEnded bool
}

// fingerprint returns a hash of the content of the caller's request, which is the same
// when the same caller sends it again.
func (c *call) fingerprint() routing.Fingerprint {
	if !c.hasContentHash {
		c.contentHash, c.hasContentHash = c.hashContent(), true
	}
	return c.contentHash
}

func (c *call) hashContent() routing.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{c.outbound.method, c.outbound.host, c.outbound.uri, c.remoteIP()} {
		// Writes to a digest do not fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	for _, part := range c.outbound.body {
		_, _ = d.Write(part)
	}
	return routing.Fingerprint(d.Sum64())
}

// recordOutcome records whether the target ended with the request or answered it. If
// the request has been under suspicion before, it waits for the result.
func (c *call) recordOutcome(owner keyrange.Owner, t attempt) {
	q := c.node.quarantine
	switch {
	case t.brokeUnfinished:
		fp := c.fingerprint()
		isSuspect := !q.isEmpty() && q.ends(fp) > 0
		done := make(chan struct{})
		go c.node.guard("end of a target", func() {
			defer close(done)
			c.node.recordEnd(c.ID, fp, owner)
		})
		if isSuspect {
			<-done // the check ends after two connections and endCheckTime
		}
	case t.answer != nil && !t.reply.SaysNotRun:
		fp := c.fingerprint()
		if record, cleared := q.recordAnswer(fp); cleared {
			c.node.log.Emit(evCleared, "request", c.ID, "fingerprint", fp.String(), "target", owner.Target, "run", owner.Run,
				"ends", evidenceText(record, steadyClock()))
			c.node.requestReport()
		}
	}
}

// ends returns the number of targets that ended with a request and count.
func (q *quarantine) ends(fp routing.Fingerprint) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.table.Record(fp)
	return record.Evidence()
}

// recordEnd counts the request with the given ID, whose connection broke before its answer
// was whole, if its target has ended. A target that is known to be leaving ends by plan.
func (n *Node) recordEnd(id string, fp routing.Fingerprint, owner keyrange.Owner) {
	n.mu.Lock()
	e, ok := n.directory.Get(owner.Target)
	n.mu.Unlock()
	if ok && e.Run == owner.Run && e.Leaving || !n.hasEnded(owner) {
		return
	}
	record := n.quarantine.recordEnd(fp, owner)
	isQuarantined := record.Evidence() >= suspects.CrashThreshold
	n.log.Emit(evSuspect, "request", id, "fingerprint", fp.String(), "target", owner.Target, "run", owner.Run, "count", record.Evidence(),
		"quarantined", isQuarantined, "ends", evidenceText(record, steadyClock()))
	if isQuarantined {
		n.counters.countQuarantined()
	}
	n.requestReport()
}

// hasEnded reports whether nothing listens at a target's address. Requests whose
// connections broke together share one check.
func (n *Node) hasEnded(owner keyrange.Owner) bool {
	q := n.quarantine
	q.mu.Lock()
	check := q.endChecks[owner]
	if check != nil && steadyClock() < check.began+endCheckInterval {
		q.mu.Unlock()
		<-check.done
		return check.hasEnded
	}
	check = &endCheck{began: steadyClock(), done: make(chan struct{})}
	q.endChecks[owner] = check
	q.mu.Unlock()
	defer close(check.done)
	check.hasEnded = n.conns.isRefused(owner.Addr, endCheckTime)
	return check.hasEnded
}

// isRefused reports whether nothing listens at an address. A connection is watched for a
// while; if it ends, the address is tried once more.
func (p *connPool) isRefused(addr string, watch time.Duration) bool {
	conn, err := p.dial.DialContext(context.Background(), "tcp", addr)
	if err != nil {
		return isConnRefused(err)
	}
	defer conn.Close() // nothing was sent
	if watch == 0 || conn.SetReadDeadline(time.Now().Add(watch)) != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return errors.IsAny(err, io.EOF, syscall.ECONNRESET) && p.isRefused(addr, 0)
}
