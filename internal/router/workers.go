package router

import (
	"context"
	"slices"
	"time"
)

// runningWorker is a worker together with the function that stops its duties.
type runningWorker struct {
	*worker
	stop context.CancelFunc
}

func (g *gateway) worker(target string) *worker {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if w := g.workers[target]; w != nil {
		return w.worker
	}
	return nil
}

func (g *gateway) allWorkers() []*worker {
	g.mu.RLock()
	defer g.mu.RUnlock()
	var all []*worker
	for _, w := range g.workers {
		all = append(all, w.worker)
	}
	return all
}

// update starts the duties of targets that this router is a candidate for and stops
// those of others.
func (g *gateway) update(ctx context.Context, t *table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pruneWorkers(t)
	for name, dst := range t.targets {
		s := t.services[dst.service]
		if s == nil || !dst.isCandidate(g.router.cfg.Self) {
			continue
		}
		if g.workers[name] == nil {
			g.workers[name] = g.startWorker(ctx, dst, s)
		}
		g.workers[name].configure(s.template)
		g.workers[name].setDraining(dst.draining)
	}
}

// pruneWorkers stops the duties of targets that this router is not a candidate for and
// need not hand over. The caller holds mu.
func (g *gateway) pruneWorkers(t *table) {
	handingOver := g.router.leases.handingOver()
	for name, w := range g.workers {
		dst := t.targets[name]
		isKept := dst != nil && (dst.isCandidate(g.router.cfg.Self) || slices.Contains(handingOver, name))
		if !isKept || dst.addr != w.addr {
			w.stop()
			delete(g.workers, name)
		}
	}
}

// pruneHandedOver stops the duties that were kept only for a handover.
func (g *gateway) pruneHandedOver(t *table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pruneWorkers(t)
}

func (g *gateway) startWorker(ctx context.Context, dst *target, s *serviceTable) *runningWorker {
	ctx, stop := context.WithCancel(ctx)
	w := newWorker(g.router, dst, s.template)
	go w.serve(ctx)
	go w.monitor.serve(ctx)
	return &runningWorker{worker: w, stop: stop}
}

// drain refuses new requests and waits until every request from a peer is answered, for
// at most limit. Requests at targets that were handed over meanwhile count too.
func (g *gateway) drain(limit time.Duration) {
	const pollInterval = 10 * time.Millisecond
	g.stopping.Store(true)
	for waited := time.Duration(0); waited < limit && g.answering.Load() > 0; waited += pollInterval {
		time.Sleep(pollInterval)
	}
}
