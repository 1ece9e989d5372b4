package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mangopost/mangopost/platform/standin"
)

const (
	keyedService = "catalog"
	keyStep      = 64 // of the stand-in's recorder
	// jointLimit is the time of the rule OWNER: two backends may not hold the same keys for
	// over half a second.
	jointLimit = 500 * time.Millisecond
)

// awayStore is the platform's store, which may be away for a moment. It names its era in
// all its answers, beginning with 0.
type awayStore struct {
	*standin.Store
	away atomic.Bool
	era  atomic.Uint64
}

// ServeHTTP implements http.Handler. No call is answered while the store is away.
func (s *awayStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.away.Load() {
		<-r.Context().Done()
		return
	}
	era := s.era.Load()
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, r)
	if s.away.Load() || s.era.Load() != era {
		<-r.Context().Done() // a call that the store was away for gets no answer
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Store-Era", fmt.Sprint(era))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// coordinatorName returns the host that wrote last to the store under a condition, which
// is the one of the coordinator's record.
func (s *awayStore) coordinatorName() string {
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/api/objects/mangopost/coordinator", nil))
	var o struct {
		Spec struct {
			Holder string `json:"holder"`
		} `json:"spec"`
	}
	_ = json.Unmarshal(answer.Body.Bytes(), &o) // an empty name is an error of the caller
	return o.Spec.Holder
}

// jointHolds follows how long keys are held by two backends at once.
type jointHolds struct {
	mu    sync.Mutex
	since map[int]time.Time
	worst time.Duration
	key   int
	names []string
}

func (j *jointHolds) watch(rec *record, r *standin.Recorder, stop <-chan struct{}) {
	j.since = make(map[int]time.Time)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		now, joint := time.Now(), 0
		for key := 0; key < 1<<16; key += keyStep {
			names := r.Holders(keyedService, key)
			if len(names) < 2 {
				delete(j.since, key)
				continue
			}
			joint++
			began, ok := j.since[key]
			if !ok {
				j.since[key] = now
				if joint == 1 {
					rec.add("held twice: key %d by %v", key, names)
				}
				continue
			}
			j.mu.Lock()
			if now.Sub(began) > j.worst {
				j.worst, j.key, j.names = now.Sub(began), key, names
			}
			j.mu.Unlock()
		}
	}
}

func configureKeyed(store *standin.Store) {
	standin.SetConfiguration(store, 1, []standin.Route{{Name: "browse", Service: keyedService, Idempotent: true}}, map[string]bool{keyedService: true})
}

func startKeyed(store *standin.Store, r *standin.Recorder, name string) {
	_, err := standin.StartTarget(store, r, &standin.Target{
		Name: name, Service: keyedService, Zone: "gulf-a", Slots: 3, Work: 20 * time.Millisecond, Born: time.Now().UnixMilli(), Keyed: true,
	})
	must(err)
}

const drillExtra = "platform.heartbeatMs=300\n"

// drill: the store comes back from a copy that is some seconds old, and the process that
// last wrote to it under a condition is killed meanwhile and starts again.
func drill(rec *record, dir string) int {
	store := &awayStore{Store: standin.NewStore()}
	first := uint64(envInt("FIRST_ERA", 0))
	store.SetEra(first)
	store.era.Store(first)
	recorder := standin.NewRecorder()
	configureKeyed(store.Store)
	for i := range 4 {
		startKeyed(store.Store, recorder, fmt.Sprintf("i-%d", i))
	}
	time.Sleep(500 * time.Millisecond)
	addr := serveStore(store)
	saved, savedAt := store.Copy(), time.Now()
	rec.add("a copy of the store is made: the operator and four backends have written")
	all := make(map[string]*host)
	for i := range 3 {
		name := fmt.Sprintf("front-%d", i+1)
		all[name] = startHost(dir, name, addr, drillExtra)
	}
	for _, h := range all {
		h.awaitReady(20 * time.Second)
	}
	rec.add("three hosts are ready")
	var holds jointHolds
	stop := make(chan struct{})
	go holds.watch(rec, recorder, stop)
	go traffic(rec, all, stop)
	time.Sleep(500 * time.Millisecond)
	startKeyed(store.Store, recorder, "i-4")
	rec.add("planned: backend i-4 is added")
	awaitKeys(recorder, "i-4")
	rec.add("backend i-4 holds keys")
	time.Sleep(500 * time.Millisecond)
	leader := all[store.coordinatorName()]
	if leader == nil {
		must(fmt.Errorf("no coordinator"))
	}
	if hasTrouble() {
		store.away.Store(true)
		rec.add("the store is away; %s is the coordinator", leader.name)
		time.Sleep(1800 * time.Millisecond)
		must(leader.cmd.Process.Signal(syscall.SIGKILL))
		<-leader.ended
		rec.add("%s is killed", leader.name)
		time.Sleep(500 * time.Millisecond)
		leader.start()
		rec.add("%s starts again", leader.name)
		time.Sleep(700 * time.Millisecond)
		store.Restore(saved)
		configureKeyed(store.Store) // what the operator wrote is written again
		store.era.Add(1)
		store.away.Store(false)
		rec.add("the store is back, in era 1, from a copy that is %v old", time.Since(savedAt).Round(100*time.Millisecond))
	}
	time.Sleep(15 * time.Second)
	close(stop)
	holds.mu.Lock()
	defer holds.mu.Unlock()
	rec.add("longest time for which two backends held the same key: %v (key %d, %v)", holds.worst, holds.key, holds.names)
	for i, v := range recorder.Violations() {
		if i < 20 {
			rec.add("a request began while another backend held its key: %s", v)
		}
	}
	if holds.worst > jointLimit {
		return exitBroken
	}
	return exitHeld
}

// awaitKeys waits until a backend holds a key.
func awaitKeys(r *standin.Recorder, name string) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for key := 0; key < 1<<16; key += keyStep {
			if names := r.Holders(keyedService, key); len(names) == 1 && names[0] == name {
				return
			}
		}
	}
	must(fmt.Errorf("%s got no key", name))
}

// traffic sends a request each 20 ms to the hosts in turn.
func traffic(rec *record, all map[string]*host, stop <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second}
	var list []*host
	for _, h := range all {
		list = append(list, h)
	}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		go func() {
			h, id, key := list[i%len(list)], fmt.Sprintf("r%d", i), i*7919%1024*keyStep
			r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/browse/x", h.ip, h.callers), nil)
			must(err)
			standin.SetCallerHeaders(r, id, key)
			resp, err := client.Do(r)
			if err != nil {
				rec.add("%s key %d to %s: %v", id, key, h.name, err)
				return
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			rec.add("%s key %d to %s: %d %s", id, key, h.name, resp.StatusCode, body)
		}()
	}
}
