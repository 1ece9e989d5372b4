package kernel

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func TestPluginsAreListedByNamespace(t *testing.T) {
	Register(Plugin{ID: "test.b", New: func() any { return 2 }})
	Register(Plugin{ID: "test.a", New: func() any { return 1 }})
	Register(Plugin{ID: "tests.c", New: func() any { return 3 }})
	assert.DeepEqual(t, Plugins("test"), []PluginID{"test.a", "test.b"})
	p, ok := Lookup("test.b")
	assert.Assert(t, ok)
	assert.Equal(t, p.New(), 2)
	defer func() { assert.Assert(t, recover() != nil) }()
	Register(Plugin{ID: "test.a"})
}

func TestFullRingDropsAndCounts(t *testing.T) {
	r := NewRing[int](1)
	assert.Assert(t, r.Offer(1))
	assert.Assert(t, !r.Offer(2))
	assert.Equal(t, r.Dropped(), uint64(1))
	assert.Equal(t, <-r.C(), 1)
}

func TestFailedDutyEndsOthers(t *testing.T) {
	fault := errors.New("fault")
	waitForEnd := func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
	err := Run(t.Context(),
		Duty{Name: "waits", Run: waitForEnd},
		Duty{Name: "fails", Run: func(context.Context) error { return fault }},
	)
	assert.Assert(t, errors.Is(err, fault))
	assert.ErrorContains(t, err, "duty fails")
}

func TestQueuedEventsAreWrittenBeforeRunReturns(t *testing.T) {
	id := RegisterEvent(9999, hclog.Info, "something happened")
	var out bytes.Buffer
	log := NewEventLog(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	log.Emit(id, "key", "value")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, log.Run(ctx))
	assert.Assert(t, strings.Contains(out.String(), `"event":"MP9999"`), out.String())
	assert.Assert(t, strings.Contains(out.String(), `"key":"value"`), out.String())
}

func BenchmarkEmit(b *testing.B) {
	log := NewEventLog(hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = log.Run(ctx) }()
	for b.Loop() {
		log.Emit(9999, "request", "id", "target", "t", "took_us", 17)
	}
}
