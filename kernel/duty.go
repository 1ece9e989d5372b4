package kernel

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Duty is a long-running task that runs in its own goroutine. Run returns when
// ctx ends; if it returns an error, the other duties of the same call of the
// package's Run are cancelled.
type Duty struct {
	Name string
	Run  func(ctx context.Context) error
}

// Run starts every duty and waits for all of them. It returns the first error,
// wrapped with the name of its duty.
func Run(ctx context.Context, duties ...Duty) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, d := range duties {
		group.Go(func() error {
			return errors.Wrapf(d.Run(ctx), "duty %s", d.Name)
		})
	}
	return group.Wait()
}
