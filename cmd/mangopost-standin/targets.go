package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/pelletier/go-toml/v2"

	"github.com/mangopost/mangopost/internal/standin"
)

type targetsCommand struct {
	Config   string `long:"config" description:"TOML file with a [[target]] for each target; the flags of one service are then unused"`
	Platform string `long:"platform" description:"IP and port of the platform stand-in, to register in its host list"`
	Admin    string `long:"admin" default:"127.0.0.1:7600" description:"IP and port of the admin calls and the run records"`

	Record string `long:"record" description:"file to which each run is written as it starts and ends"`

	Service          string  `long:"service" description:"service of the targets"`
	Count            int     `long:"count" default:"1" description:"number of targets"`
	DataCentre       string  `long:"data-centre" description:"data centre of the targets"`
	ListenBase       string  `long:"listen-base" default:"127.0.0.1:0" description:"IP and port of the first target; the others follow"`
	Slots            int     `long:"slots" default:"6" description:"requests that a target runs at once"`
	Queue            int     `long:"queue" description:"requests that wait inside a target; more are shed"`
	Connections      int     `long:"connections" default:"110" description:"connections to a target"`
	ConnectMS        int64   `long:"connect-ms" description:"milliseconds to accept a connection"`
	Speed            float64 `long:"speed" default:"1" description:"divides every service time"`
	ColdMS           int64   `long:"cold-ms" description:"milliseconds for which a started target is slow"`
	ColdFactor       float64 `long:"cold-factor" default:"1" description:"how much slower a cold target is"`
	RestartMS        int64   `long:"restart-ms" description:"milliseconds until a crashed target starts again; 0 leaves it"`
	ChecksGrants     bool    `long:"checks-grants" description:"targets run only what a grant covers"`
	Seed             int64   `long:"seed" default:"1" description:"seed of the service times"`
	MedianMS         float64 `long:"median-ms" default:"8" description:"median service time in milliseconds"`
	Sigma            float64 `long:"sigma" default:"0.4" description:"sigma of the service time's logarithm"`
	StragglerPercent float64 `long:"stragglers" default:"2" description:"percentage of stragglers"`
	StragglerFactor  float64 `long:"straggler-factor" default:"25" description:"how much longer a straggler runs"`
}

func addTargets(parser *flags.Parser) {
	_, err := parser.AddCommand("targets", "many targets in one process",
		"Serves each target on a port of its own and registers them in the host list.", &targetsCommand{})
	if err != nil {
		panic(err)
	}
}

// Execute implements flags.Commander.
func (c *targetsCommand) Execute([]string) error {
	opts, err := c.fleetOptions()
	if err != nil {
		return err
	}
	fleet, err := standin.NewFleet(opts)
	if err != nil {
		return err
	}
	if c.Record != "" {
		file, err := os.Create(c.Record)
		if err != nil {
			return errors.Wrap(err, "create run record")
		}
		defer file.Close()
		fleet.SetRunSink(standin.NewRunSink(file))
	}
	log := newLog("targets")
	fleet.SetEventSink(log)
	return runUntilSignal(log, func(ctx context.Context) error { return c.run(ctx, fleet) })
}

func (c *targetsCommand) run(ctx context.Context, fleet *standin.Fleet) error {
	if err := fleet.Start(); err != nil {
		return err
	}
	defer fleet.Stop()
	if c.Platform != "" {
		if err := fleet.Register(ctx, c.Platform); err != nil {
			return err
		}
	}
	return serve(ctx, c.Admin, fleet.Handler(c.Platform))
}

func (c *targetsCommand) fleetOptions() (standin.FleetOptions, error) {
	if c.Config != "" {
		return readFleetOptions(c.Config)
	}
	return standin.Replicate(standin.TargetOptions{
		Service: c.Service, DataCentre: c.DataCentre, Listen: c.ListenBase,
		Slots: c.Slots, Queue: c.Queue, Connections: c.Connections, ConnectMS: c.ConnectMS,
		Speed: c.Speed, ColdMS: c.ColdMS, ColdFactor: c.ColdFactor,
		RestartMS: c.RestartMS, ChecksGrants: c.ChecksGrants, Seed: c.Seed,
		Routes: []standin.ServiceTime{{
			MedianMS: c.MedianMS, Sigma: c.Sigma,
			StragglerPercent: c.StragglerPercent, StragglerFactor: c.StragglerFactor,
		}},
	}, c.Count)
}

func readFleetOptions(path string) (standin.FleetOptions, error) {
	file, err := os.Open(path)
	if err != nil {
		return standin.FleetOptions{}, errors.Wrap(err, "open config")
	}
	defer file.Close()
	var opts standin.FleetOptions
	err = toml.NewDecoder(file).DisallowUnknownFields().Decode(&opts)
	return opts, errors.Wrap(err, path)
}
