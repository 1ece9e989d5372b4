package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow-heads"] = slowHeads }

const (
	slowClients = 1700
	// slowGap is the time between two bytes of a slow client.
	slowGap     = 100 * time.Millisecond
	slowTime    = 20 * time.Second
	tryingCount = 10 // ordinary clients, each of which opens a connection for each request
	tryGap      = 250 * time.Millisecond
	// stablePeriod and minTrying are those of the rule RECOVER.
	stablePeriod = 4 * time.Second
	minTrying    = 7
)

// tries records which new connections a machine took.
type tries struct {
	mu    sync.Mutex
	all   []try
	ready []check
}

type try struct {
	client  int
	began   time.Time
	answer  string
	isTaken bool // the machine read the request and answered
}

type check struct {
	at    time.Time
	ready bool
}

// slowHeads lets a crowd of clients send the heads of their requests a byte at a time, and
// ordinary clients open new connections meanwhile.
func slowHeads(r *record, trouble bool) bool {
	s := newSystem(r)
	defer s.stop()
	store := s.serveStore(s.store)
	s.configure([]any{route("charge", "unsafe", "billing", 5000)}, []any{plainService("billing", 110)})
	for i := range 8 {
		startServer(s.store, r, fmt.Sprintf("i-%d", i), "billing", "a", 6, 100*time.Millisecond)
	}
	for range 2 {
		s.addHost(place{"a", "south"}, map[string]string{"a": "south"}, store, memoryMB, true)
	}
	s.awaitReady()
	time.Sleep(stablePeriod) // the machines are in touch
	var wg sync.WaitGroup
	stop := make(chan struct{})
	results := make([]tries, len(s.hosts))
	for i, h := range s.hosts {
		results[i].watch(&wg, h, stop)
	}
	if trouble {
		time.Sleep(time.Second)
		slowCrowd(&wg, s.hosts[0], stop)
	}
	time.Sleep(slowTime)
	close(stop)
	wg.Wait()
	broken := false
	for i, h := range s.hosts {
		broken = results[i].isBroken(h) || broken
	}
	return broken
}

// watch lets ordinary clients try, and asks whether the machine is ready.
func (t *tries) watch(wg *sync.WaitGroup, h *host, stop <-chan struct{}) {
	wg.Go(func() {
		for ; !isClosed(stop); wait(stop, 500*time.Millisecond) {
			at, ready := time.Now(), h.isReady()
			h.record.line("%s ready: %v", h.name, ready)
			t.mu.Lock()
			t.ready = append(t.ready, check{at, ready})
			t.mu.Unlock()
		}
	})
	clients := &callers{name: h.name + "-o", method: "POST", path: "/charge/x", record: h.record, timeBudget: 5 * time.Second}
	for i := range tryingCount {
		wg.Go(func() {
			time.Sleep(tryGap * time.Duration(i) / tryingCount)
			client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			for ; !isClosed(stop); wait(stop, tryGap) {
				began := time.Now()
				answer := clients.send(client, h)
				t.mu.Lock()
				t.all = append(t.all, try{i, began, answer, len(answer) == len("200")})
				t.mu.Unlock()
			}
		})
	}
}

// slowCrowd opens the connections of the crowd. A client whose connection is closed at once
// tries again, as the ordinary ones do; one that was taken does not come again.
func slowCrowd(wg *sync.WaitGroup, h *host, stop <-chan struct{}) {
	var open atomic.Int64
	for i := range slowClients {
		wg.Go(func() {
			for !isClosed(stop) && !sendSlowly(h, i, &open, stop) {
				wait(stop, tryGap)
			}
		})
	}
	wg.Go(func() {
		for ; !isClosed(stop); wait(stop, time.Second) {
			h.record.line("%s: %d clients of the crowd are connected", h.name, open.Load())
		}
	})
}

// sendSlowly sends a head a byte at a time and reports whether the connection was taken.
func sendSlowly(h *host, number int, open *atomic.Int64, stop <-chan struct{}) (isTaken bool) {
	conn, err := net.DialTimeout("tcp", h.addr(), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	open.Add(1)
	defer open.Add(-1)
	began := time.Now()
	text := fmt.Sprintf("POST /charge/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: slow-%d\r\nDeadline-Ms: 5000\r\nX-Note: %s\r\n\r\n", hostName, number, strings.Repeat("x", 400))
	for _, b := range []byte(text) {
		if _, err := conn.Write([]byte{b}); err != nil || isClosed(stop) {
			break
		}
		wait(stop, slowGap)
	}
	return time.Since(began) > time.Second
}

// isBroken reports whether the machine said that it was ready and took no new connection
// for stablePeriod while at least minTrying clients tried.
func (t *tries) isBroken(h *host) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken, longest, from := 0, time.Duration(0), time.Time{}
	var last time.Time
	for _, a := range t.all {
		if a.isTaken {
			taken++
		}
	}
	ends := t.takenAt()
	for _, at := range ends {
		if !last.IsZero() && at.Sub(last) > longest && t.isReadyBetween(last, at) && t.tryingBetween(last, at) >= minTrying {
			longest, from = at.Sub(last), last
		}
		last = at
	}
	h.record.say("%s: %d new connections tried, %d taken; longest time without one while ready and at least %d clients tried: %.1f s",
		h.name, len(t.all), taken, minTrying, longest.Seconds())
	if longest > 0 {
		h.record.say("%s: it began at %.1f s", h.name, from.Sub(h.record.began).Seconds())
	}
	return longest > stablePeriod
}

// takenAt returns when connections were taken, in order, and the end of the last try.
func (t *tries) takenAt() []time.Time {
	var out []time.Time
	var end time.Time
	for _, a := range t.all {
		if a.isTaken {
			out = append(out, a.began)
		}
		if a.began.After(end) {
			end = a.began
		}
	}
	out = append(out, end)
	sortTimes(out)
	return out
}

func (t *tries) isReadyBetween(from, to time.Time) bool {
	for _, c := range t.ready {
		if !c.ready && c.at.After(from) && c.at.Before(to) {
			return false
		}
	}
	return true
}

// tryingBetween returns how many clients tried in vain.
func (t *tries) tryingBetween(from, to time.Time) int {
	clients := make(map[int]bool)
	for _, a := range t.all {
		if !a.isTaken && a.began.After(from) && a.began.Before(to) {
			clients[a.client] = true
		}
	}
	return len(clients)
}
