package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangopost/mangopost/internal/load"
	"github.com/mangopost/mangopost/internal/load/usage"
	"github.com/mangopost/mangopost/internal/report"
)

// overheadCommand compares calls through entry hosts, which take two hops, with
// simultaneous direct calls to the same targets.
type overheadCommand struct {
	Mix     string   `long:"mix" required:"true" description:"mix file (TOML) of one service whose targets check no grants"`
	Entries []string `long:"entry" required:"true" description:"IP and port of a callers' listener; repeat for each"`
	Targets []string `long:"target" required:"true" description:"IP and port of a target; repeat for each"`
	Seeds   []uint64 `long:"seed" default:"1" default:"2" default:"3" description:"seed of a pair of runs; repeat for each"`
	Args    struct {
		Processes []string `positional-arg-name:"NAME=PID"`
	} `positional-args:"yes"`
}

// runPair holds the measurements of one seed.
type runPair struct {
	seed               uint64
	direct, viaEntries report.Quantiles
	requests           int           // attempts through the entry hosts
	cpu                time.Duration // of the given processes, minus their CPU time without load
}

// Execute runs a pair of runs for each seed and prints the latencies, their ratios
// and the processes' CPU time per request.
func (c *overheadCommand) Execute([]string) error {
	mix, err := load.ReadMix(c.Mix)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var pairs []runPair
	for _, seed := range c.Seeds {
		mix.Seed = seed
		pair, err := c.measurePair(ctx, mix)
		if err != nil {
			return err
		}
		pairs = append(pairs, pair)
	}
	return writePairs(os.Stdout, pairs)
}

// measurePair runs the mix through the entry hosts and directly at the same time.
func (c *overheadCommand) measurePair(ctx context.Context, mix load.Mix) (runPair, error) {
	idleCores, err := c.idleCores()
	if err != nil {
		return runPair{}, err
	}
	before, err := c.cpuTime()
	if err != nil {
		return runPair{}, err
	}
	start := time.Now()
	name := fmt.Sprintf("o%d", time.Now().UnixMilli())
	var direct, viaEntries []load.Result
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		viaEntries, err = load.Run(ctx, mix, load.Options{Run: name + "v", Entries: c.Entries})
		return err
	})
	group.Go(func() (err error) {
		directMix := mix
		directMix.Seed += 1 << 32 // different arrivals from the same distribution
		direct, err = load.Run(ctx, directMix, load.Options{Run: name + "d", Entries: c.Targets})
		return err
	})
	if err := group.Wait(); err != nil {
		return runPair{}, err
	}
	after, err := c.cpuTime()
	idleCPU := time.Duration(idleCores * float64(time.Since(start)))
	return runPair{
		seed: mix.Seed, direct: servedLatencies(direct), viaEntries: servedLatencies(viaEntries), requests: len(viaEntries), cpu: after - before - idleCPU,
	}, err
}

// idleDuration is the time over which CPU use without load is measured.
const idleDuration = 3 * time.Second

// idleCores returns the number of cores that the processes use without load.
func (c *overheadCommand) idleCores() (float64, error) {
	before, err := c.cpuTime()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	time.Sleep(idleDuration)
	after, err := c.cpuTime()
	return (after - before).Seconds() / time.Since(start).Seconds(), err
}

func servedLatencies(results []load.Result) report.Quantiles {
	var served []time.Duration
	for _, r := range results {
		if r.Served() {
			served = append(served, r.Latency())
		}
	}
	return report.QuantilesOf(served)
}

// cpuTime returns the CPU time that the given processes have used.
func (c *overheadCommand) cpuTime() (time.Duration, error) {
	var sum time.Duration
	for _, arg := range c.Args.Processes {
		_, text, _ := strings.Cut(arg, "=")
		pid, err := strconv.Atoi(text)
		if err != nil {
			return 0, errors.Wrapf(err, "process %q", arg)
		}
		sample, err := usage.Read(pid)
		if err != nil {
			return 0, err
		}
		sum += sample.CPU
	}
	return sum, nil
}

func writePairs(w io.Writer, pairs []runPair) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "seed\trequests\tserved\tdirect p50 ms\tvia p50\tratio\tdirect p99\tvia p99\tratio\tCPU us/request")
	for _, p := range pairs {
		fmt.Fprintf(tab, "%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\n", p.seed, p.requests, p.viaEntries.Count,
			p.direct.P50, p.viaEntries.P50, p.viaEntries.P50/p.direct.P50, p.direct.P99, p.viaEntries.P99, p.viaEntries.P99/p.direct.P99,
			float64(p.cpu.Microseconds())/float64(max(p.requests, 1)))
	}
	return tab.Flush()
}
