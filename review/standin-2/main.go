// Command standin-2 plays the scripts of the review: it starts the system's processes and
// stand-ins of the platform's store, of back ends and of clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	usageMsg = "usage: standin-2 CASE RECORD"
)

// cases return whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println(usageMsg)
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], newRecord(os.Args[2]), os.Getenv("TROUBLE") != "0"))
}

func play(run func(*record, bool) bool, r *record, trouble bool) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case cannotRun:
			r.say("could not run: %s", p.reason)
			code = notRun
		default:
			panic(p)
		}
	}()
	if run(r, trouble) {
		r.say("the rule was broken")
		return broken
	}
	r.say("the rule held")
	return held
}
