package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/template"
)

func TestSteadyGateway(t *testing.T) {
	const suspicion = 300 * time.Millisecond
	s := newLivenessTracker()
	claim := func(now time.Duration, epoch lease.GatewayEpoch) {
		s.observeClaims(now, suspicion, []lease.HolderStatus{{LastSeen: now, Claims: []lease.Claim{{Target: "t1", Epoch: epoch, Alive: true}}}})
	}
	assert.Assert(t, !s.hasSteadyGateway("t1", 0, suspicion), "never claimed")
	claim(0, 1)
	assert.Assert(t, !s.hasSteadyGateway("t1", 0, suspicion), "first claim")
	claim(2*time.Second, 1)
	assert.Assert(t, s.hasSteadyGateway("t1", 2*time.Second, suspicion))
	assert.Assert(t, !s.hasSteadyGateway("t1", 3*time.Second, suspicion), "silent")
	claim(3*time.Second, 2)
	assert.Assert(t, !s.hasSteadyGateway("t1", 3*time.Second, suspicion), "another gateway")
	claim(5*time.Second, 1)
	assert.Assert(t, !s.hasSteadyGateway("t1", 5*time.Second, suspicion), "a claim of the old epoch does not refresh the new one")
	claim(5*time.Second, 2)
	assert.Assert(t, s.hasSteadyGateway("t1", 5*time.Second, suspicion))
}

// TestClaimOfLostRouterIsNotSteady: a gateway's claim is as old as the last message of its
// router, not as the placer's last evaluation of it.
func TestClaimOfLostRouterIsNotSteady(t *testing.T) {
	const suspicion = 300 * time.Millisecond
	s := newLivenessTracker()
	claims := []lease.Claim{{Target: "t1", Epoch: 1, Alive: true}}
	lost := 5 * time.Second
	for now := time.Duration(0); now < lost+suspicion; now += 50 * time.Millisecond {
		s.observeClaims(now, suspicion, []lease.HolderStatus{{LastSeen: min(now, lost), Claims: claims}})
	}
	assert.Assert(t, s.hasSteadyGateway("t1", lost, suspicion))
	assert.Assert(t, !s.hasSteadyGateway("t1", lost+suspicion+time.Millisecond, suspicion))
}

func TestReleaseTimeout(t *testing.T) {
	limit := releaseTimeout(template.Template{Routes: []template.Route{{DeadlineMS: 300}, {DeadlineMS: 3000}}})
	assert.Equal(t, limit, 4*time.Second)
	assert.Equal(t, releaseTimeout(template.Template{Routes: []template.Route{{}}}), 11*time.Second)
}

// TestLostTarget: a target that has never answered is lost only after a grace period; one
// that has answered is lost as soon as its gateway reports it.
func TestLostTarget(t *testing.T) {
	const suspicion = 300 * time.Millisecond
	s := newLivenessTracker()
	claim := func(at time.Duration, alive bool) {
		s.observeClaims(at, suspicion, []lease.HolderStatus{{LastSeen: at, Claims: []lease.Claim{{Target: "t1", Epoch: 1, Alive: alive}}}})
	}
	assert.Assert(t, !s.isLost("t1", time.Hour), "no gateway has claimed it")
	claim(0, false)
	assert.Assert(t, !s.isLost("t1", newTargetGracePeriod), "never answered, within the grace period")
	assert.Assert(t, s.isLost("t1", newTargetGracePeriod+1), "never answered")
	claim(newTargetGracePeriod, true)
	assert.Assert(t, !s.isLost("t1", time.Hour), "answers")
	claim(newTargetGracePeriod+1, false)
	assert.Assert(t, s.isLost("t1", newTargetGracePeriod+1), "answered before")
}

// TestStaleTargetClaimIsIgnored: the last claim of a silent gateway does not count.
func TestStaleTargetClaimIsIgnored(t *testing.T) {
	const suspicion = 300 * time.Millisecond
	s := newLivenessTracker()
	claims := []lease.Claim{{Target: "t1", Epoch: 1, Alive: true, Drained: true}}
	s.observeClaims(time.Second, suspicion, []lease.HolderStatus{{LastSeen: time.Second - suspicion - 1, Claims: claims}})
	assert.Assert(t, !s.isDrained("t1", time.Second, 0))
	s.observeClaims(time.Second, suspicion, []lease.HolderStatus{{LastSeen: time.Second - suspicion, Claims: claims}})
	assert.Assert(t, s.isDrained("t1", time.Second, 0))
}

// TestTargetIsDrainedOnlyWhenNothingCanRun: a new gateway does not know what an earlier
// one sent, and a target that is cut off keeps running its requests.
func TestTargetIsDrainedOnlyWhenNothingCanRun(t *testing.T) {
	const suspicion, maxRequestTime = 300 * time.Millisecond, 4 * time.Second
	s := newLivenessTracker()
	claim := func(at time.Duration, epoch lease.GatewayEpoch, alive, drained bool) {
		claims := []lease.Claim{{Target: "t1", Epoch: epoch, Alive: alive, Drained: drained}}
		s.observeClaims(at, suspicion, []lease.HolderStatus{{LastSeen: at, Claims: claims}})
	}
	assert.Assert(t, !s.isDrained("t1", time.Hour, maxRequestTime), "no gateway has claimed it")
	claim(0, 1, true, false)
	claim(10*time.Second, 1, true, true)
	assert.Assert(t, s.isDrained("t1", 10*time.Second, maxRequestTime))

	claim(20*time.Second, 2, true, true)
	assert.Assert(t, !s.isDrained("t1", 20*time.Second, maxRequestTime), "a new gateway")
	assert.Assert(t, s.isDrained("t1", 24*time.Second, maxRequestTime))

	claim(30*time.Second, 2, false, true)
	assert.Assert(t, !s.isDrained("t1", 30*time.Second, maxRequestTime), "just lost")
	claim(33*time.Second, 2, false, true)
	assert.Assert(t, !s.isDrained("t1", 33*time.Second, maxRequestTime), "still lost")
	assert.Assert(t, s.isDrained("t1", 34*time.Second, maxRequestTime))
	claim(40*time.Second, 2, true, false)
	assert.Assert(t, !s.isDrained("t1", 50*time.Second, maxRequestTime), "it answers again and runs requests")
}
