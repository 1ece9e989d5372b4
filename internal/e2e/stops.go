package e2e

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/maintenance"
)

// An operator announces, calls and reads planned stops through the store, as
// mangopostctl does.

const operator = "ann"

func stopObject(id string) string { return platform.StopsPrefix + id }

// AnnounceStop announces a stop of one target that is to begin now.
func (c *Cluster) AnnounceStop(id, target string) error {
	snap := maintenance.Snapshot{Config: c.Config()}
	for _, t := range c.Targets {
		host := t.host(platform.HostLive)
		snap.Targets = append(snap.Targets, maintenance.Target{Name: host.Name, Service: host.Service, DataCentre: host.DataCentre})
	}
	now := time.Now()
	stop, findings := maintenance.Announce(maintenance.Announcement{
		Meta:   maintenance.Meta{ID: "announce-" + id, By: operator},
		StopID: id,
		Scope:  maintenance.Scope{Targets: []string{target}},
		Start:  now,
		Reason: "test",
	}, snap, nil, now)
	if len(findings) > 0 {
		return errors.Newf("announce %s: %v", id, findings)
	}
	return c.putStop(stop, 0)
}

// CallClients records that every client of a stop was called.
func (c *Cluster) CallClients(id string) error {
	stop, _, err := c.Stop(id)
	if err != nil {
		return err
	}
	for i, call := range stop.UncalledClients() {
		event := maintenance.Called{
			Meta:   maintenance.Meta{ID: "called-" + id + strconv.Itoa(i), By: operator},
			Client: call.Client,
			AtMS:   time.Now().UnixMilli(),
		}
		if err := c.applyStop(id, event); err != nil {
			return err
		}
	}
	return nil
}

// applyStop applies an event by a conditional update, again when a placer came
// first.
func (c *Cluster) applyStop(id string, e maintenance.Event) error {
	for {
		stop, version, err := c.Stop(id)
		if err != nil {
			return err
		}
		next, err := maintenance.Apply(stop, e, time.Now())
		if err != nil {
			return err
		}
		err = c.putStop(next, version)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
}

// Stop reads a stop and its version.
func (c *Cluster) Stop(id string) (maintenance.Stop, uint64, error) {
	var stop maintenance.Stop
	o, err := c.store.Get(context.Background(), stopObject(id))
	if err != nil {
		return stop, 0, errors.Wrapf(err, "stop %s", id)
	}
	return stop, o.Version, errors.Wrapf(json.Unmarshal(o.Value, &stop), "stop %s", id)
}

func (c *Cluster) putStop(stop maintenance.Stop, version uint64) error {
	value, err := json.Marshal(stop)
	if err != nil {
		return errors.Wrapf(err, "stop %s", stop.ID)
	}
	_, err = c.store.Put(context.Background(), stopObject(stop.ID), version, value)
	return errors.Wrapf(err, "stop %s", stop.ID)
}
