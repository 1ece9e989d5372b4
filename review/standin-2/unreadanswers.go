package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unread-answers"] = unreadAnswers }

const (
	unreadClients = 800 // for each machine
	// ownBuffer and ownSegment are the receive buffer and the largest segment of a client
	// that does not read.
	ownBuffer, ownSegment = 4 << 10, 1460
	largeAnswer           = 30000 // bytes
	aheadCount            = 20    // requests that a client sends ahead
	legalHead             = 16000 // bytes, below maxHeaderBytes
	// unreadTime is how long a client stays once it has sent: less than a machine waits
	// for it.
	unreadTime  = 9 * time.Second
	unreadLimit = 100 * time.Second
	arriveTime  = 4 * time.Second // in which the clients of the crowd come, and come again
)

// unreadAnswers lets a crowd of clients send heads of many short fields and read no
// answer.
func unreadAnswers(r *record, trouble bool) bool {
	s := newSystem(r)
	defer s.stop()
	store := s.serveStore(s.store)
	s.configure([]any{route("proof", "unsafe", "proofline", 2000)}, []any{plainService("proofline", 51)})
	for i := range 10 {
		startServer(s.store, r, fmt.Sprintf("i-%d", i), "proofline", "a", 6, 30*time.Millisecond).answerBytes = largeAnswer
	}
	for range 2 {
		s.addHost(place{"a", "south"}, map[string]string{"a": "south"}, store, memoryMB, true)
	}
	s.awaitReady()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	ordinary := &callers{name: "o", method: "POST", path: "/proof/x", record: r, timeBudget: 2 * time.Second}
	var ends [2]atomic.Int64
	for i, h := range s.hosts {
		ordinary.run(&wg, h, 5, 200*time.Millisecond, stop)
		wg.Go(func() { watchMemory(h, &ends[i], stop) })
		if trouble {
			wg.Go(func() { unreadCrowd(h, stop) })
		}
	}
	until := time.Now().Add(unreadLimit)
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

// unreadCrowd sends one wave of clients after the other to a machine. A wave ends when the
// machine's process ends, and the next comes when the machine is ready again.
func unreadCrowd(h *host, stop <-chan struct{}) {
	var number atomic.Int64
	for !isClosed(stop) {
		if !h.isReady() {
			wait(stop, 200*time.Millisecond)
			continue
		}
		wait(stop, time.Second)
		process, end := h.pid(), make(chan struct{})
		var wg sync.WaitGroup
		for range unreadClients {
			wg.Go(func() { readNothing(h, fmt.Sprintf("%s-ahead-%d", h.name, number.Add(1)), end) })
		}
		for until := time.Now().Add(arriveTime + unreadTime); time.Now().Before(until) && h.pid() == process && !isClosed(stop); {
			wait(stop, 50*time.Millisecond)
		}
		close(end)
		wg.Wait()
	}
}

// readNothing is a client of the crowd, which comes within arriveTime.
func readNothing(h *host, id string, end <-chan struct{}) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// A kernel that refuses has larger ones.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ownBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ownSegment)
		})
	}}
	wait(end, rand.N(arriveTime))
	if isClosed(end) {
		return
	}
	conn, err := dialer.Dial("tcp", h.addr())
	if err != nil {
		return
	}
	closed := closeAt(conn, end)
	defer closed()
	sendAhead(conn, id, end)
}

// sendAhead sends requests without reading an answer, and stays for unreadTime or
// until the machine closes the connection.
func sendAhead(conn net.Conn, id string, stop <-chan struct{}) {
	for i := range aheadCount {
		head := fmt.Sprintf("POST /proof/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-%d\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n", hostName, id, i)
		if _, err := io.WriteString(conn, withShortFields(head, legalHead)); err != nil {
			return
		}
	}
	for until := time.Now().Add(unreadTime); time.Now().Before(until) && isEstablished(conn) && !isClosed(stop); {
		wait(stop, 100*time.Millisecond)
	}
}

// isEstablished reports whether the machine has not closed a connection, without reading
// from it.
func isEstablished(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	const tcpEstablished = 1 // the first byte of TCP_INFO
	established := false
	err = raw.Control(func(fd uintptr) {
		state, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		established = err == nil && state&0xff == tcpEstablished
	})
	return err == nil && established
}
