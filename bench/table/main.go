package table

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes returned by Main.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main parses the command line into opts, a pointer to a struct with flags, and calls
// run. It returns the exit code and writes errors to standard error.
func Main(name string, opts any, run func() error) int {
	if _, err := flags.Parse(opts); err != nil {
		return usageExitCode(err)
	}
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return exitFailed
	}
	return exitOK
}

// usageExitCode returns exitOK for a request for help and exitUsage for an invalid
// command line.
func usageExitCode(err error) int {
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		return exitOK
	}
	return exitUsage
}
