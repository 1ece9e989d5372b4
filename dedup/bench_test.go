package dedup_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mangopost/mangopost/dedup"
)

// BenchmarkBeginAndFinish begins and finishes new keys in a full table.
func BenchmarkBeginAndFinish(b *testing.B) {
	table := newTable(8 << 20)
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%012d", i)
	}
	now := timeAt(time.Hour)
	answer := ranWith(string(make([]byte, 512)))
	i := 0
	runNewKey := func() {
		now = now.Add(100 * time.Microsecond)
		v := table.Begin(now, request(keys[i%len(keys)], now))
		table.Finish(now, v.Ticket, answer)
		i++
	}
	for range len(keys) {
		runNewKey()
	}
	b.ReportAllocs()
	for b.Loop() {
		runNewKey()
	}
	b.ReportMetric(float64(table.Stats().Entries), "keys")
}

// BenchmarkReplay repeats one key.
func BenchmarkReplay(b *testing.B) {
	table := newTable(8 << 20)
	now := timeAt(time.Hour)
	v := table.Begin(now, request("k", now))
	table.Finish(now, v.Ticket, ranWith("x"))
	b.ReportAllocs()
	for b.Loop() {
		if table.Begin(now, request("k", now)).Kind != dedup.Replay {
			b.Fatal("repeat of a finished key was not replayed")
		}
	}
}

// BenchmarkKeyMemory reports the heap bytes of a remembered key and the bytes that
// the table counts for it.
func BenchmarkKeyMemory(b *testing.B) {
	const entries = 20_000
	table := newTable(1 << 30)
	now := timeAt(time.Hour)
	before := heapBytes()
	for i := range entries {
		v := table.Begin(now, request(fmt.Sprintf("key-%012d", i), now))
		table.Finish(now, v.Ticket, dedup.Result{})
	}
	grown := heapBytes() - before
	for b.Loop() {
		table.Stats()
	}
	b.ReportMetric(float64(grown)/entries, "heap-B/key")
	b.ReportMetric(float64(table.Stats().Bytes)/entries, "counted-B/key")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
