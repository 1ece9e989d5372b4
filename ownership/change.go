package ownership

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of changes that do not apply to a page.
var (
	// ErrNoShard means that the page has no shard with this number.
	ErrNoShard = errors.New("no such shard")
	// ErrNoTarget means that there is no target that could own the shard.
	ErrNoTarget = errors.New("no target")
	// ErrMoving means that the shard has an unfinished move, which must be completed
	// or forced first.
	ErrMoving = errors.New("shard has an unfinished move")
	// ErrEpoch means that the change is for another epoch than the shard has.
	ErrEpoch = errors.New("shard has another epoch")
	// ErrNextCell means that the next owner must be in the same cell as the owner.
	ErrNextCell = errors.New("next owner is of another cell than the owner")
	// ErrPinned means that the key to pin is pinned already, or the key to unpin is
	// not pinned.
	ErrPinned = errors.New("key is pinned already or not at all")
)

// Place is a target of a cell.
type Place struct {
	Cell   string `json:"cell"`
	Target string `json:"target"`
}

// At returns the assignment of a shard to the place at an epoch.
func (p Place) At(epoch Epoch) Assignment {
	return Assignment{Cell: p.Cell, Target: p.Target, Epoch: epoch}
}

// Place returns the target of the assignment, without the epoch.
func (a Assignment) Place() Place { return Place{Cell: a.Cell, Target: a.Target} }

// Change holds the time, the reason and the stamp of a change of a page.
type Change struct {
	NowMS  int64 // Unix time
	Reason string
	Stamp  Stamp
}

// NewPage returns the first page of a service, with its shards assigned to the
// places in round-robin order.
func NewPage(service string, shards uint32, places []Place, change Change) (Page, error) {
	if len(places) == 0 {
		return Page{}, errors.Wrapf(ErrNoTarget, "service %q", service)
	}
	page := Page{Service: service, Stamp: change.Stamp, Shards: make([]Shard, shards)}
	for i := range page.Shards {
		place := places[i%len(places)]
		page.Shards[i] = Shard{Assignment: place.At(1), SinceMS: change.NowMS, Reason: change.Reason}
	}
	return page, nil
}

// BeginMove assigns a shard to another place, at an epoch above both the shard's
// and that of its agreed next owner. next, if any, becomes the agreed next owner
// and must be in the same cell as to. A planned move requires that the previous
// move is complete; a lost move supersedes it.
func BeginMove(page Page, shard uint32, to Place, kind MoveKind, next *Place, change Change) (Page, error) {
	page = page.clone(change)
	s := page.shard(shard)
	if s == nil {
		return Page{}, errors.Wrapf(ErrNoShard, "shard %d", shard)
	}
	if s.Move != nil && kind == MovePlanned {
		return Page{}, errors.Wrapf(ErrMoving, "shard %d", shard)
	}
	if next != nil && next.Cell != to.Cell {
		return Page{}, errors.Wrapf(ErrNextCell, "shard %d", shard)
	}
	s.beginMove(to, kind, change)
	s.setNext(next)
	return page, nil
}

// BeginFencedMove assigns a shard to another place after the store lease of its
// owner's cell was revoked. It begins a lost move for which the voters of that
// cell need not be asked.
func BeginFencedMove(page Page, shard uint32, to Place, change Change) (Page, error) {
	page, err := BeginMove(page, shard, to, MoveLost, nil, change)
	if err != nil {
		return Page{}, err
	}
	move := page.shard(shard).Move
	move.Fenced = append(move.Fenced, move.From.Cell)
	return page, nil
}

// beginMove starts a move to a place at the next unused epoch. The cells and stops
// of an unfinished move that it supersedes are carried over.
func (s *Shard) beginMove(to Place, kind MoveKind, change Change) {
	top := s.HighestEpoch()
	move := &Move{From: s.Assignment, Kind: kind, Stop: top}
	if s.Move != nil {
		move.Cells = without(s.Cells(), s.Cell)
		move.AlsoStop = s.Move.AlsoStop
		move.Fenced = without(s.Move.Fenced, s.Cell)
	}
	s.Assignment = to.At(top + 1)
	s.Move = move
	s.Next = nil
	s.SinceMS = change.NowMS
	s.Reason = change.Reason
}

// setNext sets the next owner, at the epoch after the owner's, or clears it.
func (s *Shard) setNext(next *Place) {
	s.Next = nil
	if next != nil {
		a := next.At(s.Epoch + 1)
		s.Next = &a
	}
}

// SetNext sets the next owner of a shard, which may take over while the store is
// down. Its epoch is above that of any earlier agreed next owner, because that
// one may already have taken over.
func SetNext(page Page, shard uint32, next Place, change Change) (Page, error) {
	page = page.clone(change)
	s := page.shard(shard)
	if s == nil {
		return Page{}, errors.Wrapf(ErrNoShard, "shard %d", shard)
	}
	if next.Cell != s.Cell {
		return Page{}, errors.Wrapf(ErrNextCell, "shard %d", shard)
	}
	if s.Next != nil && s.Next.Place() == next {
		return page, nil
	}
	a := next.At(s.HighestEpoch() + 1)
	s.Next = &a
	return page, nil
}

// CompleteMove records that the shard is served at epoch, which completes its
// move. If the epoch is that of the agreed next owner, that one becomes the
// owner.
func CompleteMove(page Page, shard uint32, epoch Epoch, change Change) (Page, error) {
	page = page.clone(change)
	s := page.shard(shard)
	switch {
	case s == nil:
		return Page{}, errors.Wrapf(ErrNoShard, "shard %d", shard)
	case s.Next != nil && s.Next.Epoch == epoch:
		s.Assignment = *s.Next
		s.Next = nil
		s.SinceMS = change.NowMS
		s.Reason = change.Reason
	case s.Epoch != epoch:
		return Page{}, errors.Wrapf(ErrEpoch, "shard %d: %d, not %d", shard, s.Epoch, epoch)
	}
	page.freePins(s.Move)
	s.Move = nil
	return page, nil
}

// freePins ends the moves of the pins whose keys the moved shard received back,
// so that the pins can be reused.
func (p *Page) freePins(move *Move) {
	if move == nil {
		return
	}
	for _, also := range move.AlsoStop {
		if pin := p.shard(also.Shard); pin != nil && pin.Target == "" {
			pin.Move = nil
		}
	}
}

// ForceMove turns the unfinished planned move of a shard into a lost one, for an old
// owner that does not release it.
func ForceMove(page Page, shard uint32, epoch Epoch, change Change) (Page, error) {
	page = page.clone(change)
	s := page.shard(shard)
	if s == nil {
		return Page{}, errors.Wrapf(ErrNoShard, "shard %d", shard)
	}
	if s.Epoch != epoch || s.Move == nil {
		return Page{}, errors.Wrapf(ErrEpoch, "shard %d: %d, not %d", shard, s.Epoch, epoch)
	}
	s.Move.Kind = MoveLost
	s.Reason = change.Reason
	return page, nil
}

// clone returns a deep copy of the page with the stamp of the change.
func (p Page) clone(change Change) Page {
	p.Shards = cloneShards(p.Shards)
	p.Pins = cloneShards(p.Pins)
	p.Stamp = change.Stamp
	return p
}

func cloneShards(shards []Shard) []Shard {
	shards = slices.Clone(shards)
	for i := range shards {
		shards[i] = shards[i].clone()
	}
	return shards
}

func (s Shard) clone() Shard {
	if s.Next != nil {
		next := *s.Next
		s.Next = &next
	}
	if s.Move != nil {
		move := *s.Move
		move.Cells = slices.Clone(move.Cells)
		move.AlsoStop = slices.Clone(move.AlsoStop)
		move.Fenced = slices.Clone(move.Fenced)
		s.Move = &move
	}
	return s
}

// shard returns the shard with the given number, which may be that of a pin, or
// nil.
func (p *Page) shard(n uint32) *Shard {
	shards := uint32(len(p.Shards))
	if n < shards {
		return &p.Shards[n]
	}
	if n-shards < uint32(len(p.Pins)) {
		return &p.Pins[n-shards]
	}
	return nil
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(names, func(n string) bool { return n == name })
}
