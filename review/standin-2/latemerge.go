package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-merge"] = lateMerge }

const (
	// executedAfter is how long after it was sent the store carries out the write that it
	// does not answer.
	executedAfter = 4500 * time.Millisecond
	// downTime is how long the process is away that is killed.
	downTime   = 3500 * time.Millisecond
	firstCalm  = 10 * time.Second
	drainTime  = 5 * time.Second
	mergeLimit = 30 * time.Second
	afterKill  = 18 * time.Second
	hotRate    = 60
)

// ownerMap is the map of owners as the coordinator writes it.
type ownerMap struct {
	Fence  uint64
	Owners []struct {
		Target string `json:"target"`
	}
	// Ranges holds for each range its last key, the index of its owner and its fence,
	// followed by its earlier owners.
	Ranges [][]uint64
}

// keyRange is a range of a map.
type keyRange struct {
	from, to int
	owner    string
	fence    uint64
}

// newRanges returns the ranges of a map above a fence.
func (m ownerMap) newRanges(above uint64) (out []keyRange) {
	from := 0
	for _, r := range m.Ranges {
		if r[2] > above {
			out = append(out, keyRange{from, int(r[0]), m.Owners[r[1]].Target, r[2]})
		}
		from = int(r[0]) + 1
	}
	return out
}

// lateStore does not answer the first write that merges ranges, and carries it out later
// if its condition still holds.
type lateStore struct {
	system *system
	inner  http.Handler
	armed  atomic.Bool

	mu     sync.Mutex
	holder string // of the coordinator's record
	last   ownerMap
	merged chan []keyRange // the merged ranges of the write that is not answered
}

func (l *lateStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		l.inner.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if m, ok := decodeMap(r, body); ok && l.armed.Load() {
		if merged := l.mergedRanges(m); len(merged) > 0 && l.armed.Swap(false) {
			l.system.record.say("the write of a map that merges ranges is not answered: %v", merged)
			late := r.Clone(r.Context())
			time.AfterFunc(executedAfter, func() { l.execute(late, body) })
			l.merged <- merged
			<-r.Context().Done()
			return
		}
	}
	answer := httptest.NewRecorder()
	l.inner.ServeHTTP(answer, r)
	l.note(r, body, answer.Code)
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (l *lateStore) execute(r *http.Request, body []byte) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	l.inner.ServeHTTP(answer, r)
	l.system.record.say("the store carries out the write that it did not answer: %d", answer.Code)
}

func decodeMap(r *http.Request, body []byte) (m ownerMap, ok bool) {
	var w struct{ Spec ownerMap }
	if !strings.Contains(r.URL.Path, "/mangopost/owners-") || json.Unmarshal(body, &w) != nil {
		return m, false
	}
	return w.Spec, len(w.Spec.Ranges) > 0
}

// mergedRanges returns the ranges of a map that join several of the last one.
func (l *lateStore) mergedRanges(m ownerMap) []keyRange {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(m.Ranges) >= len(l.last.Ranges) {
		return nil
	}
	return m.newRanges(l.last.Fence)
}

// note remembers what was written.
func (l *lateStore) note(r *http.Request, body []byte, status int) {
	if status >= 300 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m, ok := decodeMap(r, body); ok {
		l.system.record.line("the store has a map of %d ranges, fence %d", len(m.Ranges), m.Fence)
		l.last = m
	}
	var w struct {
		Metadata struct{ Name string }
		Spec     struct{ Holder string }
	}
	if json.Unmarshal(body, &w) == nil && w.Spec.Holder != "" {
		if l.holder != w.Spec.Holder {
			l.system.record.say("%s is the coordinator", w.Spec.Holder)
		}
		l.holder = w.Spec.Holder
	}
}

// lateMerge kills the coordinator while a write that merges ranges is not answered.
func lateMerge(r *record, trouble bool) bool {
	s := newSystem(r)
	defer s.stop()
	l := &lateStore{system: s, inner: s.store, merged: make(chan []keyRange, 1)}
	store := s.serveStore(l)
	s.configure([]any{route("browse", "safe", "catalog", 1500)}, []any{map[string]any{
		"name": "catalog", "healthPath": "/health", "maxConns": 51, "protocol": "h1", "tls": false, "sharded": true, "warmS": 2.0, "grants": "call",
	}})
	watch := &holdWatch{record: r}
	for i := range 2 {
		watch.servers = append(watch.servers, startKeyedServer(s, fmt.Sprintf("i-%d", i), "catalog"))
	}
	for range 3 {
		s.addHost(place{"a", "south"}, map[string]string{"a": "south"}, store, memoryMB, true)
	}
	s.awaitReady()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() { watch.watchHolds(stop) })
	callers := &keyCallers{callers: &callers{name: "b", method: "GET", path: "/browse/x", record: r, timeBudget: 1500 * time.Millisecond}}
	callers.spread(&wg, s.hosts, stop)
	time.Sleep(firstCalm)
	l.armed.Store(trouble)
	leaving := watch.servers[1]
	leaving.state.Store("draining")
	leaving.writeEntry()
	r.say("%s leaves", leaving.name)
	time.AfterFunc(drainTime, leaving.stopServer)
	if trouble {
		l.killCoordinator(callers)
	} else {
		time.Sleep(drainTime)
		callers.hot.Store(&[2]int{0, keyCount - 1})
	}
	watch.add(startKeyedServer(s, "i-2", "catalog"))
	r.say("i-2 joins")
	time.Sleep(afterKill)
	close(stop)
	wg.Wait()
	r.say("longest time for which two back ends held the same key: %.2f s", watch.longest.Seconds())
	return watch.longest > longHold
}

// killCoordinator waits for the write, kills its sender, and lets the merged keys become
// busy.
func (l *lateStore) killCoordinator(c *keyCallers) {
	select {
	case merged := <-l.merged:
		l.mu.Lock()
		name := l.holder
		l.mu.Unlock()
		for _, h := range l.system.hosts {
			if h.name == name {
				l.system.record.say("%s is killed", h.name)
				h.kill()
				time.AfterFunc(downTime, h.start)
			}
		}
		c.hot.Store(&[2]int{merged[0].from, merged[0].to})
	case <-time.After(mergeLimit):
		panic(cannotRun{"no ranges were merged"})
	}
}

// keyCallers are clients whose requests carry keys.
type keyCallers struct {
	*callers
	hot atomic.Pointer[[2]int] // busy keys
}

// spread sends requests for random keys, and for the busy ones, to all machines.
func (c *keyCallers) spread(wg *sync.WaitGroup, hosts []*host, stop <-chan struct{}) {
	wg.Go(func() {
		client := c.client()
		for i := 0; !isClosed(stop); i++ {
			hot := c.hot.Load()
			key := rand.IntN(keyCount)
			if hot != nil && i%4 != 0 {
				key = hot[0] + rand.IntN(hot[1]-hot[0]+1)
			}
			h := hosts[i%len(hosts)]
			wg.Go(func() { c.sendKey(client, h, key) })
			if hot == nil {
				time.Sleep(time.Second / 20)
				continue
			}
			time.Sleep(time.Second / hotRate)
		}
	})
}
