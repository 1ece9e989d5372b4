package membership_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

var noStamp ownership.Stamp

func newHost(name string, run uint64) membership.Host {
	return membership.Host{Name: name, PlacerRun: run}
}

// newSettledRecord returns a settled record of three hosts.
func newSettledRecord(t *testing.T) membership.Record {
	t.Helper()
	r := membership.NewRecord("x", "kl", "semenanjung", newHost("a", 1), noStamp)
	for _, name := range []string{"b", "c"} {
		next, err := membership.Join(r, newHost(name, 1), noStamp)
		assert.NilError(t, err)
		r, err = membership.Settle(next, next.Number, noStamp)
		assert.NilError(t, err)
	}
	return r
}

func runsByHost(list []lease.Incarnation) map[string]uint64 {
	m := make(map[string]uint64)
	for _, id := range list {
		m[id.Host] = id.Run
	}
	return m
}

func TestJoinReplacesEarlierRun(t *testing.T) {
	before := newSettledRecord(t)
	r, err := membership.Join(before, newHost("b", 2), noStamp)
	assert.NilError(t, err)
	e := r.Electorate()
	assert.Equal(t, e.Record, before.Number+1)
	assert.DeepEqual(t, runsByHost(e.Voters), map[string]uint64{"a": 1, "b": 2, "c": 1})
	assert.DeepEqual(t, runsByHost(e.Old), map[string]uint64{"a": 1, "b": 1, "c": 1})
	assert.Equal(t, before.Hosts[1].PlacerRun, uint64(1), "the original record must not change")
	_, err = membership.Join(r, newHost("a", 2), noStamp)
	assert.ErrorIs(t, err, membership.ErrUnsettled)
	_, err = membership.Join(before, newHost("b", 1), noStamp)
	assert.ErrorIs(t, err, membership.ErrOldRun)
}

func TestForceJoinKeepsEveryUnsettledElectorate(t *testing.T) {
	r, err := membership.Join(newSettledRecord(t), newHost("b", 2), noStamp)
	assert.NilError(t, err)
	r, err = membership.ForceJoin(r, newHost("c", 2), noStamp)
	assert.NilError(t, err)
	e := r.Electorate()
	assert.DeepEqual(t, runsByHost(e.Old), map[string]uint64{"a": 1, "b": 2, "c": 1})
	assert.Equal(t, len(e.Older), 1)
	assert.DeepEqual(t, runsByHost(e.Older[0]), map[string]uint64{"a": 1, "b": 1, "c": 1})
	r, err = membership.Settle(r, r.Number, noStamp)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Older), 0)
	assert.Equal(t, len(r.Old), 3, "late voters still collect promises from Old")
}

func TestSettleRejectsOtherRecordNumber(t *testing.T) {
	r, err := membership.Join(newSettledRecord(t), newHost("b", 2), noStamp)
	assert.NilError(t, err)
	_, err = membership.Settle(r, r.Number-1, noStamp)
	assert.ErrorIs(t, err, membership.ErrUnsettled)
}

func TestWriteOffRemovesHosts(t *testing.T) {
	r, err := membership.WriteOff(newSettledRecord(t), []string{"b", "c"}, noStamp)
	assert.NilError(t, err)
	assert.DeepEqual(t, runsByHost(r.Electorate().Voters), map[string]uint64{"a": 1})
	assert.DeepEqual(t, runsByHost(r.Electorate().Gone), map[string]uint64{"b": 1, "c": 1})
	_, err = membership.WriteOff(r, []string{"z"}, noStamp)
	assert.ErrorIs(t, err, membership.ErrNoHost)

	unsettled, err := membership.Join(newSettledRecord(t), newHost("a", 2), noStamp)
	assert.NilError(t, err)
	r, err = membership.WriteOff(unsettled, []string{"b"}, noStamp)
	assert.NilError(t, err)
	assert.Equal(t, r.Number, unsettled.Number)
	assert.Equal(t, len(r.Hosts), 3, "the voters of a record number must not change")
	assert.DeepEqual(t, runsByHost(r.Electorate().Gone), map[string]uint64{"b": 1})
}

func TestGatewayEpochsIncrease(t *testing.T) {
	candidates := []lease.Incarnation{{Host: "a", Run: 1}, {Host: "b", Run: 1}}
	r, err := membership.AddGateway(newSettledRecord(t), membership.Gateway{Target: "t1", Candidates: candidates}, noStamp)
	assert.NilError(t, err)
	assert.Equal(t, r.Gateways[0].First, lease.GatewayEpoch(1))
	_, err = membership.AddGateway(r, membership.Gateway{Target: "t1", Candidates: candidates}, noStamp)
	assert.ErrorIs(t, err, membership.ErrNoGateway)
	r, err = membership.RenewGateway(r, "t1", candidates, noStamp)
	assert.NilError(t, err)
	assert.Equal(t, r.Gateways[0].First, lease.GatewayEpoch(3))
	r, err = membership.RemoveGateway(r, "t1", noStamp)
	assert.NilError(t, err)
	r, err = membership.AddGateway(r, membership.Gateway{Target: "t1", Candidates: candidates}, noStamp)
	assert.NilError(t, err)
	assert.Equal(t, r.Gateways[0].First, lease.GatewayEpoch(5))
	_, err = membership.RenewGateway(r, "t1", nil, noStamp)
	assert.ErrorIs(t, err, membership.ErrNoCandidate)
}

func TestFloorStopsCoverEveryAgreedEpoch(t *testing.T) {
	candidates := []lease.Incarnation{{Host: "a", Run: 1}, {Host: "b", Run: 1}}
	r, err := membership.AddGateway(newSettledRecord(t), membership.Gateway{Target: "t1", Candidates: candidates}, noStamp)
	assert.NilError(t, err)
	place := ownership.Place{Cell: "x", Target: "t1"}
	page, err := ownership.NewPage("s", 1, []ownership.Place{place}, ownership.Change{})
	assert.NilError(t, err)
	page, err = ownership.SetNext(page, 0, ownership.Place{Cell: "x", Target: "t2"}, ownership.Change{})
	assert.NilError(t, err)
	assert.DeepEqual(t, membership.FloorStops(r, []ownership.Page{page}), lease.Stops{
		Gateways: []lease.GatewayStop{{Target: "t1", Epoch: 2}},
		Shards:   []lease.ShardStop{{Shard: ownership.ShardRef{Service: "s"}, Epoch: 2}},
	})
}
