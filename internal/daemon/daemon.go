// Package daemon holds the code that the main programs of the router and the placer
// share: the command line, the settings file, logging, peer keys and signals.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"github.com/mangopost/mangopost/internal/settings"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/kernel"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitBadInput = 2
)

// traceFileMode makes a trace readable by its owner only.
const traceFileMode = 0o600

// memoryShare is the part of the process's memory limit from which the garbage
// collector runs more often. With 0.8, a crowd of bodies took a router to 86 of 96 MiB.
const memoryShare = 0.7

// Options holds the command line of a daemon.
type Options struct {
	Config string `long:"config" short:"c" required:"true" value-name:"FILE" description:"settings file of this host (TOML)"`
	Check  bool   `long:"check" description:"check the settings, print every finding with its place, and exit"`
	Record string `long:"record" value-name:"FILE" description:"record the leases' events as a trace into this new file"`
}

// Env is the environment that a daemon runs in.
type Env struct {
	Host      *settings.Host
	Logger    hclog.Logger
	Run       uint64 // incarnation of this process; increases with each start
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Record    io.Writer // trace output; nil if no trace is recorded
}

// Main reads the command line and the settings, and runs the daemon until SIGTERM
// or an interrupt arrives. A second signal ends the process at once. Main returns
// the exit code.
func Main(name string, run func(ctx context.Context, env Env) error) int {
	var opts Options
	parser := flags.NewNamedParser(name, flags.Default)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return ExitOK
		}
		return ExitBadInput
	}
	host, findings := settings.Load(opts.Config)
	if len(findings) > 0 {
		settings.Print(os.Stderr, findings)
		return ExitBadInput
	}
	if opts.Check {
		fmt.Println("settings are good")
		return ExitOK
	}
	return runDaemon(name, host, opts.Record, run)
}

func runDaemon(name string, host *settings.Host, tracePath string, run func(ctx context.Context, env Env) error) int {
	debug.SetMemoryLimit(int64(memoryShare * float64(host.Limits.MemoryBytes)))
	env := Env{Host: host, Logger: newLogger(name, host.Log), Run: uint64(time.Now().UnixNano())}
	var err error
	if env.ServerTLS, env.ClientTLS, err = peerTLSConfigs(host.PeerTLS); err != nil {
		env.Logger.Error("cannot load the peer TLS keys", "error", err)
		return ExitFailed
	}
	file := openTrace(env.Logger, tracePath)
	if file != nil {
		env.Record = file
		defer file.Close()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// After the first signal, restore the default handling, so that a second one
	// ends the process.
	context.AfterFunc(ctx, stop)
	if err := run(ctx, env); err != nil {
		env.Logger.Error("daemon failed", "error", err)
		return ExitFailed
	}
	return ExitOK
}

// openTrace creates the file of a trace. An existing file is kept, as it may hold
// the incident that ended the previous process: the daemon then starts without
// recording a trace.
func openTrace(logger hclog.Logger, path string) *os.File {
	if path == "" {
		return nil
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, traceFileMode)
	if err != nil {
		logger.Error("cannot create the trace file; no trace is recorded", "error", err)
		return nil
	}
	return file
}

func newLogger(name string, log settings.Log) hclog.Logger {
	level := hclog.LevelFromString(log.Level)
	if log.Format == "json" {
		return kernel.NewJSONLogger(name, level, os.Stderr)
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, Output: os.Stderr})
}

func peerTLSConfigs(s settings.PeerTLS) (server, client *tls.Config, err error) {
	if s.Plain {
		return nil, nil, nil
	}
	keys := &wire.Keys{CA: s.CA, Cert: s.Cert, Key: s.Key}
	cfg, err := keys.Config()
	return cfg, cfg, err
}
