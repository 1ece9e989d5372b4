// Command reviewcase3 plays the scripts of the third review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	cases := map[string]func(*record, string) int{"drill": drill, "unread": unread, "slow-heads": slowHeads, "hup": hup}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stopAll()
		os.Exit(exitFailed)
	}()
	dir, err := os.MkdirTemp("", "review")
	must(err)
	code := play(newRecord("record.txt"), dir)
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}
