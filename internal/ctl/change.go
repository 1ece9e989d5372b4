package ctl

import (
	"context"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/template"
)

type changeOptions struct {
	Base   uint64 `long:"base" value-name:"VERSION" description:"configuration on which the change was decided; refused if a later one touched the same"`
	Reason string `long:"reason" value-name:"TEXT" description:"what the change is for; kept in the history"`
}

// applyTo returns the request with the values of the options.
func (o *changeOptions) applyTo(req template.Request) template.Request {
	req.Base = o.Base
	req.What = o.Reason
	return req
}

type filesArgs struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

type namesArgs struct {
	Names []string `positional-arg-name:"NAME" required:"1"`
}

type nameArg struct {
	Name string `positional-arg-name:"NAME"`
}

// applyFiles is the common part of the commands that add or replace the templates or
// clients of operators' files.
type applyFiles struct {
	leafCommand
	changeOptions
	DryRun bool      `long:"dry-run" description:"show what would change and change nothing"`
	Args   filesArgs `positional-args:"yes" required:"yes"`
}

func (c *applyFiles) apply(ctx context.Context, a *App, req template.Request) error {
	if c.DryRun {
		return a.dryRun(ctx, c.applyTo(req))
	}
	return a.applyChange(ctx, c.applyTo(req))
}

// removeNames is the common part of the commands that remove templates or clients by
// name.
type removeNames struct {
	leafCommand
	changeOptions
	Args namesArgs `positional-args:"yes" required:"yes"`
}

func (c *removeNames) apply(ctx context.Context, a *App, req template.Request) error {
	return a.applyChange(ctx, c.applyTo(req))
}

func misplacedTableError(text string) error {
	return &badInputError{[]finding.Finding{{Message: text}}}
}
