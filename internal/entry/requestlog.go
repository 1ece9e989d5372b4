package entry

import (
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

// Log lines of successful answers are sampled: the first loggedPerSecond of each
// second are written, then one in loggedOneIn. Failures are logged as long as the
// event log's buffer has room.
const (
	loggedPerSecond = 10
	loggedOneIn     = 20
)

// sampler selects the log lines of successful answers that are written.
type sampler struct {
	second  atomic.Int64
	count   atomic.Uint64
	skipped atomic.Uint64
}

func (s *sampler) shouldLog() bool {
	second := int64(steadyClock() / time.Second)
	if s.second.Swap(second) != second {
		s.count.Store(0)
	}
	n := s.count.Add(1)
	if n <= loggedPerSecond || n%loggedOneIn == 0 {
		return true
	}
	s.skipped.Add(1)
	return false
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// requestFields returns the log fields common to every event about a request: the
// inputs of its routing decision and their versions.
func (c *call) requestFields() []kernel.Field {
	fields := []kernel.Field{
		kernel.String("request", c.ID),
		kernel.Int("after_ms", ms(steadyClock()-c.arrived)),
	}
	if c.table != nil {
		fields = append(fields, kernel.String("configuration", platform.FormatVersion(c.table.Version)))
	}
	if c.route != nil {
		fields = append(fields, kernel.String("route", c.route.Name), kernel.Int("left_ms", ms(c.deadline-steadyClock())))
	}
	if c.service != nil {
		fields = append(fields, kernel.String("service", c.service.name))
		if c.service.keyed {
			fields = append(fields, kernel.Int("key", int64(c.Key)), kernel.Uint("owners", era.Revision(c.node.ownersVersion(c.service.name))))
		}
	}
	return fields
}

func (c *call) attemptFields(a pool.Action, t attempt) []kernel.Field {
	fields := append(c.requestFields(),
		kernel.String("target", a.Target.Target), kernel.String("addr", a.Target.Addr),
		kernel.Int("waited_ms", ms(a.Waited)), kernel.Int("took_ms", ms(t.took)),
		kernel.String("result", t.result.String()), kernel.Int("status", int64(t.reply.Status)),
		kernel.Int("tries", int64(len(c.triedTargets)+1)))
	if a.Fence > 0 {
		fields = append(fields, kernel.Uint("fence", a.Fence))
	}
	if t.err != nil {
		fields = append(fields, kernel.String("error", t.err.Error()))
	}
	return fields
}

func (n *Node) logAnswered(c *call, a pool.Action, t attempt) {
	n.counters.countAnswer(c.service.name, t.answer.status, steadyClock()-c.arrived)
	if t.result != pool.Answered || n.answerSampler.shouldLog() {
		n.log.EmitFields(evAnswered, c.attemptFields(a, t)...)
	}
}

func (n *Node) logRetried(c *call, a pool.Action, t attempt) {
	n.log.EmitFields(evRetried, c.attemptFields(a, t)...)
}

func (n *Node) logUnknown(c *call, a pool.Action, t attempt, reason routing.RetryReason) {
	n.counters.countEnded("unknown", c.serviceName())
	n.log.EmitFields(evUnknown, append(c.attemptFields(a, t), kernel.String("no_retry", reason.String()))...)
}

// logNotSentAgain logs a request that may have run and that no target can take again.
func (n *Node) logNotSentAgain(c *call, reason string) {
	n.counters.countEnded("unknown", c.serviceName())
	n.log.EmitFields(evUnknown, append(c.requestFields(),
		kernel.String("no_retry", reason), kernel.Int("tries", int64(len(c.triedTargets))))...)
}

func (n *Node) logRefused(c *call, reason string, retryAfter time.Duration) {
	n.counters.countEnded("refused", c.serviceName())
	n.log.EmitFields(evRefused, append(c.requestFields(),
		kernel.String("reason", reason), kernel.Int("retry_after_ms", ms(retryAfter)), kernel.Int("tries", int64(len(c.triedTargets))))...)
}

func (n *Node) logFailed(c *call, status int, reason string, err error) {
	fields := append(c.requestFields(), kernel.String("reason", reason), kernel.Int("status", int64(status)),
		kernel.String("host", c.r.Host), kernel.String("path", c.r.URL.Path))
	if err != nil {
		fields = append(fields, kernel.String("error", err.Error()))
	}
	n.log.EmitFields(evRefused, fields...)
}

func (n *Node) logCallerLeft(c *call, during string) {
	n.counters.countEnded("left", c.serviceName())
	n.log.EmitFields(evLeft, append(c.requestFields(), kernel.String("while", during), kernel.String("caller", c.remoteIP()))...)
}

func (c *call) serviceName() string {
	if c.service == nil {
		return ""
	}
	return c.service.name
}
