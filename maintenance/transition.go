package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mangopost/mangopost/template"
)

// Apply returns the stop after an event, to be written by one conditional update.
// If the event is refused, it returns the unchanged stop and the refusal as an
// error. If the event has no effect, it returns the unchanged stop, which needs no
// write.
func Apply(s Stop, e Event, now time.Time) (Stop, error) {
	if _, done := s.Find(e.meta().ID); done && e.meta().ID != "" {
		return s, nil
	}
	switch e := e.(type) {
	case Called:
		return applyCalled(s, e, now)
	case Refresh:
		return applyRefresh(s, e, now)
	case Begin:
		return applyBegin(s, e, now)
	case Confirm:
		return applyConfirm(s, e, now)
	case Drained:
		return applyDrained(s, e, now)
	case Cancel:
		return applyCancel(s, e, now)
	case Finish:
		return applyFinish(s, e, now)
	default:
		return s, newRefusedError(s, e, "unknown event")
	}
}

// Changed reports whether an event changed a stop, which must then be written. It
// compares the newest request IDs as well as the lengths of the histories, as the
// length of a full history does not change.
func Changed(before, after Stop) bool {
	return lastRequestID(before) != lastRequestID(after) || len(before.History) != len(after.History)
}

func lastRequestID(s Stop) string {
	if len(s.History) == 0 {
		return ""
	}
	return s.History[len(s.History)-1].ID
}

// isPending reports whether the stop has not begun and may still begin.
func (s Stop) isPending() bool {
	return s.State == Announced || s.State == Calling || s.State == Cleared
}

func applyCalled(s Stop, e Called, now time.Time) (Stop, error) {
	if !s.isPending() {
		return s, newRefusedError(s, e, "calls are recorded before a stop begins")
	}
	i := slices.IndexFunc(s.Calls, func(c Call) bool { return c.Client == e.Client })
	if i < 0 {
		return s, newRefusedError(s, e, "client %q is not affected by this stop", e.Client)
	}
	if c := s.Calls[i]; c.Called() {
		at := time.UnixMilli(c.CalledAtMS).UTC().Format(time.RFC3339)
		return s, newRefusedError(s, e, "client %s was already called by %s at %s", c.Client, c.CalledBy, at)
	}
	if e.AtMS < s.AnnouncedMS || e.AtMS > now.UnixMilli() {
		return s, newRefusedError(s, e, "the time of the call must be between the announcement and now")
	}
	s.Calls = slices.Clone(s.Calls)
	s.Calls[i].CalledAtMS = e.AtMS
	s.Calls[i].CalledBy = e.By
	s.Calls[i].Note = e.Note
	s.State = stateFromCalls(s)
	return appendHistory(s, e.name(), e.Meta, e.Client, now), nil
}

func applyRefresh(s Stop, e Refresh, now time.Time) (Stop, error) {
	if !s.isPending() && s.State != Draining {
		return s, nil
	}
	next := refreshRequirements(s, e.Snapshot)
	if next.State != Draining {
		next.State = stateFromCalls(next)
	}
	if requirementsEqual(s, next) {
		return s, nil
	}
	return appendHistory(next, e.name(), e.Meta, describeUncalled(next), now), nil
}

// requirementsEqual reports whether two versions of a stop have the same state,
// services, calls and targets.
func requirementsEqual(a, b Stop) bool {
	return a.State == b.State &&
		slices.Equal(a.Services, b.Services) &&
		slices.Equal(a.Calls, b.Calls) &&
		slices.Equal(a.Targets, b.Targets)
}

func describeUncalled(s Stop) string {
	names := make([]string, 0, len(s.Calls))
	for _, c := range s.UncalledClients() {
		names = append(names, c.Client)
	}
	if len(names) == 0 {
		return "nobody is left to call"
	}
	return "to be called: " + strings.Join(names, ", ")
}

func applyBegin(s Stop, e Begin, now time.Time) (Stop, error) {
	if !s.isPending() {
		return s, newRefusedError(s, e, "it is not waiting for its start")
	}
	next := refreshRequirements(s, e.Snapshot)
	next.State = stateFromCalls(next)
	if next.State != Cleared {
		if requirementsEqual(s, next) {
			return s, newRefusedError(s, e, "%s", describeUncalled(s))
		}
		return appendHistory(next, "refresh", e.Meta, describeUncalled(next), now), nil
	}
	if why := reasonNotToBegin(next, e.Snapshot.Config, now); why != "" {
		return s, newRefusedError(s, e, "%s", why)
	}
	targets := next.Scope.CoveredTargets(e.Snapshot.Targets)
	if len(targets) == 0 {
		return s, newRefusedError(s, e, "the host list has no target in this scope")
	}
	next.State = Draining
	next.BegunMS = now.UnixMilli()
	next.Targets = targets
	return appendHistory(next, e.name(), e.Meta, "", now), nil
}

// reasonNotToBegin returns why the stop may not begin now, or "" if it may.
func reasonNotToBegin(s Stop, cfg template.Config, now time.Time) string {
	switch {
	case now.Before(s.Start()):
		return "its announced start has not been reached"
	case now.After(s.Start().Add(MaxStartDelay)):
		return fmt.Sprintf("its start passed more than %v ago; cancel it and announce another", MaxStartDelay)
	case cfg.Version < s.ConfigVersion:
		return fmt.Sprintf("configuration %d is older than %d, from which the calls were computed", cfg.Version, s.ConfigVersion)
	}
	for _, c := range AffectedClients(cfg, s.Services) {
		if !c.MayStop(now) {
			return fmt.Sprintf("client %s takes a planned stop from %s to %s %s only", c.Name, c.StopFrom, c.StopUntil, c.Zone)
		}
	}
	return ""
}

func applyConfirm(s Stop, e Confirm, now time.Time) (Stop, error) {
	if s.State != Draining {
		return s, newRefusedError(s, e, "it has not begun")
	}
	if s.Confirmed {
		return s, nil
	}
	if e.Snapshot.Config.Version < s.ConfigVersion {
		return s, newRefusedError(s, e, "configuration %d is older than %d, from which the calls were computed", e.Snapshot.Config.Version, s.ConfigVersion)
	}
	next := refreshRequirements(s, e.Snapshot)
	if len(next.UncalledClients()) > 0 || reasonNotToBegin(next, e.Snapshot.Config, now) != "" {
		next.State = stateFromCalls(next)
		next.BegunMS = 0
		next.Targets = nil
		return appendHistory(next, "withdraw", e.Meta, describeUncalled(next), now), nil
	}
	next.Confirmed = true
	return appendHistory(next, e.name(), e.Meta, "", now), nil
}

func applyDrained(s Stop, e Drained, now time.Time) (Stop, error) {
	if s.State != Draining || !s.Confirmed {
		return s, newRefusedError(s, e, "it is not being drained")
	}
	next := s
	for _, name := range e.Targets {
		if !slices.ContainsFunc(s.Targets, func(t Target) bool { return t.Name == name }) {
			return s, newRefusedError(s, e, "target %q is not part of it", name)
		}
		next.Drained = unionSorted(next.Drained, []string{name})
	}
	if len(next.Drained) == len(s.Drained) {
		return s, nil
	}
	if len(next.Drained) == len(next.Targets) {
		next.State = Stopped
	}
	return appendHistory(next, e.name(), e.Meta, strings.Join(e.Targets, ", "), now), nil
}

func applyCancel(s Stop, e Cancel, now time.Time) (Stop, error) {
	if s.State == Stopped || s.State == Cancelled {
		return s, newRefusedError(s, e, "it can no longer be cancelled")
	}
	s.State = Cancelled
	return appendHistory(s, e.name(), e.Meta, e.Reason, now), nil
}

func applyFinish(s Stop, e Finish, now time.Time) (Stop, error) {
	if s.State != Stopped || s.Finished {
		return s, newRefusedError(s, e, "only a stop in state stopped that is not finished yet can be finished")
	}
	s.Finished = true
	return appendHistory(s, e.name(), e.Meta, "", now), nil
}

// appendHistory appends a transition to the history and drops the oldest entries
// beyond MaxHistory.
func appendHistory(s Stop, event string, m Meta, what string, now time.Time) Stop {
	entry := Entry{ID: m.ID, Event: event, By: m.By, State: s.State, AtMS: now.UnixMilli(), What: what}
	s.History = append(slices.Clone(s.History), entry)
	if len(s.History) > MaxHistory {
		s.History = s.History[len(s.History)-MaxHistory:]
	}
	return s
}
