package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keyCount = 1 << 16

// keyedServer is a sound back end of a sharded service.
type keyedServer struct {
	*server

	mu    sync.Mutex
	up    bool
	fence [keyCount]uint64    // highest seen
	until [keyCount]time.Time // end of the hold
	works map[int]int         // running requests by key
}

type keyOrder struct {
	From, Target int
	Fence        uint64
	HoldMs       int64
}

// startKeyedServer starts a back end that holds no keys.
func startKeyedServer(s *system, name, service string) *keyedServer {
	k := &keyedServer{up: true, works: make(map[int]int)}
	k.server = startServer(s.store, s.record, name, service, "a", 3, 100*time.Millisecond)
	k.override.Store(&handlerBox{k})
	return k
}

// ServeHTTP handles orders and requests.
func (k *keyedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", k.name)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != k.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
	case "/api/grant":
		k.grant(w, body)
	case "/api/release":
		k.release(w, body)
	default:
		k.request(w, r, id)
	}
}

func (k *keyedServer) grant(w http.ResponseWriter, body []byte) {
	var o keyOrder
	if json.Unmarshal(body, &o) != nil || o.Target >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := o.From; key <= o.Target; key++ {
		if k.fence[key] > o.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	until := time.Now().Add(time.Duration(o.HoldMs) * time.Millisecond)
	for key := o.From; key <= o.Target; key++ {
		k.fence[key], k.until[key] = o.Fence, until
	}
	k.record.line("%s is granted %d to %d (fence %d) for %d ms", k.name, o.From, o.Target, o.Fence, o.HoldMs)
}

func (k *keyedServer) release(w http.ResponseWriter, body []byte) {
	var o keyOrder
	if json.Unmarshal(body, &o) != nil || o.Target >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	for key := o.From; key <= o.Target; key++ {
		if k.fence[key] <= o.Fence {
			k.until[key] = time.Time{}
		}
	}
	k.mu.Unlock()
	k.record.line("%s releases %d to %d (fence %d)", k.name, o.From, o.Target, o.Fence)
	for k.isBusy(o) {
		time.Sleep(5 * time.Millisecond)
	}
	w.Header().Set("Handover", strconv.FormatUint(o.Fence, 16))
}

func (k *keyedServer) isBusy(o keyOrder) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.works {
		if key >= o.From && key <= o.Target {
			return true
		}
	}
	return false
}

func (k *keyedServer) request(w http.ResponseWriter, r *http.Request, id string) {
	key, err := strconv.Atoi(r.Header.Get("Shard-Key"))
	if err != nil || key < 0 || key >= keyCount {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	if !time.Now().Before(k.until[key]) {
		k.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.works[key]++
	total := 0
	for _, n := range k.works {
		total += n
	}
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		if k.works[key]--; k.works[key] == 0 {
			delete(k.works, key)
		}
		k.mu.Unlock()
	}()
	if total > 4*k.slots {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.record.line("%s runs %s, key %d", k.name, id, key)
	time.Sleep(k.work)
	w.Header().Set("Response-Seal", "seal."+id)
	_, _ = io.WriteString(w, "done")
}

func (k *keyedServer) holds(key int, now time.Time) bool {
	return k.up && now.Before(k.until[key])
}

// stopServer ends the back end as planned.
func (k *keyedServer) stopServer() {
	k.mu.Lock()
	k.up = false
	k.mu.Unlock()
	k.crash()
}

// holdStep is the distance of the keys that are watched.
const holdStep = 8

// holdWatch finds keys that two back ends hold at once.
type holdWatch struct {
	record  *record
	mu      sync.Mutex
	servers []*keyedServer
	since   map[int]time.Time
	longest time.Duration
}

// watchHolds watches until stop is closed.
func (h *holdWatch) watchHolds(stop <-chan struct{}) {
	h.since = make(map[int]time.Time)
	for ; !isClosed(stop); time.Sleep(20 * time.Millisecond) {
		h.look(time.Now())
	}
}

func (h *holdWatch) add(k *keyedServer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, k)
}

func (h *holdWatch) look(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range h.servers {
		k.mu.Lock()
		defer k.mu.Unlock()
	}
	for key := 0; key < keyCount; key += holdStep {
		var holders []string
		for _, k := range h.servers {
			if k.holds(key, now) {
				holders = append(holders, k.name)
			}
		}
		if len(holders) < 2 {
			delete(h.since, key)
			continue
		}
		if _, ok := h.since[key]; !ok {
			h.since[key] = now
		}
		if d := now.Sub(h.since[key]); d > h.longest {
			if h.longest <= longHold && d > longHold {
				h.record.say("key %d is held by %v for over %v", key, holders, longHold)
			}
			h.longest = d
		}
	}
}

// longHold is that of the rule OWNER.
const longHold = 500 * time.Millisecond
