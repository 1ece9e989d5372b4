package main

import (
	"maps"
	"slices"
)

// addWaiting draws the page of a request that arrived and adds it to the waiting
// requests.
func (d *driver) addWaiting(id uint64, r *request) {
	if d.zipf == nil {
		return
	}
	r.page = d.zipf.Uint64()
	if d.waitingByPage[r.page] == nil {
		d.waitingByPage[r.page] = make(map[uint64]bool)
	}
	d.waitingByPage[r.page][id] = true
}

func (d *driver) removeWaiting(id uint64, r *request) {
	delete(d.waitingByPage[r.page], id)
	if len(d.waitingByPage[r.page]) == 0 {
		delete(d.waitingByPage, r.page)
	}
}

// joinIdentical removes the requests identical to r from the queue. The run of r
// answers them.
func (d *driver) joinIdentical(r *request) {
	if !d.load.joinIdentical {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(d.waitingByPage[r.page])) {
		other := d.pending[id]
		d.removeWaiting(id, other)
		delete(d.pending, id)
		d.result.joinedCount++
		r.joined = append(r.joined, other)
		d.apply(d.queue.Cancel(d.now, id))
	}
}
