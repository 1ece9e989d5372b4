package admission

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// shortClassWeight and longClassWeight are the weights of the two classes
	// while both wait: long work gets a fifth of the target's time.
	shortClassWeight = 4
	longClassWeight  = 1

	// defaultCost is the assumed service time of a route without learned times.
	defaultCost = time.Millisecond

	// maxIdleClients is the number of clients without waiting requests whose
	// past usage is kept.
	maxIdleClients = 1024
)

// FairOrder is the default order. It shares the target's time between short and
// long work, and within each class between clients by weight, using start-time
// fair queueing: the virtual start of an item is the virtual start of the
// client's previous item plus that item's service time divided by the client's
// weight, but not before the virtual time of its class. The item with the
// lowest virtual start goes first, so no item starves.
type FairOrder struct {
	classes     [numClasses]fairClass
	finish      [numClasses]float64 // virtual time at which each class has received its share
	virtualTime float64
	items       map[uint64]*fairItem
}

// NewFairOrder returns an empty order.
func NewFairOrder() *FairOrder {
	return &FairOrder{items: make(map[uint64]*fairItem)}
}

// Push implements Order.
func (o *FairOrder) Push(item Item) {
	class := &o.classes[item.Class]
	if class.heap.Len() == 0 {
		o.finish[item.Class] = max(o.finish[item.Class], o.virtualTime)
	}
	o.items[item.ID] = class.push(item)
}

// Pop implements Order.
func (o *FairOrder) Pop(ready Ready) (Item, bool) {
	class, ok := o.chooseClass(ready)
	if !ok {
		return Item{}, false
	}
	next := o.classes[class].pop()
	delete(o.items, next.item.ID)
	o.virtualTime = max(o.virtualTime, o.finish[class])
	o.finish[class] += itemCostSeconds(next.item) / classWeight(class)
	return next.item, true
}

// Remove implements Order.
func (o *FairOrder) Remove(id uint64) {
	item, held := o.items[id]
	if !held {
		return
	}
	delete(o.items, id)
	o.classes[item.item.Class].remove(item)
}

// Len implements Order.
func (o *FairOrder) Len() int { return len(o.items) }

// chooseClass returns the next class to serve among those that have waiting
// items and may start.
func (o *FairOrder) chooseClass(ready Ready) (Class, bool) {
	short := ready.Short && o.classes[Short].heap.Len() > 0
	long := ready.Long && o.classes[Long].heap.Len() > 0
	switch {
	case short && long:
		if o.finish[Long] < o.finish[Short] {
			return Long, true
		}
		return Short, true
	case short:
		return Short, true
	default:
		return Long, long
	}
}

func classWeight(c Class) float64 {
	if c == Long {
		return longClassWeight
	}
	return shortClassWeight
}

// itemCostSeconds returns the expected service time of an item in seconds.
func itemCostSeconds(item Item) float64 {
	return cmp.Or(item.Mean, item.Expected, defaultCost).Seconds()
}

// fairClass shares one class between clients.
type fairClass struct {
	heap        fairHeap
	clients     map[string]*fairClient
	virtualTime float64 // virtual start of the most recently popped item
	seq         uint64
}

type fairClient struct {
	finish  float64 // virtual finish of its newest item
	waiting int
}

type fairItem struct {
	item          Item
	start, finish float64
	seq           uint64
	index         int
}

func (c *fairClass) push(item Item) *fairItem {
	client := c.clientFor(item.Client)
	start := max(c.virtualTime, client.finish)
	c.seq++
	entry := &fairItem{
		item:   item,
		start:  start,
		finish: start + itemCostSeconds(item)/float64(max(item.Weight, 1)),
		seq:    c.seq,
	}
	client.finish = entry.finish
	client.waiting++
	heap.Push(&c.heap, entry)
	return entry
}

func (c *fairClass) pop() *fairItem {
	entry := heap.Pop(&c.heap).(*fairItem)
	c.virtualTime = entry.start
	c.releaseClientItem(entry.item.Client)
	return entry
}

func (c *fairClass) remove(entry *fairItem) {
	heap.Remove(&c.heap, entry.index)
	client := c.clients[entry.item.Client]
	if client.finish == entry.finish {
		client.finish = entry.start
	}
	c.releaseClientItem(entry.item.Client)
}

func (c *fairClass) clientFor(name string) *fairClient {
	client := c.clients[name]
	if client != nil {
		return client
	}
	if c.clients == nil {
		c.clients = make(map[string]*fairClient)
	}
	client = &fairClient{}
	c.clients[name] = client
	return client
}

// releaseClientItem updates the client's count after one of its items was
// popped or removed, and drops the client once its past usage no longer
// matters.
func (c *fairClass) releaseClientItem(name string) {
	client := c.clients[name]
	client.waiting--
	if client.waiting == 0 && client.finish <= c.virtualTime {
		delete(c.clients, name)
	}
	if c.heap.Len() == 0 {
		clear(c.clients)
		return
	}
	if len(c.clients) > c.heap.Len()+maxIdleClients {
		c.dropIdleClients()
	}
}

// dropIdleClients drops the clients without waiting items.
func (c *fairClass) dropIdleClients() {
	for name, client := range c.clients {
		if client.waiting == 0 {
			delete(c.clients, name)
		}
	}
}

// fairHeap orders items by virtual start, then by arrival.
type fairHeap []*fairItem

func (h fairHeap) Len() int { return len(h) }

func (h fairHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}

func (h fairHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *fairHeap) Push(x any) {
	entry := x.(*fairItem)
	entry.index = len(*h)
	*h = append(*h, entry)
}

func (h *fairHeap) Pop() any {
	old := *h
	last := len(old) - 1
	entry := old[last]
	old[last] = nil
	*h = old[:last]
	return entry
}
