package slopes

import (
	"fmt"
	"strings"
	"time"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

// Parameters of the measured table. A remembered answer has a body of 400 bytes
// and three headers.
const (
	dedupMaxBytes = 1 << 30
	dedupHorizon  = 10 * time.Minute
	answerBytes   = 400
)

var (
	dedupStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	dedupShard = ownership.ShardRef{Service: "pinjaman"}
)

func newDedupAnswer() *dedup.Answer {
	return &dedup.Answer{
		Status: 200,
		Headers: []dedup.Header{
			{Name: "Content-Type", Value: "application/json"},
			{Name: "Content-Length", Value: "400"},
			{Name: "Mangopost-Request-Id", Value: "r1234567890-00000001"},
		},
		Body: []byte(strings.Repeat("x", answerBytes)),
	}
}

// newDedupTable returns a table that remembers n finished requests.
func newDedupTable(n int, withAnswers bool) *dedup.Table {
	table := dedup.New(dedup.Config{Bytes: dedupMaxBytes, Horizon: dedupHorizon})
	table.Open(dedupStart, dedupShard)
	for i := range n {
		runDedupRequest(table, i, withAnswers)
	}
	return table
}

// runDedupRequest begins and finishes the i-th request.
func runDedupRequest(table *dedup.Table, i int, withAnswer bool) {
	now := dedupStart.Add(time.Second + time.Duration(i)*time.Microsecond)
	verdict := table.Begin(now, dedup.Request{
		Shard:     dedupShard,
		Client:    strings.Clone("desk-um"),
		Key:       fmt.Sprintf("k-r1234567890-%08d", i),
		FirstSent: now,
	})
	result := dedup.Result{Outcome: routing.OutcomeRan}
	if withAnswer {
		result.Answer = newDedupAnswer()
	}
	table.Finish(now, verdict.Ticket, result)
}

// Dedup measures a gateway's dedup table.
func Dedup() []Slope {
	ns := doubling(1<<10, 1<<16)
	countedBytes := func(n int) float64 { return float64(newDedupTable(n, true).Stats().Bytes) }
	liveHeap := func(withAnswers bool) func(n int) float64 {
		return func(n int) float64 { return heapBytes(func() any { return newDedupTable(n, withAnswers) }) }
	}
	requestCPU := func(n int) float64 {
		table, i := newDedupTable(n, false), n
		return cpuNS(func() {
			runDedupRequest(table, i, false)
			i++
		})
	}
	return []Slope{
		measureSlope("dedup, key and answer of 400 bytes", "key", "bytes of heap", ns, liveHeap(true)),
		measureSlope("dedup, key alone", "key", "bytes of heap", ns, liveHeap(false)),
		measureSlope("dedup, key and answer of 400 bytes", "key", "bytes as the table counts", ns, countedBytes),
		measureSlope("dedup, begin and finish one request", "key held", "ns of CPU", ns, requestCPU),
	}
}
