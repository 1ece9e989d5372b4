package main

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// connections are the open connections of a back end.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

// note is the hook ConnState of an http.Server. Connections are reset when they are
// closed with unsent bytes, as by the end of a process.
func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[net.Conn]bool)
	}
	switch state {
	case http.StateNew:
		c.open[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// reset closes all connections at once.
func (c *connections) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		_ = conn.Close()
	}
}

func sortTimes(times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
}
