package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// parseFiles reads operators' files and reports the mistakes in all of them
// together.
func parseFiles(paths []string) ([]template.Template, []template.Client, error) {
	var templates []template.Template
	var clients []template.Client
	var findings []finding.Finding
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			findings = append(findings, finding.Finding{File: path, Message: err.Error()})
			continue
		}
		t, c, found := template.Parse(path, data)
		templates = append(templates, t...)
		clients = append(clients, c...)
		findings = append(findings, found...)
	}
	if len(findings) > 0 {
		return nil, nil, &badInputError{findings}
	}
	return templates, clients, nil
}

func (a *App) readConfig(ctx context.Context) (template.Config, error) {
	got, err := read[template.Config](ctx, a, platform.ConfigObject)
	return got.Value, err
}

// liveServices returns the keyed services that have a shard map in the store.
func (a *App) liveServices(ctx context.Context) ([]template.LiveService, error) {
	pages, err := list[ownership.Page](ctx, a, platform.OwnersPrefix)
	if err != nil {
		return nil, err
	}
	live := make([]template.LiveService, len(pages))
	for i, p := range pages {
		live[i] = template.LiveService{Service: p.Service, Shards: uint32(len(p.Shards))}
	}
	return live, nil
}

// changeConfig makes one change of the configuration. Without a base version, the
// change is based on the version that is read first, so that a concurrent change by
// another operator is not overwritten.
func (a *App) changeConfig(ctx context.Context, req template.Request) (template.Config, error) {
	req.ID = a.RequestID
	req.Operator = a.Operator
	live, err := a.liveServices(ctx)
	if err != nil {
		return template.Config{}, err
	}
	req.Live = live
	if err := a.checkDrainingStops(ctx, req); err != nil {
		return template.Config{}, err
	}
	base, decided := req.Base, req.Base != 0
	u := update[template.Config]{
		name: platform.ConfigObject,
		change: func(now object[template.Config]) (template.Config, error) {
			if !decided {
				base, decided = now.Value.Version, true
			}
			if err := template.CheckConflict(now.Value, base, req.Touched()); err != nil {
				return now.Value, err
			}
			next, findings, err := template.Apply(now.Value, req, a.Now())
			if len(findings) > 0 {
				return now.Value, &badInputError{findings}
			}
			return next, err
		},
		isApplied: func(cfg template.Config) bool {
			_, ok := cfg.Find(req.ID)
			return ok
		},
	}
	cfg, err := u.run(ctx, a)
	if change, ok := cfg.Find(req.ID); ok {
		cfg.Version = change.Version // later changes may have followed
	}
	return cfg, err
}

// checkDrainingStops refuses to give a client a service that a stop is currently
// draining, as the client would be slowed down without having been called.
func (a *App) checkDrainingStops(ctx context.Context, req template.Request) error {
	if len(req.PutClients) == 0 {
		return nil
	}
	stops, err := list[maintenance.Stop](ctx, a, platform.StopsPrefix)
	if err != nil {
		return err
	}
	var findings []finding.Finding
	for _, s := range stops {
		if s.State != maintenance.Draining {
			continue
		}
		for _, call := range missingCalls(s, req.PutClients) {
			findings = append(findings, finding.Finding{
				Path:    "clients[" + call.Client + "].services",
				Message: fmt.Sprintf("stop %s drains a service of this client, which was not called", s.ID),
				Hint:    "wait until the stop is finished, or leave the service out",
			})
		}
	}
	if len(findings) > 0 {
		return &badInputError{findings}
	}
	return nil
}

// missingCalls returns a call for each of the given clients that a stop slows down
// and that was not called.
func missingCalls(s maintenance.Stop, clients []template.Client) []maintenance.Call {
	var missing []maintenance.Call
	for _, c := range maintenance.AffectedClients(template.Config{Clients: clients}, s.Services) {
		if !wasCalled(s, c.Name) {
			missing = append(missing, maintenance.Call{Client: c.Name, Phone: c.Phone})
		}
	}
	return missing
}

func wasCalled(s maintenance.Stop, client string) bool {
	for _, c := range s.Calls {
		if c.Client == client {
			return c.Called()
		}
	}
	return false
}

// callWarnings returns a warning for each call that an accepted change makes
// necessary. It must run after the change, so that it includes a stop that began
// meanwhile.
func (a *App) callWarnings(ctx context.Context, clients []template.Client) []string {
	if len(clients) == 0 {
		return nil
	}
	stops, err := list[maintenance.Stop](ctx, a, platform.StopsPrefix)
	if err != nil {
		return []string{fmt.Sprintf("planned stops could not be read (%v): see stop list for clients to call", err)}
	}
	var warnings []string
	for _, s := range stops {
		if !s.Active() {
			continue
		}
		for _, call := range missingCalls(s, clients) {
			warnings = append(warnings, fmt.Sprintf("call %s (%s): stop %s is %s and starts %s", call.Client, call.Phone, s.ID, s.State, formatUnixMS(s.StartMS)))
		}
	}
	return warnings
}

// applyChange makes a change and shows the result.
func (a *App) applyChange(ctx context.Context, req template.Request) error {
	cfg, err := a.changeConfig(ctx, req)
	if err != nil {
		return err
	}
	return a.showResult(result{
		Done:     fmt.Sprintf("accepted as configuration %d", cfg.Version),
		Version:  cfg.Version,
		Warnings: a.callWarnings(ctx, req.PutClients),
	})
}

// dryRun shows the differences that a change would make.
func (a *App) dryRun(ctx context.Context, req template.Request) error {
	cfg, err := a.readConfig(ctx)
	if err != nil {
		return err
	}
	live, err := a.liveServices(ctx)
	if err != nil {
		return err
	}
	req.ID, req.Operator, req.Live = a.RequestID, a.Operator, live
	next, findings, err := template.Apply(cfg, req, a.Now())
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return &badInputError{findings}
	}
	diffs := template.Diff(cfg, next)
	if a.JSON {
		return a.showJSON(diffs)
	}
	for _, d := range diffs {
		a.printf("%s", d)
	}
	if len(diffs) == 0 {
		a.printf("no difference from configuration %d", cfg.Version)
	}
	return nil
}
