// Command reviewcase plays one case of the review: it starts the program of the deploy
// file as separate processes, with stand-ins for the platform's store, the servers and
// the clients, and judges a rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// play plays a case and reports whether the rule was broken. An error means that the
// case could not run.
type play func(record *recorder, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"stale":  playStale,
	"memory": playMemory,
	"poison": playPoison,
	"path":   playPath,
	"reborn": playReborn,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	record.sayf("case %s, trouble %v", os.Args[1], trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := plays[os.Args[1]](record, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			record.sayf("the case could not run: %v", r.err)
			return exitNotRun
		case r.broken:
			record.sayf("the rule was broken")
			return exitBroken
		default:
			record.sayf("the rule held")
			return exitHeld
		}
	case <-stopped:
		record.sayf("the case was stopped")
	case <-time.After(limit):
		record.sayf("the case took too long")
	}
	return exitNotRun // the machines' processes end with this one
}
