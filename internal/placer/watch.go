package placer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/syncer"
)

const (
	// storeReachableTimeout is how old the store's last answer may be for the store to
	// count as reachable. It is longer than a waiting watch.
	storeReachableTimeout = 2500 * time.Millisecond
	// cutOffTimeout is how old the store's last answer may be for a process that calls the
	// store itself to plan. It is longer than a waiting watch.
	cutOffTimeout      = 1700 * time.Millisecond
	watchTimeout       = 10 * time.Second
	watchRetryDelay    = 200 * time.Millisecond
	upstreamRetryDelay = 200 * time.Millisecond
	// maxFollowTime is how long a placer follows another one before it checks for a better
	// one.
	maxFollowTime = 5 * time.Second
	// relayTimeout is how long a relay may leave probes unanswered before another one, if
	// there is one, is followed. It is shorter than placerTimeout, as following another
	// relay costs little and a gateway that does not learn of its candidacy serves
	// nothing.
	relayTimeout       = 2 * placerProbeInterval
	relayCheckInterval = 50 * time.Millisecond
)

// watch keeps the cache up to date. It watches the store itself if this process is the
// cell's relay or its relay does not reach the store; otherwise it follows the relay.
type watch struct {
	placer          *Placer
	directAnswerAt  atomic.Int64 // when the store last answered this process
	relayedAnswerAt atomic.Int64 // when the store last answered a relay
	delegatedAt     atomic.Int64 // when this process last left the watch to a relay
	dueAt           atomic.Int64 // when the pending call of the store is due to be answered
	monitor         *answerMonitor
	revision        uint64
	isListed        bool
}

func newWatch(p *Placer) *watch {
	w := &watch{placer: p, monitor: newAnswerMonitor(p.now)}
	w.directAnswerAt.Store(int64(-storeReachableTimeout))
	w.relayedAnswerAt.Store(int64(-storeReachableTimeout))
	return w
}

// isStoreReachable reports whether the store answers this process, directly or through
// its relay.
func (w *watch) isStoreReachable() bool {
	_, reachable := w.storeAge()
	return reachable
}

// storeAge returns how long ago the store last answered this process or, through any
// number of relays, another process that called it.
func (w *watch) storeAge() (age time.Duration, reachable bool) {
	last := max(w.directAnswerAt.Load(), w.relayedAnswerAt.Load())
	age = w.placer.now() - time.Duration(last)
	return age, age < storeReachableTimeout
}

// isStoreReachableDirectly reports whether the store answers this process itself.
func (w *watch) isStoreReachableDirectly() bool {
	return w.placer.now()-time.Duration(w.directAnswerAt.Load()) < storeReachableTimeout
}

func (w *watch) isStoreReachableByRelay() bool {
	return w.placer.now()-time.Duration(w.relayedAnswerAt.Load()) < storeReachableTimeout
}

// usesRelay reports whether this process leaves the watch to a relay of its cell. The
// first host of a cell that is not quiet never does, or it and a later host might follow
// only each other. Nor does a host if every host before it is cut off from the store.
func (w *watch) usesRelay() bool {
	cutOff := func(addr string) bool { return w.placer.liveness.isCutOff(addr, w.placer.now()) }
	relays := slices.DeleteFunc(w.removeQuiet(w.addrsBefore()), cutOff)
	return w.isStoreReachableByRelay() && len(relays) > 0
}

// isCutOff reports whether this process calls the store itself and gets no answer: an
// answer is overdue, or the last one is older than cutOffTimeout.
func (w *watch) isCutOff() bool {
	if w.usesRelay() {
		return false
	}
	delegatedAt := time.Duration(w.delegatedAt.Load())
	last := max(time.Duration(w.directAnswerAt.Load()), w.monitor.lastAnswerTime(), delegatedAt)
	return w.monitor.isSilentSince(delegatedAt) || w.placer.now()-last > cutOffTimeout
}

// callStore makes the next call to the store. The answer to a watch is due when the watch
// has waited for WatchWait.
func (w *watch) callStore(ctx context.Context) error {
	due := w.placer.now()
	if w.isListed {
		due += WatchWait
	}
	w.dueAt.Store(int64(due))
	done := w.monitor.trackCall(due)
	err := w.listOrWatch(ctx)
	done(err)
	return err
}

// serve watches the store while no relay does so for this process.
func (w *watch) serve(ctx context.Context) error {
	wasReachable := false
	for ctx.Err() == nil {
		if w.usesRelay() {
			w.isListed = false
			w.delegatedAt.Store(int64(w.placer.now()))
			sleep(ctx, watchRetryDelay)
			continue
		}
		err := w.callStore(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			w.directAnswerAt.Store(int64(w.placer.now()))
		}
		wasReachable = w.logStoreChange(wasReachable, err)
		if err != nil {
			sleep(ctx, watchRetryDelay)
		}
	}
	return nil
}

func (w *watch) logStoreChange(wasReachable bool, err error) bool {
	if wasReachable && err != nil {
		w.placer.log.Emit(evStoreLost, "error", err.Error())
	}
	if !wasReachable && err == nil {
		w.placer.log.Emit(evStoreAnswers, "revision", w.revision)
	}
	return err == nil
}

// listOrWatch lists all objects if there is no current list, and otherwise waits for one
// batch of changes.
func (w *watch) listOrWatch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if !w.isListed {
		return w.listAll(ctx)
	}
	batch, err := w.placer.store.Watch(ctx, platform.RootPrefix, w.revision)
	if errors.Is(err, platform.ErrCompacted) {
		w.isListed = false
		return nil
	}
	if err != nil {
		return err
	}
	w.applyBatch(batch)
	return nil
}

// listAll applies all objects at once, together with the changes since a list that may be
// stale: a process with an empty cache would otherwise put an old configuration in force.
func (w *watch) listAll(ctx context.Context) error {
	listed, err := w.placer.store.List(ctx, platform.RootPrefix)
	if err != nil {
		return err
	}
	newer, err := w.placer.store.Since(ctx, platform.RootPrefix, listed.Revision)
	if err != nil {
		return err
	}
	w.revision = max(listed.Revision, newer.Revision)
	w.placer.cache.Apply(slices.Concat(newer.Objects, listed.Objects))
	w.isListed = true
	return nil
}

func (w *watch) applyBatch(batch platform.Batch) {
	w.revision = max(w.revision, batch.Revision)
	w.placer.cache.Apply(batch.Objects)
}

// serveUpstream subscribes to the cell's relay or, if there is none, to any placer that
// can be reached.
func (w *watch) serveUpstream(ctx context.Context) error {
	client := syncer.Client{
		Cache:  w.placer.cache,
		Dialer: w.placer.dialer,
		OnBeat: w.observeBeat,
	}
	for i := 0; ctx.Err() == nil; i++ {
		addr := w.upstreamAddr(i)
		if addr != "" {
			w.follow(ctx, client, addr)
		}
		if !w.isQuiet(addr) && !w.isOutranked(addr) {
			sleep(ctx, upstreamRetryDelay)
		}
	}
	return nil
}

// observeBeat records when the store last answered a relay. The age is passed on
// unchanged, so that placers that follow each other do not make an old answer look new.
func (w *watch) observeBeat(age time.Duration, reachable bool) {
	answeredAt := int64(w.placer.now() - age)
	if reachable && answeredAt > w.relayedAnswerAt.Load() {
		w.relayedAnswerAt.Store(answeredAt)
	}
}

// isQuiet reports whether a placer of the cell that has answered before leaves probes
// unanswered.
func (w *watch) isQuiet(addr string) bool {
	return w.placer.liveness.isPlacerQuiet(addr, w.placer.now(), relayTimeout)
}

// isOutranked reports whether the placer at addr does not come before this one in the
// record while another that answers does. It is false if no relay reaches the store, as
// any placer may be followed then.
func (w *watch) isOutranked(addr string) bool {
	before := w.removeQuiet(w.addrsBefore())
	return addr != "" && w.isStoreReachableByRelay() && len(before) > 0 && !slices.Contains(before, addr)
}

// follow subscribes to a placer until the subscription breaks, the placer becomes quiet
// or is outranked, or maxFollowTime has passed.
func (w *watch) follow(ctx context.Context, client syncer.Client, addr string) {
	client.OnCutOff = func(cutOff bool) { w.placer.liveness.setCutOff(addr, cutOff, w.placer.now()) }
	ctx, cancel := context.WithTimeout(ctx, maxFollowTime)
	defer cancel()
	go func() {
		for !w.isQuiet(addr) && !w.isOutranked(addr) && ctx.Err() == nil {
			sleep(ctx, relayCheckInterval)
		}
		cancel()
	}()
	_ = client.Subscribe(ctx, addr)
}

// upstreamAddr returns the placer to follow at the i-th attempt, or "" if this process
// watches the store itself. Hosts before this one in the record come first. The first
// host of a cell follows others only while the store is silent.
func (w *watch) upstreamAddr(i int) string {
	before := w.removeQuiet(w.addrsBefore())
	if len(before) > 0 && (w.isStoreReachableByRelay() || i%2 == 0) {
		return before[(i/2)%len(before)]
	}
	if w.isStoreReachableDirectly() && !w.isCutOff() {
		return ""
	}
	others := w.removeQuiet(w.otherAddrs())
	if len(others) == 0 {
		return ""
	}
	return others[(i/2)%len(others)]
}

// removeQuiet returns addrs without the placers that are quiet. It modifies addrs.
func (w *watch) removeQuiet(addrs []string) []string {
	return slices.DeleteFunc(addrs, w.isQuiet)
}

func (w *watch) addrsBefore() []string {
	var addrs []string
	record := w.placer.cache.View().Records[w.placer.cfg.Cell].Value
	for _, h := range record.Hosts {
		if h.Name == w.placer.cfg.Self.Host {
			break
		}
		addrs = append(addrs, h.PlacerAddr)
	}
	return addrs
}

// otherAddrs returns the addresses of all other known placers: the seeds and the hosts of
// all cells.
func (w *watch) otherAddrs() []string {
	addrs := append([]string(nil), w.placer.cfg.Seeds...)
	for _, record := range w.placer.cache.View().Records {
		for _, h := range record.Value.Hosts {
			if h.PlacerAddr != w.placer.cfg.advertisedAddr() {
				addrs = append(addrs, h.PlacerAddr)
			}
		}
	}
	return addrs
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
