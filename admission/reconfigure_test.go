package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission"
)

// TestReconfigureKeepsWaitingRequests checks that new slots start waiting
// requests and that a new order takes over all of them.
func TestReconfigureKeepsWaitingRequests(t *testing.T) {
	q := admission.New(admission.Config{Slots: 1, Limit: 10, FixedConcurrency: true})
	started := map[uint64]bool{}
	recordStarts := func(actions []admission.Action) {
		for _, a := range actions {
			assert.Equal(t, a.Kind, admission.Start)
			started[a.ID] = true
		}
	}
	for id := range uint64(4) {
		recordStarts(q.Arrive(0, admission.Request{ID: id, Client: "c", Deadline: time.Hour}))
	}
	assert.Equal(t, len(started), 1)
	cfg := admission.Config{Slots: 3, Limit: 10, FixedConcurrency: true, Order: admission.NewFairOrder()}
	recordStarts(q.Reconfigure(0, cfg))
	assert.Equal(t, len(started), 3)
	assert.Equal(t, q.Waiting(), 1)
	cfg.Order = nil // keeps the current order
	cfg.Slots = 4
	recordStarts(q.Reconfigure(0, cfg))
	assert.Equal(t, len(started), 4)
	assert.Equal(t, q.Waiting(), 0)
}
