package standin

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// TargetOptions configure one target.
type TargetOptions struct {
	Name         string `toml:"name"`
	Service      string `toml:"service"`
	DataCentre   string `toml:"data_centre"`
	Listen       string `toml:"listen"` // IP and port; port 0 picks a free port
	Slots        int    `toml:"slots"`  // requests that run at once
	Connections  int    `toml:"connections"`
	ChecksGrants bool   `toml:"checks_grants"`
	// Queue is the number of requests that may wait for a slot; more are shed.
	Queue int `toml:"queue"`
	// Speed divides every service time; 1 is the usual speed.
	Speed float64 `toml:"speed"`
	// ColdMS is the time in milliseconds after a start during which service times
	// are multiplied by ColdFactor.
	ColdMS     int64   `toml:"cold_ms"`
	ColdFactor float64 `toml:"cold_factor"`
	// ConnectMS is the time to accept a connection, in milliseconds.
	ConnectMS int64 `toml:"connect_ms"`
	// RestartMS is the time in milliseconds after which a crashed target starts
	// again; 0 leaves it down.
	RestartMS int64 `toml:"restart_ms"`
	// KeepsCancelled continues a request whose connection was closed.
	KeepsCancelled bool `toml:"keeps_cancelled"`
	// KeepsLate continues a request whose deadline has passed.
	KeepsLate bool `toml:"keeps_late"`

	Routes []ServiceTime `toml:"routes"`
	Seed   int64         `toml:"seed"`
}

// ServiceTime is the log-normal service time of requests under a path prefix.
type ServiceTime struct {
	Path             string  `toml:"path"`
	MedianMS         float64 `toml:"median_ms"`
	Sigma            float64 `toml:"sigma"` // of the logarithm of the service time
	StragglerPercent float64 `toml:"straggler_percent"`
	StragglerFactor  float64 `toml:"straggler_factor"`
}

const (
	defaultSlots            = 6
	defaultConnections      = 110
	defaultMedianMS         = 8
	defaultSigma            = 0.4
	defaultStragglerPercent = 2
	defaultStragglerFactor  = 25
)

// WithDefaults returns the options with defaults for unset fields.
func (o TargetOptions) WithDefaults() TargetOptions {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = 1
	}
	if len(o.Routes) == 0 {
		o.Routes = []ServiceTime{{
			MedianMS: defaultMedianMS, Sigma: defaultSigma,
			StragglerPercent: defaultStragglerPercent, StragglerFactor: defaultStragglerFactor,
		}}
	}
	return o
}

// Check returns all validation errors of the options, joined.
func (o TargetOptions) Check() error {
	var errs []error
	if o.Name == "" || o.Service == "" {
		errs = append(errs, errors.Newf("name %q or service %q is empty", o.Name, o.Service))
	}
	if _, err := netip.ParseAddrPort(o.Listen); err != nil {
		errs = append(errs, errors.Wrap(err, "listen"))
	}
	for _, n := range []struct {
		name  string
		value float64
	}{
		{"slots", float64(o.Slots)},
		{"connections", float64(o.Connections)},
		{"speed", o.Speed},
		{"cold_factor", o.ColdFactor},
	} {
		if !(n.value > 0) {
			errs = append(errs, errors.Newf("%s: %v is not above 0", n.name, n.value))
		}
	}
	if o.Queue < 0 || o.ColdMS < 0 || o.ConnectMS < 0 || o.RestartMS < 0 {
		errs = append(errs, errors.Newf("queue %d, cold_ms %d, connect_ms %d or restart_ms %d is below 0", o.Queue, o.ColdMS, o.ConnectMS, o.RestartMS))
	}
	return errors.Wrapf(errors.Join(errs...), "target %q", o.Name)
}

// serviceTimeFor returns the service time of the longest prefix that matches path.
func (o TargetOptions) serviceTimeFor(path string) ServiceTime {
	var best ServiceTime
	found := false
	for _, route := range o.Routes {
		if strings.HasPrefix(path, route.Path) && (!found || len(route.Path) > len(best.Path)) {
			best, found = route, true
		}
	}
	return best
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
