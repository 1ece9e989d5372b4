// Package ctl implements the operators' command line. Each command reads objects
// from the platform's store, calls the packages that compute the change, and writes
// by conditional updates. After an update whose answer was lost, it reads the object
// again.
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

// Exit codes of mangopostctl.
const (
	ExitOK          = 0 // done
	ExitRefused     = 1 // refused or failed; nothing was changed
	ExitBadInput    = 2 // findings in the input or the command line
	ExitConflict    = 3 // another operator's change came first; nothing was changed
	ExitUnavailable = 4 // the store did not answer; nothing was changed
	ExitUnknown     = 5 // the outcome is not known; the message says how to find out
)

// errNotFound means that the store does not have the requested object.
var errNotFound = errors.New("not found")

// badInputError carries findings about an operator's input.
type badInputError struct{ findings []finding.Finding }

func (e *badInputError) Error() string {
	lines := make([]string, len(e.findings))
	for i, f := range e.findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// conflictError means that another operator's change came first.
type conflictError struct{ message string }

func (e *conflictError) Error() string { return e.message }

// unknownOutcomeError means that an update may or may not have taken effect.
type unknownOutcomeError struct {
	object  string
	request string
	cause   error
}

func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome is not known (%v): read %s once the store answers; the change was made if its history names request %s", e.cause, e.object, e.request)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var (
		input    *badInputError
		conflict *conflictError
		change   *template.ConflictError
		unknown  *unknownOutcomeError
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
