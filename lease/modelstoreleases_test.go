package lease_test

import (
	"testing"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// In the exploration of store leases all shards move when their cell is cut off. The
// store leases are shorter than those of placers, so that many expire within a plan;
// gateways know only what voters report.
const (
	shortLease   = 1500 * time.Millisecond
	shortRenewal = 500 * time.Millisecond
)

// shortWait is how long a lease must stay unchanged before it is taken.
var shortWait = time.Duration(float64(shortLease) * (1 + lease.DefaultTiming.Drift) / (1 - lease.DefaultTiming.Drift))

// storeLease is a cell's lease object in the store.
type storeLease struct {
	version uint64
	takenBy string
}

// placerLeases is a placer's state for the store leases.
type placerLeases struct {
	isCurrent      bool // it wrote the newest version of its cell's lease, or updated the page on its return
	isHeld         bool
	version        uint64
	renewedAt      time.Duration // when its last renewal was sent, by its own reading
	pendingRenewal *time.Duration
	otherVersion   uint64 // version of the other cell's lease
	otherSince     time.Duration
	pendingPage    *ownership.Page // being written to the store
	baseWrite      uint64          // write number of the page that pendingPage is based on
}

// addStoreLeases gives the model two cells with store leases.
func addStoreLeases(w *model) {
	w.addFarCell()
	w.leases = map[string]*storeLease{cell: {}, farCell: {}}
	w.resyncHosts()
}

func (w *model) resyncHosts() {
	for _, h := range w.hosts {
		w.sync(h, h.record, h.page)
	}
}

// cutCells cuts a whole cell off from the store and the other cell, and reconnects it
// later; some of its hosts then keep the page that they had.
func (w *model) cutCells() {
	if w.leases == nil {
		return
	}
	w.catchUp()
	if w.noFailures || w.rng.IntN(150) > 0 {
		return
	}
	name := []string{cell, farCell}[w.rng.IntN(2)]
	cut := w.rng.IntN(3) > 0
	for _, h := range w.hosts {
		if h.cell != name {
			continue
		}
		h.isLagging = h.isStoreCutOff && !cut && w.rng.IntN(2) == 0
		h.isStoreCutOff = cut
		for _, other := range w.hosts {
			if other.cell != name && cut {
				w.cutLink(h, other.name)
			}
		}
	}
	if !cut {
		clear(w.cutLinks)
	}
}

// catchUp lets lagging hosts receive new pages again.
func (w *model) catchUp() {
	for _, h := range w.hosts {
		if h.isLagging && (w.noFailures || w.rng.IntN(200) == 0) {
			h.isLagging = false
		}
	}
}

// manageLeases performs a placer's work on the store leases.
func (w *model) manageLeases(h *host, now time.Duration) {
	if w.leases == nil {
		return
	}
	w.manageTakeover(h, now)
	if w.isFirstLiveHost(h) || w.rng.IntN(40) == 0 {
		w.manageOwnLease(h, now)
	}
}

// isFirstLiveHost reports whether no earlier host of the cell runs.
func (w *model) isFirstLiveHost(h *host) bool {
	for _, other := range w.hosts {
		if other.cell == h.cell && !other.placer.paused && !other.isStoreCutOff {
			return other == h
		}
	}
	return false
}

func (w *model) manageOwnLease(h *host, now time.Duration) {
	l, own := w.leases[h.cell], &h.leases
	switch {
	case own.pendingRenewal != nil:
		w.endRenewal(h, l)
	case !own.isCurrent:
		w.reclaimLease(h, l)
	case !own.isHeld || now-own.renewedAt >= shortRenewal:
		own.pendingRenewal = &now
	}
}

// reclaimLease takes back a lease that another cell took, writes the page and stops the
// epochs that the page no longer assigns to the cell.
func (w *model) reclaimLease(h *host, l *storeLease) {
	if l.takenBy != "" {
		l.version++
		l.takenBy = ""
		w.counts["reclaimed store leases"]++
	}
	page := w.store.page
	page.Stamp = w.stamp(h)
	w.putPage(h, page, nil)
	h.placer.voter.StopShards(service, ownership.SupersededStops(page, h.cell))
	h.leases.isCurrent = true
	h.leases.version = l.version
}

// endRenewal applies an update that was sent some steps earlier.
func (w *model) endRenewal(h *host, l *storeLease) {
	sent := *h.leases.pendingRenewal
	h.leases.pendingRenewal = nil
	if l.version != h.leases.version {
		h.leases.isCurrent = false
		h.leases.isHeld = false
		h.placer.voter.SetStoreLease(0)
		return
	}
	l.version++
	h.leases.version = l.version
	h.leases.isHeld = true
	h.leases.renewedAt = sent
	h.placer.voter.SetStoreLease(sent + shortLease)
}

// manageTakeover takes the other cell's lease when it has stayed unchanged long enough,
// and moves its shards some steps later.
func (w *model) manageTakeover(h *host, now time.Duration) {
	other, to := farCell, ownership.Place{Cell: cell, Target: plainTarget}
	if h.cell == farCell {
		other, to = cell, ownership.Place{Cell: farCell, Target: farTarget}
	}
	own := &h.leases
	if own.pendingPage != nil {
		if w.noFailures || w.rng.IntN(10) == 0 {
			w.endTakeover(h)
		}
		return
	}
	l := w.leases[other]
	if own.otherVersion != l.version {
		own.otherVersion = l.version
		own.otherSince = now
	}
	if l.version == 0 || l.takenBy != h.cell && now-own.otherSince < shortWait {
		return
	}
	w.beginTakeover(h, l, other, to)
}

func (w *model) beginTakeover(h *host, l *storeLease, other string, to ownership.Place) {
	page := w.store.page
	base := page.Stamp.Write
	for n, s := range allShards(page) {
		if s.Cell != other || s.Target == "" {
			continue
		}
		next, err := ownership.BeginFencedMove(page, uint32(n), to, w.change(h))
		if err != nil {
			w.fail("fenced move of shard %d to %+v: %v", n, to, err)
			return
		}
		page = next
	}
	if page.Stamp.Write == base {
		return
	}
	l.version++
	l.takenBy = h.cell
	h.leases.otherVersion = l.version
	h.leases.pendingPage = &page
	h.leases.baseWrite = base
}

func (w *model) endTakeover(h *host) {
	page := *h.leases.pendingPage
	h.leases.pendingPage = nil
	if w.store.page.Stamp.Write != h.leases.baseWrite {
		w.counts["store lease takeovers refused"]++
		return
	}
	page.Stamp = w.stamp(h)
	w.putPage(h, page, nil)
	w.counts["store lease takeovers"]++
}

func TestExplorationOfStoreLeases(t *testing.T) {
	t.Parallel()
	seen := explore(t, addStoreLeases)
	assertReached(t, seen, "store lease takeovers", "reclaimed store leases", "store lease takeovers refused", "gateway takeovers", "lost moves", "planned moves")
}
