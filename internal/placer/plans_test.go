package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/template"
)

// TestAPlanStandsOnlyOnItsBasis: whatever the plan rests on, and a second, ends it.
func TestAPlanStandsOnlyOnItsBasis(t *testing.T) {
	basis := func() planBasis {
		return planBasis{
			page:     3,
			template: template.Template{Service: "katalog", Slots: 6},
			targets:  []placement.Target{{Name: "a", State: placement.Live}, {Name: "b", State: placement.Live}},
			at:       time.Minute,
		}
	}
	plans := make(restingPlans)
	assert.Assert(t, !plans.stands(basis()))
	plans.note(basis())
	same := basis()
	same.at += planStands - 1
	assert.Assert(t, plans.stands(same))
	for name, change := range map[string]func(*planBasis){
		"page":     func(b *planBasis) { b.page++ },
		"template": func(b *planBasis) { b.template.Slots++ },
		"service":  func(b *planBasis) { b.template.Service = "bayaran" },
		"lost":     func(b *planBasis) { b.targets[1].State = placement.Lost },
		"new":      func(b *planBasis) { b.targets = append(b.targets, placement.Target{Name: "c"}) },
		"time":     func(b *planBasis) { b.at += planStands },
	} {
		b := basis()
		change(&b)
		assert.Assert(t, !plans.stands(b), name)
	}
}

// TestAPlanOfGatewaysStandsOnlyOnItsBasis: whatever it rests on ends it.
func TestAPlanOfGatewaysStandsOnlyOnItsBasis(t *testing.T) {
	basis := func() gatewayBasis {
		return gatewayBasis{
			record:  3,
			alive:   []lease.Incarnation{{Host: "a", Run: 1}, {Host: "b", Run: 1}},
			targets: []placement.TargetRef{{Name: "t", Service: "katalog", Addr: "a:1", StoppedEpoch: 4}},
			steady:  true,
		}
	}
	assert.Assert(t, basis().same(basis()))
	assert.Assert(t, !basis().same(gatewayBasis{}))
	for name, change := range map[string]func(*gatewayBasis){
		"record":  func(b *gatewayBasis) { b.record++ },
		"lost":    func(b *gatewayBasis) { b.alive = b.alive[:1] },
		"again":   func(b *gatewayBasis) { b.alive[1].Run++ },
		"stopped": func(b *gatewayBasis) { b.targets[0].StoppedEpoch++ },
		"moved":   func(b *gatewayBasis) { b.targets[0].Addr = "b:1" },
		"new":     func(b *gatewayBasis) { b.targets = append(b.targets, placement.TargetRef{Name: "u"}) },
		"steady":  func(b *gatewayBasis) { b.steady = false },
	} {
		b := basis()
		change(&b)
		assert.Assert(t, !b.same(basis()), name)
	}
}
