package wire

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

// BenchmarkExchange measures the exchange of a request and its answer over loopback,
// without any processing. cpu-us/op covers both ends.
func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := Server{Self: bob, Handler: echo}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = server.Serve(ctx, l) }()
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	addr := l.Addr().String()
	const callers = 16
	b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
	f := &pb.Frame{Body: &pb.Frame_Forward{Forward: &pb.Forward{
		Id: "0123456789abcdef01234567", Client: "usm", Service: "katalog", Method: "GET", Path: "/a", Key: "k1", Target: "t1",
	}}}
	before := cpuTime(b)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			stream, err := dialer.RequestStream(ctx, addr)
			if err != nil {
				b.Error(err)
				return
			}
			if err := stream.Send(f); err != nil {
				b.Error(err)
				return
			}
			if _, err := stream.Recv(); err != nil {
				b.Error(err)
				return
			}
			dialer.Release(addr, stream)
		}
	})
	b.ReportMetric(float64(cpuTime(b)-before)/1e3/float64(b.N), "cpu-us/op")
}

// cpuTime returns the processor time of this process in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return usage.Utime.Nano() + usage.Stime.Nano()
}
