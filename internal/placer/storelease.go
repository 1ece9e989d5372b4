package placer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

const (
	storeLeaseRenewInterval = 4 * time.Second
	storeLeaseInterval      = 500 * time.Millisecond
)

// storeLease is the stored object by which a cell proves that it reaches the store. The
// cell that TakenBy names may move this cell's shards of services with
// when_cut = "move".
type storeLease struct {
	Cell    string            `json:"cell"`
	Number  uint64            `json:"number"` // increases with each update
	Holder  lease.Incarnation `json:"holder"`
	TakenBy string            `json:"taken_by,omitempty"`
	Stamp   ownership.Stamp   `json:"stamp"`
}

// ownLease is the last update of this cell's own store lease that this process made and
// that, as far as it knows, no other process has changed since.
type ownLease struct {
	known   bool
	held    bool // the update was a renewal, not the return of a taken lease
	version uint64
	value   storeLease
	sentAt  time.Duration
}

func leaseObjectName(cell string) string { return platform.LeasePrefix + cell }

// serveStoreLease renews the cell's store lease and takes over from cells that are cut
// off, while this host is the acting placer.
func (p *Placer) serveStoreLease(ctx context.Context) error {
	return runEvery(ctx, storeLeaseInterval, p.reconcileStoreLease)
}

func (p *Placer) reconcileStoreLease(ctx context.Context) {
	services := movingServices(p.cache.View().Config.Value)
	if len(services) == 0 || !p.isActing() || !p.watch.isStoreReachable() {
		p.leaseObserver.reset()
		return
	}
	p.logUpdateError("renew store lease", p.renewStoreLease(ctx))
	p.takeOverCells(ctx, services)
}

// movingServices returns the services whose keys move when a data centre is cut off.
func movingServices(cfg template.Config) []template.Template {
	var services []template.Template
	for _, t := range cfg.Templates {
		if t.WhenCut == template.CutMove {
			services = append(services, t)
		}
	}
	return services
}

// renewStoreLease renews the lease if that is due. Only an update of the version that
// this process wrote last is a plain renewal. Before any other update, the process reads
// what other cells have taken over.
func (p *Placer) renewStoreLease(ctx context.Context) error {
	if p.ownLease.held && p.now()-p.ownLease.sentAt < storeLeaseRenewInterval {
		return nil
	}
	if !p.ownLease.known {
		if err := p.resumeStoreLease(ctx); err != nil {
			return err
		}
	}
	next := p.ownLease.value
	next.TakenBy = ""
	held := p.ownLease.held
	if err := p.writeOwnLease(ctx, next); err != nil {
		return err
	}
	p.ownLease.held = true
	p.voting.setStoreLease(p.ownLease.sentAt + lease.StoreLease)
	if !held {
		p.log.Emit(evStoreLeaseHeld, "cell", p.cfg.Cell, "number", p.ownLease.value.Number)
	}
	return nil
}

// resumeStoreLease makes sure that the cell's voters know what other cells have taken
// over before the lease is renewed. A taken lease is first returned to this cell, so that
// the taker's next update of it fails. Then each page is written once: a move that the
// taker had in progress either is in the page that is read here or is refused.
func (p *Placer) resumeStoreLease(ctx context.Context) error {
	value, version, err := read[storeLease](ctx, p, leaseObjectName(p.cfg.Cell))
	if err != nil {
		return err
	}
	value.Cell = p.cfg.Cell
	p.ownLease = ownLease{known: true, version: version, value: value}
	if value.TakenBy != "" {
		p.log.Emit(evCellReturned, "cell", p.cfg.Cell, "taken_by", value.TakenBy, "number", value.Number)
		value.TakenBy = ""
		if err := p.writeOwnLease(ctx, value); err != nil {
			return err
		}
	}
	if err := p.syncPages(ctx); err != nil {
		p.ownLease = ownLease{}
		return err
	}
	return nil
}

// syncPages writes every page of a service that may be taken over, and makes the voter
// stop the shards that the page no longer assigns to this cell.
func (p *Placer) syncPages(ctx context.Context) error {
	cfg, _, err := read[template.Config](ctx, p, platform.ConfigObject)
	if err != nil {
		return err
	}
	for _, t := range movingServices(cfg) {
		var synced ownership.Page
		err := update(ctx, p, pageName(t.Service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
			synced = page
			if len(page.Shards) == 0 {
				return page, errNoChange
			}
			page.Stamp = s
			return page, nil
		})
		if err != nil {
			return errors.Wrapf(err, "sync the shard map of %s", t.Service)
		}
		p.voting.stopShards(t.Service, ownership.SupersededStops(synced, p.cfg.Cell))
	}
	return nil
}

// writeOwnLease writes the next update of the lease. If the update is not known to be
// accepted, this process no longer counts the lease as known, unless the store refused
// the call without effect.
func (p *Placer) writeOwnLease(ctx context.Context, next storeLease) error {
	next.Number++
	next.Holder = p.cfg.Self
	next.Stamp = p.newStamp()
	sentAt := p.now()
	version, err := p.putLease(ctx, p.ownLease.version, next)
	if errors.Is(err, platform.ErrUnavailable) {
		return err // refused without effect: the known version is still current
	}
	if err != nil {
		p.dropOwnLease(err)
		return err
	}
	p.ownLease.version = version
	p.ownLease.value = next
	p.ownLease.sentAt = sentAt
	return nil
}

// dropOwnLease resets ownLease, so that the lease is read again before the next renewal.
// After a conflict another cell may have taken the lease, so its remaining time is given
// up too.
func (p *Placer) dropOwnLease(err error) {
	if p.ownLease.held {
		p.log.Emit(evStoreLeaseLost, "cell", p.cfg.Cell, "error", err.Error())
	}
	if errors.Is(err, platform.ErrConflict) {
		p.voting.setStoreLease(0)
	}
	p.ownLease = ownLease{}
}

// putLease writes a store lease and returns its version. If the answer is lost, the
// update is read back.
func (p *Placer) putLease(ctx context.Context, version uint64, next storeLease) (uint64, error) {
	name := leaseObjectName(next.Cell)
	isOwn := func(back storeLease) bool { return back.Stamp == next.Stamp }
	if err := put(ctx, p, name, version, next, isOwn); err != nil {
		return 0, err
	}
	o := p.cache.Object(name)
	var newest storeLease
	if err := json.Unmarshal(o.Value, &newest); err != nil || !isOwn(newest) {
		return 0, errors.Wrapf(platform.ErrConflict, "%s changed again", name)
	}
	return o.Version, nil
}
