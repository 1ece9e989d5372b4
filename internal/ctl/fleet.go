package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/settings"
)

const (
	maxParallelQueries = 32
	maxAnswerBytes     = 8 << 20
)

// process is a daemon and the address of its operators' listener.
type process struct {
	Host string `json:"host"`
	Role string `json:"role"` // router or placer
	addr string
}

// processes returns the daemons of all hosts whose settings files match a.Hosts.
func (a *App) processes() ([]process, error) {
	var daemons []process
	var findings []finding.Finding
	for _, pattern := range a.Hosts {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			findings = append(findings, finding.Finding{File: pattern, Message: "no such settings file"})
		}
		for _, path := range paths {
			h, found := settings.Load(path)
			findings = append(findings, found...)
			daemons = append(daemons,
				process{h.Identity.Name, "router", h.Router.Operators},
				process{h.Identity.Name, "placer", h.Placer.Operators})
		}
	}
	if len(a.Hosts) == 0 {
		findings = append(findings, finding.Finding{Message: "no hosts to query", Hint: "set --hosts or MANGOPOST_HOSTS to the hosts' settings files"})
	}
	if len(findings) > 0 {
		return nil, &badInputError{findings}
	}
	return daemons, nil
}

// query sends a GET request for path to a process's operators' listener and decodes
// the answer.
func (a *App) query(ctx context.Context, p process, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := a.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s", p.addr, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into)
}

// queryAll queries all processes concurrently, at most maxParallelQueries at a time.
// Results are in the order of the processes.
func queryAll[T any](ctx context.Context, a *App, processes []process, path string) ([]T, []error) {
	answers := make([]T, len(processes))
	errs := make([]error, len(processes))
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	for i, p := range processes {
		group.Go(func() error {
			errs[i] = a.query(ctx, p, path, &answers[i])
			return nil
		})
	}
	_ = group.Wait()
	return answers, errs
}

type configStatus struct{ leafCommand }

// hostState is the part of the answer to GET /state that config status uses.
type hostState struct {
	Host          string `json:"host"`
	ConfigVersion uint64 `json:"config_version"`
}

// statusRow is a process and the configuration version that it has in force.
type statusRow struct {
	process
	ConfigVersion uint64 `json:"config_version"`
	Behind        uint64 `json:"behind"` // number of versions behind the newest
	Error         string `json:"error,omitempty"`
}

func (c *configStatus) run(ctx context.Context, a *App) error {
	daemons, err := a.processes()
	if err != nil {
		return err
	}
	states, errs := queryAll[hostState](ctx, a, daemons, "/state")
	newest, storeErr := a.newestVersion(ctx, states)
	rows := make([]statusRow, len(daemons))
	outdated := 0
	t := table{header: []string{"HOST", "ROLE", "CONFIGURATION", "BEHIND"}, items: rows}
	for i, p := range daemons {
		rows[i] = statusRow{process: p, ConfigVersion: states[i].ConfigVersion}
		if errs[i] != nil {
			rows[i].Error = errs[i].Error()
			t.add(p.Host, p.Role, "-", errs[i])
			outdated++
			continue
		}
		if newest > states[i].ConfigVersion {
			rows[i].Behind = newest - states[i].ConfigVersion
			outdated++
		}
		t.add(p.Host, p.Role, states[i].ConfigVersion, rows[i].Behind)
	}
	if err := a.show(t); err != nil {
		return err
	}
	switch {
	case storeErr != nil:
		return errors.Wrap(storeErr, "the newest configuration is not known; hosts were compared with the newest version on any of them")
	case outdated > 0:
		return errors.Newf("%d of %d processes do not have configuration %d in force", outdated, len(daemons), newest)
	default:
		return nil
	}
}

// newestVersion returns the newest configuration version of the store and the hosts.
// If the store cannot be read, it returns the highest version on any host and an
// error.
func (a *App) newestVersion(ctx context.Context, states []hostState) (uint64, error) {
	var newest uint64
	for _, s := range states {
		newest = max(newest, s.ConfigVersion)
	}
	cfg, err := a.readConfig(ctx)
	return max(newest, cfg.Version), err
}

type configHistory struct{ leafCommand }

func (c *configHistory) run(ctx context.Context, a *App) error {
	cfg, err := a.readConfig(ctx)
	if err != nil {
		return err
	}
	t := table{header: []string{"VERSION", "AT", "OPERATOR", "WHAT"}, items: cfg.History}
	for _, h := range cfg.History {
		t.add(h.Version, formatUnixMS(h.AtMS), h.Operator, h.What)
	}
	return a.show(t)
}

type explain struct {
	leafCommand
	Args struct {
		Request string `positional-arg-name:"REQUEST-ID"`
	} `positional-args:"yes" required:"yes"`
}

// explainedStage is a stage of a request on a host.
type explainedStage struct {
	Stage        string `json:"stage"`
	Host         string `json:"host"`
	Target       string `json:"target,omitempty"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason,omitempty"`
	OwnerEpoch   uint64 `json:"owner_epoch,omitempty"`
	GatewayEpoch uint64 `json:"gateway_epoch,omitempty"`
	WaitedUS     int64  `json:"waited_us"` // microseconds
	TookUS       int64  `json:"took_us"`   // microseconds
}

// explanation holds the stages of a request on all hosts.
type explanation struct {
	Request string           `json:"request"`
	Stages  []explainedStage `json:"stages"`
	Silent  []string         `json:"silent,omitempty"` // hosts that did not answer
}

func (c *explain) run(ctx context.Context, a *App) error {
	daemons, err := a.processes()
	if err != nil {
		return err
	}
	routers := daemons[:0]
	for _, p := range daemons {
		if p.Role == "router" {
			routers = append(routers, p)
		}
	}
	answers, errs := queryAll[[]explainedStage](ctx, a, routers, "/explain?id="+url.QueryEscape(c.Args.Request))
	e := explanation{Request: c.Args.Request, Stages: []explainedStage{}}
	for i := range routers {
		if errs[i] != nil {
			e.Silent = append(e.Silent, routers[i].Host)
		}
		e.Stages = append(e.Stages, answers[i]...)
	}
	sort.SliceStable(e.Stages, func(i, j int) bool { return stageRank(e.Stages[i].Stage) < stageRank(e.Stages[j].Stage) })
	if err := a.showExplanation(e); err != nil {
		return err
	}
	if len(e.Stages) == 0 {
		return errors.Newf("no host that answered has a record of request %s", c.Args.Request)
	}
	return nil
}

// stageRank returns the sort order of a stage: the ingress before the gateways.
func stageRank(stage string) int {
	if stage == "ingress" {
		return 0
	}
	return 1
}

func (a *App) showExplanation(e explanation) error {
	if a.JSON {
		return a.showJSON(e)
	}
	t := table{header: []string{"STAGE", "HOST", "TARGET", "OUTCOME", "REASON", "EPOCHS", "WAITED", "TOOK"}}
	for _, s := range e.Stages {
		t.add(s.Stage, s.Host, orDash(s.Target), s.Outcome, orDash(s.Reason),
			fmt.Sprintf("%d/%d", s.OwnerEpoch, s.GatewayEpoch), formatMicros(s.WaitedUS), formatMicros(s.TookUS))
	}
	if err := a.show(t); err != nil {
		return err
	}
	for _, h := range e.Silent {
		a.printf("host %s did not answer", h)
	}
	return nil
}

func formatMicros(us int64) string { return fmt.Sprintf("%.3fms", float64(us)/1000) }
