package placer

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

const (
	maxUpdateAttempts = 4
	storeTimeout      = 2 * time.Second
)

// errUndecided is returned when an update's answer was lost and the update could not be
// read back, so that callers must not act on either outcome.
var errUndecided = errors.New("outcome of the update is unknown")

// errStale is returned when the store answers with a state older than one already known.
var errStale = errors.New("stale read")

// errNoChange is returned by a changeFunc that has nothing to change.
var errNoChange = errors.New("nothing to change")

// changeFunc returns the new value of an object with the given stamp, or errNoChange.
type changeFunc[T any] func(T, ownership.Stamp) (T, error)

// ownWriteFunc reports whether a value that was read back was written by the update with
// the given stamp.
type ownWriteFunc[T any] func(T, ownership.Stamp) bool

func isOwnRecordWrite(r membership.Record, s ownership.Stamp) bool { return r.Stamp == s }

func isOwnPageWrite(p ownership.Page, s ownership.Stamp) bool { return p.Stamp == s }

// update changes an object by conditional updates until one is accepted, the change
// returns an error, or maxUpdateAttempts is reached. The change is applied to the newest
// value, which is the zero value if the object does not exist.
func update[T any](ctx context.Context, p *Placer, name string, isOwn ownWriteFunc[T], change changeFunc[T]) error {
	for range maxUpdateAttempts {
		value, version, err := read[T](ctx, p, name)
		if err != nil {
			return err
		}
		stamp := p.newStamp()
		next, err := change(value, stamp)
		if errors.Is(err, errNoChange) {
			return nil
		}
		if err != nil {
			return err
		}
		err = put(ctx, p, name, version, next, func(back T) bool { return isOwn(back, stamp) })
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return errors.Wrapf(platform.ErrConflict, "update %s", name)
}

// read returns the newest value from the store and its version, which is 0 if the object
// does not exist.
func read[T any](ctx context.Context, p *Placer, name string) (T, uint64, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := p.store.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return value, 0, err
	}
	return decodeNewest[T](p, name, o)
}

// readSince returns the value from the store as of a revision or later, and its version.
// It fails with errStale if the store answers as of an earlier revision.
func readSince[T any](ctx context.Context, p *Placer, name string, revision uint64) (T, uint64, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	batch, err := p.store.List(ctx, name)
	if err != nil {
		return value, 0, err
	}
	if batch.Revision < revision {
		return value, 0, errors.Wrapf(errStale, "%s at revision %d, expected %d or later", name, batch.Revision, revision)
	}
	i := slices.IndexFunc(batch.Objects, func(o platform.Object) bool { return o.Name == name })
	if i < 0 {
		return decodeNewest[T](p, name, platform.Object{Name: name})
	}
	return decodeNewest[T](p, name, batch.Objects[i])
}

// decodeNewest decodes an object as it was read, or as cached here if the read was stale.
// The value may still be stale; the store then refuses an update that is based on it.
func decodeNewest[T any](p *Placer, name string, o platform.Object) (T, uint64, error) {
	var value T
	if known := p.cache.Object(name); known.Version > o.Version {
		o = known
	}
	if o.Version == 0 {
		return value, 0, nil
	}
	p.cache.Apply([]platform.Object{o})
	if o.Deleted {
		return value, 0, nil
	}
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return value, 0, errors.Wrapf(err, "decode object %s", name)
	}
	return value, o.Version, nil
}

// put writes one update. If its answer is lost, the object is read back to find out
// whether the update took effect.
func put[T any](ctx context.Context, p *Placer, name string, version uint64, value T, isOwn func(T) bool) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	newVersion, err := p.store.Put(call, name, version, raw)
	if errors.Is(err, platform.ErrUncertain) {
		return readBack(ctx, p, name, isOwn)
	}
	if err != nil {
		return err
	}
	p.cache.Apply([]platform.Object{{Name: name, Version: newVersion, Value: raw}})
	return nil
}

// readBack determines the outcome of an update whose answer was lost. An update that was
// not applied may still be on its way. It counts as a conflict: only one of two updates
// from the same version can be accepted, so the next attempt decides it.
func readBack[T any](ctx context.Context, p *Placer, name string, isOwn func(T) bool) error {
	back, version, err := read[T](ctx, p, name)
	if err != nil {
		return errors.Wrapf(errUndecided, "%s: %v", name, err)
	}
	applied := version > 0 && isOwn(back)
	p.log.Emit(evReadBack, "object", name, "applied", applied)
	if applied {
		return nil
	}
	return errors.Wrapf(platform.ErrConflict, "%s: update not found when read back", name)
}
