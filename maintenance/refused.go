package maintenance

import (
	"fmt"
	"time"
)

// Refused is the error of an event that a stop does not accept. Last is the newest
// accepted transition, which tells an operator whose change came first.
type Refused struct {
	Stop  string
	Event string
	State State
	Why   string
	Last  *Entry
}

// Error returns the reason and the newest accepted transition.
func (r *Refused) Error() string {
	text := fmt.Sprintf("stop %s is %s: %s refused: %s", r.Stop, r.State, r.Event, r.Why)
	if r.Last == nil {
		return text
	}
	at := time.UnixMilli(r.Last.AtMS).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s (last change: %s by %s at %s)", text, r.Last.Event, r.Last.By, at)
}

func newRefused(s Stop, e Event, format string, args ...any) error {
	r := &Refused{Stop: s.ID, Event: e.name(), State: s.State, Why: fmt.Sprintf(format, args...)}
	if len(s.History) > 0 {
		last := s.History[len(s.History)-1]
		r.Last = &last
	}
	return r
}
