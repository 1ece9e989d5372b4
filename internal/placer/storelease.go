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
	storeRenewal    = 4 * time.Second
	storeLeaseRound = 500 * time.Millisecond
)

// storeLease is the store object by which a cell shows that it reaches the
// store. While TakenBy names another cell, that one may move the cell's shards
// of services with when_cut = "move".
type storeLease struct {
	Cell    string            `json:"cell"`
	Number  uint64            `json:"number"` // rises with each update
	Holder  lease.Incarnation `json:"holder"`
	TakenBy string            `json:"taken_by,omitempty"`
	Stamp   ownership.Stamp   `json:"stamp"`
}

// ownLease is the last update of the own cell's store lease that this process
// made and that nobody has changed since, as far as it knows.
type ownLease struct {
	known   bool
	held    bool // the update was a renewal, not the return after a take
	version uint64
	value   storeLease
	sent    time.Duration
}

func leaseName(cell string) string { return platform.LeasePrefix + cell }

// serveStoreLease renews the cell's store lease and takes over from cells that
// are cut off, where this host is the acting placer.
func (p *Placer) serveStoreLease(ctx context.Context) error {
	return every(ctx, storeLeaseRound, p.storeLeaseRound)
}

func (p *Placer) storeLeaseRound(ctx context.Context) {
	services := movingServices(p.cache.View().Config.Value)
	if len(services) == 0 || !p.acting() || !p.watch.hearing() {
		p.leaseSight.forget()
		return
	}
	p.report("renew store lease", p.renewStoreLease(ctx))
	p.takeRound(ctx, services)
}

// movingServices returns the services whose keys move when a data centre is cut
// off.
func movingServices(cfg template.Config) []template.Template {
	var services []template.Template
	for _, t := range cfg.Templates {
		if t.WhenCut == template.CutMove {
			services = append(services, t)
		}
	}
	return services
}

// renewStoreLease renews the lease where that is due. Only an update of the
// version that this process wrote last is a plain renewal; before any other, it
// learns what other cells took over.
func (p *Placer) renewStoreLease(ctx context.Context) error {
	if p.ownLease.held && p.now()-p.ownLease.sent < storeRenewal {
		return nil
	}
	if !p.ownLease.known {
		if err := p.enterStore(ctx); err != nil {
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
	p.voting.setStoreLease(p.ownLease.sent + lease.StoreLease)
	if !held {
		p.log.Emit(evStoreLeaseHeld, "cell", p.cfg.Cell, "number", p.ownLease.value.Number)
	}
	return nil
}

// enterStore makes sure that the cell's voters know what other cells took over
// before the lease is renewed. A taken lease is first given back: from then on
// the taker's next update of it fails. Each page is then written once, so that a
// move which the taker had under way either is on the page that is read or is
// refused.
func (p *Placer) enterStore(ctx context.Context) error {
	value, version, err := read[storeLease](ctx, p, leaseName(p.cfg.Cell))
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
	if err := p.settlePages(ctx); err != nil {
		p.ownLease = ownLease{}
		return err
	}
	return nil
}

// settlePages writes every page of a service that may be taken over and stops
// what it no longer gives to this cell.
func (p *Placer) settlePages(ctx context.Context) error {
	cfg, _, err := read[template.Config](ctx, p, platform.ConfigObject)
	if err != nil {
		return err
	}
	for _, t := range movingServices(cfg) {
		var settled ownership.Page
		err := update(ctx, p, pageName(t.Service), wrotePage, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
			settled = page
			if len(page.Shards) == 0 {
				return page, errNoChange
			}
			page.Stamp = s
			return page, nil
		})
		if err != nil {
			return errors.Wrapf(err, "settle the shard map of %s", t.Service)
		}
		p.voting.stopShards(t.Service, ownership.SupersededStops(settled, p.cfg.Cell))
	}
	return nil
}

// writeOwnLease writes the next update of the lease. Whatever is not known to
// be accepted ends the line of this process's updates.
func (p *Placer) writeOwnLease(ctx context.Context, next storeLease) error {
	next.Number++
	next.Holder = p.cfg.Self
	next.Stamp = p.stamp()
	sent := p.now()
	version, err := p.putLease(ctx, p.ownLease.version, next)
	if errors.Is(err, platform.ErrUnavailable) {
		return err // refused without effect
	}
	if err != nil {
		p.loseStoreLease(err)
		return err
	}
	p.ownLease.version = version
	p.ownLease.value = next
	p.ownLease.sent = sent
	return nil
}

// loseStoreLease forgets the line. After a conflict the lease may have been
// taken; what is left of it is given up.
func (p *Placer) loseStoreLease(err error) {
	if p.ownLease.held {
		p.log.Emit(evStoreLeaseLost, "cell", p.cfg.Cell, "error", err.Error())
	}
	if errors.Is(err, platform.ErrConflict) {
		p.voting.setStoreLease(0)
	}
	p.ownLease = ownLease{}
}

// putLease writes a store lease and returns its version. An update whose answer
// was lost is read back.
func (p *Placer) putLease(ctx context.Context, version uint64, next storeLease) (uint64, error) {
	name := leaseName(next.Cell)
	mine := func(back storeLease) bool { return back.Stamp == next.Stamp }
	if err := put(ctx, p, name, version, next, mine); err != nil {
		return 0, err
	}
	o := p.cache.Object(name)
	var newest storeLease
	if err := json.Unmarshal(o.Value, &newest); err != nil || !mine(newest) {
		return 0, errors.Wrapf(platform.ErrConflict, "%s changed again", name)
	}
	return o.Version, nil
}
