package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
	_ "github.com/mangopost/mangopost/plugin/queue"
	"github.com/mangopost/mangopost/routing"
	"github.com/mangopost/mangopost/template"
)

func TestFirstSentRespectsTemplateLimits(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	tmpl := &template.Template{ClockSkewMS: 1000, RetryHorizonS: 300}
	stated := func(at time.Time) *pb.Forward { return &pb.Forward{FirstSentUnixMs: at.UnixMilli()} }
	// The dedup table subtracts dedupSkew from the result again. What remains is the
	// template's clock skew of one second, by which the caller's clock may lead.
	assert.Equal(t, effectiveFirstSent(now, stated(now), tmpl).Add(-dedupSkew), now.Add(-time.Second))
	assert.Equal(t, effectiveFirstSent(now, stated(now.Add(time.Second)), tmpl).Add(-dedupSkew), now)
	assert.Equal(t, effectiveFirstSent(now, stated(now.Add(2*time.Second)), tmpl), now.Add(-5*time.Minute))
	assert.Equal(t, effectiveFirstSent(now, &pb.Forward{}, tmpl), now.Add(-5*time.Minute))
	assert.Equal(t, effectiveFirstSent(now, &pb.Forward{FirstAttempt: true}, tmpl).Add(-dedupSkew), now)
	assert.Equal(t, effectiveFirstSent(now, &pb.Forward{}, &template.Template{}), now.Add(-dedupHorizon))
}

func TestOutcomeOfTargetAnswer(t *testing.T) {
	tests := []struct {
		name         string
		status       int
		id, refused  string
		refusesFirst bool
		want         routing.Outcome
	}{
		{"ran", 200, "r1", "", false, routing.OutcomeRan},
		{"refused", 503, "r1", "shedding", false, routing.OutcomeNotRun},
		{"refusal of another request", 503, "r2", "shedding", false, routing.OutcomeUnknown},
		{"refusal without an ID", 503, "", "shedding", false, routing.OutcomeUnknown},
		{"ran, with a stray header", 200, "r1", "shedding", false, routing.OutcomeRan},
		{"unknown reason", 503, "r1", "tired", false, routing.OutcomeRan},
		{"refuses first", 429, "r1", "", true, routing.OutcomeNotRun},
		{"does not refuse first", 429, "r1", "", false, routing.OutcomeRan},
		{"error that ran", 500, "r1", "", true, routing.OutcomeRan},
	}
	for _, test := range tests {
		response := &http.Response{StatusCode: test.status, Header: http.Header{}}
		response.Header.Set(headerRequestID, test.id)
		response.Header.Set(headerRefused, test.refused)
		assert.Equal(t, outcomeOf(response, "r1", test.refusesFirst), test.want, test.name)
	}
}

func TestTemplateChangeReconfiguresRunningWorker(t *testing.T) {
	tmpl := template.Template{Slots: 2, Connections: 10, QueueLimit: 5, QueueOrder: "queue.fifo"}
	w := newWorker(&Router{}, &target{name: "t1"}, tmpl)
	before := w.transport.Load()
	tmpl.Slots, tmpl.Connections, tmpl.ChecksGrants = 4, 20, true
	w.configure(tmpl)
	(<-w.ring).apply(w, 0)
	assert.Equal(t, w.queue.Stats().Slots, 4)
	assert.Assert(t, w.template.Load().ChecksGrants)
	assert.Assert(t, w.transport.Load() != before)
	w.configure(tmpl)
	assert.Equal(t, len(w.ring), 0) // an unchanged template posts no event
}
