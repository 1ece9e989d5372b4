package entry

import (
	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

// recordLeaving records that a run of a target said that it is leaving, to this host
// or, according to source, to another one. From then on the target gets no new
// requests here, whatever the store shows, and the coordinator moves its keys.
func (n *Node) recordLeaving(r directory.Run, source string) {
	n.mu.Lock()
	isNew := n.directory.MarkLeaving(steadyClock(), r)
	n.mu.Unlock()
	if !isNew {
		return
	}
	n.counters.countLeaving(source)
	n.log.Emit(evLeaving, "target", r.Target, "run", r.Run, "source", source)
	for _, s := range n.allServices() {
		s.updatePool(func(p *pool.Pool) { p.MarkLeaving(keyrange.Owner{Target: r.Target, Run: r.Run}) })
	}
	select {
	case n.reportNow <- struct{}{}:
	default: // a report is due already
	}
}

// recentMarks returns the targets that said a short time ago that they are leaving.
func (n *Node) recentMarks() []directory.Run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directory.RecentMarks(steadyClock())
}
