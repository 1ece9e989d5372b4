package ctl

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/mangopost/mangopost/template"
)

type templateApply struct{ applyFiles }

func (c *templateApply) run(ctx context.Context, a *App) error {
	templates, clients, err := parseFiles(c.Args.Files)
	if err != nil {
		return err
	}
	if len(clients) > 0 {
		return misplacedTableError("[[client]] tables belong to client apply")
	}
	return c.apply(ctx, a, template.Request{PutTemplates: templates})
}

type templateRemove struct{ removeNames }

func (c *templateRemove) run(ctx context.Context, a *App) error {
	return c.apply(ctx, a, template.Request{RemoveTemplates: c.Args.Names})
}

type templateGet struct {
	leafCommand
	Args nameArg `positional-args:"yes" required:"yes"`
}

func (c *templateGet) run(ctx context.Context, a *App) error {
	cfg, err := a.readConfig(ctx)
	if err != nil {
		return err
	}
	for _, t := range cfg.Templates {
		if t.Service == c.Args.Name {
			return a.showOne(t, struct {
				Template []template.Template `toml:"template"`
			}{[]template.Template{t}})
		}
	}
	return errors.Wrapf(errNotFound, "template %s", c.Args.Name)
}

// showOne writes value as JSON, or file in the TOML format of the operators' files.
func (a *App) showOne(value, file any) error {
	if a.JSON {
		return a.showJSON(value)
	}
	return toml.NewEncoder(a.Out).Encode(file)
}

type templateList struct{ leafCommand }

func (c *templateList) run(ctx context.Context, a *App) error {
	cfg, err := a.readConfig(ctx)
	if err != nil {
		return err
	}
	t := table{header: []string{"SERVICE", "KEYED", "SHARDS", "SLOTS", "CONNECTIONS", "CHECKS GRANTS", "WHEN CUT", "ROUTES"}, items: cfg.Templates}
	for _, x := range cfg.Templates {
		t.add(x.Service, x.Keyed, x.Shards, x.Slots, x.Connections, x.ChecksGrants, x.WhenCut, len(x.Routes))
	}
	return a.show(t)
}

type templateDiff struct {
	leafCommand
	Args filesArgs `positional-args:"yes" required:"yes"`
}

func (c *templateDiff) run(ctx context.Context, a *App) error {
	templates, clients, err := parseFiles(c.Args.Files)
	if err != nil {
		return err
	}
	return a.dryRun(ctx, template.Request{PutTemplates: templates, PutClients: clients})
}
