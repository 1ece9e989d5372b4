package lease

// faults disables individual rules of the protocol. The zero value disables none; only
// tests set fields, to show that a rule is needed and that a test detects its absence.
type faults struct {
	skipWait          bool // a new holder does not wait after its stop completes
	waitFromStart     bool // the wait counts from the store's update
	joinWithoutWait   bool // a restarted voter votes at once
	joinAfterLease    bool // a restarted voter votes after one lease
	joinWithoutStops  bool // a new voter ignores the stops that old voters hand over
	answerOldRecord   bool // a voter that promised a newer record still answers under the old one
	anchorAtReceipt   bool // a vote counts from the receipt of its reply
	storeFromReceipt  bool // a store lease counts from the receipt of its reply
	sendAfterPause    bool // a holder's right never expires
	skipNext          bool // a move does not stop the epoch of the agreed next owner
	skipPinned        bool // a pinned key's owner does not stop the key's old shard
	staleActivation   bool // a holder counts votes requested before the end of its wait
	grantFromReceipt  bool // a grant's TTL counts from its receipt
	grantOutlivesVote bool // a grant's TTL ignores when the gateway's votes expire
	renewAnyList      bool // a grant renews the target's list even if the gateway now serves other shards
	keepReleased      bool // a holder continues under a right to a target that it released
	followAnyMark     bool // a line follows the newest release mark, whichever epochs the mark covers
	releaseLate       bool // a right is released although it ended before a majority stopped it
	acceptAnyMoveMark bool // a line accepts a release mark that names another line
	acceptAnyClaims   bool // a voter votes for omitted claims whichever list it holds
}
