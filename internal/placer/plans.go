package placer

import (
	"reflect"
	"slices"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/template"
)

// emptyPlanLifetime is how long a plan without decisions stays valid while its inputs
// are unchanged. Loads and ages change in the meantime.
const emptyPlanLifetime = time.Second

// planInputs are the inputs of a plan of a service's shards, except the loads and the
// time.
type planInputs struct {
	pageVersion uint64 // store version of the page
	template    template.Template
	targets     []placement.Target
	madeAt      time.Duration
}

// emptyPlans holds, by service, the inputs of the last plan without decisions. It is
// owned by the shards duty.
type emptyPlans map[string]planInputs

// add stores the inputs of a plan without decisions.
func (p emptyPlans) add(in planInputs) { p[in.template.Service] = in }

// isCurrent reports whether a plan from these inputs is known to have no decisions.
func (p emptyPlans) isCurrent(in planInputs) bool {
	old, ok := p[in.template.Service]
	if !ok || in.madeAt-old.madeAt >= emptyPlanLifetime {
		return false
	}
	old.madeAt = in.madeAt
	return reflect.DeepEqual(old, in)
}

// gatewayPlanInputs are all inputs of the plan of a cell's gateways.
type gatewayPlanInputs struct {
	recordVersion uint64 // store version of the record
	alive         []lease.Incarnation
	targets       []placement.TargetRef
	isSteady      bool
}

// equal reports whether two plans have the same inputs.
func (in gatewayPlanInputs) equal(other gatewayPlanInputs) bool {
	return in.recordVersion == other.recordVersion && in.isSteady == other.isSteady &&
		slices.Equal(in.alive, other.alive) && slices.Equal(in.targets, other.targets)
}
