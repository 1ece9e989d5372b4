package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison-late"] = poisonLate }

const (
	poisonServers = 8
	poisonBody    = "proof sheet 4711"
	poisonGap     = time.Second // between two attempts of the caller
	poisonTime    = 40 * time.Second
	// backAfter is how long a back end that crashed is away.
	backAfter = 3 * time.Second
	// beginAfter is when a back end begins its answer to the request that crashes it, and
	// crashAfter is how much later it crashes.
	beginAfter, crashAfter = 60 * time.Millisecond, 40 * time.Millisecond
	// allowedRetries is that of the rule BUDGET.
	allowedRetries = 3
)

// victims are back ends that crash with a certain request once they have begun to answer
// it.
type victims struct {
	system  *system
	trouble bool

	mu       sync.Mutex
	started  int
	crashes  []time.Time
	arrivals []time.Time
	lost     atomic.Int64 // other requests that ran at a back end that crashed
}

func (v *victims) start(addr string) {
	v.mu.Lock()
	v.started++
	name := fmt.Sprintf("i-%d", v.started)
	v.mu.Unlock()
	b := startServerAt(addr, v.system.store, v.system.record, name, "proofline", "a", 3, 180*time.Millisecond)
	b.intercept.Store(&interceptor{func(w http.ResponseWriter, body []byte, id string) bool {
		if !bytes.Equal(body, []byte(poisonBody)) {
			return false
		}
		v.run(b, w, id)
		return true
	}})
}

// run handles the request that crashes back ends.
func (v *victims) run(b *server, w http.ResponseWriter, id string) {
	v.system.record.say("%s runs %s, the request that crashes back ends", b.name, id)
	v.mu.Lock()
	v.arrivals = append(v.arrivals, time.Now())
	v.mu.Unlock()
	time.Sleep(beginAfter)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Content-Length", "4000")
	if !v.trouble {
		_, _ = w.Write(make([]byte, 4000))
		return
	}
	if os.Getenv("BEFORE") != "1" { // for comparison: a crash before the answer begins
		_, _ = w.Write(make([]byte, 1000))
		_ = http.NewResponseController(w).Flush()
	}
	time.Sleep(crashAfter)
	v.mu.Lock()
	v.crashes = append(v.crashes, time.Now())
	v.mu.Unlock()
	v.lost.Add(b.running.Load() - 1)
	b.crash()
	time.AfterFunc(backAfter, func() { v.start(b.addr) })
}

// poisonLate sends the same request again and again, each attempt with its own id, in turn
// to all machines.
func poisonLate(r *record, trouble bool) bool {
	s := newSystem(r)
	defer s.stop()
	store := s.serveStore(s.store)
	s.configure([]any{route("proof", "unsafe", "proofline", 2000)}, []any{plainService("proofline", 51)})
	v := &victims{system: s, trouble: trouble}
	for range poisonServers {
		v.start("127.0.0.1:0")
	}
	for range 2 {
		s.addHost(place{"a", "south"}, map[string]string{"a": "south"}, store, memoryMB, true)
	}
	s.awaitReady()
	time.Sleep(stablePeriod) // the machines are in touch
	var wg sync.WaitGroup
	stop := make(chan struct{})
	ordinary := &callers{name: "o", method: "POST", path: "/proof/x", record: r, timeBudget: 2 * time.Second, ip: s.network + ".202"}
	for _, h := range s.hosts {
		ordinary.run(&wg, h, 5, 100*time.Millisecond, stop)
	}
	caller := &callers{name: "poison", method: "POST", path: "/proof/sheet", record: r, timeBudget: 2 * time.Second, ip: s.network + ".201", body: poisonBody}
	for i, end := 0, time.Now().Add(poisonTime); time.Now().Before(end); i++ {
		h := s.hosts[i%len(s.hosts)]
		wg.Go(func() { caller.send(caller.client(), h) })
		time.Sleep(poisonGap)
	}
	close(stop)
	wg.Wait()
	return v.isBroken(r, ordinary)
}

func (v *victims) isBroken(r *record, ordinary *callers) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	late := 0
	if len(v.crashes) >= 3 {
		for _, at := range v.arrivals {
			if at.After(v.crashes[2].Add(stablePeriod)) {
				late++
			}
		}
	}
	r.say("the request reached back ends %d times and crashed %d, %d times over %v after the third crash; ordinary requests: %d sent, %d served, %d were running at back ends that crashed",
		len(v.arrivals), len(v.crashes), late, stablePeriod, ordinary.sent.Load(), ordinary.served.Load(), v.lost.Load())
	return late > allowedRetries
}
