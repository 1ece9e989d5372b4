// Command mangopost-load sends load to entry hosts, checks the results against
// the targets' records, measures costs and replays recorded traces.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitFailed = 1 // the command failed
	exitBroken = 2 // a promise was broken or a replay differed
)

type commands struct {
	Run      runCommand      `command:"run" description:"send a mix of requests and record what callers were told"`
	Judge    judgeCommand    `command:"judge" description:"compare what callers were told with what the targets ran"`
	Replay   replayCommand   `command:"replay" description:"replay recorded traces against their stated outcomes"`
	Wait     waitCommand     `command:"wait" description:"wait until URLs answer with status 200"`
	Slopes   slopesCommand   `command:"slopes" description:"measure how costs grow with keys, shards, targets, hosts and clients"`
	Usage    usageCommand    `command:"usage" description:"what processes and the store spend a second"`
	Bench    benchCommand    `command:"bench" description:"compare variants of the templates on a running fleet"`
	Overhead overheadCommand `command:"overhead" description:"compare calls through entry hosts with direct calls"`
	Spread   spreadCommand   `command:"spread" description:"measure how long a configuration takes to be in force everywhere"`
}

func main() {
	var all commands
	parser := flags.NewParser(&all, flags.Default)
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitStatus(err))
	}
}
