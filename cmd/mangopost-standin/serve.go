package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/kernel"
)

const headerTimeout = 10 * time.Second

// newLog returns an event log that writes to standard error.
func newLog(name string) *kernel.EventLog {
	return kernel.NewEventLog(hclog.New(&hclog.LoggerOptions{Name: name, Output: os.Stderr}))
}

// runUntilSignal runs a task and the writer of its event log until SIGINT or SIGTERM.
func runUntilSignal(log *kernel.EventLog, task func(ctx context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return kernel.Run(ctx, kernel.Duty{Name: "log", Run: log.Run}, kernel.Duty{Name: "serve", Run: task})
}

// serve serves HTTP on addr until ctx ends.
func serve(ctx context.Context, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve on %s", addr)
}
