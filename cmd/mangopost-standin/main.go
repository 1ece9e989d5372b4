// Command mangopost-standin simulates the platform, targets and faulty TCP links for
// tests and demonstrations.
package main

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	addPlatform(parser)
	addTargets(parser)
	addRelay(parser)
	if _, err := parser.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		os.Stdout.WriteString(usage.Message + "\n")
		return 0
	}
	os.Stderr.WriteString(err.Error() + "\n")
	return 1
}
