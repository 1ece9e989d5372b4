package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/platform/standin"
)

// limits are the limits of a process under test.
type limits struct {
	memory    int64 // bytes
	files     int   // descriptors
	bodyBytes int64 // of one request
}

// smallLimits are those of the crowds: small, so that a small crowd exceeds them.
var smallLimits = limits{memory: 96 << 20, files: 420, bodyBytes: 8 << 20}

// smallestHost has the memory of the smallest host and the largest body of the
// platform's pages.
var smallestHost = limits{memory: 184 << 20, files: 4100, bodyBytes: 64 << 20}

// routerDefaults are the router's default memory and its largest configurable body.
var routerDefaults = limits{memory: 256 << 20, files: 4100, bodyBytes: 64 << 20}

// endpoint is a path at which clients send requests.
type endpoint struct {
	addr        string
	post, get   string // paths, with a query
	headers     string // complete lines
	largeAnswer string // added to get: the answer has largeAnswerBytes
}

// system is a process under test with what it needs to serve.
type system struct {
	limits    limits
	pid       int
	endpoints []endpoint // with a route, without one, readiness, metrics
	log       func() string
}

var (
	binaries  e2e.Binaries
	binaryDir string
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mangopost-crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	if binaries, err = e2e.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// largeAnswerBytes is the size of an answer that does not fit socket buffers.
const largeAnswerBytes = 12 << 20

const (
	routeTimeout = 8 * time.Second
	startLimit   = 60 * time.Second // of a start that hangs; it is no bound on speed
	service      = "work"
)

// startEntry starts mangopost-entry with a store and a target.
func startEntry(t *testing.T, l limits) *system {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	configure(store, l)
	startTarget(t, store)
	ports, err := standin.FreePorts(4)
	assert.NilError(t, err)
	dir := t.TempDir()
	path, logPath := filepath.Join(dir, "settings"), filepath.Join(dir, "log")
	assert.NilError(t, standin.WriteSettings(path, standin.HostSettings{
		Name: "host", Callers: ports[0], Readiness: ports[1], Peers: ports[2], Store: server.Listener.Addr().String(),
	}))
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	text = append(text, standin.LimitSettings(int64(l.memory), l.files)...)
	assert.NilError(t, os.WriteFile(path, text, 0o600))
	log, err := os.Create(logPath)
	assert.NilError(t, err)
	cmd := exec.Command(filepath.Join(binaryDir, "mangopost-entry"), "--metrics-port", strconv.Itoa(ports[3]))
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()
		_ = log.Close()
	})
	callers := fmt.Sprintf("127.0.0.1:%d", ports[0])
	headers := "Host: " + standin.FixtureHost + "\r\n" + standin.HeaderKey + ": 0\r\n" + standin.HeaderDeadline + ": 8000\r\n"
	s := &system{limits: l, pid: cmd.Process.Pid, log: func() string { return tail(logPath) }, endpoints: []endpoint{
		{callers, "/" + service + "/x?", "/" + service + "/x?", headers, "bytes=" + strconv.Itoa(largeAnswerBytes)},
		{callers, "/none/x?", "/none/x?", headers, ""},
		{fmt.Sprintf("127.0.0.1:%d", ports[1]), standin.ReadinessPath + "?", standin.ReadinessPath + "?", headers, ""},
		{fmt.Sprintf("127.0.0.1:%d", ports[3]), "/metrics?", "/metrics?", headers, ""},
	}}
	s.awaitAnswer(t)
	return s
}

func configure(store *standin.Store, l limits) {
	standin.SetLimitedConfiguration(store, service, routeTimeout, int64(l.bodyBytes))
}

// startTarget starts a target that discards bodies and answers with as many bytes as
// the query asks for.
func startTarget(t *testing.T, store *standin.Store) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the sender may have given up
		size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
		w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(bytes.Repeat([]byte("x"), size)) // the reader may have given up
	}))
	t.Cleanup(target.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	born := time.Now().UnixMilli()
	go func() {
		for seq := uint64(1); ctx.Err() == nil; seq++ {
			store.Set("servers/t1", standin.TargetEntry(service, target.Listener.Addr().String(), "here", 40, "ready", seq, born))
			time.Sleep(300 * time.Millisecond)
		}
	}()
}

// startRouter starts a cell of one host and one target.
func startRouter(t *testing.T, l limits) *system {
	dir, err := os.MkdirTemp("", "mangopost-crowd-cell")
	assert.NilError(t, err)
	c, err := e2e.NewCluster(binaries, dir, e2e.Options{
		Hosts: 1, Targets: 1, Slots: 40, DeadlineMS: routeTimeout.Milliseconds(),
		MaxBodyBytes: l.bodyBytes, MemoryBytes: l.memory, RouterFiles: l.files,
	})
	t.Cleanup(c.Remove)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	assert.NilError(t, c.WaitServing(ctx, []string{"k1"}))
	h := c.Hosts[0]
	headers := "Host: x\r\nMangopost-Client: " + e2e.ClientName + "\r\nMangopost-Key: k1\r\n"
	path := "/" + e2e.Service
	return &system{limits: l, pid: h.Router.PID(), log: func() string { return h.Router.LogTail(3000) }, endpoints: []endpoint{
		{h.Callers, path + "/loans?", path + "/holdings?", headers, "bytes=" + strconv.Itoa(largeAnswerBytes)},
		{h.Callers, path + "/none?", path + "/none?", headers, ""},
		{h.RouterOps, "/ready?", "/ready?", headers, ""},
	}}
}

// tail returns the end of a log.
func tail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-3000):])
}

// awaitAnswer waits until an ordinary request on the path with a route is answered by
// the target.
func (s *system) awaitAnswer(t *testing.T) {
	t.Helper()
	last := ""
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if last = s.request(strings.NewReader("hello"), 5); last == "200" {
			return
		}
	}
	t.Errorf("no ordinary request is answered: %s", last)
}

// request sends one request to the path with a route, and returns the status or error.
func (s *system) request(body io.Reader, length int64) string {
	e := s.endpoints[0]
	conn, err := net.DialTimeout("tcp", e.addr, 2*time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", e.head(http.MethodPost, 1), length); err != nil {
		return err.Error()
	}
	if _, err := io.Copy(conn, body); err != nil {
		return err.Error()
	}
	answer := make([]byte, 12)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err.Error()
	}
	return string(answer[9:])
}

// head returns the request line and the headers, without the blank line. number tells
// requests apart.
func (e endpoint) head(method string, number int) string {
	path := e.post
	if method == http.MethodGet {
		path = e.get
	}
	id := fmt.Sprintf("%d-%d", time.Now().UnixNano(), number)
	return method + " " + path + " HTTP/1.1\r\n" + e.headers + standin.HeaderID + ": " + id + "\r\nMangopost-Request-Id: " + id + "\r\n"
}

// peakMemory returns the peak resident memory in bytes, or an error if the process has
// ended.
func (s *system) peakMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", s.pid)
}

// openFiles returns the number of open descriptors.
func (s *system) openFiles() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid)) // none once it has ended
	return len(entries)
}
