package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// sent is one client attempt of the background traffic with its result.
type sent struct {
	id      string
	machine *machine
	at      time.Time
	ended   time.Time
	answer  answer
}

// traffic sends requests at a steady rate to all machines.
type traffic struct {
	method, prefix string
	sharded        bool
	body           string
	perSecond      float64 // at each machine
	budget         time.Duration

	mu   sync.Mutex
	all  []sent
	wait sync.WaitGroup
	end  chan struct{}
}

func (t *traffic) start(s *system) {
	t.end = make(chan struct{})
	for _, m := range s.machines {
		c := newClient(s.record)
		t.wait.Go(func() { t.sendTo(c, m) })
	}
}

func (t *traffic) sendTo(c *client, m *machine) {
	gap := time.Duration(float64(time.Second) / t.perSecond)
	for {
		select {
		case <-t.end:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(gap))):
		}
		t.wait.Go(func() {
			key := -1
			if t.sharded {
				key = rand.IntN(keyCount)
			}
			x := sent{id: newID("a"), machine: m, at: time.Now()}
			if t.body == "" {
				x.answer = c.send(m, x.id, t.method, t.prefix+newID(""), key, nil, 0, t.budget)
			} else {
				x.answer = c.send(m, x.id, t.method, t.prefix+newID(""), key, strings.NewReader(t.body), int64(len(t.body)), t.budget)
			}
			x.ended = time.Now()
			t.mu.Lock()
			t.all = append(t.all, x)
			t.mu.Unlock()
		})
	}
}

// stop ends the traffic and returns all requests.
func (t *traffic) stop() []sent {
	close(t.end)
	t.wait.Wait()
	return t.all
}

// servedShare returns the share of the requests that were answered with success.
func servedShare(all []sent) float64 {
	served := 0
	for _, x := range all {
		if x.answer.status >= 200 && x.answer.status < 300 {
			served++
		}
	}
	return float64(served) / float64(max(1, len(all)))
}
