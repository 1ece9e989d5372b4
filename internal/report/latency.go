package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	minLatencyUS      = 1
	maxLatencyUS      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Quantiles summarises latencies, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// QuantilesOf returns the quantiles of latencies, which are clamped to the range
// from 1 us to 10 minutes.
func QuantilesOf(latencies []time.Duration) Quantiles {
	h := hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)
	for _, l := range latencies {
		us := min(max(l.Microseconds(), minLatencyUS), maxLatencyUS)
		_ = h.RecordValue(us) // cannot fail: the value is within the histogram's range
	}
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean() / 1000,
		P50:   millis(h.ValueAtQuantile(50)),
		P90:   millis(h.ValueAtQuantile(90)),
		P99:   millis(h.ValueAtQuantile(99)),
		P999:  millis(h.ValueAtQuantile(99.9)),
		Max:   millis(h.Max()),
	}
}

func millis(us int64) float64 { return float64(us) / 1000 }
