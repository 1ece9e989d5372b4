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

// The functions below announce and read planned stops and record client calls
// directly in the store, as mangopostctl does.

const operatorName = "ann"

func stopKey(id string) string { return platform.StopsPrefix + id }

// AnnounceStop announces a planned stop of one target that starts now.
func (c *Cluster) AnnounceStop(id, target string) error {
	snap := maintenance.Snapshot{Config: c.Config()}
	for _, t := range c.Targets {
		host := t.hostListEntry(platform.HostLive)
		snap.Targets = append(snap.Targets, maintenance.Target{Name: host.Name, Service: host.Service, DataCentre: host.DataCentre})
	}
	now := time.Now()
	stop, findings := maintenance.Announce(maintenance.Announcement{
		Meta:   maintenance.Meta{ID: "announce-" + id, By: operatorName},
		StopID: id,
		Scope:  maintenance.Scope{Targets: []string{target}},
		Start:  now,
		Reason: "test",
	}, snap, nil, now)
	if len(findings) > 0 {
		return errors.Newf("announce stop %s: %v", id, findings)
	}
	return c.putStop(stop, 0)
}

// RecordClientCalls records that all clients affected by a stop were called.
func (c *Cluster) RecordClientCalls(id string) error {
	stop, _, err := c.Stop(id)
	if err != nil {
		return err
	}
	for i, call := range stop.UncalledClients() {
		event := maintenance.Called{
			Meta:   maintenance.Meta{ID: "called-" + id + strconv.Itoa(i), By: operatorName},
			Client: call.Client,
			AtMS:   time.Now().UnixMilli(),
		}
		if err := c.applyStop(id, event); err != nil {
			return err
		}
	}
	return nil
}

// applyStop applies an event to a stop by a conditional update, and retries it
// after a conflicting update by a placer.
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

// Stop returns a stop and its version in the store.
func (c *Cluster) Stop(id string) (maintenance.Stop, uint64, error) {
	var stop maintenance.Stop
	o, err := c.store.Get(context.Background(), stopKey(id))
	if err != nil {
		return stop, 0, errors.Wrapf(err, "read stop %s", id)
	}
	return stop, o.Version, errors.Wrapf(json.Unmarshal(o.Value, &stop), "decode stop %s", id)
}

func (c *Cluster) putStop(stop maintenance.Stop, version uint64) error {
	value, err := json.Marshal(stop)
	if err != nil {
		return errors.Wrapf(err, "write stop %s", stop.ID)
	}
	_, err = c.store.Put(context.Background(), stopKey(stop.ID), version, value)
	return errors.Wrapf(err, "write stop %s", stop.ID)
}
