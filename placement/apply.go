package placement

import (
	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/ownership"
)

// Apply returns the page after a decision, or an error such as
// ownership.ErrMoving if the decision does not apply to the page.
func (d Decision) Apply(page ownership.Page, change ownership.Change) (ownership.Page, error) {
	change.Reason = string(d.Reason)
	to := ownership.Place{Cell: d.Cell, Target: d.Target}
	next := d.nextPlace()
	switch d.Action {
	case ActionMove:
		return ownership.BeginMove(page, d.Shard, to, d.Kind, next, change)
	case ActionNext:
		if next == nil {
			return page, errors.Wrapf(ownership.ErrNoTarget, "successor of shard %d", d.Shard)
		}
		return ownership.SetNext(page, d.Shard, *next, change)
	case ActionPin:
		return ownership.Pin(page, d.Key, to, change)
	case ActionUnpin:
		return ownership.Unpin(page, d.Key, change)
	default:
		return page, errors.Newf("action %q of a decision is not known", string(d.Action))
	}
}

// nextPlace returns the place of the successor, or nil if there is none.
func (d Decision) nextPlace() *ownership.Place {
	if d.Next == "" {
		return nil
	}
	return &ownership.Place{Cell: d.Cell, Target: d.Next}
}
