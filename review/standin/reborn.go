package main

import (
	"net/http"
	"time"
)

const (
	// rebornAfter is how long a crashed server is away.
	rebornAfter = 300 * time.Millisecond
	// rebornRounds is the number of crashes, rebornGap the time between two of them.
	rebornRounds = 9
	rebornGap    = 8 * time.Second
	// crashedTogether is the number of servers that crash at once: 0.14 of 20.
	crashedTogether = 3
)

// playReborn crashes servers, which start again at once under their ids at their addresses.
func playReborn(record *recorder, trouble bool) (bool, error) {
	s, err := newSystem(record, 0)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.addService("catalog", true)
	s.addRoute("r-browse", "/tilo330/", "safe", "catalog", 1500)
	s.configure()
	var servers []*server
	for i := range 20 {
		t, err := s.addServer(newCatalogServer("", i))
		if err != nil {
			return false, err
		}
		servers = append(servers, t)
	}
	if err := s.startMachines(3); err != nil {
		return false, err
	}
	t := &traffic{method: http.MethodGet, prefix: "/tilo330/", sharded: true, perSecond: 20, budget: 1500 * time.Millisecond}
	t.start(s)
	time.Sleep(2 * stablePeriod)
	for round := range rebornRounds {
		if trouble {
			if err := s.crashTogether(servers, round); err != nil {
				return false, err
			}
		}
		time.Sleep(rebornGap)
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

// crashTogether crashes some of the servers and starts them again.
func (s *system) crashTogether(servers []*server, round int) error {
	var crashed []int
	for i := range crashedTogether {
		crashed = append(crashed, (round*crashedTogether+i)%len(servers))
	}
	for _, i := range crashed {
		servers[i].crash()
	}
	time.Sleep(rebornAfter)
	for _, i := range crashed {
		next := newCatalogServer(servers[i].id, i)
		next.addr = servers[i].addr
		if _, err := s.addServer(next); err != nil {
			return err
		}
		servers[i] = next
	}
	return nil
}
