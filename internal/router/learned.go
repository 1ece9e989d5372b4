package router

import (
	"context"
	"sync"
	"time"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

const (
	// maxLearnedAge is the age at which the state that an earlier gateway learned of a
	// target is too old to use; the target then counts as cold.
	maxLearnedAge = 2 * time.Second
	// maxLearnedTargets bounds the targets in a learnedInbox.
	maxLearnedTargets = 256
)

// learnedInbox keeps what earlier gateways learned of targets until the lines that
// follow theirs begin here.
type learnedInbox struct {
	mu      sync.Mutex
	waiting map[string]wire.TargetLearned // by target
}

// add stores the learned state of a target, replacing an earlier one, and reports
// whether there was room.
func (b *learnedInbox) add(t wire.TargetLearned) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, exists := b.waiting[t.Succession.Target]
	if !exists && len(b.waiting) >= maxLearnedTargets {
		return false
	}
	if b.waiting == nil {
		b.waiting = make(map[string]wire.TargetLearned)
	}
	b.waiting[t.Succession.Target] = t
	return true
}

// removeIf removes the entries that match and returns how many remain.
func (b *learnedInbox) removeIf(match func(wire.TargetLearned) bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.waiting {
		if match(t) {
			delete(b.waiting, name)
		}
	}
	return len(b.waiting)
}

// isFresh reports whether learned state is recent enough to use. The clocks of hosts
// may differ by up to dedupSkew.
func isFresh(now time.Time, t wire.TargetLearned) bool {
	age := now.Sub(t.CapturedAt)
	return age >= -dedupSkew && age <= maxLearnedAge+dedupSkew
}

// adoptLearned passes learned state to the queues whose lines have begun, and reports
// whether some still waits for its line.
func (g *gateway) adoptLearned(now time.Time) (isWaiting bool) {
	remaining := g.learned.removeIf(func(t wire.TargetLearned) bool {
		chain, ok := g.router.leases.chain(t.Succession.Target)
		switch {
		case !isFresh(now, t) || ok && chain > t.Succession.After:
			g.router.recordLearned(t.Succession.Target, false)
			return true
		case !ok || chain < t.Succession.After:
			return false
		}
		w := g.worker(t.Succession.Target)
		return w != nil && w.adopt(now, t)
	})
	return remaining > 0
}

// chain returns the first epoch of the unbroken line of rights to a target.
func (l *leases) chain(target string) (lease.GatewayEpoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Chain(l.router.now(), target)
}

// adopt passes the state that the previous gateway learned to the queue, and reports
// whether it is dealt with and need not be kept. A target that may have restarted
// since, or that does not answer this gateway, starts cold.
func (w *worker) adopt(now time.Time, t wire.TargetLearned) bool {
	age := max(0, now.Sub(t.CapturedAt))
	reading := w.router.now()
	if !w.health.isAlive(reading, standbyInterval+monitorTimeout) || w.health.wasResetSince(reading-age-dedupSkew) {
		w.router.recordLearned(w.name, false)
		return true
	}
	select {
	case w.ring <- adoption{learned: w.withLocalRouteIDs(t, age)}:
		return true
	case <-w.done:
		return true
	default:
		return false
	}
}

// withLocalRouteIDs returns the learned state with the route IDs of this router's
// template, and with the remaining times reduced by its age.
func (w *worker) withLocalRouteIDs(t wire.TargetLearned, age time.Duration) admission.Learned {
	ids := make(map[wire.RouteName]admission.RouteID)
	for i, r := range w.template.Load().Routes {
		ids[wire.RouteName{Method: r.Method, Path: r.Path}] = admission.RouteID(i)
	}
	l := t.Learned
	l.Routes = nil
	for i, r := range t.Learned.Routes {
		if id, known := ids[t.RouteNames[i]]; known {
			r.Route = id
			l.Routes = append(l.Routes, r)
		}
	}
	l.Held = nil
	for _, h := range t.Learned.Held {
		h.Left -= age
		l.Held = append(l.Held, h)
	}
	return l
}

// withRouteNames returns the learned state and the names of its routes, which are the
// same at every gateway.
func (w *worker) withRouteNames(l admission.Learned) (admission.Learned, []wire.RouteName) {
	routes := w.template.Load().Routes
	var names []wire.RouteName
	var kept []admission.LearnedRoute
	for _, r := range l.Routes {
		if int(r.Route) < len(routes) {
			kept = append(kept, r)
			names = append(names, wire.RouteName{Method: routes[r.Route].Method, Path: routes[r.Route].Path})
		}
	}
	l.Routes = kept
	return l, names
}

// adoption is the event that passes the previous gateway's learned state to a queue.
type adoption struct{ learned admission.Learned }

func (e adoption) apply(w *worker, now time.Duration) []admission.Action {
	actions, err := w.queue.Adopt(now, e.learned)
	w.router.recordLearned(w.name, err == nil)
	return actions
}

// queueHandover is the event that makes a queue return what it learned and refuse the
// waiting requests.
type queueHandover struct{ learned chan<- admission.Learned }

func (e queueHandover) apply(w *worker, now time.Duration) []admission.Action {
	learned, actions := w.queue.HandOver(now)
	e.learned <- learned
	return actions
}

// beginHandover starts the handover of a target's queue. The learned state is sent on
// the channel, unless the target's duty ends first.
func (w *worker) beginHandover() <-chan admission.Learned {
	learned := make(chan admission.Learned, 1)
	w.post(queueHandover{learned})
	return learned
}

// isWarm reports whether this gateway has learned something that is useful to the next
// one.
func (w *worker) isWarm() bool {
	return w.health.isAlive(w.router.now(), w.router.cfg.Timing.Suspicion) && w.stats.Load().Concurrency > 1
}

// transferLearned waits for the learned state of a queue and sends it to the next
// gateway of its target.
func (r *Router) transferLearned(ctx context.Context, addr string, w *worker, lines lease.Succession, learned <-chan admission.Learned) {
	taken := time.Now()
	select {
	case l := <-learned:
		known, names := w.withRouteNames(l)
		err := r.sendLearned(ctx, addr, wire.TargetLearned{Succession: lines, CapturedAt: taken, Learned: known, RouteNames: names})
		if err != nil {
			r.log.Emit(evLearnedNotSent, "target", lines.Target, "error", err.Error())
		}
	case <-w.done:
	case <-ctx.Done():
	}
}

// sendLearned sends learned state to a peer and waits until the peer has acknowledged
// it. A peer of an earlier version ends the stream instead.
func (r *Router) sendLearned(ctx context.Context, addr string, t wire.TargetLearned) error {
	s, end, err := r.openWithContext(ctx, addr, pb.StreamKind_STREAM_KIND_LEARNED)
	if err != nil {
		return err
	}
	defer end()
	if err := s.Send(wire.LearnedFrame(t)); err != nil {
		return err
	}
	_, err = s.Recv()
	return err
}

// serveLearned receives the learned state of a target from another gateway.
func (r *Router) serveLearned(s *wire.Stream) error {
	frame, err := s.Recv()
	if err != nil {
		return err
	}
	t, ok := wire.DecodeLearned(frame)
	if !ok {
		return wire.ErrInvalidMessage
	}
	if !r.gateway.learned.add(t) {
		r.recordLearned(t.Succession.Target, false)
	}
	r.gateway.adoptLearned(time.Now())
	return s.Send(&pb.Frame{Body: &pb.Frame_LearnedTaken{LearnedTaken: &pb.LearnedTaken{}}})
}

// recordLearned logs and counts whether the learned state of a target was adopted.
func (r *Router) recordLearned(target string, adopted bool) {
	r.metrics.recordLearnedHandover(adopted)
	r.log.Emit(evLearnedReceived, "target", target, "ok", adopted)
}
