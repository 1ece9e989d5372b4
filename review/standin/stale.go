package main

import (
	"errors"
	"net/http"
	"time"
)

const (
	// staleAge is how old the data is that a stale read returns.
	staleAge = 3 * time.Second
	// drainTime is drainMs of the small deployment and a little longer.
	drainTime = 2700 * time.Millisecond
	// serverRestartTime is how long the restarted server is away.
	serverRestartTime = 500 * time.Millisecond
	// keepTime is how long the restarted server has had keys when the process is killed.
	keepTime = 500 * time.Millisecond
	// maxCommonHold is how long two servers may hold the same keys.
	maxCommonHold = 500 * time.Millisecond
)

// playStale restarts a server, which drains, ends and starts again under its id. Then it
// kills the process that gives orders, within the time that stale reads are behind. The
// platform starts that process again.
func playStale(record *recorder, trouble bool) (bool, error) {
	s, err := newSystem(record, staleAge)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.addService("catalog", true)
	s.addRoute("r-browse", "/tilo330/", "safe", "catalog", 1500)
	s.configure()
	var servers []*server
	for i := range 6 {
		t, err := s.addServer(newCatalogServer("", i))
		if err != nil {
			return false, err
		}
		servers = append(servers, t)
	}
	if err := s.startMachines(3); err != nil {
		return false, err
	}
	t := &traffic{method: http.MethodGet, prefix: "/tilo330/", sharded: true, perSecond: 12, budget: 1500 * time.Millisecond}
	t.start(s)
	time.Sleep(2 * stablePeriod)
	for i := range 4 {
		if trouble {
			if servers[i], err = s.disturb(servers[i], i); err != nil {
				return false, err
			}
		}
		time.Sleep(14 * time.Second)
	}
	all := t.stop()
	record.sayf("background: %d requests, %.3f served", len(all), servedShare(all))
	overlaps := record.overlaps(maxCommonHold)
	for _, o := range overlaps {
		record.sayf("servers %s (born %d, fence %d) and %s (born %d, fence %d), both up, held key %d from %.3f s to %.3f s, for %d ms",
			o.a.id, o.a.born, o.fences[0], o.b.id, o.b.born, o.fences[1], o.key, record.seconds(o.from), record.seconds(o.until), o.until.Sub(o.from).Milliseconds())
	}
	return len(overlaps) > 0, nil
}

func newCatalogServer(id string, i int) *server {
	return &server{id: id, service: "catalog", zone: zones[i%len(zones)], slots: 3, sharded: true, work: 140 * time.Millisecond}
}

// disturb restarts a server, waits until its next life has keys, and kills the process
// that last wrote to the store under a condition.
func (s *system) disturb(old *server, i int) (*server, error) {
	old.leave()
	time.Sleep(drainTime)
	old.exit()
	time.Sleep(serverRestartTime)
	next, err := s.addServer(newCatalogServer(old.id, i))
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(8 * time.Second); !next.hasKeys(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, errors.New("the restarted server got no keys")
		}
	}
	s.record.logf("server %s (born %d) has keys", next.id, next.born)
	time.Sleep(keepTime)
	name, _ := s.store.lastConditionalWriter()
	for _, m := range s.machines {
		if m.name == name {
			s.record.logf("machine %s is killed", name)
			m.kill()
			time.Sleep(restartDelay)
			return next, m.start(s.record)
		}
	}
	return nil, errors.New("no machine has written to the store")
}

// hasKeys reports whether the server holds keys.
func (s *server) hasKeys() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.keys {
		if time.Now().Before(k.until) {
			return true
		}
	}
	return false
}
