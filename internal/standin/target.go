package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

// ErrDown is returned when the target's process isn't running.
var ErrDown = errors.New("target is down")

// Target simulates one target. It can be started, crashed and restarted, and keeps
// the record of its runs over restarts. All methods are safe for concurrent use.
type Target struct {
	opts      TargetOptions
	sampler   *sampler
	runs      runLog
	freeze    gate
	completed atomic.Uint64
	loads     loadHistory
	events    EventSink

	mu      sync.Mutex
	faults  TargetFaults
	addr    string   // kept over restarts
	process *process // nil while down
}

// process is the state of a target's process, which is lost when it ends. Only the
// address and the run record are kept.
type process struct {
	started          time.Time
	guard            *grantGuard
	slots            *slots
	server           *http.Server
	ctx              context.Context // ends with the process
	cancel           context.CancelFunc
	draining         atomic.Bool
	previousResponse atomic.Pointer[runResponse]
}

// NewTarget returns a target that is not started. Unset options get their
// defaults.
func NewTarget(opts TargetOptions) (*Target, error) {
	opts = opts.WithDefaults()
	if err := opts.Check(); err != nil {
		return nil, err
	}
	return &Target{opts: opts, sampler: newSampler(opts.Seed), addr: opts.Listen, events: discardEvents{}}, nil
}

// Options returns the target's options, defaults included.
func (t *Target) Options() TargetOptions { return t.opts }

// Addr returns the IP and port. With port 0 in the options the port is known after
// the first start.
func (t *Target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Start starts the target's process. It does nothing while the process runs.
func (t *Target) Start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.process != nil {
		return nil
	}
	listener, err := net.Listen("tcp", t.addr)
	if err != nil {
		return errors.Wrapf(err, "start %s", t.opts.Name)
	}
	t.addr = listener.Addr().String()
	t.process = t.newProcess()
	t.events.Emit(eventTargetStarted, "target", t.opts.Name, "addr", t.addr)
	go t.process.serve(newConnLimiter(listener, t.opts.Connections, milliseconds(t.opts.ConnectMS)))
	return nil
}

func (t *Target) newProcess() *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		started: time.Now(),
		guard:   newGrantGuard(),
		slots:   newSlots(t.opts.Slots, t.opts.Queue),
		ctx:     ctx,
		cancel:  cancel,
	}
	p.server = &http.Server{Handler: t.handler(p), ReadHeaderTimeout: headerTimeout}
	return p
}

const headerTimeout = 10 * time.Second

func (p *process) serve(listener net.Listener) { _ = p.server.Serve(listener) }

// Crash ends the target's process at once: the listener and every connection are
// closed, and running requests end as crashed. If RestartMS is set, the process
// starts again after that time.
func (t *Target) Crash() {
	if p := t.currentProcess(); p != nil {
		t.crash(p)
	}
}

// crash ends p, unless it has already ended.
func (t *Target) crash(p *process) {
	if !t.detach(p) {
		return
	}
	p.cancel()
	p.server.Close()
	t.events.Emit(eventTargetCrashed, "target", t.opts.Name)
	if t.opts.RestartMS > 0 {
		time.AfterFunc(milliseconds(t.opts.RestartMS), func() { _ = t.Start() })
	}
}

// detach marks the target as down if p is its current process, and reports whether
// it was.
func (t *Target) detach(p *process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.process != p {
		return false
	}
	t.process = nil
	return true
}

// Drain makes the target refuse new requests; running requests complete.
func (t *Target) Drain() error {
	p := t.currentProcess()
	if p == nil {
		return errors.Wrap(ErrDown, t.opts.Name)
	}
	t.drain(p)
	return nil
}

func (t *Target) drain(p *process) {
	p.draining.Store(true)
	t.events.Emit(eventTargetDrains, "target", t.opts.Name)
}

func (t *Target) currentProcess() *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.process
}

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mu.Lock()
	t.faults = faults
	t.mu.Unlock()
	t.freeze.setClosed(faults.Freeze)
	t.events.Emit(eventTargetFaults, "target", t.opts.Name, "faults", faults)
}

// Faults returns the target's current faults.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Runs returns the record of all runs, ordered by number.
func (t *Target) Runs() []judge.Run { return t.runs.all() }

// TargetStatus is the status of one target in the answer to GET /admin/targets.
type TargetStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Up       bool   `json:"up"`
	Draining bool   `json:"draining"`
	Running  int    `json:"running"`
	Waiting  int64  `json:"waiting"`
	Runs     uint64 `json:"runs"`
}

// Status returns the target's actual state, regardless of what its faults make it report.
func (t *Target) Status() TargetStatus {
	status := TargetStatus{
		Name: t.opts.Name, Service: t.opts.Service, Addr: t.Addr(),
		Runs: uint64(len(t.Runs())),
	}
	if p := t.currentProcess(); p != nil {
		status.Up = true
		status.Draining = p.draining.Load()
		status.Running = p.slots.running()
		status.Waiting = p.slots.waiting.Load()
	}
	return status
}

// waitUnfrozen returns once the target is not frozen, or with the error of ctx.
func (t *Target) waitUnfrozen(ctx context.Context) error { return t.freeze.wait(ctx) }
