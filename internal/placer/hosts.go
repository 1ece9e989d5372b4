package placer

import (
	"context"
	"slices"
	"time"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership"
)

const (
	// hostsInterval is how often the acting placer of a cell reads the host list.
	hostsInterval = time.Second
	// minHostsInterval is the shortest interval between two reads when the next one is
	// moved to the middle between two answers of the watch.
	minHostsInterval = 600 * time.Millisecond
	// hostsReadTimeout bounds a read, so that it ends before the next one would be late.
	hostsReadTimeout = 800 * time.Millisecond
	// hostsCheckInterval is how often the duty checks whether a read is due.
	hostsCheckInterval = 100 * time.Millisecond
	// maxHostsReadDelay is how late a read may begin. If it is later, the process was
	// paused.
	maxHostsReadDelay = 3 * hostsCheckInterval
)

// hostList is the platform's list of targets as last read.
type hostList struct {
	targets        []platform.TargetHost
	namesChangedAt time.Duration // when the set of names last changed
	nextReadAt     time.Duration // when the next read is due
	isRead         bool          // since this host became the acting placer or was last paused
}

// isUsable reports whether plans may be based on the list.
func (l *hostList) isUsable(now time.Duration) bool { return l.isRead && !l.isOverdue(now) }

// isOverdue reports whether the process was not running when the next read was due.
func (l *hostList) isOverdue(now time.Duration) bool { return now > l.nextReadAt+maxHostsReadDelay }

// isHostListUsable reports whether the host list was read since this host became the
// acting placer and since it was last paused. An older list could assign work to targets
// that have left.
func (p *Placer) isHostListUsable() bool { return p.hosts.Load().isUsable(p.now()) }

// serveHosts keeps the host list up to date while this host is the acting placer.
func (p *Placer) serveHosts(ctx context.Context) error {
	return runEvery(ctx, hostsCheckInterval, p.refreshHosts)
}

func (p *Placer) refreshHosts(ctx context.Context) {
	list := *p.hosts.Load()
	if !p.isActing() || list.isOverdue(p.now()) {
		list.isRead = false
		list.nextReadAt = p.now()
	}
	if p.isActing() && p.now() >= list.nextReadAt {
		list.nextReadAt = nextHostsRead(p.now(), time.Duration(p.watch.dueAt.Load()))
		p.hosts.Store(&list)
		p.readHosts(ctx)
		return
	}
	p.hosts.Store(&list)
}

// nextHostsRead returns when the list is to be read next: about hostsInterval from now,
// midway between two answers of the watch, the next of which is due at watchDueAt. An
// answer of the store is then due every half second, so that silence is noticed soon.
func nextHostsRead(now, watchDueAt time.Duration) time.Duration {
	wait := (watchDueAt + WatchWait/2 - now) % WatchWait
	for wait < minHostsInterval {
		wait += WatchWait
	}
	return now + min(wait, hostsInterval+hostsCheckInterval)
}

func (p *Placer) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostsReadTimeout)
	defer cancel()
	done := p.watch.monitor.trackCall(p.now())
	targets, err := p.store.Hosts(ctx)
	done(err)
	if err != nil {
		return
	}
	p.setHosts(targets)
}

// setHosts stores a host list that was just read. The time of the next read is already
// set.
func (p *Placer) setHosts(targets []platform.TargetHost) {
	old := p.hosts.Load()
	list := &hostList{targets: targets, namesChangedAt: old.namesChangedAt, nextReadAt: old.nextReadAt, isRead: true}
	if !sameNames(old.targets, targets) {
		list.namesChangedAt = p.now()
	}
	p.hosts.Store(list)
}

func sameNames(a, b []platform.TargetHost) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[string]bool, len(a))
	for _, t := range a {
		known[t.Name] = true
	}
	for _, t := range b {
		if !known[t.Name] {
			return false
		}
	}
	return true
}

// reachesMajority reports whether more than half of the cell's placers, including this
// one, have answered within placerTimeout.
func (p *Placer) reachesMajority(r membership.Record) bool {
	return p.reachesMajorityWithin(r, placerTimeout)
}

// reachesMajorityWithin is like reachesMajority, for answers within the given window.
func (p *Placer) reachesMajorityWithin(r membership.Record, window time.Duration) bool {
	reached := 0
	for _, h := range r.Hosts {
		if h.Voter() == p.cfg.Self || p.liveness.hasAnsweredWithin(h.PlacerAddr, p.now(), window) {
			reached++
		}
	}
	return reached >= r.Electorate().Majority()
}

// isActing reports whether this placer plans for its cell. It does if it reaches a
// majority of the voters and is the first host of the record whose placer has recently
// answered or written the record and is not cut off from the store. If all of these hosts
// are cut off from the store, the first of them acts. Without the majority it would take
// working gateways for lost. Two acting placers cost refused updates. If two hosts are
// cut off only from each other, both would also undo what the other one planned; the
// record's stamp prevents that by showing the later host that the earlier one is writing.
func (p *Placer) isActing() bool {
	record, ok := p.cache.View().Records[p.cfg.Cell]
	if !ok || !p.isMember(record.Value) || !p.reachesMajority(record.Value) {
		return false
	}
	p.liveness.observeRecord(record.Value.Stamp, p.now())
	live := slices.DeleteFunc(slices.Clone(record.Value.Hosts), p.isSilent)
	connected := slices.DeleteFunc(slices.Clone(live), p.isCutOff)
	if len(connected) > 0 {
		return connected[0].Voter() == p.cfg.Self
	}
	return live[0].Voter() == p.cfg.Self
}

// isSilent reports whether another host's placer has neither answered nor written the
// record recently.
func (p *Placer) isSilent(h membership.Host) bool {
	if h.Voter() == p.cfg.Self || p.liveness.isPlacerAlive(h.PlacerAddr, p.now()) {
		return false
	}
	return !p.liveness.hasWrittenRecently(h.Name, p.now())
}

// isCutOff reports whether a host's placer calls the store itself and gets no answer.
func (p *Placer) isCutOff(h membership.Host) bool {
	if h.Voter() == p.cfg.Self {
		return p.watch.isCutOff()
	}
	return p.liveness.isCutOff(h.PlacerAddr, p.now())
}
