package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["innocent"] = innocent }

const (
	proofServers = 10
	lostServers  = 3 // at once, a share of 0.3
	popularRate  = 80
	orderRate    = 120
	calmTime     = 10 * time.Second
	afterLoss    = 80 * time.Second
	reuseAfter   = 3 * time.Second // of an address, over reuseAfterS
)

// innocent lets some back ends of a service crash at once while a popular request of one
// client runs at them, as at all others.
func innocent(r *record, trouble bool) bool {
	s := newSystem(r)
	defer s.stop()
	store := s.serveStore(s.store)
	s.configure([]any{route("rates", "safe", "proofline", 2000), route("order", "unsafe", "checkout", 1200)},
		[]any{plainService("proofline", 51), plainService("checkout", 51)})
	var proofline []*server
	for i := range proofServers {
		proofline = append(proofline, startServer(s.store, r, fmt.Sprintf("i-p%d", i), "proofline", "a", 3, 180*time.Millisecond))
	}
	for i := range 8 {
		startServer(s.store, r, fmt.Sprintf("i-c%d", i), "checkout", "a", 3, 94*time.Millisecond)
	}
	for range 2 {
		s.addHost(place{"a", "south"}, map[string]string{"a": "south"}, store, memoryMB, true)
	}
	s.awaitReady()
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	popular := &callers{name: "rates", method: "GET", path: "/rates/today", record: r, timeBudget: 2 * time.Second, kept: true, ip: s.network + ".201"}
	orders := &callers{name: "order", method: "PUT", path: "/order/x", record: r, timeBudget: 1200 * time.Millisecond, ip: s.network + ".202"}
	popular.load(&wg, s.hosts[0], popularRate, stop)
	orders.load(&wg, s.hosts[0], orderRate/2, stop)
	orders.load(&wg, s.hosts[1], orderRate/2, stop)
	time.Sleep(calmTime)
	r.say("before: rates %d of %d served, orders %d of %d", popular.served.Load(), popular.sent.Load(), orders.served.Load(), orders.sent.Load())
	if trouble {
		lose(s, proofline[:lostServers])
	}
	time.Sleep(afterLoss)
	close(stop)
	wg.Wait()
	rates := share(popular.served.Load(), popular.sent.Load())
	all := share(popular.served.Load()+orders.served.Load(), popular.sent.Load()+orders.sent.Load())
	r.say("rates: %d of %d served (%.3f), orders: %d of %d; all: %.3f", popular.served.Load(), popular.sent.Load(), rates, orders.served.Load(), orders.sent.Load(), all)
	return rates < all/4
}

func share(part, whole int64) float64 { return float64(part) / float64(max(1, whole)) }

// lose lets back ends crash at once, for good. Their addresses go to back ends of another
// service.
func lose(s *system, lost []*server) {
	for _, b := range lost {
		b.crash()
	}
	time.AfterFunc(reuseAfter, func() {
		for _, b := range lost {
			startServerAt(b.addr, s.store, s.record, "i-n"+b.name, "checkout", "a", 3, 94*time.Millisecond)
		}
	})
}
