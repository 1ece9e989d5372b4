package admission

import (
	"cmp"
	"time"
)

// entry is a request that waits or runs.
type entry struct {
	item         Item
	route        RouteID
	idempotent   bool
	wasPreempted bool // was started and then preempted
	isProbe      bool // starts regardless of the estimates

	older, newer *entry // neighbours in the list of waiting requests
}

// refusalReason returns the reason to report when the request is refused: a
// request that was started before must not be reported as not run.
func (e *entry) refusalReason(reason Reason) Reason {
	if e.wasPreempted {
		return ReasonPreempted
	}
	return reason
}

// clientShare counts the waiting requests of one client.
type clientShare struct {
	weight int
	count  int
	work   [numClasses]time.Duration
	seq    uint64 // increases with each new client; breaks ties deterministically
}

// waitingSet holds the waiting requests in order of arrival and counts them by
// client and class.
type waitingSet struct {
	byID           map[uint64]*entry
	oldest, newest *entry
	clients        map[string]*clientShare
	totalWeight    int // of all clients with waiting requests
	work           [numClasses]time.Duration
	shortCount     int
	lastClientSeq  uint64
}

func newWaitingSet() waitingSet {
	return waitingSet{
		byID:    make(map[uint64]*entry),
		clients: make(map[string]*clientShare),
	}
}

func (w *waitingSet) len() int { return len(w.byID) }

func (w *waitingSet) add(e *entry) {
	w.byID[e.item.ID] = e
	e.older, e.newer = w.newest, nil
	if w.newest == nil {
		w.oldest = e
	} else {
		w.newest.newer = e
	}
	w.newest = e
	w.adjustCounts(e.item, 1)
}

func (w *waitingSet) remove(e *entry) {
	delete(w.byID, e.item.ID)
	if e.older == nil {
		w.oldest = e.newer
	} else {
		e.older.newer = e.newer
	}
	if e.newer == nil {
		w.newest = e.older
	} else {
		e.newer.older = e.older
	}
	e.older, e.newer = nil, nil
	w.adjustCounts(e.item, -1)
}

// adjustCounts adds (sign 1) or subtracts (sign -1) an item.
func (w *waitingSet) adjustCounts(item Item, sign int) {
	work := time.Duration(sign) * cmp.Or(item.Mean, item.Expected)
	w.work[item.Class] += work
	if item.Class == Short {
		w.shortCount += sign
	}
	client := w.clientFor(item)
	client.count += sign
	client.work[item.Class] += work
	if client.count == 0 {
		w.totalWeight -= client.weight
		delete(w.clients, item.Client)
	}
}

func (w *waitingSet) clientFor(item Item) *clientShare {
	client := w.clients[item.Client]
	if client != nil {
		return client
	}
	w.lastClientSeq++
	client = &clientShare{weight: item.Weight, seq: w.lastClientSeq}
	w.clients[item.Client] = client
	w.totalWeight += client.weight
	return client
}

// heaviest returns the client with the most waiting requests for its weight.
func (w *waitingSet) heaviest() (string, *clientShare) {
	var name string
	var most *clientShare
	for candidate, client := range w.clients {
		if most == nil || client.heavierThan(most) {
			name, most = candidate, client
		}
	}
	return name, most
}

func (s *clientShare) heavierThan(other *clientShare) bool {
	load, otherLoad := s.count*other.weight, other.count*s.weight
	if load != otherLoad {
		return load > otherLoad
	}
	return s.seq < other.seq
}

// newestOf returns the newest waiting request of a client, or nil.
func (w *waitingSet) newestOf(client string) *entry {
	for e := w.newest; e != nil; e = e.older {
		if e.item.Client == client {
			return e
		}
	}
	return nil
}
