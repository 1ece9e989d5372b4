package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mangopost/mangopost/platform/standin"
)

const (
	program     = "target/mangopost-entry"
	memoryMB    = 284  // of a machine of the small deployments
	files       = 4100 // descriptors of such a machine
	readyLimit  = 20 * time.Second
	heartbeatMS = 870
)

// bounds are those of the small deployments.
const bounds = `terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.faultTolerance.machines=1
terms.faultTolerance.zones=0
terms.faultTolerance.regions=0
terms.bounds.seedLagS=3
terms.bounds.reuseAfterS=2
terms.bounds.stablePeriodMs=4000
terms.bounds.ackMs=4000
terms.bounds.catchUpS=4
terms.bounds.drainMs=2500
terms.bounds.graceS=6
terms.bounds.lossSlackMs=200
terms.bounds.configApplyMs=2500
terms.bounds.rollbackSlackMs=250
terms.bounds.maxStretchMs=5000
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindowS=10
terms.bounds.retryBudgetSlack=58
terms.bounds.recoveryS=15
terms.bounds.holdMaxMs=10000
terms.bounds.thawSlackMs=300
`

// system is a store and the machines of the system, all on loopback addresses.
type system struct {
	dir     string
	network string // the first three numbers of the machines' addresses
	store   *standin.Store
	hosts   []*host
	record  *record
}

// record is the file of what was sent, answered and run.
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

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the program with the code of a case that could not run.
type cannotRun struct{ reason string }

func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func newSystem(r *record) *system {
	dir, err := os.MkdirTemp("", "review")
	must(err)
	s := &system{
		dir: dir, record: r, store: standin.NewStore(),
		network: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	return s
}

// serveStore starts the store and returns its address.
func (s *system) serveStore(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String()
}

func (s *system) stop() {
	for _, h := range s.hosts {
		h.kill()
	}
	_ = os.RemoveAll(s.dir)
}

// host is one machine of the system and its process.
type host struct {
	name, ip, zone, region, settings string
	callers, ready, peers            int
	record                           *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	isUp   bool
	starts int
	exits  []string // ends that the script did not cause
	log    *os.File
}

type place struct{ zone, region string }

// addHost writes the settings of a machine and starts its process.
func (s *system) addHost(p place, zones map[string]string, store string, memory int, firstStart bool) *host {
	i := len(s.hosts) + 1
	h := &host{
		name: fmt.Sprintf("front-%s-%d", p.zone, i), ip: fmt.Sprintf("%s.%d", s.network, i), zone: p.zone, region: p.region,
		callers: 8641, ready: 8640, peers: 7620, record: s.record,
	}
	h.settings = filepath.Join(s.dir, h.name+".conf")
	var b strings.Builder
	fmt.Fprintf(&b, "grants=call\nself.node=%s\nself.role=entry\nself.machineClass=front\nself.serves=front\nself.ip=%s\nself.zone=%s\nself.region=%s\n", h.name, h.ip, p.zone, p.region)
	fmt.Fprintf(&b, "self.lossCounts=false\nself.bootstrap=%v\nself.limits.cpuShare=0.32\nself.limits.cores=1\nself.limits.memoryMb=%d\nself.limits.maxFds=%d\nself.limits.linkMbps=1000.0\nself.limits.diskMb=0\n", firstStart, memory, files)
	fmt.Fprintf(&b, "network.listen.front=%s:%d\nnetwork.listen.ready=%s:%d\nnetwork.internalPorts=%d,%d\n", h.ip, h.callers, h.ip, h.ready, h.peers, h.peers+15)
	for zone, region := range zones {
		fmt.Fprintf(&b, "network.zones.%s=%s\n", zone, region)
	}
	fmt.Fprintf(&b, "platform.discovery=platform\nplatform.entry=vip\nplatform.heartbeatMs=%d\nplatform.platform.address=%s\nplatform.platform.form=objects\nplatform.platform.writesPerS=400\nplatform.platform.readsPerS=2000\nplatform.platform.historyS=20\nplatform.platform.valueBytes=1048576\nplatform.platform.ttlMinMs=1000\n", heartbeatMS, store)
	b.WriteString(bounds)
	must(os.WriteFile(h.settings, []byte(b.String()), 0o600))
	log, err := os.Create(filepath.Join(s.dir, h.name+".log"))
	must(err)
	h.log = log
	s.hosts = append(s.hosts, h)
	h.start()
	return h
}

func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(program)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOPOST_CONFIG=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	// The process must not outlive the script.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(h.cmd.Start())
	h.isUp, h.ended = true, make(chan struct{})
	h.starts++
	h.record.line("%s starts, process %d", h.name, h.cmd.Process.Pid)
	go h.watch(h.cmd, h.ended)
}

func (h *host) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	h.mu.Lock()
	if h.isUp && h.cmd == cmd {
		h.isUp = false
		h.exits = append(h.exits, fmt.Sprint(err))
		h.record.say("%s ends by itself: %v", h.name, err)
	}
	h.mu.Unlock()
	close(ended)
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	if !h.isUp {
		h.mu.Unlock()
		return
	}
	h.isUp = false
	_ = h.cmd.Process.Kill()
	ended := h.ended
	h.mu.Unlock()
	<-ended
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isUp {
		_ = h.cmd.Process.Signal(sig)
	}
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

func (h *host) addr() string { return net.JoinHostPort(h.ip, strconv.Itoa(h.callers)) }

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", h.ip, h.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines count as ready.
func (s *system) awaitReady() {
	for end := time.Now().Add(readyLimit); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range s.hosts {
			all = all && h.isReady()
		}
		if all {
			return
		}
		if time.Now().After(end) {
			panic(cannotRun{"the machines do not get ready"})
		}
	}
}

// residentMB returns the resident memory of the process now and at its peak, in MB.
func (h *host) residentMB() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid()))
	if err != nil {
		return 0, 0
	}
	read := func(name string) int {
		for line := range strings.Lines(string(text)) {
			if value, ok := strings.CutPrefix(line, name); ok {
				kib, _ := strconv.Atoi(strings.Fields(value)[0])
				return kib >> 10
			}
		}
		return 0
	}
	return read("VmRSS:"), read("VmHWM:")
}
