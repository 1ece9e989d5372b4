// Package finding describes mistakes found in input, each with its position, so
// that all of them can be reported together.
package finding

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Finding is one mistake in an input. Line and Column start at 1; they
// are 0 if the input has no text positions.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"` // in bytes
	Path    string `json:"path,omitempty"`   // e.g. callers[0].listen
	Message string `json:"message"`
	Hint    string `json:"hint,omitempty"` // how to correct the mistake
}

// String formats the finding as one line: file:line:column: path: message (hint).
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.location())
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	if f.Hint != "" {
		b.WriteString(" (" + f.Hint + ")")
	}
	return b.String()
}

func (f Finding) location() string {
	switch {
	case f.File == "" && f.Line == 0:
		return ""
	case f.Line == 0:
		return f.File + ": "
	case f.File == "":
		return fmt.Sprintf("%d:%d: ", f.Line, f.Column)
	default:
		return fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	}
}

// Sort orders findings by file, line and column.
func Sort(findings []Finding) {
	sort.SliceStable(findings, func(i, j int) bool {
		a, b := findings[i], findings[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Print writes one line for each finding.
func Print(w io.Writer, findings []Finding) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
}

// maxNameDistance is the greatest edit distance at which a known name is
// suggested for an unknown one.
const maxNameDistance = 4

// Nearest returns the known name closest to an unknown one, or "" when none is
// close.
func Nearest(name string, known []string) string {
	best, bestDistance := "", maxNameDistance+1
	for _, candidate := range known {
		d := levenshtein.ComputeDistance(name, candidate)
		if d < bestDistance && d < max(len(name), len(candidate)) {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// DidYouMean returns a hint that suggests the nearest known name, or "" when
// none is close.
func DidYouMean(name string, known []string) string {
	if near := Nearest(name, known); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return ""
}
