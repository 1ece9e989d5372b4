package placement

import (
	"fmt"
	"testing"

	"github.com/mangopost/mangopost/membership"
)

func manyTargets(n int) []Target {
	all := make([]Target, n)
	for i := range all {
		all[i] = Target{
			Name: fmt.Sprintf("t%04d", i), Cell: fmt.Sprintf("cell%02d", i%8),
			State: Live, Capacity: 6,
		}
	}
	return all
}

// BenchmarkPlan plans a page without changes and a page that lost a target.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ shards, targets int }{{64, 15}, {4096, 240}} {
		s := newSnapshot(uint32(size.shards), manyTargets(size.targets))
		b.Run(fmt.Sprintf("calm/shards=%d", size.shards), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(s)
			}
		})
		lost := s
		lost.Targets = append([]Target(nil), s.Targets...)
		lost.Targets[0].State = Lost
		b.Run(fmt.Sprintf("loss/shards=%d", size.shards), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(lost)
			}
		})
	}
}

func BenchmarkPlanGateways(b *testing.B) {
	record, _, _ := PlanGateways(membership.Record{}, newRouters(5), newTargetRefs(40), true)
	b.ReportAllocs()
	for b.Loop() {
		PlanGateways(record, newRouters(5), newTargetRefs(40), true)
	}
}
