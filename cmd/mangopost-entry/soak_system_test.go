package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	links "github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// childVariable is the environment variable that makes the test binary run the
// program.
const childVariable = "MANGOPOST_ENTRY_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Args = []string{os.Args[0], "--metrics-port", "0"}
		os.Exit(run())
	}
	os.Exit(m.Run())
}

const (
	keyedService = "keyed"
	plainService = "plain"
	soakHosts    = 3
	// soakDrainBound is the bound within which a leaving target must stop
	// receiving new work.
	soakDrainBound = 2500 * time.Millisecond
)

// soakHost is one process and its network link to the store.
type soakHost struct {
	name                     string
	ports                    [3]int // callers, readiness, peers
	link                     *links.Link
	settings                 string
	log                      *os.File
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	isUp                     bool
	ended                    chan struct{} // closed when the process has exited
	unexpectedExits          []string      // exits that the test did not cause
	callersURL, readinessURL string
}

// soakSystem is a system of hosts, targets and a store under injected faults.
type soakSystem struct {
	t         *testing.T
	rand      *rand.Rand
	store     *standin.Store
	fault     atomic.Int64 // standin.Fault of every call to the store
	recorder  *standin.Recorder
	behaviour standin.Behaviour
	hosts     []*soakHost

	mu       sync.Mutex
	targets  []*standin.Target
	names    map[string]bool // of all targets so far
	lastBorn int64
	version  int
	calls    []*soakCall
	events   []string
}

func newSoakSystem(t *testing.T, seed uint64) *soakSystem {
	s := &soakSystem{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(), recorder: standin.NewRecorder(),
		lastBorn: time.Now().UnixMilli(), version: 1, names: make(map[string]bool),
	}
	s.store.Fault = func(*http.Request) standin.Fault { return standin.Fault(s.fault.Load()) }
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.configure()
	for i := range 4 {
		s.startTarget(keyedService, fmt.Sprintf("k%d", i))
	}
	for i := range 3 {
		s.startTarget(plainService, fmt.Sprintf("p%d", i))
	}
	for i := range soakHosts {
		s.addHost(i, server.Listener.Addr().String())
	}
	return s
}

// configure writes a configuration with one more route than the previous one.
func (s *soakSystem) configure() {
	s.mu.Lock()
	version := s.version
	s.version++
	s.mu.Unlock()
	routes := []standin.Route{
		{Name: "search", Service: keyedService, Idempotent: true},
		{Name: "order", Service: keyedService},
		{Name: "charge", Service: plainService},
	}
	for i := range version {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("v%d", i), Service: plainService, Idempotent: true})
	}
	standin.SetConfiguration(s.store, version, routes, map[string]bool{keyedService: true, plainService: false})
}

func (s *soakSystem) startTarget(service, name string) {
	s.mu.Lock()
	s.lastBorn++
	t := &standin.Target{
		Name: name, Service: service, Zone: "here", Slots: 4, Work: 20 * time.Millisecond, Born: s.lastBorn,
		Keyed: service == keyedService, Behaviour: &s.behaviour,
	}
	s.mu.Unlock()
	started, err := standin.StartTarget(s.store, s.recorder, t)
	if err != nil {
		s.t.Errorf("target %s: %v", name, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = append(s.targets, started)
	s.names[name] = true
}

func (s *soakSystem) addHost(i int, store string) {
	link, err := links.NewLink("store", "127.0.0.1:0", store)
	assert.NilError(s.t, err)
	s.t.Cleanup(link.Close)
	ports, err := standin.FreePorts(3)
	assert.NilError(s.t, err)
	h := &soakHost{name: fmt.Sprintf("host-%d", i), ports: [3]int(ports), link: link}
	h.callersURL = fmt.Sprintf("http://127.0.0.1:%d", h.ports[0])
	h.readinessURL = standin.ReadinessURL(h.ports[1])
	dir := s.t.TempDir()
	h.settings = filepath.Join(dir, "settings")
	assert.NilError(s.t, standin.WriteSettings(h.settings, standin.HostSettings{
		Name: h.name, Callers: h.ports[0], Readiness: h.ports[1], Peers: h.ports[2], Store: link.Addr(),
	}))
	h.log, err = os.Create(filepath.Join(dir, "log"))
	assert.NilError(s.t, err)
	s.hosts = append(s.hosts, h)
	s.t.Cleanup(func() { h.stop(syscall.SIGKILL) })
	assert.NilError(s.t, h.start())
}

// start starts a process once the previous one has exited.
func (h *soakHost) start() error {
	h.mu.Lock()
	before := h.ended
	h.mu.Unlock()
	if before != nil {
		<-before
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isUp {
		return nil
	}
	h.cmd = exec.Command(os.Args[0])
	h.cmd.Env = append(os.Environ(), childVariable+"=1", platform.SettingsVariable+"="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.isUp, h.ended = true, make(chan struct{})
	go h.watchExit(h.cmd, h.ended)
	// A signal that arrives before the Go runtime has installed its handlers has
	// its default effect, which no program can prevent.
	time.Sleep(signalSetupTime)
	return nil
}

// signalSetupTime is how long a process needs to install its signal handlers.
const signalSetupTime = 300 * time.Millisecond

// watchExit records an unexpected exit of the process.
func (h *soakHost) watchExit(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isUp && h.cmd == cmd {
		h.unexpectedExits = append(h.unexpectedExits, fmt.Sprint(err))
		h.isUp = false
	}
}

// stop sends a terminating signal and waits until the process has exited.
func (h *soakHost) stop(sig syscall.Signal) {
	h.mu.Lock()
	if !h.isUp {
		h.mu.Unlock()
		return
	}
	h.isUp = false
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Signal(sig) // it may have ended
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

func (h *soakHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isUp {
		_ = h.cmd.Process.Signal(sig) // it may have ended
	}
}

func (h *soakHost) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(h.readinessURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// soakCall is one request and its result.
type soakCall struct {
	id, kind, path string
	sent           time.Time
	status         int // 0 if no complete answer arrived
	body           string
	host           *soakHost
}

// sendRequest sends one request and records its result. Connections are kept open,
// as callers do.
func (s *soakSystem) sendRequest(client *http.Client, h *soakHost, id, kind string, key int) {
	c := &soakCall{id: id, kind: kind, path: "/" + kind + "/" + id, sent: time.Now(), host: h}
	method, body := http.MethodPost, "body-"+id
	if kind == "search" || strings.HasPrefix(kind, "v") {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, h.callersURL+c.path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	standin.SetCallerHeaders(req, id, key)
	resp, err := client.Do(req)
	if err == nil {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			c.status, c.body = resp.StatusCode, string(data)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}
