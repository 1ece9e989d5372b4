package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/platform"
)

// options holds the options of all commands. They may be given before or after a
// command's name.
type options struct {
	Platform string        `long:"platform" env:"MANGOPOST_PLATFORM" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"the platform's service"`
	Operator string        `long:"operator" env:"MANGOPOST_OPERATOR" value-name:"NAME" description:"who makes the change; the login name when left out"`
	Hosts    []string      `long:"hosts" env:"MANGOPOST_HOSTS" env-delim:"," value-name:"PATTERN" description:"settings files of the hosts to ask; may be given many times"`
	JSON     bool          `long:"json" description:"write JSON"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"for the whole command"`
}

// leafCommand is embedded in every command without subcommands. The parser's command
// handler calls run instead of Execute.
type leafCommand struct{}

// Execute implements flags.Commander.
func (leafCommand) Execute([]string) error { return nil }

type runner interface {
	run(ctx context.Context, a *App) error
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	return runMain(args, out, errOut, connect)
}

// connect returns the App for the given options.
func connect(o options) *App {
	return &App{
		Store:     platform.NewClient(platform.Options{Addr: o.Platform, Caller: "operator"}),
		Operator:  o.Operator,
		Now:       time.Now,
		Sleep:     sleep,
		HTTP:      &http.Client{Timeout: 5 * time.Second},
		RequestID: newRequestID(),
	}
}

func runMain(args []string, out, errOut io.Writer, connect func(options) *App) int {
	var opts options
	parser := flags.NewNamedParser("mangopostctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	addCommands(parser)
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return &badInputError{[]finding.Finding{{Message: fmt.Sprintf("unexpected arguments %q", rest)}}}
		}
		return execute(command, opts, out, connect)
	}
	_, err := parser.ParseArgs(args)
	return report(err, out, errOut)
}

func execute(command flags.Commander, opts options, out io.Writer, connect func(options) *App) error {
	if opts.Operator == "" {
		opts.Operator = os.Getenv("USER")
	}
	a := connect(opts)
	a.Out = out
	a.JSON = opts.JSON
	a.Hosts = opts.Hosts
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	return command.(runner).run(ctx, a)
}

func report(err error, out, errOut io.Writer) int {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(out, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(errOut, usage.Message)
		return ExitBadInput
	}
	var input *badInputError
	switch {
	case err == nil:
	case errors.As(err, &input):
		finding.Print(errOut, input.findings)
	default:
		fmt.Fprintln(errOut, "mangopostctl:", err)
	}
	return exitCode(err)
}
