package router

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/kernel"
)

const (
	benchCallers     = 16
	benchBodyBytes   = 256
	benchAnswerBytes = 512
)

// cost holds the average time, processor time and allocations of one request.
type cost struct {
	latency, cpu time.Duration // cpu counts the whole process
	allocs       float64
}

// BenchmarkPath compares requests that go to a target directly with requests that go
// through an ingress and a gateway on two hosts, all in one process. The difference is
// the cost of the path. cpu-us/op is the processor time, user and system, of the
// caller, both hosts and the target.
func BenchmarkPath(b *testing.B) {
	// Both routers set this value; caller and target share their process.
	debug.SetGCPercent(maxGCPercent)
	var direct cost
	b.Run("direct", func(b *testing.B) {
		server := httptest.NewServer(benchTarget())
		defer server.Close()
		direct = measure(b, server.URL+"/a", http.MethodGet, 0)
	})
	json := func() hclog.Logger {
		return kernel.NewJSONLogger("", hclog.Info, io.Discard)
	}
	for _, c := range []struct {
		name, method string
		bytes        int
		logger       hclog.Logger
	}{
		{"two hops, JSON log", http.MethodGet, 0, json()},
		{"two hops, log off", http.MethodGet, 0, hclog.NewNullLogger()},
		{"two hops, once, JSON log", http.MethodPost, benchBodyBytes, json()},
	} {
		b.Run(c.name, func(b *testing.B) {
			p := startPair(b, benchTarget(), pairOptions{
				listener: Listener{TrustClientHeader: true, MaxBodyBytes: 1 << 20},
				logger:   c.logger,
			})
			through := measure(b, "http://"+p.callers+"/katalog/a", c.method, c.bytes)
			b.ReportMetric(float64((through.cpu-direct.cpu).Nanoseconds())/1e3, "added-cpu-us/op")
			b.ReportMetric(float64((through.latency-direct.latency).Nanoseconds())/1e3, "added-us/op")
			b.ReportMetric(through.allocs-direct.allocs, "added-allocs/op")
			b.ReportMetric(float64(through.cpu)/float64(direct.cpu), "cpu-ratio")
		})
	}
}

// benchTarget returns a target that echoes the request ID, as required, and answers
// with a small body.
func benchTarget() http.Handler {
	answer := bytes.Repeat([]byte("a"), benchAnswerBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		_, _ = w.Write(answer)
	})
}

func measure(b *testing.B, url, method string, bodyBytes int) cost {
	transport := &http.Transport{MaxIdleConnsPerHost: benchCallers}
	defer transport.CloseIdleConnections()
	body := bytes.Repeat([]byte("b"), bodyBytes)
	var n, totalLatency atomic.Int64
	sendRequest := func() {
		request, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			b.Error(err)
			return
		}
		i := strconv.FormatInt(n.Add(1), 10)
		request.Header.Set(headerClient, "usm")
		request.Header.Set(headerKey, "k"+i)
		if bodyBytes > 0 {
			request.Header.Set(headerIdempotency, "i"+i)
			request.Header.Set(headerAttempt, "1")
		}
		began := time.Now()
		response, err := transport.RoundTrip(request)
		if err != nil {
			b.Error(err)
			return
		}
		size, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		totalLatency.Add(int64(time.Since(began)))
		if err != nil || response.StatusCode != http.StatusOK || size != benchAnswerBytes {
			b.Errorf("status %d, %d bytes, %v", response.StatusCode, size, err)
		}
	}
	for range 4 * benchCallers {
		sendRequest()
	}
	totalLatency.Store(0)
	b.SetParallelism(max(1, benchCallers/runtime.GOMAXPROCS(0)))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sendRequest()
		}
	})
	b.StopTimer()
	cpu = processTime(b) - cpu
	runtime.ReadMemStats(&after)
	c := cost{
		latency: time.Duration(totalLatency.Load() / int64(b.N)),
		cpu:     cpu / time.Duration(b.N),
		allocs:  float64(after.Mallocs-before.Mallocs) / float64(b.N),
	}
	b.ReportMetric(float64(c.cpu.Nanoseconds())/1e3, "cpu-us/op")
	b.ReportMetric(float64(c.latency.Nanoseconds())/1e3, "latency-us/op")
	b.ReportMetric(c.allocs, "process-allocs/op")
	return c
}

// processTime returns the user and system time that this process has used.
func processTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
