package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mangopost/mangopost/platform/standin"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, began: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the script as one that could not run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		stopAll()
		os.Exit(exitFailed)
	}
}

// hasTrouble reports whether the disruption is to be played.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// serveStore starts the project's stand-in of the platform's store.
func serveStore(store http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(l, store) }()
	return l.Addr().String()
}

// host is one process of the project's program.
type host struct {
	name, ip          string
	callers, ready    int
	settings, logPath string
	cmd               *exec.Cmd
	ended             chan error
}

var (
	hostsMu sync.Mutex
	hosts   []*host
)

// stopAll ends all processes that the script started.
func stopAll() {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	for _, h := range hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
		}
	}
}

// program is the program of the deploy file.
func program() string { return filepath.Join("..", "..", "target", "mangopost-entry") }

// startHost starts the program with settings like those of a small deployment. Each host
// has an address of its own, so that the command is that of the deploy file.
func startHost(dir, name, store, extra string) *host {
	hostsMu.Lock()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, 1+len(hosts))
	hostsMu.Unlock()
	ports, err := standin.FreePorts(3)
	must(err)
	h := &host{name: name, ip: ip, callers: ports[0], ready: ports[1], settings: filepath.Join(dir, name+".conf"), logPath: filepath.Join(dir, name+".log")}
	text := fmt.Sprintf("self.node=%s\nself.ip=%s\nnetwork.listen.front=%s:%d\nnetwork.listen.ready=%s:%d\nnetwork.internalPorts=%d,%d\nplatform.platform.address=%s\n",
		name, ip, ip, ports[0], ip, ports[1], ports[2], ports[2], store) + smallDeployment + extra
	must(os.WriteFile(h.settings, []byte(text), 0o600))
	h.start()
	hostsMu.Lock()
	hosts = append(hosts, h)
	hostsMu.Unlock()
	return h
}

// smallDeployment holds the settings of sites/magnolia-labels.toml.
const smallDeployment = `self.zone=gulf-a
self.region=gulf-south
network.zones.gulf-a=gulf-south
platform.heartbeatMs=1500
self.limits.cpuShare=0.32
self.limits.cores=1
self.limits.memoryMb=284
self.limits.maxFds=4100
self.bootstrap=true
terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.bounds.graceS=6
terms.bounds.configApplyMs=2500
terms.bounds.drainMs=2500
terms.bounds.holdMaxMs=10000
terms.bounds.retryBudgetRatio=0.2
terms.bounds.retryBudgetSlack=64
terms.bounds.budgetWindowS=10
`

func (h *host) start() {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	h.cmd = exec.Command(program())
	h.cmd.Env = append(os.Environ(), "MANGOPOST_CONFIG="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	must(h.cmd.Start())
	h.ended = make(chan error, 1)
	go func() { h.ended <- h.cmd.Wait() }()
}

// awaitReady waits until the host counts as ready.
func (h *host) awaitReady(limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			return
		}
	}
	must(fmt.Errorf("host %s is not ready", h.name))
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", h.ip, h.ready))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memory returns a field of the process's status in KiB, such as VmRSS.
func (h *host) memory(field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.HasPrefix(line, field+":") {
			var kib int
			_, _ = fmt.Sscanf(line[len(field)+1:], "%d", &kib)
			return kib
		}
	}
	return -1
}

// envInt returns a number from the environment.
func envInt(name string, fallback int) int {
	var n int
	if _, err := fmt.Sscanf(os.Getenv(name), "%d", &n); err != nil {
		return fallback
	}
	return n
}
