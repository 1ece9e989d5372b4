package e2e_test

import "testing"

// maxConcurrentClusters limits how many tests that call acquireClusterSlot run
// at once, so that their clusters do not starve each other and those of other
// tests.
const maxConcurrentClusters = 2

var clusterSlots = make(chan struct{}, maxConcurrentClusters)

// acquireClusterSlot waits for a free slot. The slot is released after the test
// has ended and its cluster is closed.
func acquireClusterSlot(t *testing.T) {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}
