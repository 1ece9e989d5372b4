package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/platform/standin"

	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/platform"
	"github.com/mangopost/mangopost/routing"
)

const (
	safePath   = "/safe/"
	unsafePath = "/unsafe/"
)

// scriptedTarget accepts connections and passes each request to a script, which
// writes raw bytes to the connection. The connection is closed when the script
// returns false.
type scriptedTarget struct {
	listener net.Listener

	mu       sync.Mutex
	requests []string // IDs, in the order of arrival
	conns    []net.Conn
}

type targetScript func(conn net.Conn, r *http.Request, number int) bool

func startScriptedTarget(t *testing.T, script targetScript) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedTarget{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, script)
		}
	}()
	return s
}

func (s *scriptedTarget) serve(conn net.Conn, script targetScript) {
	defer conn.Close()
	s.mu.Lock()
	s.conns = append(s.conns, conn)
	s.mu.Unlock()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r.Header.Get(standin.HeaderID))
		s.mu.Unlock()
		if !script(conn, r, number) {
			return
		}
	}
}

// end closes the listener and resets all connections, as the end of a process does.
func (s *scriptedTarget) end() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (s *scriptedTarget) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// writeAnswer writes a complete answer with the given ID and extra header lines.
func writeAnswer(w io.Writer, status int, id, body, extra string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, standin.HeaderID, id, extra, len(body), body)
}

// newServingNode returns a node with one service of the given targets, and the URL at
// which it takes callers' requests.
func newServingNode(t *testing.T, targets ...*scriptedTarget) (*Node, string) {
	t.Helper()
	return newServingNodeWithMemory(t, 0, targets...)
}

// newServingNodeWithMemory is like newServingNode, with a process's memory in bytes.
func newServingNodeWithMemory(t *testing.T, memory int64, targets ...*scriptedTarget) (*Node, string) {
	t.Helper()
	addr := netip.MustParseAddrPort("127.0.0.1:9")
	s := &platform.Settings{Host: "h", DataCentre: "here", IP: addr.Addr(), Store: addr, Peers: addr, Heartbeat: time.Second, Memory: memory}
	s.Bounds.RetryWindow, s.Bounds.RetryRatio, s.Bounds.RetrySlack = 10*time.Second, 0.2, 1000
	n := New(s, 0, nil, hclog.New(&hclog.LoggerOptions{Output: io.Discard}))
	route := func(prefix string, idempotent bool) routing.Route {
		return routing.Route{
			Name: prefix, Host: "host.example", Prefix: prefix, Idempotent: idempotent, MaxAttempts: 3,
			Timeout: 2 * time.Second, LatencyGoal: 500 * time.Millisecond, Parts: []routing.Part{{Service: "s", Weight: 1}},
		}
	}
	n.configure(routing.NewTable(1, []routing.Route{route(safePath, true), route(unsafePath, false)},
		[]routing.Service{{Name: "s"}}, routing.CallerLimits{}))
	n.mu.Lock()
	n.directory.RecordAnswer(steadyClock())
	for i, target := range targets {
		n.directory.Put(directory.Entry{
			Name: fmt.Sprintf("t%d", i), Service: "s", Addr: target.listener.Addr().String(), DataCentre: "here", Slots: 4, Run: 1,
		})
	}
	n.updateTargets()
	n.mu.Unlock()
	server := httptest.NewUnstartedServer(n)
	server.Listener = memlimit.NewListener(&callerListener{Listener: server.Listener}, n.memory, n.connections().Clients)
	server.Config.ConnContext, server.Config.ConnState = connContext, memlimit.ConnState
	server.Start()
	t.Cleanup(server.Close)
	return n, server.URL
}

// ask sends a request and returns the answer's status and body; the body is not
// complete if err is set.
func ask(t *testing.T, url, path, id string, body io.Reader) (status int, answer string, header http.Header, err error) {
	t.Helper()
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, url+path, body)
	assert.NilError(t, err)
	r.Host = "host.example"
	r.Header.Set(standin.HeaderID, id)
	r.Header.Set(standin.HeaderDeadline, "1500")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(value), resp.Header, err
}
