package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopost/mangopost/placement/demand"
	"github.com/mangopost/mangopost/platform"
)

const (
	// slowStagger is how much later than the fastest host a host with no processor
	// share tries to become the coordinator: the role should go to hosts with
	// spare capacity.
	slowStagger = 3 * time.Second
	// hostStagger is the mean time between the election attempts of two hosts, of
	// which only one can succeed: about the duration of a write.
	hostStagger = 50 * time.Millisecond
	// storeStaggerFactor is how many times its latency to the store a host delays
	// its election attempt: each change of owners takes at least one call, and
	// each heartbeat of a target takes the same path.
	storeStaggerFactor = 8
	// fasterHostRatio is how many times as many cores another host must have to be
	// given the role.
	fasterHostRatio = 2
	// minTermTime is how long a term lasts at least before the role is given to a
	// faster host: all hosts have reported by then.
	minTermTime = 3 * reportInterval
	// keepRoleTime is how long a host that took the role again, because no faster
	// host did, keeps it.
	keepRoleTime = 15 * time.Second
)

// stagger returns how long after the first possible attempt this host tries to
// become the coordinator.
func stagger(s *platform.Settings, hosts demand.HostSummary) time.Duration {
	slowness := 1 - min(1, s.Cores/max(hosts.Cores, s.Cores))
	peers := hosts.Count
	if hosts.Fast > 0 && s.Cores*fasterHostRatio > hosts.Cores {
		peers = hosts.Fast
	}
	return time.Duration(slowness*float64(slowStagger)) + time.Duration(hashFraction(s.Host)*float64(peers)*float64(hostStagger))
}

// hashFraction returns a hash of the host name as a number from 0 to 1, to spread
// hosts out.
func hashFraction(host string) float64 { return float64(xxhash.Sum64String(host)%1000) / 1000 }

const (
	// fastCores is the share of a core from which a host counts as fast while
	// nothing is known about the others.
	fastCores = 0.8
	// firstSlowStagger and firstStaggerSpread order the first election attempts of
	// hosts that start together: fast hosts try first, and the others find one of
	// them in the role.
	firstSlowStagger   = 1200 * time.Millisecond
	firstStaggerSpread = 600 * time.Millisecond
)

// firstStagger returns how long a host waits before it may become the coordinator
// at the first start of the whole system.
func firstStagger(s *platform.Settings) time.Duration {
	slowness := 1 - min(1, s.Cores/fastCores)
	return time.Duration(slowness*float64(firstSlowStagger)) + time.Duration(hashFraction(s.Host)*float64(firstStaggerSpread))
}
