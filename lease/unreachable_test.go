package lease_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// TestUnreachableTargetIsTakenOver checks that routers that do not claim a target probe
// it only once its gateway cannot reach it, and that one of them then takes it over.
func TestUnreachableTargetIsTakenOver(t *testing.T) {
	w := newFailureFreeModel(t)
	anyReported := func() bool {
		return slices.ContainsFunc(w.hosts, func(h *host) bool { return len(h.router.holder.ReportedUnreachable()) > 0 })
	}
	assert.Assert(t, !w.advance(time.Second, anyReported), "reported as unreachable without a failure")
	before := w.lastRun[plainTarget].gateway
	w.host("b").isTargetUnreachable = true
	assert.Assert(t, w.advance(lease.DefaultTiming.Suspicion, anyReported))
	assert.Assert(t, w.advance(time.Second, func() bool { return w.lastRun[plainTarget].gateway > before }), w.describe())
	assert.Assert(t, w.advance(time.Second, func() bool { return !anyReported() }), "still reported as unreachable although its new gateway reaches it")
	assert.Equal(t, w.violation, "")
}

// TestSilentGatewayIsNotReportedUnreachable checks that a target with a silent gateway
// is not probed: its successor need not reach it.
func TestSilentGatewayIsNotReportedUnreachable(t *testing.T) {
	w := newFailureFreeModel(t)
	w.isolate(w.host("b"))
	assert.Assert(t, !w.advance(time.Second, func() bool { return len(w.host("c").router.holder.ReportedUnreachable()) > 0 }))
	assert.Equal(t, w.violation, "")
}
