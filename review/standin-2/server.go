package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/platform/standin"
)

// usualAnswer is the length of an answer in bytes.
const usualAnswer = 1500

// server is a sound back end of a service without keys: it writes its entry in the store
// and answers each request when its work is done.
type server struct {
	name, service, zone string
	slots               int
	work                time.Duration
	answerBytes         int
	record              *record
	store               *standin.Store
	born                int64
	addr                string
	seq                 atomic.Uint64
	running             atomic.Int64
	stopped             chan struct{}
	http                *http.Server
	conns               connections
	intercept           atomic.Pointer[interceptor]
	override            atomic.Pointer[handlerBox] // handles all requests, if set
	state               atomic.Value               // of the entry
}

type handlerBox struct{ http.Handler }

// interceptor handles some requests in place of a back end. It reports whether it did.
type interceptor struct {
	handle func(w http.ResponseWriter, body []byte, id string) bool
}

// startServer starts a back end on a loopback port.
func startServer(store *standin.Store, r *record, name, service, zone string, slots int, work time.Duration) *server {
	return startServerAt("127.0.0.1:0", store, r, name, service, zone, slots, work)
}

func startServerAt(addr string, store *standin.Store, r *record, name, service, zone string, slots int, work time.Duration) *server {
	l, err := net.Listen("tcp", addr)
	must(err)
	b := &server{
		name: name, service: service, zone: zone, slots: slots, work: work, record: r, store: store,
		born: time.Now().UnixMilli(), addr: l.Addr().String(), stopped: make(chan struct{}), answerBytes: usualAnswer,
	}
	b.state.Store("ready")
	b.http = &http.Server{Handler: b, ConnState: b.conns.note}
	go func() { _ = b.http.Serve(l) }()
	b.writeEntry()
	go b.beat()
	return b
}

func (b *server) beat() {
	for {
		select {
		case <-b.stopped:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
			b.writeEntry()
		}
	}
}

func (b *server) writeEntry() {
	b.store.Set("servers/"+b.name, standin.TargetEntry(b.service, b.addr, b.zone, b.slots, b.state.Load().(string), b.seq.Add(1), b.born))
}

// ServeHTTP runs a request, or rejects it if its queue is full or it is not for this back
// end.
func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o := b.override.Load(); o != nil {
		o.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.name)
		return
	}
	body, err := io.ReadAll(r.Body)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != b.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		return
	}
	defer b.running.Add(-1)
	if b.running.Add(1) > int64(2*b.slots) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if i := b.intercept.Load(); i != nil && i.handle(w, body, id) {
		return
	}
	b.record.line("%s runs %s %s %s", b.name, id, r.Method, r.URL.Path)
	time.Sleep(b.work)
	text := strings.Repeat("a", b.answerBytes)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // the caller may have given up
}

// crash ends the back end for good, as the end of its process does. Its entry lapses
// after three pings.
func (b *server) crash() {
	b.record.say("%s crashes with %d requests", b.name, b.running.Load())
	close(b.stopped)
	b.conns.reset()
	_ = b.http.Close()
	time.AfterFunc(3*heartbeatMS*time.Millisecond, func() { b.store.Remove("servers/" + b.name) })
}
