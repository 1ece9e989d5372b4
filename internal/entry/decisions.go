package entry

import (
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

// Log lines of ordinary answers are sampled: the first ones of each second and
// then one in ordinaryEvery. Failures are never left out while the ring has room.
const (
	ordinaryFirst = 10
	ordinaryEvery = 20
)

// sampler chooses the ordinary lines that are written.
type sampler struct {
	second  atomic.Int64
	count   atomic.Uint64
	leftOut atomic.Uint64
}

func (s *sampler) take() bool {
	second := int64(steady() / time.Second)
	if s.second.Swap(second) != second {
		s.count.Store(0)
	}
	n := s.count.Add(1)
	if n <= ordinaryFirst || n%ordinaryEvery == 0 {
		return true
	}
	s.leftOut.Add(1)
	return false
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// inputs are the fields that every line on a request has: what decided, and its
// version.
func (c *call) inputs() []kernel.Field {
	fields := []kernel.Field{
		kernel.String("request", c.ID),
		kernel.Int("after_ms", ms(steady()-c.arrived)),
	}
	if c.table != nil {
		fields = append(fields, kernel.String("configuration", platform.FormatVersion(c.table.Version)))
	}
	if c.route != nil {
		fields = append(fields, kernel.String("route", c.route.Name), kernel.Int("left_ms", ms(c.deadline-steady())))
	}
	if c.service != nil {
		fields = append(fields, kernel.String("service", c.service.name))
		if c.service.keyed {
			fields = append(fields, kernel.Int("key", int64(c.Key)), kernel.Uint("owners", c.n.ownersVersion(c.service.name)))
		}
	}
	return fields
}

func (c *call) tryFields(a pool.Action, t try) []kernel.Field {
	fields := append(c.inputs(),
		kernel.String("target", a.Target.Target), kernel.String("addr", a.Target.Addr),
		kernel.Int("waited_ms", ms(a.Waited)), kernel.Int("took_ms", ms(t.took)),
		kernel.String("result", t.result.String()), kernel.Int("status", int64(t.reply.Status)),
		kernel.Int("tries", int64(len(c.tried)+1)))
	if a.Fence > 0 {
		fields = append(fields, kernel.Uint("fence", a.Fence))
	}
	if t.err != nil {
		fields = append(fields, kernel.String("error", t.err.Error()))
	}
	return fields
}

func (n *Node) logAnswered(c *call, a pool.Action, t try) {
	n.counters.answered(c.service.name, t.answer.status, steady()-c.arrived)
	if t.result != pool.Answered || n.ordinary.take() {
		n.log.EmitFields(evAnswered, c.tryFields(a, t)...)
	}
}

func (n *Node) logRetried(c *call, a pool.Action, t try) {
	n.log.EmitFields(evRetried, c.tryFields(a, t)...)
}

func (n *Node) logUnknown(c *call, a pool.Action, t try, why routing.RetryReason) {
	n.counters.ended("unknown", c.serviceName())
	n.log.EmitFields(evUnknown, append(c.tryFields(a, t), kernel.String("no_retry", why.String()))...)
}

func (n *Node) logRefused(c *call, why string, after time.Duration) {
	n.counters.ended("refused", c.serviceName())
	n.log.EmitFields(evRefused, append(c.inputs(),
		kernel.String("reason", why), kernel.Int("retry_after_ms", ms(after)), kernel.Int("tries", int64(len(c.tried))))...)
}

func (n *Node) logFailed(c *call, status int, why string, err error) {
	fields := append(c.inputs(), kernel.String("reason", why), kernel.Int("status", int64(status)),
		kernel.String("host", c.r.Host), kernel.String("path", c.r.URL.Path))
	if err != nil {
		fields = append(fields, kernel.String("error", err.Error()))
	}
	n.log.EmitFields(evRefused, fields...)
}

func (n *Node) logLeft(c *call, where string) {
	n.counters.ended("left", c.serviceName())
	n.log.EmitFields(evLeft, append(c.inputs(), kernel.String("while", where), kernel.String("caller", c.remoteIP()))...)
}

func (c *call) serviceName() string {
	if c.service == nil {
		return ""
	}
	return c.service.name
}
