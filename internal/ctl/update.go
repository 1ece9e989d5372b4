package ctl

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
)

const (
	maxUpdateAttempts = 8
	retryInterval     = 250 * time.Millisecond
)

// errUnchanged is returned by a change function if there is nothing to write.
var errUnchanged = errors.New("nothing to write")

// object is a decoded object of the store. Version is 0 if it does not exist.
type object[T any] struct {
	Version uint64
	Value   T
}

// read returns a decoded object; an object that does not exist has version 0.
func read[T any](ctx context.Context, a *App, name string) (object[T], error) {
	raw, err := a.Store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return object[T]{}, nil
	}
	if err != nil {
		return object[T]{}, errors.Wrapf(err, "read %s", name)
	}
	return decode[T](raw)
}

func decode[T any](raw platform.Object) (object[T], error) {
	got := object[T]{Version: raw.Version}
	err := json.Unmarshal(raw.Value, &got.Value)
	return got, errors.Wrapf(err, "decode %s", raw.Name)
}

// list returns all decoded objects under a prefix.
func list[T any](ctx context.Context, a *App, prefix string) ([]T, error) {
	batch, err := a.Store.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", prefix)
	}
	values := make([]T, len(batch.Objects))
	for i, o := range batch.Objects {
		if err := json.Unmarshal(o.Value, &values[i]); err != nil {
			return nil, errors.Wrapf(err, "decode %s", o.Name)
		}
	}
	return values, nil
}

// update changes an object by conditional updates. change computes the next value
// from the current one; isApplied reports whether a value includes the change.
type update[T any] struct {
	name      string
	change    func(now object[T]) (T, error)
	isApplied func(value T) bool
}

// run repeats the update until it is accepted or refused. After an attempt whose
// answer was lost, it reads the object again: as every attempt expects the version
// that it read, at most one of them takes effect.
func (u update[T]) run(ctx context.Context, a *App) (T, error) {
	var uncertainErr error   // error of the latest attempt whose answer was lost
	var uncertainBase uint64 // version that this attempt expected
	var lastErr error
	for attempt := range maxUpdateAttempts {
		if attempt > 0 {
			a.Sleep(ctx, retryInterval)
		}
		current, err := read[T](ctx, a, u.name)
		if err != nil {
			if uncertainErr == nil {
				return current.Value, err
			}
			lastErr = err
			continue
		}
		if uncertainErr != nil && u.isApplied(current.Value) {
			return current.Value, nil
		}
		next, err := u.change(current)
		if errors.Is(err, errUnchanged) {
			return current.Value, nil
		}
		if err != nil && uncertainErr != nil && current.Version == uncertainBase {
			// The lost attempt may still arrive and be accepted.
			return current.Value, &unknownOutcomeError{object: u.name, request: a.RequestID, cause: err}
		}
		if err != nil {
			return current.Value, err
		}
		err = u.put(ctx, a, current.Version, next)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, platform.ErrUncertain):
			uncertainErr, lastErr, uncertainBase = err, err, current.Version
		case errors.Is(err, platform.ErrConflict):
			lastErr = err
		case uncertainErr == nil:
			return current.Value, err
		default:
			lastErr = err
		}
	}
	var zero T
	if uncertainErr != nil {
		return zero, &unknownOutcomeError{object: u.name, request: a.RequestID, cause: lastErr}
	}
	return zero, lastErr
}

func (u update[T]) put(ctx context.Context, a *App, expected uint64, value T) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", u.name)
	}
	_, err = a.Store.Put(ctx, u.name, expected, raw)
	return errors.Wrapf(err, "write %s", u.name)
}
