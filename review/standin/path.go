package main

import (
	"net/http"
	"time"
)

// playPath sends requests whose path begins with two slashes.
func playPath(record *recorder, trouble bool) (bool, error) {
	s, err := newSystem(record, 0)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.addService("checkout", false)
	s.addRoute("r-all", "/", "unsafe", "checkout", 1200)
	s.configure()
	for i := range 4 {
		if _, err := s.addServer(&server{service: "checkout", zone: zones[i%len(zones)], slots: 3, work: 94 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := s.startMachines(3); err != nil {
		return false, err
	}
	path := "/packs/17/refund"
	if trouble {
		path = "//packs/17/refund"
	}
	c := newClient(record)
	changed := 0
	for i := range 30 {
		id := newID("a")
		c.send(s.machines[i%3], id, http.MethodPut, path, -1, nil, 0, 1200*time.Millisecond)
		for _, x := range record.runsOf(id) {
			if x.path != path || x.host != clientHost {
				changed++
				if changed == 1 {
					record.sayf("%s was sent with path %s and host %s, and run as %q with path %s and host %s", id, path, clientHost, x.uri, x.path, x.host)
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	record.sayf("%d of 30 requests ran with another path or host than the client's", changed)
	return changed > 0, nil
}
