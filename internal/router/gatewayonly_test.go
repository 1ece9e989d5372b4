package router

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// A router without listeners for callers still serves as a gateway for other hosts.
func TestRouterWithoutCallerListenersKeepsRunning(t *testing.T) {
	cfg := Config{Self: lease.Incarnation{Host: "kl-9", Run: 1}, Cell: "kl", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0", Placers: []string{refusingAddr}, Timing: lease.DefaultTiming}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- New(cfg, nil, hclog.NewNullLogger()).Run(ctx) }()
	select {
	case err := <-ended:
		t.Fatalf("the router ended before its context: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	cancel()
	assert.NilError(t, <-ended)
}
