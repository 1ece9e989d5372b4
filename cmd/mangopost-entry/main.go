// Command mangopost-entry runs an entry host on the users' platform. It accepts
// callers' requests, sends each to a target and, while it is the coordinator,
// plans which targets own which keys.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/daemon"
	"github.com/mangopost/mangopost/internal/entry"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/platform"
)

// gcPercent keeps the heap small: memory is scarcer than processor time on these
// hosts.
const gcPercent = 50

// memoryShare is the part of the process's memory limit from which the garbage
// collector runs more often.
const memoryShare = 0.8

// bytesPerMbit is the number of bytes of a megabit.
const bytesPerMbit = 1e6 / 8

type options struct {
	MetricsPort uint16  `long:"metrics-port" default:"9464" value-name:"PORT" description:"port of the metrics, at the host's IP"`
	Crossing    string  `long:"crossing" default:"auto" choice:"fixed" choice:"learned" choice:"auto" description:"how requests leave the data centre: by fixed penalties, by learned costs, or learned where the terms name places"`
	LinkMbit    float64 `long:"link-mbit" default:"30" value-name:"MBIT" description:"rate of the link to the other region in each direction that requests may use, in Mbit/s"`
	Check       bool    `long:"check" description:"check the settings, print every finding with its place, and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	// Signal handling is set up first: without it each of these signals would end
	// the process.
	signal.Ignore(syscall.SIGPIPE) // a closed log must not end the process
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return daemon.ExitOK
		}
		return daemon.ExitBadInput
	}
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		printFindings(err)
		return daemon.ExitBadInput
	}
	if opts.Check {
		fmt.Println("settings are good")
		return daemon.ExitOK
	}
	return serve(settings, opts, hangups)
}

func printFindings(err error) {
	var settingsErr *platform.Error
	if errors.As(err, &settingsErr) {
		finding.Print(os.Stderr, settingsErr.Findings)
		return
	}
	fmt.Fprintf(os.Stderr, "%v (the variable %s names the settings file)\n", err, platform.SettingsVariable)
}

func serve(s *platform.Settings, opts options, hangups <-chan os.Signal) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	logger := kernel.NewJSONLogger("entry", hclog.Info, os.Stdout)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	node := entry.New(s, opts.MetricsPort, hangups, logger)
	node.SetCrossing(entry.Crossing{Mode: entry.CrossingMode(opts.Crossing), LinkBytesPerSecond: opts.LinkMbit * bytesPerMbit})
	if err := node.Run(ctx); err != nil {
		logger.Error("daemon failed", "error", err)
		return daemon.ExitFailed
	}
	return daemon.ExitOK
}
