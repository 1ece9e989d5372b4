package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopost/mangopost/placement/demand"
	"github.com/mangopost/mangopost/platform"
)

const (
	// slowStagger is how much later than the fastest a host without processor time
	// tries to become the coordinator: the role is for hosts with room.
	slowStagger = 3 * time.Second
	// hostStagger is the mean distance between two hosts that try to become the
	// coordinator, of which only one can succeed: about the time of a write.
	hostStagger = 50 * time.Millisecond
	// storeStagger is how many times the way to the store a host tries later: each
	// change of owners takes at least one call, and each heartbeat of a target comes
	// that way.
	storeStagger = 8
	// fasterHost is how many times as many cores another host must have to be given
	// the role.
	fasterHost = 2
	// settleTerm is how long a term lasts at least before the role is given to a
	// faster host: all hosts have reported by then.
	settleTerm = 3 * reportEvery
	// keepRole is how long a host that took the role again, as no faster one did,
	// keeps it.
	keepRole = 15 * time.Second
)

// stagger returns how long after the first of all hosts this one tries to become
// the coordinator.
func stagger(s *platform.Settings, hosts demand.Hosts) time.Duration {
	slow := 1 - min(1, s.Cores/max(hosts.Cores, s.Cores))
	peers := hosts.Count
	if hosts.Fast > 0 && s.Cores*fasterHost > hosts.Cores {
		peers = hosts.Fast
	}
	return time.Duration(slow*float64(slowStagger)) + time.Duration(place(s.Host)*float64(peers)*float64(hostStagger))
}

// place returns a number from 0 to 1 that differs from host to host.
func place(host string) float64 { return float64(xxhash.Sum64String(host)%1000) / 1000 }

const (
	// fastCores is the share of a core from which on a host counts as fast while
	// nothing is known of the others.
	fastCores = 0.8
	// firstSlow and firstSpread order the first attempts of hosts that start
	// together: fast ones come first, and the others find one of them.
	firstSlow   = 1200 * time.Millisecond
	firstSpread = 600 * time.Millisecond
)

// firstStagger returns how long a host waits before it may become the coordinator
// when the whole system starts.
func firstStagger(s *platform.Settings) time.Duration {
	slow := 1 - min(1, s.Cores/fastCores)
	return time.Duration(slow*float64(firstSlow)) + time.Duration(place(s.Host)*float64(firstSpread))
}
