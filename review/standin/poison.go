package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonPath = "/puka111/9f2e"
	poisonBody = "proof 4471, page 3"
	// poisonGap is the pause after which the caller sends the request again.
	poisonGap = 1500 * time.Millisecond
	// serverDownTime is how long a crashed server is away: "some seconds".
	serverDownTime = 3 * time.Second
	// maxPoisonRetries is the number of retries that may reach servers.
	maxPoisonRetries = 3
)

// playPoison sends a request that crashes each server that begins to run it, again and
// again from the same caller.
func playPoison(record *recorder, trouble bool) (bool, error) {
	s, err := newSystem(record, 0)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.addService("proofline", false)
	s.addRoute("r-proof", "/puka111/", "unsafe", "proofline", 1200)
	s.configure()
	p := &poison{system: s, trouble: trouble}
	for i := range 10 {
		if err := p.addServer(zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := s.startMachines(3); err != nil {
		return false, err
	}
	time.Sleep(stablePeriod)
	t := &traffic{method: http.MethodPost, prefix: "/puka111/", body: "proof", perSecond: 4, budget: 2 * time.Second}
	t.start(s)
	c := newClient(record)
	for i := range 24 {
		c.send(s.machines[i%3], newID("p"), http.MethodPost, poisonPath, -1, strings.NewReader(poisonBody), int64(len(poisonBody)), 2*time.Second)
		time.Sleep(poisonGap)
	}
	all := t.stop()
	record.sayf("background: %d requests, %.3f served", len(all), servedShare(all))
	return p.judge(record), nil
}

type poison struct {
	system  *system
	trouble bool

	mu      sync.Mutex
	crashes []time.Time
	arrived []time.Time // at servers that began to run it
}

func (p *poison) addServer(zone string) error {
	_, err := p.system.addServer(&server{service: "proofline", zone: zone, slots: 3, work: 180 * time.Millisecond, onRun: p.onRun})
	return err
}

// onRun crashes the server that runs the request. It is back later as a new life.
func (p *poison) onRun(s *server, r *http.Request, body []byte) bool {
	if r.URL.Path != poisonPath || string(body) != poisonBody {
		return true
	}
	p.mu.Lock()
	p.arrived = append(p.arrived, time.Now())
	if p.trouble {
		p.crashes = append(p.crashes, time.Now())
	}
	p.mu.Unlock()
	if !p.trouble {
		return true
	}
	time.AfterFunc(serverDownTime, func() { _ = p.addServer(s.zone) })
	return false
}

func (p *poison) judge(record *recorder) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		record.sayf("the request reached servers %d times and crashed %d", len(p.arrived), len(p.crashes))
		return false
	}
	late := 0
	for _, at := range p.arrived {
		if at.After(p.crashes[2].Add(stablePeriod)) {
			late++
		}
	}
	record.sayf("the request crashed %d servers; the third at %.3f s; later than %.0f s after that it reached %d more (at most %d are allowed)",
		len(p.crashes), record.seconds(p.crashes[2]), stablePeriod.Seconds(), late, maxPoisonRetries)
	return late > maxPoisonRetries
}
