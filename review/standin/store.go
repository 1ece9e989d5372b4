package main

import (
	"encoding/json"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of objects in one page of a listing.
	pageSize = 500
	// lapseAfter is the number of ping intervals of silence after which the entry of
	// a server is removed.
	lapseAfter = 3
	// historyTime is how long changes are kept for watches.
	historyTime = 20 * time.Second
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one entry of the store's history.
type change struct {
	at       time.Time
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is the platform's store: objects by kind and name, conditional updates,
// watches and reads that may be stale.
type store struct {
	staleness time.Duration // age of the data that reads with staleOk return
	ping      time.Duration // interval between two writes of a server

	mu           sync.Mutex
	revision     uint64
	objects      map[string]object // by kind and name
	history      []change
	changed      chan struct{} // closed at the next change
	heardFrom    map[string]time.Time
	lastWriter   string // host that last wrote under a condition
	lastWriterAt time.Time
}

func newStore(staleness, ping time.Duration) *store {
	s := &store{
		staleness: staleness, ping: ping, revision: 100, objects: make(map[string]object),
		changed: make(chan struct{}), heardFrom: make(map[string]time.Time),
	}
	go s.removeLapsed()
	return s
}

// removeLapsed removes the entries of servers that have been silent for too long.
func (s *store) removeLapsed() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for name, at := range s.heardFrom {
			if time.Since(at) > lapseAfter*s.ping {
				delete(s.heardFrom, name)
				s.remove(name)
			}
		}
		s.mu.Unlock()
	}
}

// set writes an object unconditionally, as the operator does.
func (s *store) set(name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(name, value)
}

// serverPing writes the entry of a server. A write in which only seq is new changes
// neither the revision of the entry nor the history.
func (s *store) serverPing(id string, entry map[string]any) {
	name := "servers/" + id
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardFrom[name] = time.Now()
	if old, ok := s.objects[name]; ok && sameButSeq(old.Spec, value) {
		old.Spec = value
		s.objects[name] = old
		return
	}
	s.write(name, value)
}

func sameButSeq(a, b json.RawMessage) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "seq")
	delete(y, "seq")
	return reflect.DeepEqual(x, y)
}

func (s *store) write(name string, spec json.RawMessage) object {
	kind, short, _ := strings.Cut(name, "/")
	s.revision++
	o := object{Metadata: metadata{Name: short, Revision: s.revision, CreatedRev: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old, ok := s.objects[name]; ok {
		o.Metadata.CreatedRev = old.Metadata.CreatedRev
	}
	s.objects[name] = o
	s.record(change{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) remove(name string) {
	o, ok := s.objects[name]
	if !ok {
		return
	}
	kind, _, _ := strings.Cut(name, "/")
	delete(s.objects, name)
	s.revision++
	s.record(change{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) record(c change) {
	c.at = time.Now()
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lastConditionalWriter returns the host that last wrote under a condition, and when.
func (s *store) lastConditionalWriter() (string, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter, s.lastWriterAt
}

// serveHost answers the calls of one host.
func (s *store) serveHost(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
		switch {
		case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
			s.watch(w, r, kind)
		case r.Method == http.MethodGet:
			s.read(w, r, kind, name)
		default:
			s.change(w, r, host, kind, name)
		}
	})
}

func (s *store) change(w http.ResponseWriter, r *http.Request, host, kind, name string) {
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	condition := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	full := kind + "/" + name
	old, exists := s.objects[full]
	switch {
	case r.Method == http.MethodPost && exists, exists && condition != 0 && condition != old.Metadata.Revision:
		writeJSON(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.Method == http.MethodPost || condition != 0 {
		s.lastWriter, s.lastWriterAt = host, time.Now()
	}
	switch {
	case r.Method == http.MethodDelete:
		s.remove(full)
		w.WriteHeader(http.StatusOK)
	case exists && string(old.Spec) == string(in.Spec):
		writeJSON(w, http.StatusOK, old)
	default:
		writeJSON(w, http.StatusOK, s.write(full, in.Spec))
	}
}

// view returns the objects of a kind, as they were some time ago if the read may be
// stale, and the revision of that time.
func (s *store) view(kind string, stale bool) (map[string]object, uint64) {
	out := make(map[string]object)
	if !stale || s.staleness == 0 {
		for name, o := range s.objects {
			if k, short, _ := strings.Cut(name, "/"); k == kind {
				out[short] = o
			}
		}
		return out, s.revision
	}
	until, revision := time.Now().Add(-s.staleness), uint64(100)
	for _, c := range s.history {
		if c.at.After(until) {
			break
		}
		revision = c.revision
		if c.kind != kind {
			continue
		}
		if c.Deleted {
			delete(out, c.Object.Metadata.Name)
		} else {
			out[c.Object.Metadata.Name] = c.Object
		}
	}
	return out, revision
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, revision := s.view(kind, query.Get("staleOk") == "1")
	if name != "" {
		o, ok := objects[name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
		return
	}
	var names []string
	for short := range objects {
		if short > query.Get("after") {
			names = append(names, short)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := []object{}
	for _, short := range names {
		items = append(items, objects[short])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events, gone, revision, changed := s.eventsSince(kind, from), s.isGone(from), s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// isGone reports whether changes after a revision are older than the history kept.
func (s *store) isGone(from uint64) bool {
	for _, c := range s.history {
		if c.revision > from {
			return time.Since(c.at) > historyTime
		}
	}
	return false
}

func (s *store) eventsSince(kind string, from uint64) []change {
	out := []change{}
	for _, c := range s.history {
		if c.kind == kind && c.revision > from {
			out = append(out, c)
		}
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}
