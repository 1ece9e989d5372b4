package main

import (
	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// errBroken is returned by a command that found a broken promise.
var errBroken = errors.New("a promise was broken")

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		return 0
	case errors.Is(err, errBroken):
		return exitBroken
	default:
		return exitFailed
	}
}
