package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mangopost/mangopost/platform/standin"
)

// plainTarget is a sound target of a service without keys.
type plainTarget struct {
	name, addr string
	rec        *record
	work       time.Duration

	mu   sync.Mutex
	runs map[string]int
}

const routeTimeout = 1500 * time.Millisecond

// startTarget starts a target and announces it with heartbeats.
func startTarget(store *standin.Store, rec *record, service, name string, slots int, work time.Duration) *plainTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	t := &plainTarget{name: name, addr: l.Addr().String(), rec: rec, work: work, runs: make(map[string]int)}
	go func() { _ = http.Serve(l, t) }()
	born := time.Now().UnixMilli()
	go func() {
		for seq := uint64(1); ; seq++ {
			store.Set("servers/"+name, standin.TargetEntry(service, t.addr, "gulf-a", slots, "ready", seq, born))
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return t
}

// ServeHTTP runs a request. The size of the answer is the last part of its path.
func (t *plainTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != t.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", t.name)
		return
	}
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	time.Sleep(t.work)
	size, _ := strconv.Atoi(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}

// configure writes a manifest with one safe and one unsafe route of a service.
func configure(store *standin.Store, service string) {
	route := func(name, kind string) any {
		return map[string]any{
			"name": name, "host": "shop.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2,
		}
	}
	store.Set("config/main", map[string]any{
		"version": fmt.Sprintf("%08x", 1), "routes": []any{route("browse", "safe"), route("buy", "unsafe")},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 51}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
