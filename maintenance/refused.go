package maintenance

import (
	"fmt"
	"time"
)

// RefusedError is the error of an event that a stop does not accept. Last is
// the newest accepted transition, which tells an operator whose change came
// first.
type RefusedError struct {
	Stop   string
	Event  string
	State  State
	Reason string
	Last   *Entry
}

// Error returns the reason and the newest accepted transition.
func (r *RefusedError) Error() string {
	text := fmt.Sprintf("stop %s is %s: %s refused: %s", r.Stop, r.State, r.Event, r.Reason)
	if r.Last == nil {
		return text
	}
	at := time.UnixMilli(r.Last.AtMS).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s (last change: %s by %s at %s)", text, r.Last.Event, r.Last.By, at)
}

func newRefusedError(s Stop, e Event, format string, args ...any) error {
	r := &RefusedError{Stop: s.ID, Event: e.name(), State: s.State, Reason: fmt.Sprintf(format, args...)}
	if len(s.History) > 0 {
		last := s.History[len(s.History)-1]
		r.Last = &last
	}
	return r
}
