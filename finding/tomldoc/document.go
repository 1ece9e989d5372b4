// Package tomldoc decodes TOML into structs and collects every mistake with
// its line and column, whereas an ordinary decoder stops at the first one.
package tomldoc

import (
	"fmt"
	"strings"

	"github.com/mangopost/mangopost/finding"
)

// Document is a decoded text. It records the position of each value, so that
// checks after decoding can report their findings at the right place.
type Document struct {
	file     string
	places   map[string]place
	reported map[string]bool
	findings []finding.Finding
	partial  bool // the end of the text could not be parsed
}

// Decode parses data and fills the struct that into points to. Fields are
// matched by their "toml" tags; a field without a value in the text keeps its
// current value. File is the name of the text in findings.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{
		file:     file,
		places:   make(map[string]place),
		reported: make(map[string]bool),
	}
	p := &parser{doc: d, broken: make(map[int]bool)}
	p.parse(data)
	decodeRoot(d, p.root, into)
	return d
}

// Findings returns the findings so far, in the order of the text.
func (d *Document) Findings() []finding.Finding {
	finding.Sort(d.findings)
	return d.findings
}

// Has reports whether the text has a value at path, e.g. callers[0].listen.
func (d *Document) Has(path string) bool {
	_, ok := d.places[path]
	return ok
}

// IsValid reports whether the text has a value at path and no finding was added for it.
func (d *Document) IsValid(path string) bool { return d.Has(path) && !d.reported[path] }

// Require adds a finding if the text has no value at path.
func (d *Document) Require(path, hint string) {
	if d.Has(path) || d.partial {
		return
	}
	d.Add(path, hint, "missing")
}

// Add records a finding at the position of path, or of its nearest ancestor in
// the text. Only the first finding of a path is kept.
func (d *Document) Add(path, hint, format string, args ...any) {
	d.addAt(d.placeOf(path), path, hint, format, args...)
}

func (d *Document) addAt(at place, path, hint, format string, args ...any) {
	if path != "" && d.reported[path] {
		return
	}
	d.markReported(path)
	d.findings = append(d.findings, finding.Finding{
		File:    d.file,
		Line:    at.line,
		Column:  at.column,
		Path:    path,
		Message: fmt.Sprintf(format, args...),
		Hint:    hint,
	})
}

// markReported prevents further findings for path.
func (d *Document) markReported(path string) { d.reported[path] = true }

func (d *Document) setPlace(path string, at place) {
	if _, known := d.places[path]; !known {
		d.places[path] = at
	}
}

func (d *Document) placeOf(path string) place {
	for path != "" {
		if at, ok := d.places[path]; ok {
			return at
		}
		path = parentPath(path)
	}
	return place{1, 1}
}

func (d *Document) indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}
