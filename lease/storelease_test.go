package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// delayedCell is a holder and three voters that answer each request after a delay. Only
// shard 0 needs the store lease; shard 1 does not.
type delayedCell struct {
	now     time.Duration
	delay   time.Duration
	voters  map[string]*lease.Voter
	holder  *lease.Holder
	delayed []delayedReply
}

type delayedReply struct {
	at   time.Duration
	from string
	msg  lease.Message
}

func newDelayedCell(t *testing.T, faults lease.Faults) *delayedCell {
	t.Helper()
	c := &delayedCell{voters: make(map[string]*lease.Voter)}
	for _, host := range []string{"xa", "xb", "xc"} {
		v := lease.NewVoter(lease.VoterConfig{Cell: "x", Self: router(host), Timing: lease.DefaultTiming})
		v.SetElectorate(0, electorate("x"))
		c.voters[host] = v
	}
	c.holder = lease.NewHolder(lease.HolderConfig{Cell: "x", Self: router("xa"), Timing: lease.DefaultTiming})
	c.holder.SetFaults(faults)
	c.holder.SetElectorate(0, electorate("x"))
	c.holder.SetTargets(0, targetClaims("xa"))
	page, err := ownership.NewPage(service, 2, []ownership.Place{placeX1}, ownership.Change{})
	assert.NilError(t, err)
	c.holder.SetShards(0, []lease.ShardClaim{
		{Ref: ref(0), Shard: page.Shards[0], NeedsStore: true},
		{Ref: ref(1), Shard: page.Shards[1]},
	})
	return c
}

func (c *delayedCell) advance(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 10 * ms {
		c.send(c.holder.Tick(c.now))
		for len(c.delayed) > 0 && c.delayed[0].at <= c.now {
			r := c.delayed[0]
			c.delayed = c.delayed[1:]
			c.send(c.holder.Step(c.now, router(r.from), r.msg))
		}
	}
}

func (c *delayedCell) send(out []lease.Envelope) {
	for _, e := range out {
		host := e.To.Host
		for _, reply := range c.voters[host].Step(c.now, router("xa"), e.Msg) {
			c.delayed = append(c.delayed, delayedReply{c.now + c.delay, host, reply.Msg})
		}
	}
}

func (c *delayedCell) serves(n uint32) bool {
	_, _, ok := c.holder.Serves(c.now, ref(n))
	return ok
}

func TestShardsThatNeedStoreEndWithStoreLease(t *testing.T) {
	c := newDelayedCell(t, lease.NoFault)
	c.advance(2 * time.Second)
	assert.Assert(t, !c.serves(0) && c.serves(1), "no store lease yet")
	assert.Equal(t, c.holder.Shards(c.now)[0].WhyNot, "the cell does not hold its store lease")
	sent := c.now
	c.voters["xb"].SetStoreLease(sent + lease.StoreLease)
	c.advance(time.Second)
	assert.Assert(t, c.serves(0) && c.serves(1))
	c.voters["xb"].SetStoreLease(0)
	c.advance(time.Second)
	assert.Assert(t, c.serves(0), "the reported store lease stays valid")
	c.advance(sent + lease.StoreLease - lease.DefaultTiming.Lease - c.now - 10*ms)
	assert.Assert(t, c.serves(0))
	c.advance(10 * ms)
	assert.Assert(t, !c.serves(0) && c.serves(1), "grants end with the store lease")
	_, ok := c.holder.Line(c.now, ref(0))
	assert.Assert(t, !ok)
	c.voters["xc"].SetStoreLease(c.now + lease.StoreLease)
	c.advance(time.Second)
	assert.Assert(t, c.serves(0), "the store lease is held again and no shard was taken")
}

// A delayed reply reports the time that was left when it was sent.
func TestStoreLeaseCountsFromRequestSending(t *testing.T) {
	isServedAtEnd := func(faults lease.Faults) bool {
		c := newDelayedCell(t, faults)
		c.advance(2 * time.Second)
		end := c.now + lease.StoreLease
		c.voters["xb"].SetStoreLease(end)
		c.delay = 90 * ms
		c.advance(end - c.now - lease.DefaultTiming.Lease - 300*ms)
		assert.Assert(t, c.serves(0))
		c.delay = 300 * ms
		c.advance(300 * ms)
		assert.Assert(t, c.serves(1))
		return c.serves(0)
	}
	assert.Assert(t, !isServedAtEnd(lease.NoFault))
	assert.Assert(t, isServedAtEnd(lease.StoreFromReceipt), "the test does not detect the disabled rule")
}

func TestReplyUnderEarlierRecordRenewsNothing(t *testing.T) {
	c := newDelayedCell(t, lease.NoFault)
	c.advance(time.Second)
	newer := electorate("x")
	newer.Record = 2
	c.voters["xb"].SetStoreLease(c.now + lease.StoreLease)
	c.holder.SetElectorate(c.now, newer)
	c.advance(time.Second)
	assert.Assert(t, !c.serves(0))
}

// The holder of a cell that returns has an old page; the voter that renews the store
// lease has read the new one.
func TestReturningCellStopsTakenShards(t *testing.T) {
	c := newDelayedCell(t, lease.NoFault)
	c.advance(time.Second)
	c.voters["xb"].SetStoreLease(c.now + lease.StoreLease)
	c.advance(time.Second)
	assert.Assert(t, c.serves(0))
	c.advance(lease.StoreLease)
	assert.Assert(t, !c.serves(0))

	page, err := ownership.NewPage(service, 2, []ownership.Place{placeX1}, ownership.Change{})
	assert.NilError(t, err)
	page, err = ownership.BeginFencedMove(page, 0, placeY1, ownership.Change{})
	assert.NilError(t, err)
	c.voters["xb"].StopShards(service, ownership.SupersededStops(page, "x"))
	c.voters["xb"].SetStoreLease(c.now + lease.StoreLease)
	c.advance(time.Second)
	assert.Assert(t, !c.serves(0) && c.serves(1))
}
