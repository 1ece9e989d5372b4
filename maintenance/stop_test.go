package maintenance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/template"
)

var (
	announced = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)
	start     = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC) // 23:00 in Kuala Lumpur
)

func client(name string, services ...string) template.Client {
	return template.Client{
		Name: name, Phone: "+60 3 0000 0101", Services: services, Weight: 1,
		StopFrom: "22:00", StopUntil: "05:00", Zone: "Asia/Kuala_Lumpur",
	}
}

func snapshot(version uint64, clients ...template.Client) maintenance.Snapshot {
	return maintenance.Snapshot{
		Config: template.Config{Version: version, Clients: clients},
		Targets: []maintenance.Target{
			{Name: "katalog-1", Service: "katalog", DataCentre: "kl-utama"},
			{Name: "katalog-2", Service: "katalog", DataCentre: "penang"},
			{Name: "bayaran-1", Service: "bayaran", DataCentre: "kl-utama"},
		},
	}
}

var (
	deskUM       = client("desk-um", "katalog", "bayaran")
	deskUSM      = client("desk-usm", "katalog")
	payClient    = client("pay", "bayaran")
	baseSnapshot = snapshot(1, deskUM, deskUSM, payClient)
)

func announcement(scope maintenance.Scope) maintenance.Announcement {
	return maintenance.Announcement{
		Meta: maintenance.Meta{ID: "a", By: "aina"}, StopID: "s1", Scope: scope, Start: start, Reason: "disks",
	}
}

func announce(t testing.TB, scope maintenance.Scope) maintenance.Stop {
	t.Helper()
	s, findings := maintenance.Announce(announcement(scope), baseSnapshot, nil, announced)
	assert.Equal(t, len(findings), 0, "%v", findings)
	return s
}

func callEvent(s maintenance.Stop, name string) maintenance.Called {
	at := time.UnixMilli(s.AnnouncedMS).Add(time.Minute)
	return maintenance.Called{Meta: maintenance.Meta{ID: "call-" + name, By: "bala"}, Client: name, AtMS: at.UnixMilli()}
}

func apply(t testing.TB, s maintenance.Stop, now time.Time, events ...maintenance.Event) maintenance.Stop {
	t.Helper()
	for _, e := range events {
		next, err := maintenance.Apply(s, e, now)
		assert.NilError(t, err)
		s = next
	}
	return s
}

func TestAnnounceListsAffectedClients(t *testing.T) {
	tests := []struct {
		scope maintenance.Scope
		want  []string
	}{
		{maintenance.Scope{Targets: []string{"katalog-2"}}, []string{"desk-um", "desk-usm"}},
		{maintenance.Scope{Service: "bayaran"}, []string{"desk-um", "pay"}},
		{maintenance.Scope{DataCentre: "kl-utama"}, []string{"desk-um", "desk-usm", "pay"}},
	}
	for _, test := range tests {
		var got []string
		for _, c := range announce(t, test.scope).Calls {
			got = append(got, c.Client)
		}
		assert.DeepEqual(t, got, test.want)
	}
}

func TestAnnounceReportsFindings(t *testing.T) {
	service := maintenance.Scope{Service: "katalog"}
	other := announce(t, maintenance.Scope{DataCentre: "penang"})
	other.ID = "s0"
	tests := []struct {
		name   string
		change func(a *maintenance.Announcement)
		others []maintenance.Stop
		want   string
	}{
		{"start in the past", func(a *maintenance.Announcement) { a.Start = announced.Add(-time.Minute) }, nil, "has passed"},
		{"start too far ahead", func(a *maintenance.Announcement) { a.Start = start.AddDate(0, 6, 0) }, nil, "more than 90 days ahead"},
		{"outside the stop window of a client", func(a *maintenance.Announcement) { a.Start = announced.Add(time.Hour) }, nil, "client desk-um takes a planned stop from 22:00 to 05:00 Asia/Kuala_Lumpur only"},
		{"two scopes", func(a *maintenance.Announcement) { a.Scope.DataCentre = "penang" }, nil, "set exactly one of targets, service and data centre"},
		{"unknown target", func(a *maintenance.Announcement) { a.Scope = maintenance.Scope{Targets: []string{"x"}} }, nil, `the host list has no target "x"`},
		{"unknown service", func(a *maintenance.Announcement) { a.Scope = maintenance.Scope{Service: "x"} }, nil, "the host list has no target in this scope"},
		{"bad ID", func(a *maintenance.Announcement) { a.StopID = "A B" }, nil, `"A B" is not a name`},
		{"overlap", func(*maintenance.Announcement) {}, []maintenance.Stop{other}, "target katalog-2 is already part of stop s0, announced by aina"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := announcement(service)
			test.change(&a)
			_, findings := maintenance.Announce(a, baseSnapshot, test.others, announced)
			assert.Assert(t, len(findings) > 0)
			var all []string
			for _, f := range findings {
				all = append(all, f.String())
			}
			assert.Assert(t, strings.Contains(strings.Join(all, "\n"), test.want), "%v", all)
		})
	}
}

func TestStopFromAnnouncementToFinish(t *testing.T) {
	s := announce(t, maintenance.Scope{Service: "katalog"})
	assert.Equal(t, s.State, maintenance.Announced)
	s = apply(t, s, start.Add(-time.Hour), callEvent(s, "desk-um"))
	assert.Equal(t, s.State, maintenance.Calling)
	s = apply(t, s, start.Add(-time.Hour), callEvent(s, "desk-usm"))
	assert.Equal(t, s.State, maintenance.Cleared)
	assert.Assert(t, !maintenance.IsDue(s, start.Add(-time.Second)))
	assert.Assert(t, maintenance.IsDue(s, start))
	s = apply(t, s, start, maintenance.Begin{Snapshot: baseSnapshot})
	assert.Equal(t, len(maintenance.Effects(s)), 0) // not confirmed
	s = apply(t, s, start, maintenance.Confirm{Snapshot: baseSnapshot})
	assert.Equal(t, len(maintenance.Effects(s)), 2)
	s = apply(t, s, start, maintenance.Drained{Targets: []string{"katalog-2"}})
	assert.Equal(t, s.State, maintenance.Draining)
	s = apply(t, s, start, maintenance.Drained{Targets: []string{"katalog-1"}})
	assert.Equal(t, s.State, maintenance.Stopped)
	assert.Equal(t, len(maintenance.Effects(s)), 2)
	s = apply(t, s, start, maintenance.Finish{Meta: maintenance.Meta{By: "aina"}})
	assert.Equal(t, len(maintenance.Effects(s)), 0)
	assert.Assert(t, !s.Active())
}

func TestBeginIsRefusedUnlessAllConditionsHold(t *testing.T) {
	cleared := announce(t, maintenance.Scope{Service: "katalog"})
	partlyCalled := apply(t, cleared, start.Add(-time.Hour), callEvent(cleared, "desk-um"))
	cleared = apply(t, partlyCalled, start.Add(-time.Hour), callEvent(cleared, "desk-usm"))
	dayWindow := snapshot(2, deskUM, deskUSM)
	dayWindow.Config.Clients[1].StopFrom, dayWindow.Config.Clients[1].StopUntil = "09:00", "10:00"
	emptyHostList := baseSnapshot
	emptyHostList.Targets = nil
	tests := []struct {
		name string
		stop maintenance.Stop
		snap maintenance.Snapshot
		now  time.Time
		want string
	}{
		{"uncalled client", partlyCalled, baseSnapshot, start, "to be called: desk-usm"},
		{"before the start", cleared, baseSnapshot, start.Add(-time.Second), "its announced start has not been reached"},
		{"too late after the start", cleared, baseSnapshot, start.Add(maintenance.MaxStartDelay + time.Second), "its start passed more than 1h0m0s ago"},
		{"stop window changed", cleared, dayWindow, start, "client desk-usm takes a planned stop from 09:00 to 10:00"},
		{"old configuration", cleared, snapshot(0, deskUM), start, "configuration 0 is older than 1"},
		{"empty host list", cleared, emptyHostList, start, "the host list has no target in this scope"},
		{"already begun", apply(t, cleared, start, maintenance.Begin{Snapshot: baseSnapshot}), baseSnapshot, start, "not waiting for its start"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := maintenance.Apply(test.stop, maintenance.Begin{Snapshot: test.snap}, test.now)
			assert.ErrorContains(t, err, test.want)
			var refused *maintenance.RefusedError
			assert.Assert(t, errors.As(err, &refused))
			assert.DeepEqual(t, got, test.stop)
		})
	}
}

func TestNewClientReturnsStopToCalling(t *testing.T) {
	s := announce(t, maintenance.Scope{Service: "katalog"})
	s = apply(t, s, start.Add(-time.Hour), callEvent(s, "desk-um"), callEvent(s, "desk-usm"))
	withNewClient := snapshot(2, deskUM, deskUSM, client("desk-ums", "katalog"))

	refreshed := apply(t, s, start.Add(-time.Minute), maintenance.Refresh{Snapshot: withNewClient})
	assert.Equal(t, refreshed.State, maintenance.Calling)

	begun := apply(t, s, start, maintenance.Begin{Snapshot: withNewClient}) // Begin sees the new client
	assert.Equal(t, begun.State, maintenance.Calling)

	begun = apply(t, s, start, maintenance.Begin{Snapshot: baseSnapshot}) // only Confirm sees the new client
	begun = apply(t, begun, start, maintenance.Confirm{Snapshot: withNewClient})
	assert.Equal(t, begun.State, maintenance.Calling)
	assert.Equal(t, len(maintenance.Effects(begun)), 0)

	begun = apply(t, begun, start, callEvent(begun, "desk-ums"), maintenance.Begin{Snapshot: withNewClient}, maintenance.Confirm{Snapshot: withNewClient})
	assert.Equal(t, len(maintenance.Effects(begun)), 2)
	// Refresh with an unchanged snapshot changes nothing.
	assert.DeepEqual(t, apply(t, begun, start, maintenance.Refresh{Snapshot: withNewClient}), begun)
}

func TestRefusedEventNamesEarlierOperator(t *testing.T) {
	s := announce(t, maintenance.Scope{Service: "katalog"})
	cancelled := apply(t, s, announced, maintenance.Cancel{Meta: maintenance.Meta{ID: "c", By: "chong"}, Reason: "parts late"})
	_, err := maintenance.Apply(cancelled, callEvent(s, "desk-um"), start)
	assert.Error(t, err, "stop s1 is cancelled: called refused: calls are recorded before a stop begins (last change: cancel by chong at 2026-12-04T04:00:00Z)")

	called := apply(t, s, start, callEvent(s, "desk-um"))
	second := callEvent(s, "desk-um")
	second.ID, second.By = "other", "aina"
	_, err = maintenance.Apply(called, second, start)
	assert.ErrorContains(t, err, "client desk-um was already called by bala")
	// Repeating a request, as after a lost answer, changes nothing.
	assert.DeepEqual(t, apply(t, called, start, callEvent(s, "desk-um")), called)
}

func TestCallOutsideAnnouncementAndNowIsRefused(t *testing.T) {
	s := announce(t, maintenance.Scope{Service: "katalog"})
	for _, at := range []time.Time{announced.Add(-time.Second), announced.Add(time.Hour)} {
		e := callEvent(s, "desk-um")
		e.AtMS = at.UnixMilli()
		_, err := maintenance.Apply(s, e, announced.Add(time.Minute))
		assert.ErrorContains(t, err, "between the announcement and now")
	}
}

// TestStopHasNoEffectBeforeAllClientsAreCalled applies random events to a stop while
// the configuration changes. After every event it verifies that the stop has no
// effect before each affected client was called, nor at a time of day that a
// client's parameters do not allow.
func TestStopHasNoEffectBeforeAllClientsAreCalled(t *testing.T) {
	pool := []template.Client{deskUM, deskUSM, payClient, client("desk-ums", "katalog")}
	rapid.Check(t, func(t *rapid.T) {
		s, _ := maintenance.Announce(announcement(maintenance.Scope{Service: "katalog"}), baseSnapshot, nil, announced)
		now := start.Add(-30 * time.Minute)
		current := baseSnapshot // in the store
		stale := baseSnapshot   // as last read by a placer
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "minutes")) * time.Minute)
			meta := maintenance.Meta{ID: fmt.Sprint(i), By: "x"}
			var e maintenance.Event
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				n := rapid.IntRange(2, len(pool)).Draw(t, "clients")
				current = snapshot(current.Config.Version+1, pool[:n]...)
				continue
			case 1:
				stale = current
				continue
			case 2, 3:
				c := rapid.SampledFrom(pool).Draw(t, "called").Name
				e = maintenance.Called{Meta: meta, Client: c, AtMS: now.UnixMilli()}
			case 4:
				e = maintenance.Refresh{Meta: meta, Snapshot: stale}
			case 5, 6:
				e = maintenance.Begin{Meta: meta, Snapshot: stale}
			case 7:
				e = maintenance.Confirm{Meta: meta, Snapshot: current} // Confirm always uses a fresh read
			case 8:
				e = maintenance.Drained{Meta: meta, Targets: []string{"katalog-1"}}
			}
			before := s
			next, err := maintenance.Apply(s, e, now)
			if err != nil {
				assert.DeepEqual(t, next, before)
				continue
			}
			s = next
			if len(maintenance.Effects(s)) > 0 && len(maintenance.Effects(before)) == 0 {
				assertEffectAllowed(t, s, current.Config, now)
			}
			if before.Confirmed {
				assert.Assert(t, s.State == maintenance.Draining || s.State == maintenance.Stopped)
			}
		}
	})
}

func assertEffectAllowed(t *rapid.T, s maintenance.Stop, cfg template.Config, now time.Time) {
	assert.Assert(t, !now.Before(s.Start()))
	for _, c := range maintenance.AffectedClients(cfg, []string{"katalog"}) {
		assert.Assert(t, c.MayStop(now), "%s at %v", c.Name, now)
		isCalled := false
		for _, call := range s.Calls {
			isCalled = isCalled || call.Client == c.Name && call.Called()
		}
		assert.Assert(t, isCalled, "%s was not called", c.Name)
	}
}

// TestFullHistoryDoesNotBlockStop verifies that a stop with more targets than
// history entries still reaches Stopped.
func TestFullHistoryDoesNotBlockStop(t *testing.T) {
	snap := snapshot(1, deskUM)
	snap.Targets = nil
	for i := range maintenance.MaxHistory + 10 {
		snap.Targets = append(snap.Targets, maintenance.Target{Name: fmt.Sprintf("t%d", i), Service: "katalog"})
	}
	s, findings := maintenance.Announce(announcement(maintenance.Scope{Service: "katalog"}), snap, nil, announced)
	assert.Equal(t, len(findings), 0)
	s = apply(t, s, start, callEvent(s, "desk-um"), maintenance.Begin{Snapshot: snap}, maintenance.Confirm{Snapshot: snap})
	for i, target := range snap.Targets {
		e := maintenance.Drained{Meta: maintenance.Meta{ID: fmt.Sprint(i)}, Targets: []string{target.Name}}
		next := apply(t, s, start, e)
		assert.Assert(t, maintenance.Changed(s, next))
		assert.Assert(t, !maintenance.Changed(next, apply(t, next, start, e)))
		s = next
	}
	assert.Equal(t, s.State, maintenance.Stopped)
	assert.Equal(t, len(s.History), maintenance.MaxHistory)
}
