package grants_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

const (
	orderTimeout = 600 * time.Millisecond
	longHold     = 7 * time.Second
	// takeoverMargin is the least time between the last order of a coordinator that
	// lost its lease and the next coordinator's start.
	takeoverMargin = 400 * time.Millisecond
	leaseTerm      = 2500 * time.Millisecond
	searchSteps    = 400
	// maxWriteDelay is how long after it was sent the store may carry out a write that it
	// did not answer.
	maxWriteDelay = 6 * time.Second
	// restoreInterval is the mean number of steps between two returns of the store from a
	// copy apart from those after a move: with fewer, keys rarely move before the next one.
	restoreInterval = 120
)

// process is a running target at an address, with its hold of the one key.
type process struct {
	owner     keyrange.Owner
	fence     uint64 // highest fence seen
	holdFence uint64
	until     time.Duration
}

// order is an order on its way.
type order struct {
	isRelease bool
	owner     keyrange.Owner
	fence     uint64
	hold      time.Duration
	sentAt    time.Duration
	arrival   time.Duration
	answer    time.Duration // 0 if no answer comes
	isRefused bool          // the path refuses the connection
	delay     time.Duration // between the arrival and the application of a grant
	transfer  *grants.Transfer
	term      int
	arrived   bool
	err       outcome
	done      bool
}

// holdOf returns the owner's hold of the one key.
func holdOf(o keyrange.Owner) grants.Hold {
	return grants.Hold{Service: "s", Owner: o, To: keyrange.MaxKey}
}

type outcome int

const (
	accepted  outcome = iota
	refused           // no connection
	elsewhere         // another target answered
	fenced
)

// lateGrant is a grant that arrived and is applied later.
type lateGrant struct {
	to    *process
	fence uint64
	at    time.Duration
	until time.Duration
}

// searchWorld has one key, targets that start and end at a few addresses, and one
// coordinator at a time that moves the key by the ledger's decisions.
type searchWorld struct {
	random    *rand.Rand
	now       time.Duration
	processes map[string]*process // by address
	late      []lateGrant
	orders    []*order
	runs      int64

	term      int
	startsAt  time.Duration // of the coordinator, if in the future
	ledger    *grants.Ledger
	owner     keyrange.Owner
	fence     uint64
	prev      []keyrange.Previous
	transfers []*grants.Transfer
	free      []bool
	releasing []bool
	granting  bool

	known    []keyrange.Owner // every run that a listing, however old, may show
	refusals map[keyrange.Owner]int
	absences map[keyrange.Owner]bool
	trace    []string
	rules    searchRules

	era        uint64
	moved      bool        // a move has just been completed, which a restore may undo
	copies     []storedMap // what the store held, oldest first; their number is its revision
	hasMap     bool        // the coordinator's map need not be read again
	version    int         // revision of the map that the coordinator has
	highest    uint64      // highest fence of a map that this coordinator read or wrote
	hasWritten bool        // this coordinator has tried to write a map
	lateWrites []lateWrite
	cutOff     []*cutOffCoordinator
}

// storedMap is the store's object with the owner of the key.
type storedMap struct {
	owner keyrange.Owner
	fence uint64
	prev  []keyrange.Previous
}

// lateWrite is a write without an answer, which the store carries out later if it still
// has the revision that it is conditional on.
type lateWrite struct {
	at      time.Duration
	version int
	next    storedMap
}

// cutOffCoordinator does not learn that the store came back from a copy: it renews its
// grants until its lease ends.
type cutOffCoordinator struct {
	owner keyrange.Owner
	fence uint64
	until time.Duration
}

// restoreRule says what the next coordinator does after the store came back from an older
// copy.
type restoreRule int

const (
	soundRestore       restoreRule = iota
	restoreTrustsMap               // it takes the restored map as it is
	restoreAwaitsKnown             // it raises the fence and awaits the owner that the map names
	restoreTrustsLease             // it takes the lease at once, as the restored record was resigned
	noRestore                      // the store never comes back from a copy
)

// searchRules select the events of a search, and a rule of the product that it replaces.
type searchRules struct {
	unsound    ground
	restore    restoreRule
	lateWrites bool // the store may carry out writes late
}

// ground is an unsound rule for the end of a hold, or nil.
type ground func(w *searchWorld, prev keyrange.Previous) bool

func (w *searchWorld) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%6d ms ", w.now.Milliseconds())+fmt.Sprintf(format, args...))
}

func (w *searchWorld) duration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit))) + time.Millisecond
}

func (w *searchWorld) chance(percent int) bool { return w.random.IntN(100) < percent }

func newSearchWorld(seed uint64, rules searchRules) *searchWorld {
	w := &searchWorld{
		random: rand.New(rand.NewPCG(seed, 25)), now: time.Minute, processes: make(map[string]*process),
		refusals: make(map[keyrange.Owner]int), absences: make(map[keyrange.Owner]bool), rules: rules,
	}
	for range 3 {
		w.startTarget()
	}
	w.ledger = grants.NewLedger(w.now, orderTimeout, longHold)
	w.owner, w.fence, w.hasMap = w.known[0], 1, true
	w.ledger.MarkNewFence("s", w.owner, w.fence)
	w.write(storedMap{w.owner, w.fence, nil})
	return w
}

// startTarget starts a target at a free address: often under a name that was there
// before, and often with nothing else changed.
func (w *searchWorld) startTarget() {
	addr := fmt.Sprintf("addr%d", w.random.IntN(4))
	name := fmt.Sprintf("t%d", w.random.IntN(4))
	for _, p := range w.processes {
		if p.owner.Target == name {
			return
		}
	}
	if w.processes[addr] != nil {
		return
	}
	w.runs++
	p := &process{owner: keyrange.Owner{Target: name, Run: w.runs, Addr: addr}}
	w.processes[addr] = p
	w.known = append(w.known, p.owner)
	w.logf("start %v", p.owner)
}

func (w *searchWorld) endTarget() {
	addr := fmt.Sprintf("addr%d", w.random.IntN(4))
	if p := w.processes[addr]; p != nil {
		w.logf("end %v", p.owner)
		delete(w.processes, addr)
	}
}

func (w *searchWorld) send(o *order) {
	o.sentAt, o.term = w.now, w.term
	o.arrival = w.now + w.duration(orderTimeout/2)
	o.isRefused = w.chance(15)
	if w.chance(80) {
		o.answer = o.arrival + w.duration(orderTimeout/2)
	}
	if !o.isRelease && w.chance(20) {
		// Only a grant that gets no answer may be applied late.
		o.delay, o.answer = w.duration(6*time.Second), 0
	}
	w.orders = append(w.orders, o)
}

// arrive handles an order at its address.
func (w *searchWorld) arrive(o *order) {
	o.arrived = true
	p := w.processes[o.owner.Addr]
	switch {
	case p == nil || o.isRefused:
		o.err, o.answer = refused, w.now
	case p.owner.Target != o.owner.Target:
		o.err = elsewhere
	case o.isRelease:
		if p.holdFence <= o.fence {
			p.until = 0
		}
	case o.fence < p.fence:
		o.err = fenced
	default:
		until := w.now + o.hold + time.Duration(w.random.Float64()*grants.ClockDrift*float64(o.hold))
		w.late = append(w.late, lateGrant{to: p, fence: o.fence, at: w.now + o.delay, until: until})
	}
	w.logf("arrives: %v %s fence %d, outcome %d, applied %d ms later", o.owner, kind(o), o.fence, o.err, o.delay.Milliseconds())
}

func kind(o *order) string {
	if o.isRelease {
		return "release"
	}
	return "grant"
}

func (w *searchWorld) applyLate() {
	kept := w.late[:0]
	for _, g := range w.late {
		if g.at > w.now {
			kept = append(kept, g)
			continue
		}
		if w.processes[g.to.owner.Addr] == g.to && g.fence >= g.to.fence && g.until > w.now {
			g.to.fence, g.to.holdFence, g.to.until = g.fence, g.fence, max(g.to.until, g.until)
			w.logf("applied: %v fence %d until %d ms", g.to.owner, g.fence, g.until.Milliseconds())
		}
	}
	w.late = kept
}

// settle passes the outcome of an order to the coordinator that sent it.
func (w *searchWorld) settle(o *order, isReset bool) {
	o.done = true
	if o.term != w.term {
		return
	}
	switch {
	case o.err == refused:
		w.refusals[o.owner]++
	case o.err == elsewhere && !isReset:
		w.absences[o.owner] = true
	case !isReset:
		w.refusals[o.owner] = 0
	}
	if o.isRelease {
		w.settleRelease(o, isReset)
		return
	}
	w.granting = false
	switch {
	case isReset:
		w.ledger.RecordReset(w.now, holdOf(o.owner), o.hold)
	case o.err == refused:
		w.ledger.CancelSend(holdOf(o.owner))
	case o.err == elsewhere:
		w.ledger.CancelSend(holdOf(o.owner))
		w.ledger.RecordAbsence(o.sentAt, o.owner)
	default:
		w.ledger.RecordAnswer(w.now, holdOf(o.owner), o.hold)
		if o.err == accepted && w.hasMap && o.fence == w.fence && len(w.prev) > 0 {
			w.setPrev(nil)
			w.moved = w.write(storedMap{w.owner, w.fence, nil})
		}
	}
}

func (w *searchWorld) settleRelease(o *order, isReset bool) {
	for i, t := range w.transfers {
		if t != o.transfer {
			continue
		}
		w.releasing[i] = false
		switch {
		case isReset || o.err == refused:
		case o.err == elsewhere:
			w.ledger.RecordAbsence(o.sentAt, o.owner)
		default:
			t.RecordRelease(w.now)
		}
	}
}

func (w *searchWorld) setPrev(prev []keyrange.Previous) {
	w.prev = prev
	w.transfers = nil
	for _, p := range prev {
		w.transfers = append(w.transfers, grants.NewTransfer("s", keyrange.Range{To: keyrange.MaxKey}, p))
	}
	w.free, w.releasing = make([]bool, len(prev)), make([]bool, len(prev))
}

// assign gives the key to a run that a listing shows, which may be one that has ended.
func (w *searchWorld) assign() {
	w.readLost()
	if len(w.prev) > 3 {
		return
	}
	next := w.known[max(0, len(w.known)-1-w.random.IntN(4))]
	prev := append(w.prev[:len(w.prev):len(w.prev)], keyrange.Previous{Owner: w.owner, Fence: w.fence})
	m := storedMap{next, w.fence + 1, prev}
	if w.isLate() {
		w.writeLate(m)
		return
	}
	if !w.write(m) {
		return
	}
	w.owner, w.fence = m.owner, m.fence
	w.setPrev(prev)
	w.ledger.MarkNewFence("s", w.owner, w.fence)
	w.logf("assigned to %v, fence %d", w.owner, w.fence)
}

// merge joins the range of the key with a neighbour of the same owner under a new fence.
func (w *searchWorld) merge() {
	w.readLost()
	if w.now < w.startsAt || len(w.prev) > 0 {
		return
	}
	m := storedMap{w.owner, w.fence + 1, nil}
	if w.isLate() {
		w.writeLate(m)
		return
	}
	if w.write(m) {
		w.fence = m.fence
		w.logf("merged, fence %d", w.fence)
	}
}

// write replaces the stored map on the condition that it is the one that the coordinator
// has. If another writer was first, the coordinator reads the map again before it plans
// anything else.
func (w *searchWorld) write(m storedMap) bool {
	w.hasWritten = true
	if w.version != len(w.copies) {
		w.logf("conflict")
		w.hasMap = false
		return false
	}
	w.copies = append(w.copies, m)
	w.version = len(w.copies)
	w.highest = max(w.highest, m.fence)
	return true
}

// writeLate sends a write that is not answered. Its sender ends, or the store rejects its
// next attempt, so that it reads the map of before.
func (w *searchWorld) writeLate(m storedMap) {
	w.hasWritten, w.highest = true, max(w.highest, m.fence)
	w.lateWrites = append(w.lateWrites, lateWrite{w.now + w.duration(maxWriteDelay), w.version, m})
	w.logf("write without an answer: %v fence %d, %d earlier owners", m.owner, m.fence, len(m.prev))
	if w.now >= w.startsAt && w.chance(70) {
		w.replaceCoordinator()
		return
	}
	w.load()
}

// planLateWrites draws the steps of a coordinator whose writes may be carried out late.
// After a conflict it often moves the key as soon as it has read the map.
func (w *searchWorld) planLateWrites() {
	switch {
	case w.now < w.startsAt:
	case !w.hasMap && w.chance(50):
		w.assign()
	case !w.hasMap:
		w.load()
	case w.chance(2):
		w.merge()
	}
}

// isLate draws whether a write gets no answer.
func (w *searchWorld) isLate() bool { return w.rules.lateWrites && w.chance(60) }

// executeLateWrites carries out the writes that are due and whose condition still holds.
func (w *searchWorld) executeLateWrites() {
	kept := w.lateWrites[:0]
	for _, l := range w.lateWrites {
		switch {
		case l.at > w.now:
			kept = append(kept, l)
		case l.version == len(w.copies):
			w.copies = append(w.copies, l.next)
			w.logf("late write: %v fence %d", l.next.owner, l.next.fence)
		}
	}
	w.lateWrites = kept
}

// readLost reads the map if another writer was first.
func (w *searchWorld) readLost() {
	if !w.hasMap {
		w.load()
	}
}

// load reads the stored map. One of an earlier era is written under new fences first.
func (w *searchWorld) load() {
	for {
		c := w.copies[len(w.copies)-1]
		w.version, w.hasMap = len(w.copies), true
		w.logf("map read: %v fence %d, %d earlier owners", c.owner, c.fence, len(c.prev))
		if w.era == 0 || c.fence > era.FenceFloor(w.era) {
			w.owner, w.fence = c.owner, c.fence
			w.highest = max(w.highest, c.fence)
			w.setPrev(c.prev)
			return
		}
		w.loseTrack()
		next := c.refenced(max(w.highest, era.FenceFloor(w.era)))
		if w.write(next) {
			w.owner, w.fence = next.owner, next.fence
			w.setPrev(next.prev)
			w.ledger.MarkNewFence("s", w.owner, w.fence)
			return
		}
	}
}

// loseTrack raises the floor of a coordinator whose own map is no longer stored.
func (w *searchWorld) loseTrack() {
	if w.hasWritten {
		w.ledger.RaiseFloor(grants.UnknownFloor(w.now, orderTimeout, longHold))
	}
}

// refenced returns the map with new fences above a floor.
func (c storedMap) refenced(floor uint64) storedMap {
	m := &keyrange.Map{Ranges: []keyrange.Range{{To: keyrange.MaxKey, Owner: c.owner, Fence: c.fence, Prev: c.prev}}, Fence: c.fence}
	m.Refence(floor)
	return storedMap{c.owner, m.Fence, m.Ranges[0].Prev}
}

// restoreStore lets the store come back from an older copy, in which some of the last
// writes are missing, also those of earlier eras. The coordinator is cut off from the
// store or hears of it at once; the next one starts when any other's lease has ended.
func (w *searchWorld) restoreStore() {
	isActive := w.now >= w.startsAt
	if isActive && w.rules.restore == soundRestore && w.chance(30) {
		w.goOn()
		return
	}
	if isActive && len(w.prev) == 0 && w.chance(50) {
		w.cutOff = append(w.cutOff, &cutOffCoordinator{w.owner, w.fence, w.now + w.duration(leaseTerm)})
	}
	w.era++
	w.copies = w.copies[:max(1, len(w.copies)-1-w.random.IntN(4))]
	c := w.copies[len(w.copies)-1]
	startsAt := w.now + leaseTerm + takeoverMargin + w.duration(time.Second)
	ledger := grants.NewLedger(startsAt, orderTimeout-takeoverMargin, longHold)
	if w.rules.restore == restoreTrustsLease {
		startsAt = w.now + w.duration(time.Second)
		ledger = grants.NewLedgerWithFloor(grants.Floor{End: startsAt, UnansweredEnd: startsAt, ArrivedBy: startsAt})
	}
	w.startTerm(startsAt, ledger)
	w.logf("store comes back: %v fence %d, era %d", c.owner, c.fence, w.era)
	w.version, w.hasMap = len(w.copies), true
	switch w.rules.restore {
	case restoreTrustsMap:
		w.owner, w.fence = c.owner, c.fence
		w.setPrev(c.prev)
	case restoreAwaitsKnown:
		w.owner, w.fence = c.owner, c.refenced(era.FenceFloor(w.era)).fence
		w.setPrev(append(c.prev[:len(c.prev):len(c.prev)], keyrange.Previous{Owner: c.owner, Fence: c.fence}))
		w.write(storedMap{w.owner, w.fence, w.prev})
	default:
		w.load()
	}
}

// goOn lets the coordinator that hears of the new era in time go on: it writes the map that
// it had under new fences, and takes its own grants for the earlier ones.
func (w *searchWorld) goOn() {
	w.era++
	floor, isSettled := w.ledger.Floor()
	if !isSettled {
		floor = grants.UnknownFloor(w.now, orderTimeout, longHold)
	}
	w.startTerm(w.now+w.duration(time.Second), grants.NewLedgerWithFloor(floor))
	m := &keyrange.Map{Ranges: []keyrange.Range{{To: keyrange.MaxKey, Owner: w.owner, Fence: w.fence, Prev: w.prev}}, Fence: w.fence}
	m.Renumber(era.FenceFloor(w.era))
	w.fence = m.Fence
	w.setPrev(m.Ranges[0].Prev)
	w.logf("store comes back, the coordinator goes on: %v fence %d, era %d", w.owner, w.fence, w.era)
	w.version, w.hasMap = len(w.copies), true
	w.write(storedMap{w.owner, w.fence, w.prev})
}

// startTerm lets another coordinator start at a time, or the same one after a change of the
// era.
func (w *searchWorld) startTerm(at time.Duration, l *grants.Ledger) {
	w.term++
	w.granting, w.hasWritten, w.highest = false, false, 0
	w.startsAt, w.ledger = at, l
	w.refusals, w.absences = make(map[keyrange.Owner]int), make(map[keyrange.Owner]bool)
}

// renewCutOff lets coordinators that are cut off from the store go on.
func (w *searchWorld) renewCutOff() {
	for _, c := range w.cutOff {
		if w.now < c.until && w.chance(50) {
			w.send(&order{owner: c.owner, fence: c.fence, hold: longHold})
			w.orders[len(w.orders)-1].term = -1 // nobody in the search awaits it
		}
	}
}

// coordinate makes the coordinator's next step: it renews, or moves the key.
func (w *searchWorld) coordinate() {
	if w.now < w.startsAt || !w.hasMap {
		return
	}
	isFree := true
	for i, p := range w.prev {
		if !w.free[i] {
			w.advance(i, p)
		}
		isFree = isFree && w.free[i]
	}
	if !isFree || w.granting {
		return
	}
	hold := 4 * time.Second
	if w.chance(20) {
		hold = longHold
	}
	w.granting = true
	w.ledger.BeginSend(holdOf(w.owner))
	w.send(&order{owner: w.owner, fence: w.fence, hold: hold})
}

func (w *searchWorld) advance(i int, p keyrange.Previous) {
	d := w.ledger.Next(w.now, w.transfers[i])
	switch {
	case w.rules.unsound != nil && w.rules.unsound(w, p):
		w.free[i] = true
		w.logf("%v is taken to have ended", p.Owner)
	case d.Step == grants.StepFree:
		w.free[i] = true
		w.logf("%v fence %d is free: %s", p.Owner, p.Fence, d.Ground)
	case d.Step == grants.StepRelease && !w.releasing[i]:
		if p.IsUnknown() {
			panic("release of an unknown owner")
		}
		w.releasing[i] = true
		w.send(&order{isRelease: true, owner: p.Owner, fence: p.Fence, transfer: w.transfers[i]})
	}
}

// replaceCoordinator lets another coordinator follow: after a resignation, a killed
// process, or a lease that lapsed.
func (w *searchWorld) replaceCoordinator() {
	if w.now < w.startsAt {
		return
	}
	floor, isSettled := w.ledger.Floor()
	startsAt := w.now + w.duration(2*time.Second)
	switch w.random.IntN(3) {
	case 0:
		if !isSettled {
			end := grants.End(w.now+orderTimeout, longHold)
			floor = grants.Floor{End: end, UnansweredEnd: end, ArrivedBy: w.now + orderTimeout + grants.Margin}
		}
		w.startTerm(startsAt, grants.NewLedgerWithFloor(floor))
		w.logf("coordinator resigns")
	case 1:
		for _, o := range w.orders {
			if !o.arrived {
				o.done = true // reset with its process
			}
		}
		w.startTerm(startsAt, grants.NewLedger(startsAt, 0, longHold))
		w.logf("coordinator is killed")
	default:
		startsAt = w.now + takeoverMargin + w.duration(2*time.Second)
		w.startTerm(startsAt, grants.NewLedger(startsAt, orderTimeout-takeoverMargin, longHold))
		w.logf("coordinator's lease lapses")
	}
	w.load()
}

func (w *searchWorld) deliver() {
	for _, o := range w.orders {
		if !o.done && !o.arrived && w.now >= o.arrival {
			w.arrive(o)
		}
		switch {
		case o.done || !o.arrived && w.now < o.sentAt+orderTimeout:
		case o.answer > 0 && w.now >= o.answer:
			w.settle(o, false)
		case w.now >= o.sentAt+orderTimeout:
			w.settle(o, true)
		}
	}
	kept := w.orders[:0]
	for _, o := range w.orders {
		if !o.done {
			kept = append(kept, o)
		}
	}
	w.orders = kept
	w.applyLate()
}

// holders returns the running targets that hold the key now.
func (w *searchWorld) holders() (out []keyrange.Owner) {
	for _, p := range w.processes {
		if p.until > w.now {
			out = append(out, p.owner)
		}
	}
	return out
}

// search plays one sequence of events and returns its trace if two targets held the
// key at once.
func search(seed uint64, rules searchRules) []string {
	w := newSearchWorld(seed, rules)
	for range searchSteps {
		switch w.random.IntN(24) {
		case 0, 1, 2:
			w.startTarget()
		case 3:
			w.endTarget()
		case 4:
			// Late writes are carried out only while no other writer is first.
			if !w.rules.lateWrites || w.chance(20) {
				w.assign()
			}
		case 5:
			if w.chance(40) {
				w.replaceCoordinator()
			}
		}
		if w.rules.restore != noRestore && (w.random.IntN(restoreInterval) == 0 || w.moved && w.chance(20)) {
			w.restoreStore()
		}
		if w.rules.lateWrites {
			w.planLateWrites()
		}
		w.moved = false
		w.renewCutOff()
		w.executeLateWrites()
		w.coordinate()
		for until := w.now + w.duration(200*time.Millisecond); w.now < until; w.now += 5 * time.Millisecond {
			w.deliver()
			if len(w.holders()) > 1 {
				w.logf("held by %v", w.holders())
				return w.trace
			}
		}
		w.ledger.RemoveEnded(w.now)
	}
	return nil
}

// searchSeeds returns the number of sequences that each search plays: some hundreds, or
// as many as MANGOPOST_CHECKS says.
func searchSeeds(t *testing.T) uint64 {
	t.Helper()
	value := os.Getenv("MANGOPOST_CHECKS")
	if value == "" {
		return 400
	}
	seeds, err := strconv.ParseUint(value, 10, 64)
	assert.NilError(t, err, "MANGOPOST_CHECKS")
	return seeds
}

// No sequence of restarts under the same name, lost and late orders, refused paths, old
// listings, changes of the coordinator and returns of the store from older copies may lead
// to two holders.
func TestSearchFindsNoTwoHolders(t *testing.T) {
	for _, rule := range []restoreRule{noRestore, soundRestore} {
		assertNoTwoHolders(t, searchRules{restore: rule})
	}
}

// Guards against keys with two owners (review/6): the store carries out a write of a map
// seconds after its sender ended, in the middle of the next coordinator's term. The fences
// of such a map are not those under which that coordinator granted the keys.
func TestSearchWithLateWritesFindsNoTwoHolders(t *testing.T) {
	for _, rule := range []restoreRule{noRestore, soundRestore} {
		assertNoTwoHolders(t, searchRules{restore: rule, lateWrites: true})
	}
}

func assertNoTwoHolders(t *testing.T, rules searchRules) {
	t.Helper()
	for seed := range searchSeeds(t) {
		if trace := search(seed, rules); trace != nil {
			for _, line := range trace {
				t.Log(line)
			}
			t.Fatalf("two holders, seed %d, restores %v", seed, rules.restore == soundRestore)
		}
	}
}

// assertTwoHolders fails if no sequence leads to two holders.
func assertTwoHolders(t *testing.T, rules searchRules) {
	t.Helper()
	for seed := range searchSeeds(t) {
		if search(seed, rules) != nil {
			t.Logf("two holders, seed %d", seed)
			return
		}
	}
	t.Fatal("no sequence with two holders was found")
}

// The search is strong enough: each ground that the product once took for the end of a
// hold leads to two holders.
func TestSearchFindsUnsoundGrounds(t *testing.T) {
	for name, unsound := range map[string]ground{
		"three refused connections (review/1)": func(w *searchWorld, p keyrange.Previous) bool {
			return w.refusals[p.Owner] >= 3
		},
		"entry of a later run (review/2)": func(w *searchWorld, p keyrange.Previous) bool {
			for _, o := range w.known {
				if o.Target == p.Target && o.Run > p.Run {
					return true
				}
			}
			return false
		},
		"entry of an earlier run (review/3)": func(w *searchWorld, p keyrange.Previous) bool {
			for _, o := range w.known {
				if o.Target == p.Target && o.Run < p.Run {
					return true
				}
			}
			return false
		},
		"another target at the address, at any time": func(w *searchWorld, p keyrange.Previous) bool {
			return w.absences[p.Owner]
		},
	} {
		t.Run(name, func(t *testing.T) {
			assertTwoHolders(t, searchRules{unsound: unsound, restore: noRestore})
		})
	}
}

// The search is strong enough for a restored store: without a part of the rule it finds
// two holders.
func TestSearchFindsUnsoundRestores(t *testing.T) {
	for name, rule := range map[string]restoreRule{
		"the restored map counts": restoreTrustsMap, "only the owner that it names is awaited": restoreAwaitsKnown,
		"the lease is taken at once": restoreTrustsLease,
	} {
		t.Run(name, func(t *testing.T) {
			assertTwoHolders(t, searchRules{restore: rule})
		})
	}
}
