package entry

import (
	"github.com/mangopost/mangopost/lease/coordinator"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

// keptTerm is what a term knew when the store's era ended it. It is all that there is to
// know of owners and grants, as long as nobody else has taken the role.
type keptTerm struct {
	floor grants.Floor
	maps  map[string]*keyrange.Map // by service, as last acknowledged in the era before
}

// keepTerm ends a term whose lease ended with the store's era, and keeps what it knew. The
// term sends nothing more: its lease has ended.
func (c *candidate) keepTerm() {
	c.mu.Lock()
	t, keeps := c.term, c.election.KeepsRole()
	c.mu.Unlock()
	if t == nil || !keeps {
		return
	}
	floor := t.quiesce()
	maps := t.acknowledgedMaps()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = &keptTerm{floor: floor, maps: maps}
}

// acknowledgedMaps returns the maps under which the term may have granted keys. A map that
// must be read again is not among them: another may have been written since.
func (t *term) acknowledgedMaps() map[string]*keyrange.Map {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]*keyrange.Map)
	for service, m := range t.maps {
		if m != nil && m.keys != nil {
			out[service] = m.keys
		}
	}
	return out
}

// takeKept returns what the last term knew if this host goes on from it, and nil
// otherwise. It is used once. c.mu is held.
func (c *candidate) takeKept() *keptTerm {
	kept := c.kept
	c.kept = nil
	if !c.election.FollowsItself() {
		return nil
	}
	return kept
}

// newLedgerOf returns the ledger of a term that goes on from a kept one, or that follows
// the predecessor of the lease.
func newLedgerOf(kept *keptTerm, e *coordinator.Election) *grants.Ledger {
	if kept != nil {
		return grants.NewLedgerWithFloor(kept.floor)
	}
	return newLedger(e.Predecessor())
}
