package ctl

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/maintenance"
)

// giveWay withdraws a stop that was just announced when another operator
// announced one of the same target at the same time and came first. The two are
// objects of their own, so that no conditional update sees both. Of two
// announcements the later one reads the stops after both were written.
func (a *App) giveWay(ctx context.Context, stop maintenance.Stop, targets []maintenance.Target) error {
	stops, err := a.stopObjects(ctx)
	if err != nil {
		return errors.Wrapf(err, "stop %s is announced, but whether another one of its targets came first is not known: see stop list", stop.ID)
	}
	own := stops[stop.ID].Version
	for id, other := range stops {
		if id == stop.ID || !other.Value.Active() || !precedes(other, own) {
			continue
		}
		if t, ok := stop.Scope.SharedTarget(other.Value.Scope, targets); ok {
			return a.withdraw(ctx, stop, other.Value, t)
		}
	}
	return nil
}

// precedes reports whether a stop was announced before the one of a version. One
// that has changed since was announced at an earlier version than it has.
func precedes(other object[maintenance.Stop], own uint64) bool {
	return other.Version < own || len(other.Value.History) > 1
}

func (a *App) withdraw(ctx context.Context, stop, first maintenance.Stop, shared maintenance.Target) error {
	why := fmt.Sprintf("target %s is already part of stop %s, announced by %s", shared.Name, first.ID, first.AnnouncedBy)
	meta := maintenance.Meta{ID: a.Request + "-withdrawn", By: a.Operator}
	if _, err := a.changeStop(ctx, stop.ID, meta.ID, maintenance.Cancel{Meta: meta, Reason: why}); err != nil {
		return errors.Wrapf(err, "%s; cancel stop %s", why, stop.ID)
	}
	return &errConflict{fmt.Sprintf("%s; stop %s was withdrawn", why, stop.ID)}
}

// stopObjects returns all stops with their versions, by ID.
func (a *App) stopObjects(ctx context.Context) (map[string]object[maintenance.Stop], error) {
	batch, err := a.Store.List(ctx, platform.StopsPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list the stops")
	}
	stops := make(map[string]object[maintenance.Stop], len(batch.Objects))
	for _, o := range batch.Objects {
		stop, err := decode[maintenance.Stop](o)
		if err != nil {
			return nil, err
		}
		stops[stop.Value.ID] = stop
	}
	return stops, nil
}
