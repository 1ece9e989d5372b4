package placer

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

const threeHosts = `{"cell":"kl","number":1,"hosts":[
	{"name":"kl-1","placer_run":1,"placer_addr":"127.0.0.1:1"},
	{"name":"kl-2","placer_run":1,"placer_addr":"127.0.0.1:2"},
	{"name":"kl-3","placer_run":1,"placer_addr":"127.0.0.1:3"}]}`

// TestActingRequiresMajority guards against a placer that reaches the store but none of
// its peers: it sees no gateway alive and must not replace them.
func TestActingRequiresMajority(t *testing.T) {
	p := newTestWatch("kl-2", threeHosts).placer
	p.watch.directAnswerAt.Store(int64(p.now()))
	assert.Assert(t, !p.isActing(), "no peer answers")
	p.liveness.placerAnswered("127.0.0.1:3", p.now())
	assert.Assert(t, p.isActing(), "a majority answers without kl-1")
	p.liveness.placerAnswered("127.0.0.1:1", p.now())
	assert.Assert(t, !p.isActing(), "kl-1 comes first")
}

// TestLaterActingPlacerYieldsToEarlier checks two hosts that are cut off only from each
// other, so that both reach a majority. The later host learns from the record that the
// earlier one plans, and must not undo its plan in each round.
func TestLaterActingPlacerYieldsToEarlier(t *testing.T) {
	earlier, later := newTestWatch("kl-1", threeHosts).placer, newTestWatch("kl-2", threeHosts).placer
	for _, p := range []*Placer{earlier, later} {
		p.liveness = newLivenessTracker()
		p.watch.directAnswerAt.Store(int64(p.now()))
		p.liveness.placerAnswered("127.0.0.1:3", p.now())
		assert.Assert(t, p.isActing(), "%s hears only kl-3", p.cfg.Self.Host)
	}
	write := func(version uint64, host string) {
		text := strings.Replace(threeHosts, `"number":1`, `"number":1,"stamp":{"host":"`+host+`","incarnation":1,"write":`+strconv.FormatUint(version, 10)+`}`, 1)
		for _, p := range []*Placer{earlier, later} {
			p.cache.Apply([]platform.Object{{Name: platform.CellPrefix + "kl", Version: version, Value: []byte(text)}})
			p.liveness.placerAnswered("127.0.0.1:3", p.now())
		}
	}
	write(2, "kl-2")
	assert.Assert(t, earlier.isActing() && later.isActing(), "the earlier host does not yield to the later one")
	write(3, "kl-1")
	assert.Assert(t, earlier.isActing())
	assert.Assert(t, !later.isActing(), "kl-1 wrote the record")
	later.start = later.start.Add(-recordWriterTimeout)
	later.watch.directAnswerAt.Store(int64(later.now()))
	later.liveness.placerAnswered("127.0.0.1:3", later.now())
	assert.Assert(t, later.isActing(), "kl-1 has not written for recordWriterTimeout")
}

// TestCutOffPlacerStopsPlanningBeforeRoutersExpire: otherwise the last plan of a placer
// that is cut off would assign every gateway to its own router, which the other hosts
// cannot reach.
func TestCutOffPlacerStopsPlanningBeforeRoutersExpire(t *testing.T) {
	p := newTestWatch("kl-1", threeHosts).placer
	record := p.cache.View().Records["kl"].Value
	p.liveness.placerAnswered("127.0.0.1:2", p.now())
	assert.Assert(t, p.reachesMajorityWithin(record, placerContactWindow))
	p.liveness.placerAnswered("127.0.0.1:2", p.now()-placerContactWindow)
	assert.Assert(t, !p.reachesMajorityWithin(record, placerContactWindow))
	assert.Assert(t, placerContactWindow < lease.DefaultTiming.Suspicion)
}

func TestStalePlacerAnswerDoesNotCountForMajority(t *testing.T) {
	p := newTestWatch("kl-1", threeHosts).placer
	p.liveness.placerAnswered("127.0.0.1:2", p.now()-2*placerTimeout)
	assert.Assert(t, !p.isActing())
	assert.Equal(t, len(p.cache.View().Records), 1, platform.CellPrefix)
}

// TestPlacerCutOffFromStoreStopsActing: the first host is alive and learns from the
// others that the store answers, but cannot write to it.
func TestPlacerCutOffFromStoreStopsActing(t *testing.T) {
	first, second := newTestWatch("kl-1", threeHosts).placer, newTestWatch("kl-2", threeHosts).placer
	for _, p := range []*Placer{first, second} {
		for _, addr := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
			p.liveness.placerAnswered(addr, p.now())
		}
		p.watch.relayedAnswerAt.Store(int64(p.now()))
	}
	assert.Assert(t, first.watch.isCutOff())
	assert.Assert(t, !first.isActing())

	second.watch.delegatedAt.Store(int64(second.now()))
	second.liveness.setCutOff("127.0.0.1:1", true, second.now())
	assert.Assert(t, !second.watch.usesRelay(), "it calls the store itself")
	assert.Assert(t, !second.watch.isCutOff(), "it has only just begun to call the store")
	assert.Assert(t, second.isActing())
	second.watch.delegatedAt.Store(int64(second.now() - 2*cutOffTimeout))
	assert.Assert(t, second.watch.isCutOff(), "its calls were not answered")
	assert.Assert(t, !second.isActing(), "kl-3 may act")
	second.watch.directAnswerAt.Store(int64(second.now()))
	assert.Assert(t, second.isActing())

	first.watch.directAnswerAt.Store(int64(first.now()))
	second.liveness.setCutOff("127.0.0.1:1", first.watch.isCutOff(), second.now())
	assert.Assert(t, first.isActing())
	assert.Assert(t, !second.isActing())
	assert.Assert(t, second.watch.usesRelay())
}

// TestFirstHostActsWhenAllAreCutOffFromStore: in a store outage the first host stays the
// acting placer.
func TestFirstHostActsWhenAllAreCutOffFromStore(t *testing.T) {
	p := newTestWatch("kl-1", threeHosts).placer
	for _, addr := range []string{"127.0.0.1:2", "127.0.0.1:3"} {
		p.liveness.placerAnswered(addr, p.now())
		p.liveness.setCutOff(addr, true, p.now())
	}
	assert.Assert(t, p.watch.isCutOff())
	assert.Assert(t, p.isActing())
}

// TestNewActingPlacerReadsHostListImmediately: a new acting placer plans nothing before
// it has read the list, and keys wait for it.
func TestNewActingPlacerReadsHostListImmediately(t *testing.T) {
	p, store := newTestPlacer()
	record := membership.Record{Cell: "kl", Number: 1, Settled: true, Hosts: []membership.Host{
		{Name: "kl-0", PlacerRun: 1, PlacerAddr: "127.0.0.1:2"}, p.selfHost(), {Name: "kl-2", PlacerRun: 1, PlacerAddr: "127.0.0.1:3"},
	}}
	store.set(t, p.recordName(), record)
	syncCache(t, p, store)
	store.hosts = []platform.TargetHost{{Name: "t1"}}
	rounds := []struct {
		answering []string // addresses of the placers that answered
		reads     int
	}{
		{[]string{"127.0.0.1:2", "127.0.0.1:3"}, 0}, // kl-0 is the acting placer
		{[]string{"127.0.0.1:3"}, 1},                // kl-0 is gone
		{[]string{"127.0.0.1:3"}, 1},                // the list was just read
		{nil, 1},                                    // no majority
		{[]string{"127.0.0.1:3"}, 2},                // acting again
	}
	for i, r := range rounds {
		p.liveness = newLivenessTracker()
		p.watch.directAnswerAt.Store(int64(p.now()))
		for _, addr := range r.answering {
			p.liveness.placerAnswered(addr, p.now())
		}
		p.refreshHosts(t.Context())
		assert.Equal(t, store.hostReads, r.reads, "round %d", i)
	}
}
