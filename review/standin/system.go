package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMb is the limit of a process of the small deployment.
	memoryMb = 284
	// maxBodyBytes is the manifest's limit for what a client may send.
	maxBodyBytes = 67108864
	// stablePeriod is stablePeriodMs of the small deployment.
	stablePeriod = 4 * time.Second
	// pingInterval is platform.heartbeatMs of the small deployment.
	pingInterval = 1500 * time.Millisecond
	// entryProgram is the program of the deploy file.
	entryProgram = "target/mangopost-entry"
)

// machine is one front machine: one process of the deploy file's role.
type machine struct {
	name, zone, ip     string
	front, ready, peer int // ports
	store              string
	dir                string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
	wanted    bool // the test has not ended the process
	ownEnds   int  // ends that the test did not cause
}

// system is a small deployment: the store, servers and machines.
type system struct {
	ip       string
	record   *recorder
	store    *store
	machines []*machine
	dir      string
	http     *http.Server

	routes   []map[string]any
	services []map[string]any
}

// zones are those of the small deployment, magnolia-labels unless a case sets others.
var zones = []string{"gulf-a", "gulf-b", "pied-a"}

// pinjamZones are those of pinjam-antara.
var pinjamZones = []string{"kl-utama", "penang", "kuching"}

// loopbackIP returns a random loopback address, so that fixed ports are free there.
func loopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 2+rand.IntN(250))
}

func newSystem(record *recorder, staleness time.Duration) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &system{ip: loopbackIP(), record: record, store: newStore(staleness, pingInterval), dir: dir}, nil
}

// addService adds a service to the manifest.
func (s *system) addService(name string, sharded bool) {
	service := map[string]any{"name": name, "healthPath": "/health", "maxConns": 51, "protocol": "h1", "tls": false}
	if sharded {
		service["sharded"], service["warmS"], service["grants"] = true, 2.0, "call"
	}
	s.services = append(s.services, service)
}

// addRoute adds a route to the manifest.
func (s *system) addRoute(name, prefix, kind, service string, timeoutMs int) {
	s.routes = append(s.routes, map[string]any{
		"name": name, "host": clientHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs,
		"targetLatencyMs": 800, "priority": 1, "service": service, "maxAttempts": 2,
	})
}

// configure writes the manifest, as the operator does.
func (s *system) configure() {
	s.store.set("config/main", map[string]any{
		"version": "00000007", "routes": s.routes, "services": s.services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// addServer starts a server with a new id.
func (s *system) addServer(t *server) (*server, error) {
	if t.id == "" {
		t.id = newID("i-")
	}
	return t, t.start(s.store, s.record, s.ip)
}

func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startMachines starts the machines and waits until all are ready.
func (s *system) startMachines(count int) error {
	for i := range count {
		m, err := s.addMachine(i)
		if err != nil {
			return err
		}
		if err := m.start(s.record); err != nil {
			return err
		}
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range s.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == count {
			s.record.sayf("all %d machines are ready", count)
			return nil
		}
	}
	return errors.New("the machines did not become ready")
}

func (s *system) addMachine(i int) (*machine, error) {
	ip := loopbackIP()
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	zone := zones[i%len(zones)]
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), zone: zone, ip: ip, front: ports[0], ready: ports[1], peer: ports[2], dir: s.dir}
	listener, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return nil, err
	}
	m.store = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store.serveHost(m.name)) }()
	s.machines = append(s.machines, m)
	return m, nil
}

// writeSettings writes the settings file as the platform does.
func (m *machine) writeSettings(bootstrap bool) (string, error) {
	lines := []string{
		"grants=call", "self.node=" + m.name, "self.role=entry", "self.machineClass=front", "self.serves=front",
		"self.ip=" + m.ip, "self.zone=" + m.zone, "self.region=" + regionOf(m.zone), "self.lossCounts=false",
		fmt.Sprintf("self.bootstrap=%v", bootstrap),
		"self.limits.cpuShare=0.32", "self.limits.cores=1", fmt.Sprintf("self.limits.memoryMb=%d", memoryMb), "self.limits.maxFds=4100",
		"self.limits.linkMbps=1000.0", "self.limits.diskMb=0",
		fmt.Sprintf("network.listen.front=%s:%d", m.ip, m.front), fmt.Sprintf("network.listen.ready=%s:%d", m.ip, m.ready),
		fmt.Sprintf("network.internalPorts=%d,%d", m.peer, m.peer),
		"platform.discovery=platform", "platform.entry=vip", fmt.Sprintf("platform.heartbeatMs=%d", pingInterval.Milliseconds()),
		"platform.platform.address=" + m.store, "platform.platform.form=objects", "platform.platform.writesPerS=400",
		"platform.platform.readsPerS=2000", "platform.platform.historyS=20", "platform.platform.valueBytes=1048576", "platform.platform.ttlMinMs=1000",
		"terms.contracts=base,drain,config,cost,retry,recover,own,platform",
		"terms.bounds.seedLagS=3", "terms.bounds.reuseAfterS=2", "terms.bounds.stablePeriodMs=4000", "terms.bounds.ackMs=4000",
		"terms.bounds.catchUpS=4", "terms.bounds.drainMs=2500", "terms.bounds.graceS=6", "terms.bounds.lossSlackMs=200",
		"terms.bounds.configApplyMs=2500", "terms.bounds.rollbackSlackMs=250", "terms.bounds.maxStretchMs=5000",
		"terms.bounds.retryBudgetRatio=0.2", "terms.bounds.budgetWindowS=10", "terms.bounds.retryBudgetSlack=64",
		"terms.bounds.recoveryS=15", "terms.bounds.holdMaxMs=10000", "terms.bounds.thawSlackMs=300",
	}
	for _, zone := range zones {
		lines = append(lines, "network.zones."+zone+"="+regionOf(zone))
	}
	path := filepath.Join(m.dir, m.name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func regionOf(zone string) string {
	switch zone {
	case "gulf-a", "gulf-b":
		return "gulf-south"
	case "kl-utama", "penang":
		return "semenanjung"
	case "kuching":
		return "borneo"
	default:
		return "piedmont"
	}
}

// start starts the machine's process.
func (m *machine) start(record *recorder) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	path, err := m.writeSettings(m.startedAt.IsZero())
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(entryProgram)
	cmd.Env = []string{"MANGOPOST_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.cmd, m.exited, m.startedAt, m.wanted = cmd, exited, time.Now(), true
	record.logf("machine %s starts at %s:%d", m.name, m.ip, m.front)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		if m.wanted {
			m.ownEnds++
			record.logf("the process of machine %s ends by itself: %v", m.name, err)
		}
		m.mu.Unlock()
		close(exited)
	}()
	return nil
}

// kill ends the machine's process with SIGKILL, as a fault of the test.
func (m *machine) kill() {
	m.mu.Lock()
	if m.cmd == nil {
		m.mu.Unlock()
		return
	}
	m.wanted = false
	_ = m.cmd.Process.Kill() // it may have ended
	exited := m.exited
	m.mu.Unlock()
	<-exited
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	return m.cmd.Process.Pid
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", m.ip, m.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends all processes and removes the temporary folder.
func (s *system) stop() {
	for _, m := range s.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// clientHost is the Host header of all requests.
const clientHost = "gora94.example"

// answer is what a client has received.
type answer struct {
	status int // 0 if no complete answer came
	seal   string
	body   string
	err    error
}

// client keeps connections to the machines open, as the platform's clients do.
type client struct {
	record *recorder
	http   *http.Client
}

func newClient(record *recorder) *client {
	return &client{record: record, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// send sends one client attempt and waits for the answer, at most for the time budget.
func (c *client) send(m *machine, id, method, path string, key int, body io.Reader, length int64, budget time.Duration) answer {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, m.front, path), body)
	if err != nil {
		return answer{err: err}
	}
	req.Host, req.ContentLength = clientHost, length
	if body == nil {
		req.ContentLength = 0
	}
	req.GetBody = nil
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	if key >= 0 {
		req.Header.Set("Shard-Key", fmt.Sprint(key))
	}
	c.record.logf("client sends %s to %s: %s %s, body of %d bytes, key %d", id, m.name, method, path, req.ContentLength, key)
	a := c.do(req, budget)
	if a.err != nil {
		c.record.logf("client gets no answer to %s from %s: %v", id, m.name, a.err)
	} else {
		c.record.logf("client gets %d to %s from %s, seal %q, %d bytes", a.status, id, m.name, a.seal, len(a.body))
	}
	return a
}

func (c *client) do(req *http.Request, budget time.Duration) answer {
	client := *c.http
	client.Timeout = budget
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), body: string(data)}
}
