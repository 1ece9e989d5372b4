package e2e

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// daemonState holds the fields of a daemon's GET /state that tell which
// configuration is in force.
type daemonState struct {
	Run           uint64 `json:"run"`
	ConfigVersion uint64 `json:"config_version"`
}

// daemon identifies a router or placer of the cluster.
type daemon struct {
	name          string
	operatorsAddr string
}

func (c *Cluster) daemons() []daemon {
	var all []daemon
	for _, h := range c.Hosts {
		all = append(all,
			daemon{h.Name + " router", h.RouterOps},
			daemon{h.Name + " placer", h.PlacerOps})
	}
	return all
}

// DaemonsBehind returns the daemons that do not report the given configuration
// version, or a later one, as in force.
func (c *Cluster) DaemonsBehind(version uint64) []string {
	var behind []string
	for _, d := range c.daemons() {
		var s daemonState
		if err := getJSON("http://"+d.operatorsAddr+"/state", &s); err != nil || s.ConfigVersion < version {
			behind = append(behind, fmt.Sprintf("%s has %d %v", d.name, s.ConfigVersion, err))
		}
	}
	return behind
}

// Revert describes a daemon that returned to an earlier configuration.
type Revert struct {
	Daemon    string
	Restarted bool // whether the daemon restarted in between
	From, To  uint64
}

// ConfigWatcher polls the configuration version of each daemon and records
// reverts.
type ConfigWatcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	reverts []Revert
}

const configPollInterval = 20 * time.Millisecond

// WatchConfig starts a ConfigWatcher for all daemons.
func (c *Cluster) WatchConfig() *ConfigWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &ConfigWatcher{cancel: cancel}
	for _, d := range c.daemons() {
		w.wg.Go(func() { w.watchDaemon(ctx, d) })
	}
	return w
}

func (w *ConfigWatcher) watchDaemon(ctx context.Context, d daemon) {
	ticker := time.NewTicker(configPollInterval)
	defer ticker.Stop()
	var previous daemonState
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var current daemonState
		if getJSON("http://"+d.operatorsAddr+"/state", &current) != nil {
			continue
		}
		// A daemon that has just started has no configuration in force and serves
		// no requests.
		if current.ConfigVersion == 0 && current.Run != previous.Run {
			continue
		}
		if current.ConfigVersion < previous.ConfigVersion {
			w.recordRevert(Revert{Daemon: d.name, Restarted: current.Run != previous.Run, From: previous.ConfigVersion, To: current.ConfigVersion})
		}
		previous = current
	}
}

func (w *ConfigWatcher) recordRevert(r Revert) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reverts = append(w.reverts, r)
}

// Stop stops polling and returns the recorded reverts.
func (w *ConfigWatcher) Stop() []Revert {
	w.cancel()
	w.wg.Wait()
	return w.reverts
}
