package e2e_test

import (
	"time"

	"github.com/mangopost/mangopost/internal/e2e"
)

// cutProofs returns the proofs for cuts between hosts. While one host is cut off,
// only callers of the other hosts are measured.
func cutProofs() []proof {
	const (
		servedAgain      = "key served again"
		servedThroughout = "key served throughout"
		duration         = 2 * time.Second
	)
	checkingTargets := e2e.Options{ChecksGrants: true, LinkHosts: true}
	uncheckedTargets := e2e.Options{LinkHosts: true}
	return []proof{
		{servedAgain, "hosts cut: one from all and the platform", checkingTargets, (*e2e.Cluster).IsolateHostAndCutPlatform, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "hosts cut: one from all and the platform, unchecked targets", uncheckedTargets, (*e2e.Cluster).IsolateHostAndCutPlatform, duration, servedAgainLimit, measureRecovery, true},
		{servedAgain, "hosts cut: one from all", checkingTargets, (*e2e.Cluster).IsolateHost, duration, servedAgainLimit, measureRecovery, true},
		{servedThroughout, "hosts cut: a pair", checkingTargets, (*e2e.Cluster).CutPair, duration, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "hosts cut: a pair, callers of one", checkingTargets, (*e2e.Cluster).CutPairMeasuredAtPeer, duration, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "hosts cut: from the gateway to one", checkingTargets, (*e2e.Cluster).CutFromGateway, duration, servedAgainLimit, measureLongestGap, true},
		{servedThroughout, "hosts cut: from one to the gateway", checkingTargets, (*e2e.Cluster).CutToGateway, duration, servedAgainLimit, measureLongestGap, true},
	}
}
