package lease

import "time"

// Faults disables rules of the protocol, one each.
type Faults struct{ set func(*faults) }

// Faults used by tests, named after the rule that each disables.
var (
	NoFault           = Faults{func(*faults) {}}
	SkipWait          = Faults{func(f *faults) { f.skipWait = true }}
	WaitFromStart     = Faults{func(f *faults) { f.waitFromStart = true }}
	JoinWithoutWait   = Faults{func(f *faults) { f.joinWithoutWait = true }}
	JoinAfterLease    = Faults{func(f *faults) { f.joinAfterLease = true }}
	JoinWithoutStops  = Faults{func(f *faults) { f.joinWithoutStops = true }}
	AnswerOldRecord   = Faults{func(f *faults) { f.answerOldRecord = true }}
	AnchorAtReceipt   = Faults{func(f *faults) { f.anchorAtReceipt = true }}
	StoreFromReceipt  = Faults{func(f *faults) { f.storeFromReceipt = true }}
	SendAfterPause    = Faults{func(f *faults) { f.sendAfterPause = true }}
	SkipNext          = Faults{func(f *faults) { f.skipNext = true }}
	SkipPinned        = Faults{func(f *faults) { f.skipPinned = true }}
	StaleActivation   = Faults{func(f *faults) { f.staleActivation = true }}
	GrantFromReceipt  = Faults{func(f *faults) { f.grantFromReceipt = true }}
	GrantOutlivesVote = Faults{func(f *faults) { f.grantOutlivesVote = true }}
	RenewAnyList      = Faults{func(f *faults) { f.renewAnyList = true }}
	KeepReleased      = Faults{func(f *faults) { f.keepReleased = true }}
	FollowAnyMark     = Faults{func(f *faults) { f.followAnyMark = true }}
	ReleaseLate       = Faults{func(f *faults) { f.releaseLate = true }}
	AcceptAnyMoveMark = Faults{func(f *faults) { f.acceptAnyMoveMark = true }}
	AcceptAnyClaims   = Faults{func(f *faults) { f.acceptAnyClaims = true }}
)

// FreshReports returns the shard lists of a vote request, rebuilt now.
func (h *Holder) FreshReports(now time.Duration) (serving, stopped, unreleased []ShardEpoch) {
	return h.serving(now), h.stopped(now), h.unreleased(now)
}

// SetFaults applies faults to a voter.
func (v *Voter) SetFaults(f Faults) { f.set(&v.faults) }

// SetFaults applies faults to a holder.
func (h *Holder) SetFaults(f Faults) { f.set(&h.faults) }

// SetFaults applies faults to a gateway's grants.
func (g *Grants) SetFaults(f Faults) { f.set(&g.faults) }

// SetFaults applies faults to a target.
func (g *TargetGuard) SetFaults(f Faults) { f.set(&g.faults) }
