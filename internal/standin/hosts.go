package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/platform"
)

// hostList makes each change visible only after a lag.
type hostList struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   []platform.TargetHost
	pending []hostChange // oldest first
}

type hostChange struct {
	at    time.Time
	hosts []platform.TargetHost
}

func (l *hostList) set(hosts []platform.TargetHost, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, hostChange{at: now.Add(l.lag), hosts: slices.Clone(hosts)})
}

// latestLocked returns the list with all changes, visible or not. The caller holds
// the lock.
func (l *hostList) latestLocked() []platform.TargetHost {
	if n := len(l.pending); n > 0 {
		return slices.Clone(l.pending[n-1].hosts)
	}
	return slices.Clone(l.shown)
}

func (l *hostList) visibleAt(now time.Time) []platform.TargetHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.shown = l.pending[0].hosts
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.shown)
}

// HostChange adds, replaces and removes entries of the host list. Entries are
// identified by name.
type HostChange struct {
	Hosts  []platform.TargetHost `json:"hosts,omitempty"`
	Remove []string              `json:"remove,omitempty"`
}

// Check returns the validation errors of all entries, joined.
func (c *HostChange) Check() error { return platform.HostList{Hosts: c.Hosts}.Check() }

// DecodeHostChange decodes the body of PUT /v1/hosts.
func DecodeHostChange(body []byte) (HostChange, error) {
	var change HostChange
	err := decodeStrict(body, &change)
	return change, err
}

// ChangeHosts applies a change, which becomes visible after the host lag.
func (p *Platform) ChangeHosts(change HostChange) error {
	if err := change.Check(); err != nil {
		return err
	}
	p.hosts.apply(change, time.Now())
	p.events.Emit(eventHostsChanged, "set", len(change.Hosts), "removed", len(change.Remove))
	return nil
}

func (l *hostList) apply(change HostChange, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := l.latestLocked()
	hosts = slices.DeleteFunc(hosts, func(h platform.TargetHost) bool {
		return slices.Contains(change.Remove, h.Name)
	})
	for _, host := range change.Hosts {
		hosts = replaceHost(hosts, host)
	}
	l.pending = append(l.pending, hostChange{at: now.Add(l.lag), hosts: hosts})
}

func replaceHost(hosts []platform.TargetHost, host platform.TargetHost) []platform.TargetHost {
	for i := range hosts {
		if hosts[i].Name == host.Name {
			hosts[i] = host
			return hosts
		}
	}
	return append(hosts, host)
}
