package queue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/kernel"
)

func TestPopOrder(t *testing.T) {
	items := []admission.Item{
		{ID: 1, Client: "a", Class: admission.Long, Expected: 100 * time.Millisecond, Arrived: 1},
		{ID: 2, Client: "a", Expected: 10 * time.Millisecond, Arrived: 2},
		{ID: 3, Client: "a", Expected: 10 * time.Millisecond, Arrived: 3},
	}
	tests := []struct {
		id   kernel.PluginID
		want []uint64
	}{
		{FIFO, []uint64{1, 2, 3}},
		{PlainFIFO, []uint64{1, 2, 3}},
		{LIFO, []uint64{3, 2, 1}},
		{ShortFirst, []uint64{2, 3, 1}},
		{Fair, []uint64{2, 1, 3}},
	}
	for _, tt := range tests {
		t.Run(string(tt.id), func(t *testing.T) {
			order, ok := New(tt.id)
			assert.Assert(t, ok)
			for _, item := range items {
				order.Push(item)
			}
			var got []uint64
			for {
				item, ok := order.Pop(admission.Ready{Short: true, Long: true})
				if !ok {
					break
				}
				got = append(got, item.ID)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func TestNewRejectsUnknownID(t *testing.T) {
	_, ok := New("queue.none")
	assert.Assert(t, !ok)
}

// TestPlainOrderConfiguresItsQueue checks that a queue applies the plain
// order's settings when it gets that order, and drops them when it gets
// another.
func TestPlainOrderConfiguresItsQueue(t *testing.T) {
	order := func(id kernel.PluginID) admission.Order {
		o, ok := New(id)
		assert.Assert(t, ok)
		return o
	}
	cfg := admission.Config{Slots: 3, Limit: 9, Order: order(PlainFIFO)}
	q := admission.New(cfg)
	assert.Equal(t, q.Stats().Concurrency, 3, "a plain queue has no slow start")
	cfg.Order = order(Fair)
	q.Reconfigure(0, cfg)
	q.MarkCold(0)
	assert.Equal(t, q.Stats().Concurrency, 1)
	cfg.Order = order(PlainFIFO)
	q.Reconfigure(0, cfg)
	assert.Equal(t, q.Stats().Concurrency, 3)
}

// TestOrdersReturnEachHeldItemOnce checks that an order returns each held item
// once and unchanged, counts the items it holds, and does not start a class that
// may not start.
func TestOrdersReturnEachHeldItemOnce(t *testing.T) {
	ids := kernel.Plugins("queue")
	rapid.Check(t, func(t *rapid.T) {
		order, _ := New(rapid.SampledFrom(ids).Draw(t, "order"))
		held := make(map[uint64]admission.Item)
		for id := uint64(1); id < 60; id++ {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				item := admission.Item{
					ID:       id,
					Client:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client"),
					Class:    admission.Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Expected: time.Duration(rapid.IntRange(0, 100).Draw(t, "expected")) * time.Millisecond,
					Arrived:  time.Duration(id),
				}
				held[id] = item
				order.Push(item)
			case 2:
				removed := uint64(rapid.IntRange(1, 60).Draw(t, "gone"))
				order.Remove(removed)
				delete(held, removed)
			default:
				ready := admission.Ready{Short: true, Long: rapid.Bool().Draw(t, "long")}
				item, ok := order.Pop(ready)
				if ok {
					assert.DeepEqual(t, held[item.ID], item)
					assert.Assert(t, ready.Allows(item.Class))
					delete(held, item.ID)
				}
			}
			assert.Equal(t, order.Len(), len(held))
		}
	})
}
