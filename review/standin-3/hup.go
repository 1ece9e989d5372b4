package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mangopost/mangopost/platform/standin"
)

const (
	graceBefore = 6  // graceS of pinjam-antara
	graceAfter  = 10 // graceS of pinjam-antara-large
	// hupWork is how long the backends work on a request, and hupBudget its time budget and
	// its route's timeout.
	hupWork   = 6 * time.Second
	hupBudget = 12 * time.Second
)

// hupResult is what became of a request. Times count from the SIGTERM.
type hupResult struct {
	id            string
	sent, ended   time.Duration
	status        int  // 0: the connection ended without an answer
	begun, atWork bool // at a backend, when the caller's request ended
}

// hup: the settings file changes, with SIGHUP, and some seconds later the process is stopped
// with SIGTERM.
func hup(rec *record, dir string) int {
	store := standin.NewStore()
	store.Set("config/main", map[string]any{
		"version": fmt.Sprintf("%08x", 1),
		"routes": []any{map[string]any{
			"name": "charge", "host": "shop.example", "pathPrefix": "/charge/", "kind": "unsafe", "service": "billing",
			"timeoutMs": hupBudget.Milliseconds(), "targetLatencyMs": 5000, "priority": 1, "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "billing", "healthPath": "/health", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	addr := serveStore(store)
	backend := &workingTarget{name: "i-1", rec: rec}
	backend.start(store)
	graceLine := func(s int) string { return fmt.Sprintf("terms.bounds.graceS=%d\n", s) }
	first := graceAfter
	if hasTrouble() {
		first = graceBefore
	}
	h := startHost(dir, "front-1", addr, graceLine(first))
	h.awaitReady(20 * time.Second)
	time.Sleep(time.Second)
	rec.add("the process runs with graceS=%d", first)
	if hasTrouble() {
		text, err := os.ReadFile(h.settings)
		must(err)
		must(os.WriteFile(h.settings+".new", []byte(strings.ReplaceAll(string(text), graceLine(graceBefore), graceLine(graceAfter))), 0o600))
		must(os.Rename(h.settings+".new", h.settings))
		must(h.cmd.Process.Signal(syscall.SIGHUP))
		rec.add("planned: the settings file changes to graceS=%d, SIGHUP", graceAfter)
	}
	time.Sleep(6 * time.Second) // longer than stablePeriodMs and configApplyMs
	stopAt := time.Now().Add(time.Second)
	var mu sync.Mutex
	var results []hupResult
	var wg sync.WaitGroup
	for i, at := range []time.Duration{-400, -350, -300, -250, -200, -150, 500, 1000, 1500, 2000} {
		wg.Go(func() {
			time.Sleep(time.Until(stopAt.Add(at * time.Millisecond)))
			r := sendCharge(h, backend, fmt.Sprintf("c%d", i), stopAt)
			rec.add("%s sent %.2f s after SIGTERM, ended %.2f s after it: status %d, begun at a backend %v, backend at work %v",
				r.id, r.sent.Seconds(), r.ended.Seconds(), r.status, r.begun, r.atWork)
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		})
	}
	time.Sleep(time.Until(stopAt))
	must(h.cmd.Process.Signal(syscall.SIGTERM))
	rec.add("SIGTERM")
	select {
	case <-h.ended:
		rec.add("the process ended by itself %.2f s after SIGTERM", time.Since(stopAt).Seconds())
	case <-time.After(time.Until(stopAt.Add(graceAfter * time.Second))):
		_ = h.cmd.Process.Kill()
		rec.add("graceS has passed: SIGKILL")
	}
	wg.Wait()
	lost := 0
	lastSixth := graceAfter * time.Second * 5 / 6
	for _, r := range results {
		if r.begun && r.atWork && r.status == 0 && r.ended < lastSixth && r.ended-r.sent < hupBudget {
			rec.add("LOST: %s", r.id)
			lost++
		}
	}
	rec.add("%d of %d requests lost", lost, len(results))
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}

// sendCharge sends a request on a new connection.
func sendCharge(h *host, backend *workingTarget, id string, stopAt time.Time) hupResult {
	r := hupResult{id: id, sent: time.Since(stopAt)}
	ctx, cancel := context.WithTimeout(context.Background(), hupBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(h.ip, fmt.Sprint(h.callers))+"/charge/x", strings.NewReader("loan "+id))
	must(err)
	req.Host = "shop.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(hupBudget.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	r.ended = time.Since(stopAt)
	r.begun, r.atWork = backend.look(id, r.ended, stopAt)
	if err == nil {
		r.status = resp.StatusCode
	}
	return r
}

// workingTarget is a sound backend that works for hupWork on each request, and drops it
// when its connection closes.
type workingTarget struct {
	name, addr string
	rec        *record
	began      sync.Map // time by request
}

func (t *workingTarget) start(store *standin.Store) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	t.addr = l.Addr().String()
	go func() { _ = http.Serve(l, t) }()
	born := time.Now().UnixMilli()
	go func() {
		for seq := uint64(1); ; seq++ {
			store.Set("servers/"+t.name, standin.TargetEntry("billing", t.addr, "gulf-a", 30, "ready", seq, born))
			time.Sleep(1500 * time.Millisecond)
		}
	}()
}

// look reports whether a request has begun to run, and whether it would still be at work.
func (t *workingTarget) look(id string, at time.Duration, stopAt time.Time) (begun, atWork bool) {
	v, ok := t.began.Load(id)
	if !ok {
		return false, false
	}
	return true, stopAt.Add(at).Before(v.(time.Time).Add(hupWork))
}

// ServeHTTP implements http.Handler.
func (t *workingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	t.began.Store(id, time.Now())
	t.rec.add("backend begins %s, Deadline-Ms %s", id, r.Header.Get("Deadline-Ms"))
	budget := hupBudget
	if ms, err := time.ParseDuration(r.Header.Get("Deadline-Ms") + "ms"); err == nil {
		budget = ms
	}
	select {
	case <-time.After(min(hupWork, budget)):
	case <-r.Context().Done():
		t.rec.add("backend drops %s: %v", id, "its connection was closed")
		return
	}
	if budget < hupWork {
		t.rec.add("backend stops %s at the time budget that it was given", id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	t.rec.add("backend ends %s", id)
	w.Header().Set("Response-Seal", "seal-"+id)
	_, _ = io.WriteString(w, "charged "+id)
}
