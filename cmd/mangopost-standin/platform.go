package main

import (
	"context"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/mangopost/mangopost/internal/standin"
)

type platformCommand struct {
	Listen          string  `long:"listen" default:"127.0.0.1:7000" description:"IP and port of the object API"`
	WritesPerSecond float64 `long:"writes" default:"400" description:"writes a second; 0 is unlimited"`
	ReadsPerSecond  float64 `long:"reads" default:"2000" description:"reads a second; 0 is unlimited"`
	HostLagMS       int64   `long:"host-lag-ms" default:"1000" description:"milliseconds until a change of the host list shows"`
}

func addPlatform(parser *flags.Parser) {
	_, err := parser.AddCommand("platform", "object API and host list",
		"Serves the object API, the host list and the admin calls for faults.", &platformCommand{})
	if err != nil {
		panic(err)
	}
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	log := newLog("platform")
	p := standin.NewPlatform(standin.PlatformOptions{
		WritesPerSecond: c.WritesPerSecond,
		ReadsPerSecond:  c.ReadsPerSecond,
		HostLag:         time.Duration(c.HostLagMS) * time.Millisecond,
		Events:          log,
	})
	return runUntilSignal(log, func(ctx context.Context) error {
		return serve(ctx, c.Listen, p.Handler())
	})
}
