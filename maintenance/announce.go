package maintenance

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/mangopost/mangopost/finding"
)

// Announcement is an operator's request for a new stop.
type Announcement struct {
	Meta          // request ID and operator
	StopID string // name of the stop
	Scope  Scope
	Start  time.Time
	Reason string
}

var stopIDPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

// Announce returns a new stop, or every fault of the announcement. Others are the
// existing stops.
func Announce(a Announcement, snap Snapshot, others []Stop, now time.Time) (Stop, []finding.Finding) {
	s := Stop{
		ID:          a.StopID,
		Scope:       a.Scope,
		State:       Announced,
		StartMS:     a.Start.UnixMilli(),
		Reason:      a.Reason,
		AnnouncedBy: a.By,
		AnnouncedMS: now.UnixMilli(),
	}
	s = refreshRequirements(s, snap)
	findings := checkAnnouncement(a, s, snap, others, now)
	if len(findings) > 0 {
		return Stop{}, findings
	}
	s.State = stateFromCalls(s)
	return appendHistory(s, "announce", a.Meta, a.Reason, now), nil
}

func checkAnnouncement(a Announcement, s Stop, snap Snapshot, others []Stop, now time.Time) []finding.Finding {
	var findings []finding.Finding
	addFinding := func(path, hint, format string, args ...any) {
		findings = append(findings, finding.Finding{Path: path, Hint: hint, Message: fmt.Sprintf(format, args...)})
	}
	if a.ID == "" || a.By == "" {
		addFinding("operator", "", "the request has no ID or names no operator")
	}
	if !stopIDPattern.MatchString(a.StopID) {
		addFinding("id", "1 to 64 of a-z, 0-9, dot, dash and underscore", "%q is not a name", a.StopID)
	}
	checkScope(a.Scope, snap.Targets, addFinding)
	checkStart(a.Start, now, addFinding)
	for _, c := range AffectedClients(snap.Config, s.Services) {
		if !c.MayStop(a.Start) {
			addFinding("start", "", "client %s takes a planned stop from %s to %s %s only", c.Name, c.StopFrom, c.StopUntil, c.Zone)
		}
	}
	checkOverlap(a, snap.Targets, others, addFinding)
	return findings
}

func checkScope(scope Scope, targets []Target, addFinding func(path, hint, format string, args ...any)) {
	fieldsSet := 0
	for _, given := range []bool{len(scope.Targets) > 0, scope.Service != "", scope.DataCentre != ""} {
		if given {
			fieldsSet++
		}
	}
	if fieldsSet != 1 {
		addFinding("scope", "", "set exactly one of targets, service and data centre")
		return
	}
	for _, name := range scope.Targets {
		if !slices.ContainsFunc(targets, func(t Target) bool { return t.Name == name }) {
			addFinding("scope.targets", "", "the host list has no target %q", name)
		}
	}
	n := len(scope.CoveredTargets(targets))
	if n == 0 && len(scope.Targets) == 0 {
		addFinding("scope", "", "the host list has no target in this scope")
	}
	if n > MaxTargets {
		addFinding("scope", "", "the scope covers %d targets, more than the maximum of %d", n, MaxTargets)
	}
}

func checkStart(start, now time.Time, addFinding func(path, hint, format string, args ...any)) {
	if start.Before(now) {
		addFinding("start", "", "%s has passed", start.Format(time.RFC3339))
	}
	if start.After(now.Add(MaxTimeToStart)) {
		addFinding("start", "", "%s is more than %d days ahead", start.Format(time.RFC3339), int(MaxTimeToStart.Hours())/24)
	}
}

// checkOverlap rejects a second active stop of the same target, as its clients
// would be called twice.
func checkOverlap(a Announcement, targets []Target, others []Stop, addFinding func(path, hint, format string, args ...any)) {
	for _, other := range others {
		if !other.Active() || other.ID == a.StopID {
			continue
		}
		if t, ok := a.Scope.SharedTarget(other.Scope, targets); ok {
			addFinding("scope", "cancel or finish it first", "target %s is already part of stop %s, announced by %s", t.Name, other.ID, other.AnnouncedBy)
		}
	}
}
