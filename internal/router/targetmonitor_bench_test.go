package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/lease"
)

// BenchmarkHealthCheck checks a target that answers at once. It counts the allocations
// of both sides.
func BenchmarkHealthCheck(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	r := New(Config{Self: gatewayRun, Cell: "kl", Timing: lease.DefaultTiming}, nil, hclog.NewNullLogger())
	w := newWorker(r, &target{name: "t1", addr: server.Listener.Addr().String()}, testConfig(4).Templates[0])
	b.ReportAllocs()
	for b.Loop() {
		w.monitor.checkHealth(b.Context(), "")
	}
}
