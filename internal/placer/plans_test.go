package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/template"
)

// TestEmptyPlanExpiresWhenInputsChange: a change of any input, or the passing of
// emptyPlanLifetime, makes a new plan necessary.
func TestEmptyPlanExpiresWhenInputsChange(t *testing.T) {
	basis := func() planInputs {
		return planInputs{
			pageVersion: 3,
			template:    template.Template{Service: "katalog", Slots: 6},
			targets:     []placement.Target{{Name: "a", State: placement.Live}, {Name: "b", State: placement.Live}},
			madeAt:      time.Minute,
		}
	}
	plans := make(emptyPlans)
	assert.Assert(t, !plans.isCurrent(basis()))
	plans.add(basis())
	same := basis()
	same.madeAt += emptyPlanLifetime - 1
	assert.Assert(t, plans.isCurrent(same))
	for name, change := range map[string]func(*planInputs){
		"page":     func(b *planInputs) { b.pageVersion++ },
		"template": func(b *planInputs) { b.template.Slots++ },
		"service":  func(b *planInputs) { b.template.Service = "bayaran" },
		"lost":     func(b *planInputs) { b.targets[1].State = placement.Lost },
		"new":      func(b *planInputs) { b.targets = append(b.targets, placement.Target{Name: "c"}) },
		"time":     func(b *planInputs) { b.madeAt += emptyPlanLifetime },
	} {
		b := basis()
		change(&b)
		assert.Assert(t, !plans.isCurrent(b), name)
	}
}

// TestGatewayPlanInputsCompareEveryField: a change of any input makes a new plan
// necessary.
func TestGatewayPlanInputsCompareEveryField(t *testing.T) {
	basis := func() gatewayPlanInputs {
		return gatewayPlanInputs{
			recordVersion: 3,
			alive:         []lease.Incarnation{{Host: "a", Run: 1}, {Host: "b", Run: 1}},
			targets:       []placement.TargetRef{{Name: "t", Service: "katalog", Addr: "a:1", StoppedEpoch: 4}},
			isSteady:      true,
		}
	}
	assert.Assert(t, basis().equal(basis()))
	assert.Assert(t, !basis().equal(gatewayPlanInputs{}))
	for name, change := range map[string]func(*gatewayPlanInputs){
		"record":  func(b *gatewayPlanInputs) { b.recordVersion++ },
		"lost":    func(b *gatewayPlanInputs) { b.alive = b.alive[:1] },
		"again":   func(b *gatewayPlanInputs) { b.alive[1].Run++ },
		"stopped": func(b *gatewayPlanInputs) { b.targets[0].StoppedEpoch++ },
		"moved":   func(b *gatewayPlanInputs) { b.targets[0].Addr = "b:1" },
		"new":     func(b *gatewayPlanInputs) { b.targets = append(b.targets, placement.TargetRef{Name: "u"}) },
		"steady":  func(b *gatewayPlanInputs) { b.isSteady = false },
	} {
		b := basis()
		change(&b)
		assert.Assert(t, !b.equal(basis()), name)
	}
}
