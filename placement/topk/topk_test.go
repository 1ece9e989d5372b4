package topk

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Counts are never too low and too high by at most the error, and every key with
// more than total/size occurrences has a counter.
func TestCountsStayWithinErrorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		sketch := New(size)
		exact := make(map[string]uint64)
		for range rapid.IntRange(0, 300).Draw(t, "adds") {
			key := fmt.Sprint(min(rapid.IntRange(0, 30).Draw(t, "a"), rapid.IntRange(0, 30).Draw(t, "b")))
			n := uint64(rapid.IntRange(1, 3).Draw(t, "n"))
			sketch.Add(key, n)
			exact[key] += n
		}
		held := make(map[string]bool)
		for _, item := range sketch.Top(size) {
			held[item.Key] = true
			assert.Assert(t, item.Count >= exact[item.Key])
			assert.Assert(t, item.Count-item.Error <= exact[item.Key])
		}
		assert.Assert(t, sketch.Len() <= size)
		for key, n := range exact {
			if n > sketch.Total()/uint64(size) {
				assert.Assert(t, held[key], "%s with %d of %d", key, n, sketch.Total())
			}
		}
	})
}

func TestTopOrdersByCountAndHalveRemovesRareKeys(t *testing.T) {
	sketch := New(3)
	sketch.Add("b", 4)
	sketch.Add("a", 4)
	sketch.Add("c", 1)
	assert.DeepEqual(t, sketch.Top(2), []Item{{Key: "a", Count: 4}, {Key: "b", Count: 4}})
	sketch.Halve()
	assert.DeepEqual(t, sketch.Top(9), []Item{{Key: "a", Count: 2}, {Key: "b", Count: 2}})
	sketch.Add("d", 3)
	assert.Equal(t, sketch.Top(1)[0].Key, "d")
}

func BenchmarkAdd(b *testing.B) {
	sketch := New(256)
	keys := make([]string, 4096)
	for i := range keys {
		keys[i] = fmt.Sprintf("isbn-%d", i*i%4093)
	}
	b.ReportAllocs()
	for i := range b.N {
		sketch.Add(keys[i*i%len(keys)], 1)
	}
}
