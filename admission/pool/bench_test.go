package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangopost/mangopost/admission/pool"
)

// BenchmarkDecision measures a decision among 67 targets, with and without reserved
// capacity: hosts have a fraction of a core.
func BenchmarkDecision(b *testing.B) {
	for _, mode := range []struct{ reserve, learned bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		b.Run(fmt.Sprintf("reserve=%v,learned=%v", mode.reserve, mode.learned), func(b *testing.B) {
			cfg := pool.DefaultConfig
			cfg.ReserveUrgent = mode.reserve
			if mode.learned {
				learnCrossing(59)(&cfg)
			}
			p := pool.New(cfg)
			var targets []pool.Target
			for i := range 67 {
				targets = append(targets, target(fmt.Sprint(i), 6, pool.Distance(i%3)))
			}
			p.SetTargets(0, targets)
			p.SetHostCount(59)
			for id := range uint64(b.N) {
				now := time.Duration(id) * 25 * ms
				r := urgentRequest(id, now)
				if id%2 == 0 {
					r = lessUrgentRequest(id, now)
				}
				for _, a := range p.Arrive(now, r) {
					p.RecordCrossing(now, a, 100*ms, 3000, pool.Answered)
					p.RecordWork(a, 100*ms, pool.Answered)
					p.Finish(now, a.Target, 100*ms, pool.Answered)
				}
			}
		})
	}
}
