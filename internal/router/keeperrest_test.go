package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A standby does not check the target while the gateway reaches it, and checks it at
// once when the gateway becomes suspect.
func TestStandbyChecksTargetWhenGatewayIsSuspected(t *testing.T) {
	var k monitorSchedule
	assert.Assert(t, k.isDue(0, false, false), "the first check")
	assert.Equal(t, k.interval(), suspectInterval, "the target has not answered yet")
	k.reached = true
	assert.Assert(t, !k.isDue(10*time.Second, false, false))
	assert.Equal(t, k.interval(), standbyInterval)
	now := standbyInterval
	assert.Assert(t, k.isDue(now, false, false), "the standby interval has passed")
	now += time.Millisecond
	assert.Assert(t, k.isDue(now, false, true), "the gateway has become suspect")
	assert.Equal(t, k.interval(), suspectInterval)
	assert.Assert(t, !k.isDue(now+time.Millisecond, false, true), "it has just checked")
	now += suspectInterval
	assert.Assert(t, k.isDue(now, false, true))
	assert.Assert(t, !k.isDue(now, false, false), "the gateway is no longer suspect")
	assert.Equal(t, k.interval(), standbyInterval)
	assert.Assert(t, k.isDue(now, true, false), "it claims the target")
	assert.Equal(t, k.interval(), monitorInterval)
}

// After a check without an answer the standby checks again soon, whatever the gateway
// reports.
func TestStandbyRechecksUnreachableTargetSoon(t *testing.T) {
	k := monitorSchedule{reached: true}
	assert.Assert(t, k.isDue(0, false, true))
	k.reached = false
	assert.Assert(t, !k.isDue(time.Millisecond, false, false), "it has just checked")
	assert.Equal(t, k.interval(), suspectInterval)
	assert.Assert(t, k.isDue(suspectInterval, false, false))
}
