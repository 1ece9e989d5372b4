package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
)

// maxViewWatchWait bounds a watch whose context has no deadline.
const maxViewWatchWait = 10 * time.Second

// view is the platform's store for one caller. A cut call or a lost answer gives
// the same error as through the HTTP client.
type view struct {
	platform *Platform
	caller   string
}

var _ platform.Store = view{}

func (v view) Get(ctx context.Context, name string) (platform.Object, error) {
	if err := platform.CheckName(name); err != nil {
		return platform.Object{}, err
	}
	obj, err := v.platform.get(ctx, v.caller, name)
	return obj, mapReadError(err)
}

func (v view) Put(ctx context.Context, name string, expected uint64, value json.RawMessage) (uint64, error) {
	if err := platform.CheckName(name); err != nil {
		return 0, err
	}
	version, err := v.platform.put(ctx, v.caller, name, expected, value)
	if err != nil {
		return 0, mapWriteError(err)
	}
	return version, nil
}

func (v view) Delete(ctx context.Context, name string, expected uint64) error {
	if err := platform.CheckName(name); err != nil {
		return err
	}
	_, err := v.platform.remove(ctx, v.caller, name, expected)
	return mapWriteError(err)
}

func (v view) List(ctx context.Context, prefix string) (platform.Batch, error) {
	batch, err := v.platform.list(ctx, v.caller, prefix)
	return batch, mapReadError(err)
}

func (v view) Watch(ctx context.Context, prefix string, revision uint64) (platform.Batch, error) {
	batch, err := v.platform.watch(ctx, v.caller, prefix, revision, maxViewWatchWait)
	return batch, mapReadError(err)
}

func (v view) Since(ctx context.Context, prefix string, revision uint64) (platform.Batch, error) {
	batch, err := v.platform.watch(ctx, v.caller, prefix, revision, 0)
	return batch, mapReadError(err)
}

func (v view) Hosts(ctx context.Context) ([]platform.TargetHost, error) {
	hosts, err := v.platform.listHosts(ctx, v.caller)
	return hosts, mapReadError(err)
}

func mapReadError(err error) error {
	if errors.Is(err, errCut) {
		return errors.Wrap(platform.ErrUnavailable, "link cut")
	}
	return err
}

func mapWriteError(err error) error {
	if errors.Is(err, errCut) {
		return errors.Wrap(platform.ErrUncertain, "link cut")
	}
	return err
}
