package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform"
)

// Deployments whose terms name neither contract are served as before.
func TestCapacityIsReservedUnderContractsOnly(t *testing.T) {
	for contract, want := range map[string]bool{"": false, "other": false, platform.ContractPlaces: true, platform.ContractPressure: true} {
		n := &Node{}
		n.settings.Store(&platform.Settings{Contracts: []string{"more", contract}})
		assert.Equal(t, n.reservesUrgent(), want, contract)
	}
}
