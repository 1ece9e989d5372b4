// Package ctl is the operators' command line. Each command reads what it needs
// from the platform's store, decides with the decision packages, and writes by
// conditional updates; an update whose answer was lost is read back.
package ctl

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/template"
)

// Exit codes.
const (
	ExitOK          = 0 // done
	ExitRefused     = 1 // refused or failed; nothing was changed
	ExitBadInput    = 2 // findings in the input or the command line
	ExitConflict    = 3 // another operator's change came first; nothing was changed
	ExitUnavailable = 4 // the store did not answer; nothing was changed
	ExitUnknown     = 5 // the outcome is not known; the message says how to find out
)

// errNotThere is an object that the store does not have.
var errNotThere = errors.New("not found")

// errBadInput carries findings about an operator's input.
type errBadInput struct{ findings []finding.Finding }

func (e *errBadInput) Error() string {
	lines := make([]string, len(e.findings))
	for i, f := range e.findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// errConflict says that another operator's change came first.
type errConflict struct{ what string }

func (e *errConflict) Error() string { return e.what }

// errUnknown says that an update may or may not have been made.
type errUnknown struct {
	object  string
	request string
	cause   error
}

func (e *errUnknown) Error() string {
	return fmt.Sprintf("the outcome is not known (%v): read %s once the store answers; the change was made if its history names request %s", e.cause, e.object, e.request)
}

// exitCode returns the exit code that an error stands for.
func exitCode(err error) int {
	var (
		input    *errBadInput
		conflict *errConflict
		change   *template.ConflictError
		unknown  *errUnknown
		refused  *maintenance.RefusedError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &input):
		return ExitBadInput
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &conflict), errors.As(err, &change), errors.Is(err, platform.ErrConflict):
		return ExitConflict
	case errors.As(err, &refused):
		return ExitRefused
	case errors.Is(err, platform.ErrUncertain):
		return ExitUnknown
	case errors.Is(err, platform.ErrUnavailable):
		return ExitUnavailable
	default:
		return ExitRefused
	}
}
