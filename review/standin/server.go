package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// keyStep is the distance between the keys whose holds are
	// recorded.
	keyStep   = 1
	keyCount  = 65536
	queueSize = 12
)

// hold is the time in which one life of a server held a key.
type hold struct {
	from, until time.Time
	fence       uint64
}

// keyState is what a server knows of one key.
type keyState struct {
	fence uint64 // highest seen
	until time.Time
	holds []hold
}

// server is one life of a backend. It follows PROTOCOL.md.
type server struct {
	id, service, zone string
	born              int64
	slots             int
	sharded           bool
	work              time.Duration
	// onRun, if set, is called when a request begins to run. If it returns false, the
	// server crashes.
	onRun func(s *server, r *http.Request, body []byte) bool

	addr    string // "" for a free port
	store   *store
	record  *recorder
	http    *http.Server
	slot    chan struct{}
	stopped chan struct{}
	once    sync.Once

	mu      sync.Mutex
	conns   map[net.Conn]bool
	keys    map[int]*keyState
	running map[int]int
	queued  int
	leaving bool
	endedAt time.Time
}

// newID returns a random identifier.
func newID(prefix string) string {
	var b [5]byte
	_, _ = rand.Read(b[:]) // never fails
	return prefix + hex.EncodeToString(b[:])
}

// start opens a port, begins to serve and announces the server in the store.
func (s *server) start(st *store, rec *recorder, ip string) error {
	if s.addr == "" {
		s.addr = ip + ":0"
	}
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr, s.store, s.record = listener.Addr().String(), st, rec
	s.slot, s.stopped = make(chan struct{}, s.slots), make(chan struct{})
	s.conns, s.keys, s.running = make(map[net.Conn]bool), make(map[int]*keyState), make(map[int]int)
	s.born = time.Now().UnixMilli()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/grant", s.grant)
	mux.HandleFunc("POST /api/release", s.release)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", s.id) })
	s.http = &http.Server{ConnState: s.trackConn, IdleTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isLeaving() {
			w.Header().Set("Server-Leaving", "1")
		}
		switch r.URL.Path {
		case "/api/grant", "/api/release", "/health":
			mux.ServeHTTP(w, r)
		default:
			s.serve(w, r) // without the redirects of a mux
		}
	})}
	rec.addServer(s)
	go func() { _ = s.http.Serve(listener) }()
	go s.announce()
	return nil
}

func (s *server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func (s *server) announce() {
	for seq := 1; ; seq++ {
		s.ping(seq)
		select {
		case <-s.stopped:
			return
		case <-time.After(s.store.ping):
		}
	}
}

func (s *server) ping(seq int) {
	state := "ready"
	if s.isLeaving() {
		state = "draining"
	}
	s.store.serverPing(s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "coldRemainingMs": 0, "seq": seq, "born": s.born,
	})
}

func (s *server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// leave reports that the server is leaving. It serves on.
func (s *server) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.ping(0)
	s.record.logf("server %s (born %d) reports that it is leaving", s.id, s.born)
}

// crash ends the server at once: its connections are reset and its port is closed.
func (s *server) crash() { s.end("crashes") }

// exit ends the server after it has left.
func (s *server) exit() { s.end("exits") }

func (s *server) end(how string) {
	s.once.Do(func() {
		s.mu.Lock()
		s.endedAt = time.Now()
		for c := range s.conns {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		s.mu.Unlock()
		close(s.stopped)
		_ = s.http.Close()
		s.record.logf("server %s (born %d) of %s %s", s.id, s.born, s.service, how)
	})
}

func (s *server) isUp() bool {
	select {
	case <-s.stopped:
		return false
	default:
		return true
	}
}

type order struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldMs   int    `json:"holdMs"`
	Handover string `json:"handover"`
}

func (s *server) readOrder(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if !s.sharded || json.NewDecoder(r.Body).Decode(&o) != nil || o.From < 0 || o.Target >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// state returns what is known of a key. mu is held.
func (s *server) state(key int) *keyState {
	k := s.keys[key]
	if k == nil {
		k = &keyState{}
		s.keys[key] = k
	}
	return k
}

func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	o, ok := s.readOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if s.state(key).fence > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := now.Add(time.Duration(o.HoldMs) * time.Millisecond)
	for key := o.From; key <= o.Target; key++ {
		k := s.state(key)
		if n := len(k.holds); n > 0 && k.fence == o.Fence && now.Before(k.until) {
			k.holds[n-1].until = until
		} else if key%keyStep == 0 {
			if n > 0 && k.holds[n-1].until.After(now) {
				k.holds[n-1].until = now
			}
			k.holds = append(k.holds, hold{now, until, o.Fence})
		}
		k.fence, k.until = o.Fence, until
	}
	s.record.logf("server %s (born %d) is granted keys %d to %d, fence %d, for %d ms", s.id, s.born, o.From, o.Target, o.Fence, o.HoldMs)
}

func (s *server) release(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	o, ok := s.readOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	for key := o.From; key <= o.Target; key++ {
		k := s.state(key)
		if k.fence > o.Fence {
			continue
		}
		k.fence = o.Fence
		if k.until.After(now) {
			k.until = now
		}
		if n := len(k.holds); n > 0 && k.holds[n-1].until.After(now) {
			k.holds[n-1].until = now
		}
	}
	s.mu.Unlock()
	s.record.logf("server %s (born %d) releases keys %d to %d, fence %d", s.id, s.born, o.From, o.Target, o.Fence)
	for s.isWorkingOn(o) {
		time.Sleep(2 * time.Millisecond)
	}
	w.Header().Set("Handover", newID(""))
}

func (s *server) isWorkingOn(o order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.running {
		if n > 0 && key >= o.From && key <= o.Target {
			return true
		}
	}
	return false
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.id {
		s.refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if s.sharded && (err != nil || !s.holds(key)) {
		s.refuse(w, id, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !s.takeSlot(ctx) {
		s.refuse(w, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slot }()
	s.run(ctx, w, r, id, key, body)
}

func (s *server) refuse(w http.ResponseWriter, id string, status int) {
	s.record.logf("server %s refuses %s with %d: not run", s.id, id, status)
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Instance-Id", s.id)
	w.WriteHeader(status)
}

func (s *server) takeSlot(ctx context.Context) bool {
	s.mu.Lock()
	full := s.queued >= queueSize
	if !full {
		s.queued++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case s.slot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-s.stopped:
		return false
	}
}

func (s *server) holds(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keys[key]
	return k != nil && time.Now().Before(k.until)
}

func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, key int, body []byte) {
	s.mu.Lock()
	s.running[key]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running[key]--
		s.mu.Unlock()
	}()
	s.record.addRun(run{id: id, server: s.id, born: s.born, at: time.Now(), method: r.Method, uri: r.RequestURI, path: r.URL.Path, host: r.Host, bodyBytes: len(body), key: key})
	if s.onRun != nil && !s.onRun(s, r, body) {
		s.crash()
		return
	}
	select {
	case <-time.After(s.work):
	case <-s.stopped:
		return
	case <-ctx.Done():
		if r.Context().Err() != nil {
			return
		}
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Response-Seal", "seal."+id)
	text := fmt.Sprintf("%s ran %s", s.id, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // the host may have left
	s.record.markDone(id)
}
