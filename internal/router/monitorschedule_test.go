package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A standby does not check the target while the gateway reaches it, and checks it at
// once when the gateway becomes suspect.
func TestStandbyChecksTargetWhenGatewayIsSuspected(t *testing.T) {
	var s monitorSchedule
	assert.Assert(t, s.isDue(0, false, false), "the first check")
	assert.Equal(t, s.interval(), suspectInterval, "the target has not answered yet")
	s.reached = true
	assert.Assert(t, !s.isDue(10*time.Second, false, false))
	assert.Equal(t, s.interval(), standbyInterval)
	now := standbyInterval
	assert.Assert(t, s.isDue(now, false, false), "the standby interval has passed")
	now += time.Millisecond
	assert.Assert(t, s.isDue(now, false, true), "the gateway has become suspect")
	assert.Equal(t, s.interval(), suspectInterval)
	assert.Assert(t, !s.isDue(now+time.Millisecond, false, true), "it has just checked")
	now += suspectInterval
	assert.Assert(t, s.isDue(now, false, true))
	assert.Assert(t, !s.isDue(now, false, false), "the gateway is no longer suspect")
	assert.Equal(t, s.interval(), standbyInterval)
	assert.Assert(t, s.isDue(now, true, false), "it claims the target")
	assert.Equal(t, s.interval(), monitorInterval)
}

// After a check without an answer the standby checks again soon, whatever the gateway
// reports.
func TestStandbyRechecksUnreachableTargetSoon(t *testing.T) {
	s := monitorSchedule{reached: true}
	assert.Assert(t, s.isDue(0, false, true))
	s.reached = false
	assert.Assert(t, !s.isDue(time.Millisecond, false, false), "it has just checked")
	assert.Equal(t, s.interval(), suspectInterval)
	assert.Assert(t, s.isDue(suspectInterval, false, false))
}
