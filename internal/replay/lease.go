package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

func init() {
	register("lease.start", func() step { return new(leaseStart) })
	register("lease.learn", func() step { return new(leaseLearn) })
	register("lease.alive", func() step { return new(leaseAlive) })
	register("lease.store", func() step { return new(leaseStore) })
	register("lease.run", func() step { return new(leaseRun) })
	register("lease.deliver", func() step { return new(leaseDeliver) })
	register("lease.release", func() step { return new(leaseRelease) })
	register("lease.gateways", func() step { return new(leaseGateways) })
	register("lease.owners", func() step { return new(leaseOwners) })
}

// leaseHost is one run of a host: a voter and a holder, which are separate
// processes.
type leaseHost struct {
	name   string
	run    uint64
	voter  *lease.Voter
	holder *lease.Holder
}

func (h *leaseHost) placerID() lease.Incarnation { return lease.Incarnation{Host: h.name, Run: h.run} }

func (h *leaseHost) routerID() lease.Incarnation {
	return lease.Incarnation{Host: h.name, Run: h.run + 1}
}

// pendingMessage is a lease message that was sent but not delivered.
type pendingMessage struct {
	from, to lease.Incarnation
	msg      lease.Message
}

// leaseCell holds the hosts of a cell and the messages between them.
type leaseCell struct {
	hosts   map[string]*leaseHost
	pending []pendingMessage // in sending order
}

// leaseStart starts a new run of a host in its initial state.
type leaseStart struct {
	Host string `json:"host"`
	Run  uint64 `json:"run"`
}

func (s *leaseStart) apply(rs *replayState, _ traceTime) (any, error) {
	h := &leaseHost{name: s.Host, run: s.Run}
	h.voter = lease.NewVoter(lease.VoterConfig{Cell: cellName, Self: h.placerID(), Timing: lease.DefaultTiming})
	h.holder = lease.NewHolder(lease.HolderConfig{Cell: cellName, Self: h.routerID(), Timing: lease.DefaultTiming})
	rs.cell.hosts[s.Host] = h
	return nil, nil
}

// selectHosts returns the named hosts, or all hosts if names is empty, in
// alphabetical order.
func (c *leaseCell) selectHosts(names []string) ([]*leaseHost, error) {
	if len(names) == 0 {
		names = slices.Collect(maps.Keys(c.hosts))
	}
	var hosts []*leaseHost
	for _, name := range slices.Sorted(slices.Values(names)) {
		h, err := findByName(c.hosts, "host", name)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// leaseLearn updates hosts with the current objects of the store.
type leaseLearn struct {
	Hosts []string `json:"hosts"` // empty means all
}

func (s *leaseLearn) apply(rs *replayState, at traceTime) (any, error) {
	hosts, err := rs.cell.selectHosts(s.Hosts)
	if err != nil {
		return nil, err
	}
	for _, h := range hosts {
		h.applyStoreObjects(at.monotonic(), &rs.objects)
	}
	return nil, nil
}

func (h *leaseHost) applyStoreObjects(now time.Duration, o *storeObjects) {
	electorate := o.record.Electorate()
	h.voter.SetElectorate(now, electorate)
	h.voter.SetTargets(now, o.record.Targets())
	h.holder.SetElectorate(now, electorate)
	h.holder.SetTargets(now, o.record.Claims())
	h.holder.SetShards(now, h.shardClaims(o))
}

// shardClaims returns the claims of shards that involve the host's router.
func (h *leaseHost) shardClaims(o *storeObjects) []lease.ShardClaim {
	isCandidate := make(map[string]bool)
	for _, c := range o.record.Claims() {
		isCandidate[c.Target] = slices.Contains(c.Candidates, h.routerID())
	}
	var claims []lease.ShardClaim
	for _, service := range slices.Sorted(maps.Keys(o.pages)) {
		for i, s := range o.pages[service].Shards {
			involved := isCandidate[s.Target] || s.Next != nil && isCandidate[s.Next.Target] || s.Move != nil && isCandidate[s.Move.From.Target]
			if involved {
				claims = append(claims, lease.ShardClaim{Ref: ownership.ShardRef{Service: service, Shard: uint32(i)}, Shard: s})
			}
		}
	}
	return claims
}

// leaseAlive sets whether gateways can reach a target.
type leaseAlive struct {
	Hosts  []string `json:"hosts"`
	Target string   `json:"target"`
	Alive  bool     `json:"alive"`
}

func (s *leaseAlive) apply(rs *replayState, _ traceTime) (any, error) {
	hosts, err := rs.cell.selectHosts(s.Hosts)
	for _, h := range hosts {
		h.holder.SetAlive(s.Target, s.Alive, 0)
	}
	return nil, err
}

// leaseStore sets whether hosts can reach the store.
type leaseStore struct {
	Hosts []string `json:"hosts"`
	Down  bool     `json:"down"`
}

func (s *leaseStore) apply(rs *replayState, _ traceTime) (any, error) {
	hosts, err := rs.cell.selectHosts(s.Hosts)
	for _, h := range hosts {
		h.holder.SetStoreDown(s.Down)
	}
	return nil, err
}

// leaseRun runs some hosts for a period. Messages between them are delivered
// immediately; messages to other hosts stay pending.
type leaseRun struct {
	Hosts []string `json:"hosts"` // empty means all
	ForMS int64    `json:"for_ms"`
}

const (
	leaseTickInterval  = 20 * time.Millisecond
	maxRunMS           = 60_000
	maxPendingMessages = 1 << 16 // limit of pending messages, and of deliveries within one tick
)

func (s *leaseRun) apply(rs *replayState, at traceTime) (any, error) {
	if s.ForMS < 0 || s.ForMS > maxRunMS {
		return nil, errors.Newf("for_ms %d is not between 0 and %d", s.ForMS, maxRunMS)
	}
	hosts, err := rs.cell.selectHosts(s.Hosts)
	if err != nil {
		return nil, err
	}
	end := at.monotonic() + time.Duration(s.ForMS)*time.Millisecond
	for now := at.monotonic(); now <= end; now += leaseTickInterval {
		for _, h := range hosts {
			rs.cell.send(h.placerID(), h.voter.Tick(now))
			rs.cell.send(h.routerID(), h.holder.Tick(now))
		}
		if err := rs.cell.exchange(now, hosts); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func (c *leaseCell) send(from lease.Incarnation, envelopes []lease.Envelope) {
	for _, e := range envelopes {
		c.pending = append(c.pending, pendingMessage{from, e.To, e.Msg})
	}
}

// exchange delivers the pending messages between the given hosts, and their
// replies.
func (c *leaseCell) exchange(now time.Duration, hosts []*leaseHost) error {
	selected := make(map[string]bool)
	for _, h := range hosts {
		selected[h.name] = true
	}
	for range maxPendingMessages {
		i := slices.IndexFunc(c.pending, func(m pendingMessage) bool { return selected[m.from.Host] && selected[m.to.Host] })
		if i < 0 {
			break
		}
		m := c.pending[i]
		c.pending = slices.Delete(c.pending, i, i+1)
		c.deliver(now, m)
	}
	if len(c.pending) > maxPendingMessages {
		return errors.Newf("more than %d pending messages", maxPendingMessages)
	}
	return nil
}

// deliver passes a message to its recipient. A message to an earlier run of a host
// is lost.
func (c *leaseCell) deliver(now time.Duration, m pendingMessage) {
	h := c.hosts[m.to.Host]
	switch {
	case h == nil:
	case m.to == h.placerID():
		c.send(m.to, h.voter.Step(now, m.from, m.msg))
	case m.to == h.routerID():
		c.send(m.to, h.holder.Step(now, m.from, m.msg))
	}
}

// leaseDeliver delivers or drops all pending messages from one host to another.
type leaseDeliver struct {
	From string `json:"from"`
	To   string `json:"to"`
	Lose bool   `json:"lose"`
}

func (s *leaseDeliver) apply(rs *replayState, at traceTime) (any, error) {
	var matching, rest []pendingMessage
	for _, m := range rs.cell.pending {
		if m.from.Host == s.From && m.to.Host == s.To {
			matching = append(matching, m)
		} else {
			rest = append(rest, m)
		}
	}
	rs.cell.pending = rest
	if s.Lose {
		return len(matching), nil
	}
	for _, m := range matching {
		rs.cell.deliver(at.monotonic(), m)
	}
	return len(matching), nil
}

// leaseRelease releases a shard at its previous owner, where none of its requests
// is running any more.
type leaseRelease struct {
	Host    string          `json:"host"`
	Service string          `json:"service"`
	Shard   uint32          `json:"shard"`
	Epoch   ownership.Epoch `json:"epoch"`
}

func (s *leaseRelease) apply(rs *replayState, at traceTime) (any, error) {
	h, err := findByName(rs.cell.hosts, "host", s.Host)
	if err != nil {
		return nil, err
	}
	ref := ownership.ShardRef{Service: s.Service, Shard: s.Shard}
	return newRefusalResult(h.holder.Release(at.monotonic(), ref, s.Epoch, 0)), nil
}

// leaseGateways lists every host that may currently send to a target, with its
// gateway epoch.
type leaseGateways struct {
	Target string `json:"target"`
}

func (s *leaseGateways) apply(rs *replayState, at traceTime) (any, error) {
	list := []string{}
	for _, name := range slices.Sorted(maps.Keys(rs.cell.hosts)) {
		epoch, _, ok := rs.cell.hosts[name].holder.Right(at.monotonic(), s.Target)
		if ok {
			list = append(list, fmt.Sprintf("%s@%d", name, epoch))
		}
	}
	return list, nil
}

// leaseOwners lists every host that may currently send requests of a shard to a
// target, with the target and the owner epoch. More than one entry means that the
// shard has several owners.
type leaseOwners struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
}

func (s *leaseOwners) apply(rs *replayState, at traceTime) (any, error) {
	list := []string{}
	ref := ownership.ShardRef{Service: s.Service, Shard: s.Shard}
	for _, name := range slices.Sorted(maps.Keys(rs.cell.hosts)) {
		target, epoch, ok := rs.cell.hosts[name].holder.Serves(at.monotonic(), ref)
		if ok {
			list = append(list, fmt.Sprintf("%s:%s@%d", name, target, epoch))
		}
	}
	return list, nil
}
