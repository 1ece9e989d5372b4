package maintenance_test

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/template"
)

// A planned stop from its announcement to the draining of its targets.
func Example() {
	start := time.Date(2026, 12, 4, 14, 0, 0, 0, time.UTC)
	snap := maintenance.Snapshot{
		Config: template.Config{Version: 1, Clients: []template.Client{
			{Name: "desk-um", Phone: "+60 3 0000 0101", Services: []string{"katalog"}},
		}},
		Targets: []maintenance.Target{{Name: "katalog-1", Service: "katalog", DataCentre: "kl-utama"}},
	}
	announcement := maintenance.Announcement{
		Meta:   maintenance.Meta{ID: "r1", By: "aina"},
		StopID: "disk-swap",
		Scope:  maintenance.Scope{Targets: []string{"katalog-1"}},
		Start:  start,
	}
	stop, findings := maintenance.Announce(announcement, snap, nil, start.Add(-time.Hour))
	fmt.Println(stop.State, len(findings))

	_, err := maintenance.Apply(stop, maintenance.Begin{Snapshot: snap}, start)
	fmt.Println(err)

	call := maintenance.Called{
		Meta:   maintenance.Meta{ID: "r2", By: "aina"},
		Client: "desk-um",
		AtMS:   start.Add(-time.Minute).UnixMilli(),
	}
	stop, _ = maintenance.Apply(stop, call, start)
	stop, _ = maintenance.Apply(stop, maintenance.Begin{Snapshot: snap}, start)
	stop, _ = maintenance.Apply(stop, maintenance.Confirm{Snapshot: snap}, start)
	fmt.Println(stop.State, maintenance.Effects(stop)[0].Name)
	// Output:
	// announced 0
	// stop disk-swap is announced: begin refused: to be called: desk-um (last change: announce by aina at 2026-12-04T13:00:00Z)
	// draining katalog-1
}
