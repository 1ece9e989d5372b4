package placer

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/syncer"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

func storedRecord(t *testing.T, s *fakeStore) membership.Record {
	t.Helper()
	return stored[membership.Record](t, s, platform.CellPrefix+"kl")
}

func TestJoin(t *testing.T) {
	other := membership.Host{Name: "kl-2", PlacerRun: 1}
	earlier := membership.Host{Name: "kl-1", PlacerRun: 4, RouterRun: 9, RouterAddr: "127.0.0.1:9"}
	later := membership.Host{Name: "kl-1", PlacerRun: 6}
	cases := []struct {
		name    string
		before  *membership.Record
		err     error
		number  uint64
		hosts   int
		settled bool
	}{
		{"first host of the cell", nil, nil, 1, 1, true},
		{"second host", &membership.Record{Number: 3, Hosts: []membership.Host{other}, Settled: true}, nil, 4, 2, false},
		{"after a restart", &membership.Record{Number: 3, Hosts: []membership.Host{earlier}, Settled: true}, nil, 4, 1, false},
		{"a later run has joined", &membership.Record{Number: 3, Hosts: []membership.Host{later}, Settled: true}, membership.ErrOldRun, 3, 1, true},
		{"not settled: waits", &membership.Record{Number: 3, Hosts: []membership.Host{other}}, nil, 3, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, store := newTestPlacer(answerLost)
			if c.before != nil {
				store.set(t, p.recordName(), *c.before)
			}
			err := p.join(t.Context())
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			r := storedRecord(t, store)
			assert.Equal(t, r.Number, c.number)
			assert.Equal(t, len(r.Hosts), c.hosts)
			assert.Equal(t, r.Settled, c.settled)
		})
	}
}

// TestJoinRecordsAdvertisedAddress: the record contains the address at which other hosts
// reach the placer.
func TestJoinRecordsAdvertisedAddress(t *testing.T) {
	p, store := newTestPlacer()
	p.cfg.Advertise = "10.0.0.1:9104"
	assert.NilError(t, p.join(t.Context()))
	assert.Equal(t, storedRecord(t, store).Hosts[0].PlacerAddr, "10.0.0.1:9104")
	assert.Equal(t, len(p.watch.otherAddrs()), 0, "its own address is not one to follow")
}

// TestJoinIsForcedAfterSettleTimeout: a record that no voter can settle any more does not
// keep a host out forever.
func TestJoinIsForcedAfterSettleTimeout(t *testing.T) {
	p, store := newTestPlacer()
	store.set(t, p.recordName(), membership.Record{Number: 3, Hosts: []membership.Host{{Name: "kl-2", PlacerRun: 1}}})
	assert.NilError(t, p.join(t.Context()))
	assert.Equal(t, store.puts, 0)
	p.start = p.start.Add(-2 * settleTimeout)
	assert.NilError(t, p.join(t.Context()))
	assert.Equal(t, storedRecord(t, store).Number, uint64(4))
}

func TestSettle(t *testing.T) {
	p, store := newTestPlacer()
	unsettled := membership.Record{Cell: "kl", Number: 3, Hosts: []membership.Host{p.selfHost()}}
	store.set(t, p.recordName(), unsettled)
	p.settle(t.Context(), unsettled)
	assert.Assert(t, !storedRecord(t, store).Settled, "the voter does not answer yet")

	p.voting.setRecord(unsettled)
	assert.Assert(t, p.voting.isSettled())
	p.settle(t.Context(), membership.Record{Number: 2})
	assert.Assert(t, !storedRecord(t, store).Settled, "the number is not that of the current record")
	p.settle(t.Context(), unsettled)
	assert.Assert(t, storedRecord(t, store).Settled)
	assert.Equal(t, store.puts, 1)
}

func TestSetRouter(t *testing.T) {
	cases := []struct {
		name string
		run  uint64
		addr string
		puts int
	}{
		{"new run", 8, "127.0.0.1:8", 1},
		{"known", 7, "127.0.0.1:7", 0},
		{"known run, new address", 7, "127.0.0.1:8", 1},
		{"earlier run", 6, "127.0.0.1:7", 0},
		{"earlier run at another address", 6, "127.0.0.1:6", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, store := newTestPlacer()
			host := p.selfHost()
			host.RouterRun, host.RouterAddr = 7, "127.0.0.1:7"
			store.set(t, p.recordName(), membership.Record{Cell: "kl", Number: 1, Hosts: []membership.Host{host}})
			router := syncer.Router{Run: lease.Incarnation{Host: "kl-1", Run: c.run}, Addr: c.addr}
			assert.NilError(t, p.setRouter(t.Context(), router))
			assert.Equal(t, store.puts, c.puts)
			run, _ := recordedRouter(storedRecord(t, store), "kl-1")
			assert.Equal(t, run, max(c.run, 7))
		})
	}
}
