package lease_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

// runPlacer performs the store updates of a placer, reduced to what the exploration
// needs.
func (w *model) runPlacer(h *host) {
	if w.scripted || w.store.down || h.isStoreCutOff || w.rng.IntN(5) > 0 {
		return
	}
	now := h.placer.clock.read(w.now)
	v := h.placer.voter
	record := *w.recordOf(h)
	if !record.Electorate().Has(h.placer.inc) {
		w.join(h)
		return
	}
	if v.NeedsFloor(now) {
		v.SetFloor(now, record.Number, membership.FloorStops(record, []ownership.Page{w.store.page}))
		w.counts["floors"]++
		return
	}
	if !v.Ready() {
		return
	}
	if !record.Settled && record.Number == v.Record() && v.Settled() {
		w.putRecord(h)(membership.Settle(record, record.Number, w.stamp(h)))
	}
	w.manageGateways(h, now)
	w.manageShards(h, now)
	w.manageLeases(h, now)
}

func (w *model) join(h *host) {
	r := *w.recordOf(h)
	self := membership.Host{Name: h.name, PlacerRun: h.placer.inc.Run, RouterRun: h.router.inc.Run}
	if w.overdue(h, fmt.Sprint("unsettled", r.Number), !r.Settled, 2*time.Second) {
		w.counts["forced joins"]++
		w.putRecord(h)(membership.ForceJoin(r, self, w.stamp(h)))
		return
	}
	w.putRecord(h)(membership.Join(r, self, w.stamp(h)))
}

// overdue reports whether the named condition, which holds now or not, has held for at
// least timeout.
func (w *model) overdue(h *host, name string, holds bool, timeout time.Duration) bool {
	if !holds {
		delete(h.conditionSince, name)
		return false
	}
	since, ok := h.conditionSince[name]
	if !ok {
		h.conditionSince[name] = w.now
		return false
	}
	if w.now-since < timeout {
		return false
	}
	delete(h.conditionSince, name)
	return true
}

func (w *model) manageGateways(h *host, now time.Duration) {
	vacant := h.vacant(now)
	for _, g := range w.recordOf(h).Gateways {
		missing := h.placer.voter.GatewayStop(g.Target) >= g.LastEpoch()
		for _, vacancy := range vacant {
			missing = missing || (vacancy.Target == g.Target && vacancy.Silent)
		}
		if w.overdue(h, g.Target, missing, 1200*time.Millisecond) {
			w.renewGateway(h, g.Target)
		}
	}
}

// vacant returns the vacancies that holders in contact with a majority of the voters
// report.
func (h *host) vacant(now time.Duration) []lease.Vacancy {
	var list []lease.Vacancy
	for _, status := range h.placer.voter.Holders() {
		if now-status.LastSeen < lease.DefaultTiming.Suspicion {
			list = append(list, status.Vacant...)
		}
	}
	return list
}

// isStopped reports whether a holder cannot serve a shard under the page's epoch.
func (h *host) isStopped(now time.Duration, s lease.ShardEpoch) bool {
	return slices.ContainsFunc(h.placer.voter.Holders(), func(status lease.HolderStatus) bool {
		return now-status.LastSeen < lease.DefaultTiming.Suspicion && slices.Contains(status.Stopped, s)
	})
}

// isSilent reports whether a majority reports the gateway of a target as silent.
func (h *host) isSilent(now time.Duration, target string) bool {
	return slices.ContainsFunc(h.vacant(now), func(v lease.Vacancy) bool { return v.Target == target && v.Silent })
}

// isUnreleased reports whether a holder cannot release a shard that its target must
// give up.
func (h *host) isUnreleased(now time.Duration, s lease.ShardEpoch) bool {
	return slices.ContainsFunc(h.placer.voter.Holders(), func(status lease.HolderStatus) bool {
		return now-status.LastSeen < lease.DefaultTiming.Suspicion && slices.Contains(status.Unreleased, s)
	})
}

func (w *model) renewGateway(h *host, target string) {
	var routers []lease.Incarnation
	for _, other := range w.hosts {
		if other.cell == h.cell {
			routers = append(routers, other.router.inc)
		}
	}
	i := w.rng.IntN(len(routers))
	w.putRecord(h)(membership.RenewGateway(*w.recordOf(h), target, slices.Concat(routers[i:], routers[:i]), w.stamp(h)))
}

func (w *model) manageShards(h *host, now time.Duration) {
	for _, status := range h.placer.voter.Holders() {
		for _, s := range status.Serving {
			shard, _ := w.store.page.Shard(s.Shard.Shard)
			if shard.Move != nil || s.Epoch != shard.Epoch {
				page, err := ownership.CompleteMove(w.store.page, s.Shard.Shard, s.Epoch, w.change(h))
				if err == nil {
					w.countMove(shard, s.Epoch)
				}
				w.putPage(h, page, err)
			}
		}
	}
	for n, s := range allShards(w.store.page) {
		stopped := h.isStopped(now, lease.ShardEpoch{Shard: ref(uint32(n)), Epoch: s.Epoch})
		if w.overdue(h, fmt.Sprint("stopped", n), stopped, 900*time.Millisecond) {
			w.move(h, uint32(n), ownership.MoveLost)
		}
		moving := s.Move != nil
		overdue := w.overdue(h, fmt.Sprint("moving", n), moving, 1500*time.Millisecond)
		if overdue || moving && h.isSilent(now, s.Move.From.Target) || moving && h.isUnreleased(now, lease.ShardEpoch{Shard: ref(uint32(n)), Epoch: s.Move.From.Epoch}) {
			page, err := ownership.ForceMove(w.store.page, uint32(n), s.Epoch, w.change(h))
			w.putPage(h, page, err)
		}
	}
}

func (w *model) countMove(before ownership.Shard, epoch ownership.Epoch) {
	switch {
	case before.Epoch != epoch:
		w.counts["next owners"]++
	case before.Cell != before.Move.From.Cell:
		w.counts["moves between cells"]++
	case before.Move.Kind == ownership.MovePlanned:
		w.counts["planned moves"]++
	default:
		w.counts["lost moves"]++
	}
}

// move assigns a shard to either target and agrees the other as the next owner.
func (w *model) move(h *host, shard uint32, kind ownership.MoveKind) {
	to := ownership.Place{Cell: cell, Target: checkingTarget}
	next := ownership.Place{Cell: cell, Target: plainTarget}
	if w.rng.IntN(2) == 0 {
		to, next = next, to
	}
	agreed := &next
	if w.store.farRecord.Number > 0 && w.rng.IntN(3) == 0 {
		to = ownership.Place{Cell: farCell, Target: farTarget}
		agreed = nil
	}
	page, err := ownership.BeginMove(w.store.page, shard, to, kind, agreed, w.change(h))
	w.putPage(h, page, err)
}

func (w *model) stamp(h *host) ownership.Stamp {
	w.store.writes++
	return ownership.Stamp{Host: h.name, Incarnation: h.placer.inc.Run, Write: w.store.writes}
}

func (w *model) change(h *host) ownership.Change {
	return ownership.Change{Stamp: w.stamp(h)}
}

func (w *model) putRecord(h *host) func(membership.Record, error) {
	return func(r membership.Record, err error) {
		if err == nil {
			*w.recordOf(h) = r
		}
	}
}

// putPage writes a page. Another writer may come first, and the answer may be lost; a
// host learns the outcome by reading the page back.
func (w *model) putPage(h *host, page ownership.Page, err error) {
	if err != nil {
		return
	}
	if w.assumesSuccess && w.store.losesAnswers {
		h.isLagging = true
		h.page = page
		w.sync(h, h.record, page)
		return
	}
	for _, finding := range slices.Concat(ownership.Check(page), ownership.CheckStep(w.store.page, page)) {
		w.fail("page: %v", finding)
	}
	w.store.page = page
	w.recordKeyOrder(page)
}

// event is one failure or request.
type event struct {
	Wait int // steps before the event
	Kind int
	Host int
	Arg  int
}

// Kinds of events, indexed by event.Kind.
var eventKinds = []func(w *model, h *host, arg int){
	func(w *model, h *host, arg int) { w.pause(h.router) },
	func(w *model, h *host, arg int) { w.pause(h.placer) },
	func(w *model, h *host, arg int) { w.resume(h.router); w.resume(h.placer) },
	func(w *model, h *host, arg int) { w.restartPlacer(h) },
	func(w *model, h *host, arg int) { w.restartRouter(h) },
	func(w *model, h *host, arg int) { w.cutLink(h, w.hosts[arg%3].name) },
	func(w *model, h *host, arg int) { w.cutLink(h, checkingTarget) },
	func(w *model, h *host, arg int) { clear(w.cutLinks) },
	func(w *model, h *host, arg int) { w.store.down = !w.store.down },
	func(w *model, h *host, arg int) { h.isStoreCutOff = !h.isStoreCutOff },
	func(w *model, h *host, arg int) { w.store.losesAnswers = !w.store.losesAnswers },
	func(w *model, h *host, arg int) { w.target.paused = true },
	func(w *model, h *host, arg int) { w.resumeTarget() },
	func(w *model, h *host, arg int) { w.plainTargetPaused = !w.plainTargetPaused },
	func(w *model, h *host, arg int) { w.restartTarget() },
	func(w *model, h *host, arg int) { w.requestMove(h, arg, ownership.MoveLost) },
	func(w *model, h *host, arg int) { w.requestMove(h, arg, ownership.MovePlanned) },
	func(w *model, h *host, arg int) { w.requestRenewal(h, arg) },
	func(w *model, h *host, arg int) { w.isolate(h) },
	func(w *model, h *host, arg int) { w.restartPlacer(h); w.restartPlacer(w.hosts[arg%3]) },
	func(w *model, h *host, arg int) { w.pause(h.router); w.pause(h.placer) },
	func(w *model, h *host, arg int) { w.pin(h, arg) },
	func(w *model, h *host, arg int) { w.renewTwice(h, arg) },
}

func (w *model) pause(p *process) { p.paused = true }

// resume lets a process handle the messages in its sockets, in random order.
func (w *model) resume(p *process) {
	if !p.paused {
		return
	}
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	w.rng.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, handle := range inbox {
		handle()
	}
}

func (w *model) resumeTarget() {
	w.target.paused = false
	inbox := w.target.inbox
	w.target.inbox = nil
	for _, handle := range inbox {
		handle()
	}
}

func (w *model) restartPlacer(h *host) {
	h.placer.inc.Run++
	w.startPlacer(h)
	w.counts["voter restarts"]++
}

func (w *model) restartRouter(h *host) {
	h.router.inc.Run++
	w.startRouter(h)
}

// restartTarget restarts the target that checks grants; it loses its state.
func (w *model) restartTarget() {
	w.target = guardedTarget{clock: w.newClock(), guard: w.newGuard()}
}

func (w *model) cutLink(h *host, other string) {
	if other == h.name {
		return
	}
	w.cutLinks[h.name+other] = true
	w.cutLinks[other+h.name] = true
}

func (w *model) isolate(h *host) {
	for _, other := range w.hosts {
		w.cutLink(h, other.name)
	}
}

func (w *model) requestMove(h *host, arg int, kind ownership.MoveKind) {
	if !w.store.down && !h.isStoreCutOff && !h.placer.paused {
		w.move(h, uint32(arg%2), kind)
	}
}

// pin makes the hot key a shard of its own, or reverts that.
func (w *model) pin(h *host, arg int) {
	if w.store.down || h.isStoreCutOff || h.placer.paused {
		return
	}
	to := ownership.Place{Cell: cell, Target: []string{checkingTarget, plainTarget}[arg%2]}
	page, err := ownership.Pin(w.store.page, hotKey, to, w.change(h))
	if errors.Is(err, ownership.ErrPinned) {
		page, err = ownership.Unpin(w.store.page, hotKey, w.change(h))
	}
	if err == nil {
		w.counts["pins"]++
	}
	w.putPage(h, page, err)
}

func (w *model) requestRenewal(h *host, arg int) {
	if !w.store.down && !h.isStoreCutOff {
		w.renewGateway(h, w.recordOf(h).Gateways[arg%len(w.recordOf(h).Gateways)].Target)
	}
}

// renewTwice moves a target's gateway and moves it again while the first move is in
// progress.
func (w *model) renewTwice(h *host, arg int) {
	w.requestRenewal(h, arg)
	for range 4 * (1 + arg) {
		w.step()
	}
	w.requestRenewal(h, arg)
}

// heal ends every failure.
func (w *model) heal() {
	w.noFailures = true
	clear(w.cutLinks)
	w.store.down = false
	w.store.losesAnswers = false
	w.plainTargetPaused = false
	w.resumeTarget()
	for _, h := range w.hosts {
		h.isStoreCutOff = false
		w.resume(h.router)
		w.resume(h.placer)
	}
}
