package ctl

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/template"
)

type clientApply struct{ applyFiles }

func (c *clientApply) run(ctx context.Context, a *App) error {
	templates, clients, err := parseFiles(c.Args.Files)
	if err != nil {
		return err
	}
	if len(templates) > 0 {
		return misplacedTableError("[[template]] tables belong to template apply")
	}
	return c.apply(ctx, a, template.Request{PutClients: clients})
}

type clientRemove struct{ removeNames }

func (c *clientRemove) run(ctx context.Context, a *App) error {
	return c.apply(ctx, a, template.Request{RemoveClients: c.Args.Names})
}

type clientGet struct {
	leafCommand
	Args nameArg `positional-args:"yes" required:"yes"`
}

func (c *clientGet) run(ctx context.Context, a *App) error {
	cfg, err := a.readConfig(ctx)
	if err != nil {
		return err
	}
	for _, x := range cfg.Clients {
		if x.Name == c.Args.Name {
			return a.showOne(x, struct {
				Client []template.Client `toml:"client"`
			}{[]template.Client{x}})
		}
	}
	return errors.Wrapf(errNotFound, "client %s", c.Args.Name)
}

type clientList struct{ leafCommand }

func (c *clientList) run(ctx context.Context, a *App) error {
	cfg, err := a.readConfig(ctx)
	if err != nil {
		return err
	}
	t := table{header: []string{"CLIENT", "PHONE", "WEIGHT", "STOPS", "SERVICES"}, items: cfg.Clients}
	for _, x := range cfg.Clients {
		window := "any time"
		if x.StopFrom != "" {
			window = fmt.Sprintf("%s-%s %s", x.StopFrom, x.StopUntil, x.Zone)
		}
		t.add(x.Name, x.Phone, x.Weight, window, x.Services)
	}
	return a.show(t)
}
