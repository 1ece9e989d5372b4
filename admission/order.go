package admission

import "time"

// Class separates requests by their expected service time.
type Class uint8

const (
	// Short requests may use every slot.
	Short Class = iota
	// Long requests must leave the reserved slots free, and so must stragglers.
	Long

	numClasses = 2
)

// Item is a waiting request as an Order sees it.
type Item struct {
	ID           uint64
	Client       string
	Weight       int
	Class        Class
	Expected     time.Duration // learned median service time, 0 if unknown
	HighEstimate time.Duration // service time that few short requests of the route exceed, 0 if unknown
	Mean         time.Duration // learned mean time in a slot, 0 if unknown
	Arrived      time.Duration
	Deadline     time.Duration // 0: none
}

// Ready says which classes may start a request now.
type Ready struct {
	Short, Long bool
}

// Allows reports whether a request of class c may start.
func (r Ready) Allows(c Class) bool {
	if c == Long {
		return r.Long
	}
	return r.Short
}

// Configurer is an Order that also changes the configuration of its queue.
type Configurer interface {
	Order
	Configure(*Config)
}

// Order holds the waiting requests and picks the next one. It is the extension
// point of the plug-ins "queue.*". An Order belongs to one Queue.
type Order interface {
	// Push adds an item. Its ID must not be among those held.
	Push(Item)
	// Pop removes and returns the next item of a class that may start.
	Pop(Ready) (Item, bool)
	// Remove removes an item, if it is held.
	Remove(id uint64)
	// Len returns the number of items held.
	Len() int
}
