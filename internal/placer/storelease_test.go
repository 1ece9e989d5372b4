package placer

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// memoryStore is a store in memory. beforePut[name] is called once, before the next update
// of name. loseAnswer[name] makes the next update of name take effect without an answer.
type memoryStore struct {
	revision   uint64
	objects    map[string]platform.Object
	beforePut  map[string]func()
	loseAnswer map[string]bool
}

func (s *memoryStore) Get(_ context.Context, name string) (platform.Object, error) {
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

func (s *memoryStore) Put(_ context.Context, name string, expected uint64, value json.RawMessage) (uint64, error) {
	if f := s.beforePut[name]; f != nil {
		delete(s.beforePut, name)
		f()
	}
	if s.objects[name].Version != expected {
		return 0, platform.ErrConflict
	}
	s.revision++
	s.objects[name] = platform.Object{Name: name, Version: s.revision, Value: value}
	if s.loseAnswer[name] {
		delete(s.loseAnswer, name)
		return 0, platform.ErrUncertain
	}
	return s.revision, nil
}

func (s *memoryStore) Delete(context.Context, string, uint64) error { return platform.ErrUnavailable }

func (s *memoryStore) List(_ context.Context, prefix string) (platform.Batch, error) {
	batch := platform.Batch{Revision: s.revision}
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			batch.Objects = append(batch.Objects, o)
		}
	}
	return batch, nil
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, _ uint64) (platform.Batch, error) {
	return s.List(ctx, prefix)
}

func (s *memoryStore) Since(ctx context.Context, prefix string, _ uint64) (platform.Batch, error) {
	return s.List(ctx, prefix)
}

func (s *memoryStore) Hosts(context.Context) ([]platform.TargetHost, error) { return nil, nil }

const (
	movingService = "pinjaman"
	movingPage    = platform.OwnersPrefix + movingService
	klLeaseObject = platform.LeasePrefix + "kl"
)

// twoCells is the cells kl and pg on one store. kl owns both shards of a service whose
// keys move when a data centre is cut off.
type twoCells struct {
	store  *memoryStore
	kl, pg *Placer
}

func newTwoCells(t *testing.T) *twoCells {
	t.Helper()
	c := &twoCells{store: &memoryStore{
		objects:    make(map[string]platform.Object),
		beforePut:  make(map[string]func()),
		loseAnswer: make(map[string]bool),
	}}
	cfg := template.Config{Version: 1, Templates: []template.Template{{Service: movingService, Keyed: true, Shards: 2, Slots: 1, WhenCut: template.CutMove}}}
	c.putNew(t, platform.ConfigObject, cfg)
	initial, err := ownership.NewPage(movingService, 2, []ownership.Place{{Cell: "kl", Target: "kl-t1"}}, ownership.Change{})
	assert.NilError(t, err)
	c.putNew(t, movingPage, initial)
	for _, cell := range []string{"kl", "pg"} {
		record := `{"cell":"` + cell + `","data_centre":"` + cell + `","number":1,"settled":true,"hosts":[{"name":"` + cell + `-1","placer_run":1,"placer_addr":"127.0.0.1:1"}]}`
		c.putNew(t, platform.CellPrefix+cell, json.RawMessage(record))
	}
	c.kl, c.pg = c.newPlacer("kl"), c.newPlacer("pg")
	return c
}

func (c *twoCells) putNew(t *testing.T, name string, value any) {
	t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(t, err)
	_, err = c.store.Put(context.Background(), name, 0, raw)
	assert.NilError(t, err)
}

func (c *twoCells) newPlacer(cell string) *Placer {
	self := lease.Incarnation{Host: cell + "-1", Run: 1}
	p := New(Config{Self: self, DataCentre: cell, Cell: cell, Timing: lease.DefaultTiming}, c.store, hclog.NewNullLogger())
	target := platform.TargetHost{Name: cell + "-t1", Service: movingService, DataCentre: cell, State: platform.HostLive}
	p.hosts.Store(&hostList{targets: []platform.TargetHost{target}, isRead: true})
	c.syncPlacer(p)
	p.voting.setRecord(p.cache.View().Records[cell].Value)
	return p
}

// syncPlacer applies all objects of the store to a placer's cache and marks the store as
// reachable.
func (c *twoCells) syncPlacer(p *Placer) {
	batch, _ := c.store.List(context.Background(), platform.RootPrefix)
	p.cache.Apply(batch.Objects)
	p.watch.directAnswerAt.Store(int64(p.now()))
}

// expireLease makes pg observe kl's lease as unchanged for long enough to take it.
func (c *twoCells) expireLease() {
	c.syncPlacer(c.pg)
	c.pg.observeLeases(c.pg.now() - 2*lease.StoreLease)
}

func (c *twoCells) takenShards(t *testing.T) int {
	t.Helper()
	var current ownership.Page
	assert.NilError(t, json.Unmarshal(c.store.objects[movingPage].Value, &current))
	return len(shardsOwnedBy(current, "pg"))
}

// voterReply returns the remaining time of the store lease and the stopped shards, as
// stated in a reply of kl's voter.
func (c *twoCells) voterReply() (time.Duration, []lease.ShardStop) {
	holder := lease.Incarnation{Host: "kl-1", Run: 7}
	reply := c.kl.voting.step(holder, lease.VoteRequest{Cell: "kl", Record: 1, Holder: holder, Seq: 1})[0].Msg.(lease.VoteReply)
	return reply.StoreLeft, reply.Stops.Shards
}

func renewLease(p *Placer) error { return p.renewStoreLease(context.Background()) }

// makeRenewalDue makes the next renewal of the own store lease due.
func makeRenewalDue(p *Placer) { p.ownLease.sentAt -= storeLeaseRenewInterval }

func takeOver(p *Placer) {
	p.takeOverCells(context.Background(), movingServices(p.cache.View().Config.Value))
}

func TestRenewedLeaseIsNeverTaken(t *testing.T) {
	wait := lease.DefaultTiming.StoreWait()
	var s leaseObserver
	var now time.Duration
	for version := range uint64(20) {
		s.observe(now, version+1, storeLease{Cell: "kl"})
		now += lease.StoreLease
		assert.Assert(t, !s.canTake(now, "pg", "kl", wait))
	}
	now += wait - lease.StoreLease
	assert.Assert(t, !s.canTake(now-1, "pg", "kl", wait))
	assert.Assert(t, s.canTake(now, "pg", "kl", wait))
	assert.Assert(t, !s.canTake(now, "kl", "kl", wait), "the cell's own lease")
	s.observe(now, 30, storeLease{Cell: "jb"})
	assert.Assert(t, !s.canTake(now, "pg", "kl", wait), "jb renews its lease and comes first")
	assert.Assert(t, s.canTake(now, "jb", "kl", wait))
	assert.Assert(t, s.canTake(now+takeoverTurnDelay, "pg", "kl", wait), "jb did not take the lease in its turn")
	s.reset()
	s.observe(now, 20, storeLease{Cell: "kl"})
	assert.Assert(t, !s.canTake(now+wait-1, "pg", "kl", wait), "the store was not reachable the whole time")
}

func TestTakeAndRenewalRace(t *testing.T) {
	for _, tt := range []struct {
		name  string
		first func(c *twoCells)
		taken int
	}{
		{"the renewal comes first", func(c *twoCells) { _ = renewLease(c.kl) }, 0},
		{"the take comes first", func(*twoCells) {}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTwoCells(t)
			assert.NilError(t, renewLease(c.kl))
			assert.NilError(t, renewLease(c.pg))
			makeRenewalDue(c.kl)
			c.expireLease()
			c.store.beforePut[klLeaseObject] = func() { tt.first(c) }
			takeOver(c.pg)
			assert.Equal(t, c.takenShards(t), tt.taken)
			makeRenewalDue(c.kl)
			err := renewLease(c.kl)
			left, _ := c.voterReply()
			assert.Equal(t, err == nil, tt.taken == 0)
			assert.Equal(t, left > 0, tt.taken == 0)
		})
	}
}

func TestReturnedCellSyncsPagesBeforeRenewal(t *testing.T) {
	c := newTwoCells(t)
	assert.NilError(t, renewLease(c.kl))
	assert.NilError(t, renewLease(c.pg))
	c.expireLease()
	takeOver(c.pg)
	makeRenewalDue(c.kl)
	assert.ErrorIs(t, renewLease(c.kl), platform.ErrConflict)
	assert.NilError(t, renewLease(c.kl))
	left, stops := c.voterReply()
	assert.Assert(t, left > 0 && left <= lease.StoreLease)
	assert.DeepEqual(t, stops, []lease.ShardStop{
		{Shard: ownership.ShardRef{Service: movingService, Shard: 0}, Epoch: 1},
		{Shard: ownership.ShardRef{Service: movingService, Shard: 1}, Epoch: 1},
	})
	takeOver(c.pg)
	assert.Equal(t, c.takenShards(t), 2, "moved shards stay with the taker")
	assert.Equal(t, c.kl.ownLease.value.TakenBy, "")
}

// TestTakeoverIsRefusedAfterCellReturns: the cell returns while the taker's update of the
// page is on its way to the store.
func TestTakeoverIsRefusedAfterCellReturns(t *testing.T) {
	c := newTwoCells(t)
	assert.NilError(t, renewLease(c.kl))
	assert.NilError(t, renewLease(c.pg))
	c.expireLease()
	c.store.beforePut[movingPage] = func() {
		makeRenewalDue(c.kl)
		assert.ErrorIs(t, renewLease(c.kl), platform.ErrConflict)
		assert.NilError(t, renewLease(c.kl))
	}
	takeOver(c.pg)
	assert.Equal(t, c.takenShards(t), 0)
	left, stops := c.voterReply()
	assert.Assert(t, left > 0)
	assert.Equal(t, len(stops), 0)
}

func TestRenewalWithLostAnswerCountsFromSending(t *testing.T) {
	c := newTwoCells(t)
	c.store.loseAnswer[klLeaseObject] = true
	before := c.kl.now()
	assert.NilError(t, renewLease(c.kl))
	assert.Assert(t, c.kl.ownLease.sentAt >= before && c.kl.ownLease.held)
	left, _ := c.voterReply()
	assert.Assert(t, left > 0 && left <= lease.StoreLease)
}

// TestTakeoverNeedsLiveTarget: a taker without a target of the service leaves the shards
// where they are.
func TestTakeoverNeedsLiveTarget(t *testing.T) {
	c := newTwoCells(t)
	assert.NilError(t, renewLease(c.kl))
	assert.NilError(t, renewLease(c.pg))
	c.pg.hosts.Store(&hostList{isRead: true})
	c.expireLease()
	takeOver(c.pg)
	assert.Equal(t, c.takenShards(t), 0)
}
