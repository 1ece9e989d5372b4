package ctl

import "github.com/jessevdk/go-flags"

// command describes a command or a group of commands.
type command struct {
	name        string
	short       string
	examples    string
	data        any
	subcommands []command
}

// group is the data of a command that only has subcommands.
type group struct{}

const exitCodes = `
Exit codes: 0 done; 1 refused or failed; 2 findings in the input; 3 another
operator's change came first; 4 the store did not answer; 5 the outcome is not
known.`

func commands() []command {
	return []command{
		{name: "template", short: "kinds of service", subcommands: templateCommands()},
		{name: "client", short: "client accounts and their parameters", subcommands: clientCommands()},
		{name: "stop", short: "planned stops and the calls before them", subcommands: stopCommands()},
		{name: "host", short: "hosts of the system", subcommands: []command{
			{"list", "hosts of all cells", "mangopostctl host list --json", &hostList{}, nil},
		}},
		{name: "target", short: "targets and their gateways", subcommands: []command{
			{"list", "targets of the host list, with their gateways", "mangopostctl target list --service katalog", &targetList{}, nil},
		}},
		{name: "owner", short: "owners of keys", subcommands: []command{
			{"show", "who owns a key, since when, at which epoch and why", "mangopostctl owner show --service katalog 9789839317114", &ownerShow{}, nil},
		}},
		{name: "cell", short: "cells and their voters", subcommands: []command{
			{"list", "cells, their voters and targets", "mangopostctl cell list", &cellList{}, nil},
			{"write-off", "declare hosts permanently lost, so that their promises are no longer waited for. A host that still runs can break the guarantee of a single owner", "mangopostctl cell write-off --hosts-are-gone penang pg-2", &cellWriteOff{}, nil},
		}},
		{name: "config", short: "the configuration on each host", subcommands: []command{
			{"status", "which host has which configuration in force", "mangopostctl --hosts 'hosts/*.toml' config status", &configStatus{}, nil},
			{"history", "the newest changes", "mangopostctl config history", &configHistory{}, nil},
		}},
		{name: "explain", short: "what happened to a request, collected from all hosts", examples: "mangopostctl --hosts 'hosts/*.toml' explain 01J9Z3", data: &explain{}},
	}
}

func templateCommands() []command {
	return []command{
		{"apply", "add or replace the templates of TOML files", "mangopostctl template apply templates.toml\nmangopostctl template apply --base 41 --reason 'more slots' katalog.toml", &templateApply{}, nil},
		{"get", "one template", "mangopostctl template get katalog", &templateGet{}, nil},
		{"list", "all templates", "mangopostctl template list", &templateList{}, nil},
		{"diff", "what applying files of templates or clients would change", "mangopostctl template diff templates.toml clients.toml", &templateDiff{}, nil},
		{"remove", "remove templates that no client reaches", "mangopostctl template remove hantaran", &templateRemove{}, nil},
	}
}

func clientCommands() []command {
	return []command{
		{"apply", "add or replace the clients of TOML files", "mangopostctl client apply clients.toml", &clientApply{}, nil},
		{"get", "one client", "mangopostctl client get desk-um", &clientGet{}, nil},
		{"list", "all clients", "mangopostctl client list --json", &clientList{}, nil},
		{"remove", "remove clients", "mangopostctl client remove desk-um", &clientRemove{}, nil},
	}
}

func stopCommands() []command {
	return []command{
		{"announce", "announce a planned stop of targets, a service or a data centre", "mangopostctl stop announce disk-swap --target katalog-3 --start 2026-12-04T23:00:00+08:00 --reason 'new disks'", &stopAnnounce{}, nil},
		{"called", "record that a client was called", "mangopostctl stop called disk-swap desk-um --note 'spoke to Aina'", &stopCalled{}, nil},
		{"status", "one stop, its calls and its history", "mangopostctl stop status disk-swap", &stopStatus{}, nil},
		{"list", "stops that have not started or not ended", "mangopostctl stop list --all", &stopList{}, nil},
		{"cancel", "end a stop that is not yet stopped", "mangopostctl stop cancel disk-swap --why 'parts are late'", &stopCancel{}, nil},
		{"finish", "end a stop, so that its targets receive work again", "mangopostctl stop finish disk-swap", &stopFinish{}, nil},
	}
}

func addCommands(parser *flags.Parser) {
	for _, c := range commands() {
		addCommand(parser.Command, c)
	}
}

func addCommand(parent *flags.Command, c command) {
	data := c.data
	if data == nil {
		data = &group{}
	}
	added, err := parent.AddCommand(c.name, c.short, c.long(), data)
	if err != nil {
		panic(err)
	}
	for _, b := range c.subcommands {
		addCommand(added, b)
	}
}

func (c command) long() string {
	if c.examples == "" {
		return ""
	}
	return c.short + ".\n\nExamples:\n" + c.examples + "\n" + exitCodes
}
