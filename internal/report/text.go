package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// maxReasons is the maximum number of reasons listed for a service.
const maxReasons = 5

// WriteText writes the summary as plain text for a terminal.
func WriteText(w io.Writer, s Summary) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tab, "run %s: %d requests, %d attempts\n", s.Run, s.Requests, s.Attempts)
	for _, service := range s.Services {
		writeService(tab, service)
	}
	for _, i := range s.Imbalance {
		fmt.Fprintf(tab, "\nimbalance %s: runs %.2f (mean of each 10 s %.2f), busy time %.2f (max/mean of %d targets; hottest key alone %.2f)\n",
			i.Service, i.Runs, i.Spans, i.Busy, i.Targets, i.Hottest)
	}
	writeTargets(tab, s.Targets)
	writeBroken(tab, s.Broken)
	return tab.Flush()
}

func writeService(w io.Writer, s ServiceReport) {
	fmt.Fprintf(w, "\n%s: %s\n", s.Service, joinCounts(s.Outcomes))
	if len(s.Reasons) > 0 {
		fmt.Fprintf(w, "  reasons for other outcomes: %s\n", joinCounts(s.Reasons[:min(len(s.Reasons), maxReasons)]))
	}
	fmt.Fprintf(w, "  replayed %d, wrong answers %d\n", s.Replayed, s.Wrong)
	u := s.Unserved
	fmt.Fprintf(w, "  unserved: %d keys, %.0f ms in total, longest %.0f ms (%s), %d not served again\n",
		u.Keys, u.TotalMS, u.LongestMS, u.LongestKey, u.NotServedAgain)
	fmt.Fprintln(w, "  class\trequests\tserved\tp50 ms\tp90\tp99\tp99.9\tmax")
	for _, c := range s.Classes {
		q := c.Latency
		fmt.Fprintf(w, "  %s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n",
			c.Class, c.Requests, c.Served, q.P50, q.P90, q.P99, q.P999, q.Max)
	}
}

func joinCounts(list []Count) string {
	parts := make([]string, 0, len(list))
	for _, c := range list {
		parts = append(parts, fmt.Sprintf("%s %d", c.Name, c.Count))
	}
	return strings.Join(parts, ", ")
}

func writeTargets(w io.Writer, targets []TargetLoad) {
	if len(targets) == 0 {
		return
	}
	fmt.Fprintln(w, "\ntarget\tservice\truns\tbusy ms\tcancelled\tcrashed")
	for _, t := range targets {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%d\t%d\n", t.Target, t.Service, t.Runs, t.BusyMS, t.Cancelled, t.Crashed)
	}
}

func writeBroken(w io.Writer, broken []Broken) {
	if len(broken) == 0 {
		fmt.Fprintln(w, "\nno broken promise found")
		return
	}
	fmt.Fprintln(w, "\nPROMISES BROKEN")
	for _, b := range broken {
		fmt.Fprintf(w, "  %s: %d times, for example %s\n", b.Promise, b.Count, b.Example)
	}
}
