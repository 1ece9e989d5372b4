package placer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

// recoverLostStops makes the voter answer again when all earlier voters are gone, and
// with them the record of which epochs they had stopped. No earlier agreement is
// resumed: the cell's epochs are first agreed anew, and then everything below them is
// stopped. In the other order, a crash between the two would leave the cell with stopped
// epochs that nobody renews.
func (p *Placer) recoverLostStops(ctx context.Context, r membership.Record) {
	if !p.voting.needsFloor() {
		return
	}
	fresh, pages, err := p.readAgreedState(ctx)
	if err != nil || fresh.Number != r.Number {
		p.logUpdateError("read agreed state", err)
		return
	}
	floor := membership.FloorStops(fresh, pages)
	if err := p.renewEpochs(ctx, floor, pages); err != nil {
		p.logUpdateError("agree new epochs", err)
		return
	}
	p.log.Emit(evStopsLost, "cell", r.Cell, "record", r.Number)
	p.voting.setFloor(r.Number, floor)
}

func (p *Placer) readAgreedState(ctx context.Context) (membership.Record, []ownership.Page, error) {
	record, _, err := read[membership.Record](ctx, p, p.recordName())
	if err != nil {
		return record, nil, err
	}
	batch, err := p.store.List(ctx, platform.OwnersPrefix)
	if err != nil {
		return record, nil, err
	}
	p.cache.Apply(batch.Objects)
	var pages []ownership.Page
	for _, o := range batch.Objects {
		var page ownership.Page
		if err := json.Unmarshal(o.Value, &page); err != nil {
			return record, nil, errors.Wrapf(err, "decode object %s", o.Name)
		}
		pages = append(pages, page)
	}
	return record, pages, nil
}

// renewEpochs agrees epochs above the floor for the cell's gateways and shards.
func (p *Placer) renewEpochs(ctx context.Context, floor lease.Stops, pages []ownership.Page) error {
	if err := p.renewGatewayEpochs(ctx, floor); err != nil {
		return err
	}
	for _, page := range pages {
		if err := p.renewShardEpochs(ctx, page.Service, floor); err != nil {
			return err
		}
	}
	return nil
}

func (p *Placer) renewGatewayEpochs(ctx context.Context, floor lease.Stops) error {
	stopped := make(map[string]lease.GatewayEpoch)
	for _, g := range floor.Gateways {
		stopped[g.Target] = g.Epoch
	}
	return update(ctx, p, p.recordName(), isOwnRecordWrite, func(r membership.Record, s ownership.Stamp) (membership.Record, error) {
		changed := false
		for _, g := range r.Gateways {
			if g.First > stopped[g.Target] || len(g.Candidates) == 0 {
				continue
			}
			next, err := membership.RenewGateway(r, g.Target, g.Candidates, s)
			if err != nil {
				return r, err
			}
			changed = true
			r = next
		}
		if !changed {
			return r, errNoChange
		}
		return r, nil
	})
}

// renewShardEpochs moves each shard of the cell that the floor stops to its present
// owner at a higher epoch.
func (p *Placer) renewShardEpochs(ctx context.Context, service string, floor lease.Stops) error {
	stopped := make(map[ownership.ShardRef]ownership.Epoch)
	for _, s := range floor.Shards {
		stopped[s.Shard] = s.Epoch
	}
	return update(ctx, p, pageName(service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		changed := false
		for n := range uint32(len(page.Shards) + len(page.Pins)) {
			shard, _ := page.Shard(n)
			ref := ownership.ShardRef{Service: service, Shard: n}
			if shard.Cell != p.cfg.Cell || shard.Epoch > stopped[ref] {
				continue
			}
			next, err := ownership.BeginMove(page, n, shard.Place(), ownership.MoveLost, nextPlace(shard), p.newChange("epochs agreed anew", s))
			if err != nil {
				return page, err
			}
			changed = true
			page = next
		}
		if !changed {
			return page, errNoChange
		}
		return page, nil
	})
}

func nextPlace(shard ownership.Shard) *ownership.Place {
	if shard.Next == nil {
		return nil
	}
	place := shard.Next.Place()
	return &place
}
