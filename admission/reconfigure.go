package admission

import "time"

// Reconfigure changes the limits of a queue in use. Running requests beyond the
// new limits finish, and waiting requests keep waiting; a new order takes them
// over. A nil Order keeps the current one with its state.
func (q *Queue) Reconfigure(now time.Duration, cfg Config) []Action {
	if cfg.Order == nil {
		cfg.Order = q.order
	}
	cfg = cfg.effective()
	if cfg.Order != q.order {
		for e := q.waiting.oldest; e != nil; e = e.newer {
			cfg.Order.Push(e.item)
		}
	}
	q.cfg = cfg
	q.order = cfg.Order
	q.limiter.fixed = cfg.FixedConcurrency
	q.limiter.setSlots(q.usableSlots())
	return q.Tick(now)
}
