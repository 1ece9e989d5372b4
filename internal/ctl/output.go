package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// table is the output of a listing command: rows as text, items with --json.
type table struct {
	header []string
	rows   [][]string
	items  any
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// show writes the table, or its items as JSON.
func (a *App) show(t table) error {
	if a.JSON {
		return a.showJSON(t.items)
	}
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (a *App) showJSON(v any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *App) printf(format string, args ...any) {
	fmt.Fprintf(a.Out, format+"\n", args...)
}

// result is the output of a command that makes a change.
type result struct {
	Done    string `json:"done"`
	Version uint64 `json:"version,omitempty"`
	Request string `json:"request"`
	// Warnings lists what the operator still has to do.
	Warnings []string `json:"warnings,omitempty"`
}

func (a *App) showResult(r result) error {
	r.Request = a.RequestID
	if a.JSON {
		return a.showJSON(r)
	}
	a.printf("%s", r.Done)
	for _, w := range r.Warnings {
		a.printf("warning: %s", w)
	}
	return nil
}

func formatUnixMS(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
