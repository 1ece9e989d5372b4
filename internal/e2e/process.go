package e2e

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Binaries locates the compiled programs under test.
type Binaries struct{ dir string }

// Build compiles the programs into dir. Package paths are relative to the
// module root, two folders up.
func Build(ctx context.Context, dir string) (Binaries, error) {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir,
		"./cmd/mangopost-router", "./cmd/mangopost-placer", "./cmd/mangopost-standin", "./cmd/mangopostctl", "./cmd/mangopost-entry")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.CombinedOutput()
	return Binaries{dir: dir}, errors.Wrapf(err, "build: %s", out)
}

func (b Binaries) path(name string) string { return filepath.Join(b.dir, name) }

// Process is a process that the test started.
type Process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	logFile *os.File

	mu    sync.Mutex
	ended bool
	err   error
	done  chan struct{}
}

// start runs a program and appends its output to the file name.log in dir.
func start(dir, name, program string, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open log file")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{name: name, logPath: logPath, cmd: cmd, logFile: logFile, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

// PID returns the ID of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.logFile.Close()
	p.mu.Lock()
	p.ended, p.err = true, err
	p.mu.Unlock()
	close(p.done)
}

// Kill sends SIGKILL, waits until the process has ended and returns the time of
// the signal in Unix nanoseconds.
func (p *Process) Kill() int64 {
	at := time.Now().UnixNano()
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
	return at
}

// Pause sends SIGSTOP and returns the time of the signal in Unix nanoseconds.
func (p *Process) Pause() int64 { return p.signal(syscall.SIGSTOP) }

// Resume sends SIGCONT and returns the time of the signal in Unix nanoseconds.
func (p *Process) Resume() int64 { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and returns the time of the signal in Unix
// nanoseconds.
func (p *Process) Terminate() int64 { return p.signal(syscall.SIGTERM) }

func (p *Process) signal(sig syscall.Signal) int64 {
	at := time.Now().UnixNano()
	_ = p.cmd.Process.Signal(sig)
	return at
}

// Wait blocks until the process has ended.
func (p *Process) Wait() { <-p.done }

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended
}

// LogTail returns the last bytes of the process's log. It may be called on a
// nil Process.
func (p *Process) LogTail(bytes int) string {
	if p == nil {
		return "not started"
	}
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-bytes):])
}
