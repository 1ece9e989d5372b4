package ctl

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/maintenance"
)

// withdrawIfLater withdraws a stop that was just announced if another operator
// concurrently announced a stop of the same target and came first. The two stops are
// separate objects, so a conditional update cannot detect the conflict. It is
// detected by reading the stops after the announcement: the later of the two
// announcements reads them after both were written.
func (a *App) withdrawIfLater(ctx context.Context, stop maintenance.Stop, targets []maintenance.Target) error {
	stops, err := a.stopObjects(ctx)
	if err != nil {
		return errors.Wrapf(err, "stop %s is announced, but it is not known whether a stop of the same target was announced first: see stop list", stop.ID)
	}
	ownVersion := stops[stop.ID].Version
	for id, other := range stops {
		if id == stop.ID || !other.Value.Active() || !wasAnnouncedBefore(other, ownVersion) {
			continue
		}
		if t, ok := stop.Scope.SharedTarget(other.Value.Scope, targets); ok {
			return a.withdraw(ctx, stop, other.Value, t)
		}
	}
	return nil
}

// wasAnnouncedBefore reports whether a stop was announced before the stop with the
// given version. A stop that has changed since its announcement was announced at an
// earlier version than its current one.
func wasAnnouncedBefore(other object[maintenance.Stop], version uint64) bool {
	return other.Version < version || len(other.Value.History) > 1
}

func (a *App) withdraw(ctx context.Context, stop, earlier maintenance.Stop, shared maintenance.Target) error {
	reason := fmt.Sprintf("target %s is already part of stop %s, announced by %s", shared.Name, earlier.ID, earlier.AnnouncedBy)
	meta := maintenance.Meta{ID: a.RequestID + "-withdrawn", By: a.Operator}
	if _, err := a.changeStop(ctx, stop.ID, meta.ID, maintenance.Cancel{Meta: meta, Reason: reason}); err != nil {
		return errors.Wrapf(err, "%s; cancel stop %s", reason, stop.ID)
	}
	return &conflictError{fmt.Sprintf("%s; stop %s was withdrawn", reason, stop.ID)}
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
