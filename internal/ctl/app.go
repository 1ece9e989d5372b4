package ctl

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/ownership"
)

// App holds the dependencies and options of a command. Tests replace the
// dependencies by fakes.
type App struct {
	Store     platform.Store
	Out       io.Writer
	Operator  string
	JSON      bool
	Hosts     []string // glob patterns of the hosts' settings files
	Now       func() time.Time
	Sleep     func(ctx context.Context, d time.Duration)
	HTTP      *http.Client
	RequestID string // ID of the request made by this run of the command
}

// newRequestID returns a unique request ID.
func newRequestID() string { return "ctl-" + rand.Text() }

// newStamp returns the stamp that identifies this run's update of a record.
func (a *App) newStamp() ownership.Stamp {
	return ownership.Stamp{Host: "operator " + a.Operator, Incarnation: uint64(a.Now().UnixNano()), Write: 1}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
