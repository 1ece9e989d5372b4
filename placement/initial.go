package placement

import (
	"github.com/mangopost/mangopost/ownership"
)

// initialEpoch is the epoch of the owners in a new page. Their agreed successors
// have the next epoch.
const initialEpoch ownership.Epoch = 1

// InitialPage returns the first page of a service, with its shards spread over the
// live targets by capacity. If no target is live, shards have no owner.
func InitialPage(service string, shards uint32, targets []Target) ownership.Page {
	page := ownership.Page{Service: service, Shards: make([]ownership.Shard, shards)}
	plan := Plan(Snapshot{Page: page, Targets: targets})
	for _, d := range plan {
		page.Shards[d.Shard] = d.newShard()
	}
	return page
}

// newShard returns the shard of a new page that a decision assigns.
func (d Decision) newShard() ownership.Shard {
	shard := ownership.Shard{
		Assignment: ownership.Assignment{Cell: d.Cell, Target: d.Target, Epoch: initialEpoch},
		Reason:     string(ReasonInitial),
	}
	if d.Next != "" {
		shard.Next = &ownership.Assignment{Cell: d.Cell, Target: d.Next, Epoch: initialEpoch + 1}
	}
	return shard
}
