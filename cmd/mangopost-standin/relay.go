package main

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopost/mangopost/internal/standin"
)

type relayCommand struct {
	Admin          string   `long:"admin" default:"127.0.0.1:7700" description:"IP and port of the admin calls"`
	Links          []string `long:"link" required:"true" description:"NAME=LISTEN,UPSTREAM; may be given many times"`
	DelayMS        int64    `long:"delay-ms" description:"milliseconds added to each direction of every link"`
	BytesPerSecond int      `long:"bytes-per-second" description:"limit of each direction of each link; 0 is unlimited"`
}

func addRelay(parser *flags.Parser) {
	_, err := parser.AddCommand("relay", "TCP links with faults",
		"Relays TCP connections and delays, cuts or refuses them.", &relayCommand{})
	if err != nil {
		panic(err)
	}
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	var links []*standin.Link
	var errs []error
	for _, text := range c.Links {
		link, err := openLink(text)
		links, errs = append(links, link), append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	relay := standin.NewRelay(links...)
	defer relay.Close()
	if err := relay.SetFaults("", standin.LinkFaults{DelayMS: c.DelayMS, BytesPerSecond: c.BytesPerSecond}); err != nil {
		return err
	}
	log := newLog("relay")
	relay.SetEventSink(log)
	return runUntilSignal(log, func(ctx context.Context) error {
		return serve(ctx, c.Admin, relay.Handler())
	})
}

func openLink(text string) (*standin.Link, error) {
	name, ends, _ := strings.Cut(text, "=")
	listen, upstream, ok := strings.Cut(ends, ",")
	if !ok || name == "" {
		return nil, errors.Newf("link %q is not NAME=LISTEN,UPSTREAM", text)
	}
	return standin.NewLink(name, listen, upstream)
}
