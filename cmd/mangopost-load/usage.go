package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/load/usage"
	"github.com/mangopost/mangopost/internal/standin"
)

type usageCommand struct {
	ForMS int64  `long:"for-ms" default:"10000" description:"milliseconds between the two samples"`
	Store string `long:"store" description:"IP and port of the platform stand-in, to count its calls"`
	JSON  bool   `long:"json" description:"print JSON"`
	Args  struct {
		Processes []string `positional-arg-name:"NAME=PID" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// usageReport holds the resource usage of the processes and the calls to the store
// per second.
type usageReport struct {
	Processes []usage.Rate `json:"processes"`
	Calls     []callRate   `json:"store_calls"`
}

type callRate struct {
	Kind      standin.CallKind `json:"kind"`
	PerSecond float64          `json:"per_s"`
}

// Execute samples the processes twice and prints their usage between the samples.
func (c *usageCommand) Execute([]string) error {
	before, err := c.sample()
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(time.Duration(c.ForMS) * time.Millisecond)
	after, err := c.sample()
	if err != nil {
		return err
	}
	report := usageBetween(before, after, time.Since(start))
	if c.JSON {
		return writeJSON(os.Stdout, report)
	}
	return report.write(os.Stdout)
}

// snapshot holds the samples of all processes and the store's call counts at one
// time.
type snapshot struct {
	names   []string
	samples []usage.Sample
	calls   standin.Stats
}

func (c *usageCommand) sample() (snapshot, error) {
	var s snapshot
	for _, arg := range c.Args.Processes {
		name, text, _ := strings.Cut(arg, "=")
		pid, err := strconv.Atoi(text)
		if err != nil {
			return s, errors.Wrapf(err, "process %q", arg)
		}
		sample, err := usage.Read(pid)
		if err != nil {
			return s, errors.Wrap(err, name)
		}
		s.names = append(s.names, name)
		s.samples = append(s.samples, sample)
	}
	if c.Store == "" {
		return s, nil
	}
	err := getOK(http.DefaultClient, "http://"+c.Store+"/v1/stats", func(body io.Reader) error {
		return json.NewDecoder(body).Decode(&s.calls)
	})
	return s, errors.Wrap(err, "reading the store's call counts")
}

func usageBetween(before, after snapshot, elapsed time.Duration) usageReport {
	var r usageReport
	for i, name := range before.names {
		r.Processes = append(r.Processes, usage.Between(name, before.samples[i], after.samples[i], elapsed))
	}
	kinds := []standin.CallKind{
		standin.CallGet, standin.CallList, standin.CallWatch, standin.CallHosts, standin.CallPut, standin.CallDelete,
	}
	for _, kind := range kinds {
		calls := after.calls.Total(kind) - before.calls.Total(kind)
		r.Calls = append(r.Calls, callRate{Kind: kind, PerSecond: float64(calls) / elapsed.Seconds()})
	}
	return r
}

func (r usageReport) write(w io.Writer) error {
	const megabyte = 1 << 20
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "process\t% of a core\tMB\twritten B/s\tread B/s")
	for _, p := range r.Processes {
		fmt.Fprintf(tab, "%s\t%.2f\t%.1f\t%.0f\t%.0f\n", p.Name, 100*p.Core, float64(p.RSS)/megabyte, p.Written, p.Read)
	}
	for _, call := range r.Calls {
		fmt.Fprintf(tab, "store %s\t%.2f a second\n", call.Kind, call.PerSecond)
	}
	return tab.Flush()
}
