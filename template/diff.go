package template

import (
	"fmt"
	"reflect"
	"strings"
)

// Difference is one difference between two configurations.
type Difference struct {
	Subject Subject `json:"subject"`
	Field   string  `json:"field,omitempty"` // empty if the whole subject was added or removed
	Old     string  `json:"old,omitempty"`
	New     string  `json:"new,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	switch {
	case d.Field != "":
		return fmt.Sprintf("~ %s.%s: %s -> %s", d.Subject, d.Field, d.Old, d.New)
	case d.Old == "":
		return "+ " + d.Subject.String()
	default:
		return "- " + d.Subject.String()
	}
}

// Diff returns the changes from a to b, templates first. It ignores versions and
// histories.
func Diff(a, b Config) []Difference {
	diffs := diffItems(KindTemplate, a.Templates, b.Templates, func(t Template) string { return t.Service })
	return append(diffs, diffItems(KindClient, a.Clients, b.Clients, func(c Client) string { return c.Name })...)
}

func diffItems[T any](kind Kind, a, b []T, name func(T) string) []Difference {
	var diffs []Difference
	after := make(map[string]T)
	for _, item := range b {
		after[name(item)] = item
	}
	before := make(map[string]bool)
	for _, item := range a {
		n := name(item)
		before[n] = true
		s := Subject{kind, n}
		if other, ok := after[n]; ok {
			diffs = append(diffs, diffFields(s, item, other)...)
		} else {
			diffs = append(diffs, Difference{Subject: s, Old: n})
		}
	}
	for _, item := range b {
		if n := name(item); !before[n] {
			diffs = append(diffs, Difference{Subject: Subject{kind, n}, New: n})
		}
	}
	return diffs
}

func diffFields(s Subject, a, b any) []Difference {
	var diffs []Difference
	before, after := reflect.ValueOf(a), reflect.ValueOf(b)
	for f, beforeField := range before.Fields() {
		afterField := after.FieldByIndex(f.Index)
		if reflect.DeepEqual(beforeField.Interface(), afterField.Interface()) {
			continue
		}
		field, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		diffs = append(diffs, Difference{Subject: s, Field: field, Old: formatValue(beforeField), New: formatValue(afterField)})
	}
	return diffs
}

func formatValue(v reflect.Value) string { return fmt.Sprintf("%+v", v.Interface()) }
