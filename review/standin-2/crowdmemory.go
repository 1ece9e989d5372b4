package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd-memory"] = crowdMemory }

const (
	fieldClients = 1400 // for each machine
	bodyClients  = 40   // for each machine
	// headBytes is the length of the second head of a field client, a quarter of the
	// legal 16,384 bytes.
	headBytes = 4086
	// bodyBytes is the length of a body, a sixteenth of the legal 64 MiB, and stopShort
	// what is missing at its end.
	bodyBytes, stopShort = 4 << 20, 100
	// bodyPace is how fast one client sends, in bytes a second: together they use half
	// of the machine's link of 1,000 Mbit/s.
	bodyPace = 3 << 19
	// restartDelay is how long the platform takes to restart a process.
	restartDelay = 500 * time.Millisecond
	endsOfFault  = 3 // of each of two machines
	crowdLimit   = 60 * time.Second
)

// crowdMemory lets a crowd of clients send requests of legal size, and ends each process
// that exceeds its memory, as the platform does.
func crowdMemory(r *record, trouble bool) bool {
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
	var wg sync.WaitGroup
	stop := make(chan struct{})
	ordinary := &callers{name: "o", method: "POST", path: "/charge/x", record: r, timeBudget: 5 * time.Second}
	var ends [2]atomic.Int64
	for i, h := range s.hosts {
		ordinary.run(&wg, h, 5, 200*time.Millisecond, stop)
		wg.Go(func() { watchMemory(h, &ends[i], stop) })
		if trouble {
			wg.Go(func() { crowd(h, stop) })
		}
	}
	until := time.Now().Add(crowdLimit)
	if !trouble {
		until = time.Now().Add(crowdLimit / 3)
	}
	for time.Now().Before(until) && (ends[0].Load() < endsOfFault || ends[1].Load() < endsOfFault) {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	r.say("ends over the memory limit: %d and %d; ordinary requests: %d sent, %d served", ends[0].Load(), ends[1].Load(), ordinary.sent.Load(), ordinary.served.Load())
	for _, h := range s.hosts {
		_, peak := h.residentMB()
		r.say("%s: peak of its last process %d MB of %d", h.name, peak, memoryMB)
	}
	return ends[0].Load() >= endsOfFault && ends[1].Load() >= endsOfFault
}

// watchMemory ends the process of a machine whenever it exceeds the machine's memory, and
// starts it again.
func watchMemory(h *host, ends *atomic.Int64, stop <-chan struct{}) {
	highest, shownAt := 0, time.Now()
	for ; !isClosed(stop); time.Sleep(20 * time.Millisecond) {
		now, _ := h.residentMB()
		highest = max(highest, now)
		if time.Since(shownAt) > time.Second {
			h.record.line("%s: %d MB", h.name, now)
			shownAt = time.Now()
		}
		if now <= memoryMB {
			continue
		}
		h.record.say("%s has %d MB of %d and is ended", h.name, now, memoryMB)
		h.kill()
		ends.Add(1)
		time.Sleep(restartDelay)
		h.start()
	}
}

// crowd keeps the clients of one machine going until stop is closed.
func crowd(h *host, stop <-chan struct{}) {
	var wg sync.WaitGroup
	var number atomic.Int64
	keep := func(count int, send func(net.Conn, string, <-chan struct{})) {
		for range count {
			wg.Go(func() {
				for !isClosed(stop) {
					if conn, err := net.DialTimeout("tcp", h.addr(), time.Second); err == nil {
						end := closeAt(conn, stop)
						send(conn, fmt.Sprintf("%s-crowd-%d", h.name, number.Add(1)), stop)
						end()
					}
					wait(stop, 500*time.Millisecond)
				}
			})
		}
	}
	keep(fieldClients, sendFields)
	keep(bodyClients, sendBody)
	wg.Wait()
}

// closeAt closes a connection when stop is closed or the function that it returns is
// called.
func closeAt(conn net.Conn, stop <-chan struct{}) (end func()) {
	ended := make(chan struct{})
	go func() {
		select {
		case <-stop:
		case <-ended:
		}
		_ = conn.Close()
	}()
	return func() { close(ended) }
}

func wait(stop <-chan struct{}, d time.Duration) {
	select {
	case <-stop:
	case <-time.After(d):
	}
}

// sendFields sends a request to a path without a route and, behind its short body, a
// request with many short fields whose body stops short of its end.
func sendFields(conn net.Conn, id string, stop <-chan struct{}) {
	if _, err := fmt.Fprintf(conn, "POST /none/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-1\r\nDeadline-Ms: 5000\r\nContent-Length: 10\r\n\r\n", hostName, id); err != nil {
		return
	}
	wait(stop, 100*time.Millisecond)
	head := fmt.Sprintf("POST /charge/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-2\r\nDeadline-Ms: 5000\r\nContent-Length: 5000\r\n", hostName, id)
	if _, err := io.WriteString(conn, "0123456789"+withShortFields(head, headBytes)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the machine closes the connection
}

// withShortFields adds as many short fields to a head as fit, and ends it.
func withShortFields(head string, length int) string {
	const chars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len()+6 <= length; i++ {
		b.WriteByte(chars[i/len(chars)%len(chars)])
		b.WriteByte(chars[i%len(chars)])
		b.WriteString(":\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// sendBody sends a body that stops short of its end.
func sendBody(conn net.Conn, id string, stop <-chan struct{}) {
	if _, err := fmt.Fprintf(conn, "POST /charge/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", hostName, id, bodyBytes); err != nil {
		return
	}
	const pieces = 50 // a second
	piece := strings.Repeat("b", bodyPace/pieces)
	for left := bodyBytes - stopShort; left > 0 && !isClosed(stop); left -= len(piece) {
		if _, err := io.WriteString(conn, piece[:min(len(piece), left)]); err != nil {
			return
		}
		wait(stop, time.Second/pieces)
	}
	_, _ = io.Copy(io.Discard, conn) // until the machine closes the connection
}
