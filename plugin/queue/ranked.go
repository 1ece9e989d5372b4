package queue

import (
	"container/heap"
	"time"

	"github.com/mangopost/mangopost/admission"
)

// agingFactor limits how long short requests may overtake others: an item ranks
// as if it had arrived this many times its service time later.
const agingFactor = 8

// rankFunc returns the rank of an item within its class; the lowest rank goes
// first.
type rankFunc func(admission.Item) time.Duration

func fifo(item admission.Item) time.Duration { return item.Arrived }

func lifo(item admission.Item) time.Duration { return -item.Arrived }

func shortFirst(item admission.Item) time.Duration {
	return item.Arrived + agingFactor*item.Expected
}

// rankedOrder starts the item with the lowest rank. Ties are broken by arrival.
type rankedOrder struct {
	rank    rankFunc
	classes map[admission.Class]*rankedHeap
	items   map[uint64]*rankedItem
	seq     uint64
}

type rankedItem struct {
	item  admission.Item
	rank  time.Duration
	seq   uint64
	index int
}

func newRankedOrder(r rankFunc) *rankedOrder {
	return &rankedOrder{
		rank: r,
		classes: map[admission.Class]*rankedHeap{
			admission.Short: {},
			admission.Long:  {},
		},
		items: make(map[uint64]*rankedItem),
	}
}

// Push implements admission.Order.
func (o *rankedOrder) Push(item admission.Item) {
	o.seq++
	entry := &rankedItem{item: item, rank: o.rank(item), seq: o.seq}
	o.items[item.ID] = entry
	heap.Push(o.classes[item.Class], entry)
}

// Pop implements admission.Order.
func (o *rankedOrder) Pop(ready admission.Ready) (admission.Item, bool) {
	class, ok := o.chooseClass(ready)
	if !ok {
		return admission.Item{}, false
	}
	entry := heap.Pop(o.classes[class]).(*rankedItem)
	delete(o.items, entry.item.ID)
	return entry.item, true
}

// Remove implements admission.Order.
func (o *rankedOrder) Remove(id uint64) {
	entry, held := o.items[id]
	if !held {
		return
	}
	delete(o.items, id)
	heap.Remove(o.classes[entry.item.Class], entry.index)
}

// Len implements admission.Order.
func (o *rankedOrder) Len() int { return len(o.items) }

func (o *rankedOrder) chooseClass(ready admission.Ready) (admission.Class, bool) {
	short, long := o.head(admission.Short, ready), o.head(admission.Long, ready)
	switch {
	case short == nil:
		return admission.Long, long != nil
	case long == nil || short.ranksBefore(long):
		return admission.Short, true
	default:
		return admission.Long, true
	}
}

func (o *rankedOrder) head(c admission.Class, ready admission.Ready) *rankedItem {
	waiting := *o.classes[c]
	if len(waiting) == 0 || !ready.Allows(c) {
		return nil
	}
	return waiting[0]
}

func (i *rankedItem) ranksBefore(other *rankedItem) bool {
	if i.rank != other.rank {
		return i.rank < other.rank
	}
	return i.seq < other.seq
}

type rankedHeap []*rankedItem

func (h rankedHeap) Len() int           { return len(h) }
func (h rankedHeap) Less(i, j int) bool { return h[i].ranksBefore(h[j]) }

func (h rankedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *rankedHeap) Push(x any) {
	entry := x.(*rankedItem)
	entry.index = len(*h)
	*h = append(*h, entry)
}

func (h *rankedHeap) Pop() any {
	old := *h
	last := len(old) - 1
	entry := old[last]
	old[last] = nil
	*h = old[:last]
	return entry
}
