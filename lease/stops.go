package lease

import (
	"cmp"
	"slices"

	"github.com/mangopost/mangopost/ownership"
)

// stopTable holds promises. Each change has a number, so that a peer can ask for the
// changes that it has not seen.
type stopTable struct {
	seq      uint64
	gateways map[string]gatewayEntry
	shards   map[ownership.ShardRef]shardEntry
}

type gatewayEntry struct {
	epoch         GatewayEpoch
	released      GatewayEpoch
	releasedUnder GatewayEpoch // line that was released
	seq           uint64
}

type shardEntry struct {
	epoch                     ownership.Epoch
	released                  ownership.Epoch
	releasedUnder, releasedTo GatewayEpoch // lines named by the release mark
	seq                       uint64
}

func newStopTable() stopTable {
	return stopTable{
		gateways: make(map[string]gatewayEntry),
		shards:   make(map[ownership.ShardRef]shardEntry),
	}
}

// add keeps the highest epoch of each entry.
func (t *stopTable) add(stops Stops) {
	for _, s := range stops.Gateways {
		t.addGateway(s)
	}
	for _, s := range stops.Shards {
		t.addShard(s)
	}
}

func (t *stopTable) addGateway(s GatewayStop) {
	old := t.gateways[s.Target]
	next := gatewayEntry{epoch: max(old.epoch, s.Epoch), released: old.released, releasedUnder: old.releasedUnder}
	if s.Released && s.Epoch > old.released {
		next.released, next.releasedUnder = s.Epoch, s.Under
	}
	if next.epoch == old.epoch && next.released == old.released {
		return
	}
	t.seq++
	next.seq = t.seq
	t.gateways[s.Target] = next
}

func (t *stopTable) addShard(s ShardStop) {
	old := t.shards[s.Shard]
	next := old
	next.epoch = max(old.epoch, s.Epoch)
	if s.Released && s.Epoch > old.released {
		next.released, next.releasedUnder, next.releasedTo = s.Epoch, s.Under, s.To
	}
	if next.epoch == old.epoch && next.released == old.released {
		return
	}
	t.seq++
	next.seq = t.seq
	t.shards[s.Shard] = next
}

func (t *stopTable) gateway(target string) GatewayEpoch { return t.gateways[target].epoch }

// gatewayReleaseMark returns the newest release mark of a target; its Epoch is 0 if
// there is none.
func (t *stopTable) gatewayReleaseMark(target string) GatewayStop {
	return t.gateways[target].releaseMark(target)
}

func (t *stopTable) shard(ref ownership.ShardRef) ownership.Epoch { return t.shards[ref].epoch }

func (t *stopTable) released(ref ownership.ShardRef) ownership.Epoch { return t.shards[ref].released }

// shardReleaseMark returns the newest release mark of a shard; its Epoch is 0 if there
// is none.
func (t *stopTable) shardReleaseMark(ref ownership.ShardRef) ShardStop {
	return t.shards[ref].releaseMark(ref)
}

// since returns the changes after seq, ordered by target and shard.
func (t *stopTable) since(seq uint64) Stops {
	var stops Stops
	for target, e := range t.gateways {
		if e.seq > seq {
			stops.Gateways = append(stops.Gateways, e.stops(target)...)
		}
	}
	for ref, e := range t.shards {
		if e.seq > seq {
			stops.Shards = append(stops.Shards, e.stops(ref)...)
		}
	}
	sortStops(stops)
	return stops
}

func (e gatewayEntry) releaseMark(target string) GatewayStop {
	return GatewayStop{Target: target, Epoch: e.released, Released: true, Under: e.releasedUnder}
}

func (e gatewayEntry) stops(target string) []GatewayStop {
	if e.released == e.epoch {
		return []GatewayStop{e.releaseMark(target)}
	}
	stops := []GatewayStop{{Target: target, Epoch: e.epoch}}
	if e.released > 0 {
		stops = append(stops, e.releaseMark(target))
	}
	return stops
}

func (e shardEntry) releaseMark(ref ownership.ShardRef) ShardStop {
	return ShardStop{Shard: ref, Epoch: e.released, Released: true, Under: e.releasedUnder, To: e.releasedTo}
}

func (e shardEntry) stops(ref ownership.ShardRef) []ShardStop {
	if e.released == e.epoch {
		return []ShardStop{e.releaseMark(ref)}
	}
	stops := []ShardStop{{Shard: ref, Epoch: e.epoch}}
	if e.released > 0 {
		stops = append(stops, e.releaseMark(ref))
	}
	return stops
}

func sortStops(stops Stops) {
	slices.SortStableFunc(stops.Gateways, func(a, b GatewayStop) int {
		return cmp.Compare(a.Target, b.Target)
	})
	slices.SortStableFunc(stops.Shards, func(a, b ShardStop) int {
		return compareRefs(a.Shard, b.Shard)
	})
}

func compareRefs(a, b ownership.ShardRef) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
}
