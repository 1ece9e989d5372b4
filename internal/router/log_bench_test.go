package router

import (
	"context"
	"io"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/kernel"
)

// BenchmarkLogLines measures the two log lines of one request, at its ingress and at
// its gateway. cpu-us/op includes the caller and the log's duty.
func BenchmarkLogLines(b *testing.B) {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	assert.NilError(b, err)
	defer null.Close()
	text := hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Info})
	for _, c := range []struct {
		name   string
		logger hclog.Logger
	}{
		{"JSON to null device", kernel.NewJSONLogger("", hclog.Info, null)},
		{"JSON to nowhere", kernel.NewJSONLogger("", hclog.Info, io.Discard)},
		{"text to nowhere", text},
		{"level warn", kernel.NewJSONLogger("", hclog.Warn, io.Discard)},
		{"null logger", hclog.NewNullLogger()},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkLogLines(b, c.logger) })
	}
}

func benchmarkLogLines(b *testing.B, logger hclog.Logger) {
	r := New(Config{Self: ingressRun, Cell: "kl", DedupBytes: 1 << 20}, nil, logger)
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.log.Run(ctx) }()
	f := &pb.Forward{
		Id: "0123456789abcdef01234567", Client: "usm", Service: "katalog", Key: "k1234567", Shard: 5, OwnerEpoch: 9, Target: "t1",
	}
	q := &ingressRequest{forward: f}
	req := &admitted{forward: f, owner: 9, epoch: 3, worker: &worker{name: "t1"}}
	a := &pb.Answer{Outcome: pb.Outcome_OUTCOME_RAN, Status: 200}
	cpu := processTime(b)
	for i := range b.N {
		r.logRouted(q, a, time.Millisecond)
		r.logRun(req, a, time.Millisecond, time.Millisecond)
		if i%256 == 0 { // lets the log duty empty the ring, so that a full ring is not measured
			runtime.Gosched()
			time.Sleep(10 * time.Millisecond)
		}
	}
	cancel()
	assert.NilError(b, <-ended)
	cpu = processTime(b) - cpu
	b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(r.log.Dropped())/float64(b.N), "dropped/op")
}
