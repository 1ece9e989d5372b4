package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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

// childVariable makes the test binary be the program.
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
	// soakDrain is the bound within which a leaving target gets no new work.
	soakDrain = 2500 * time.Millisecond
)

// soakHost is one process and its link to the store.
type soakHost struct {
	name                     string
	ports                    [3]int // callers, readiness, peers
	link                     *links.Link
	settings                 string
	log                      *os.File
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	up                       bool
	ended                    chan struct{} // closed when the process has ended
	ownExits                 []string      // of processes that ended by themselves
	callersURL, readinessURL string
}

// soakWorld is a system under faults.
type soakWorld struct {
	t         *testing.T
	rand      *rand.Rand
	store     *standin.Store
	fault     atomic.Int64 // standin.Fault of the store
	judge     *standin.Judge
	behaviour standin.Behaviour
	hosts     []*soakHost

	mu      sync.Mutex
	targets []*standin.Target
	born    int64
	version int
	calls   []*soakCall
	notes   []string
}

func newSoakWorld(t *testing.T, seed uint64) *soakWorld {
	w := &soakWorld{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(), judge: standin.NewJudge(),
		born: time.Now().UnixMilli(), version: 1,
	}
	w.store.Fault = func(*http.Request) standin.Fault { return standin.Fault(w.fault.Load()) }
	server := httptest.NewServer(w.store)
	t.Cleanup(server.Close)
	w.configure()
	for i := range 4 {
		w.startTarget(keyedService, fmt.Sprintf("k%d", i))
	}
	for i := range 3 {
		w.startTarget(plainService, fmt.Sprintf("p%d", i))
	}
	for i := range soakHosts {
		w.addHost(i, server.Listener.Addr().String())
	}
	return w
}

// configure writes the configuration with a route more than the one before.
func (w *soakWorld) configure() {
	w.mu.Lock()
	version := w.version
	w.version++
	w.mu.Unlock()
	routes := []standin.Route{
		{Name: "search", Service: keyedService, Idempotent: true},
		{Name: "order", Service: keyedService},
		{Name: "charge", Service: plainService},
	}
	for i := range version {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("v%d", i), Service: plainService, Idempotent: true})
	}
	standin.SetConfiguration(w.store, version, routes, map[string]bool{keyedService: true, plainService: false})
}

func (w *soakWorld) startTarget(service, name string) {
	w.mu.Lock()
	w.born++
	t := &standin.Target{
		Name: name, Service: service, Zone: "here", Slots: 4, Work: 20 * time.Millisecond, Born: w.born,
		Keyed: service == keyedService, Behaviour: &w.behaviour,
	}
	w.mu.Unlock()
	started, err := standin.StartTarget(w.store, w.judge, t)
	if err != nil {
		w.t.Errorf("target %s: %v", name, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = append(w.targets, started)
}

const (
	// firstPort and portCount lie below the ports that the kernel gives to
	// outgoing connections: one of those must not take the port of a host that is
	// being restarted.
	firstPort = 20000
	portCount = 10000
)

// freePorts returns ports of loopback on which nothing listens.
func freePorts(t *testing.T) (ports [3]int) {
	t.Helper()
	for i := range ports {
		for ports[i] == 0 {
			port := firstPort + rand.IntN(portCount)
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				continue
			}
			defer l.Close()
			ports[i] = port
		}
	}
	return ports
}

func (w *soakWorld) addHost(i int, store string) {
	link, err := links.NewLink("store", "127.0.0.1:0", store)
	assert.NilError(w.t, err)
	w.t.Cleanup(link.Close)
	h := &soakHost{name: fmt.Sprintf("host-%d", i), ports: freePorts(w.t), link: link}
	h.callersURL = fmt.Sprintf("http://127.0.0.1:%d", h.ports[0])
	h.readinessURL = standin.ReadinessURL(h.ports[1])
	dir := w.t.TempDir()
	h.settings = filepath.Join(dir, "settings")
	assert.NilError(w.t, standin.WriteSettings(h.settings, standin.HostSettings{
		Name: h.name, Callers: h.ports[0], Readiness: h.ports[1], Peers: h.ports[2], Store: link.Addr(),
	}))
	h.log, err = os.Create(filepath.Join(dir, "log"))
	assert.NilError(w.t, err)
	w.hosts = append(w.hosts, h)
	w.t.Cleanup(func() { h.stop(syscall.SIGKILL) })
	assert.NilError(w.t, h.start())
}

// start begins a process once the one before has ended.
func (h *soakHost) start() error {
	h.mu.Lock()
	before := h.ended
	h.mu.Unlock()
	if before != nil {
		<-before
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up {
		return nil
	}
	h.cmd = exec.Command(os.Args[0])
	h.cmd.Env = append(os.Environ(), childVariable+"=1", platform.SettingsVariable+"="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.up, h.ended = true, make(chan struct{})
	go h.wait(h.cmd, h.ended)
	// A signal that comes before the runtime has taken signals over has its usual
	// effect: no program can change that.
	time.Sleep(signalGrace)
	return nil
}

// signalGrace is how long a process needs to take signals over.
const signalGrace = 300 * time.Millisecond

// wait notes a process that ends by itself.
func (h *soakHost) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up && h.cmd == cmd {
		h.ownExits = append(h.ownExits, fmt.Sprint(err))
		h.up = false
	}
}

// stop sends a signal that ends the process and waits for its end.
func (h *soakHost) stop(sig syscall.Signal) {
	h.mu.Lock()
	if !h.up {
		h.mu.Unlock()
		return
	}
	h.up = false
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Signal(sig) // it may have ended
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

func (h *soakHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.up {
		_ = h.cmd.Process.Signal(sig) // it may have ended
	}
}

func (h *soakHost) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(h.readinessURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// soakCall is one request and what came of it.
type soakCall struct {
	id, kind, path string
	sent           time.Time
	status         int // 0: no whole answer
	body           string
	host           *soakHost
}

// call sends one request. Callers keep connections open.
func (w *soakWorld) call(client *http.Client, h *soakHost, id, kind string, key int) {
	c := &soakCall{id: id, kind: kind, path: "/" + kind + "/" + id, sent: time.Now(), host: h}
	method, body := http.MethodPost, "body-"+id
	if kind == "search" || strings.HasPrefix(kind, "v") {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, h.callersURL+c.path, strings.NewReader(body))
	if err != nil {
		w.t.Error(err)
		return
	}
	standin.SetHeaders(req, id, key)
	resp, err := client.Do(req)
	if err == nil {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			c.status, c.body = resp.StatusCode, string(data)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
}
