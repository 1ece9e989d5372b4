package template

import "strings"

// Kind is the kind of a subject.
type Kind string

const (
	// KindTemplate is a template, identified by its service.
	KindTemplate Kind = "template"
	// KindClient is a client account.
	KindClient Kind = "client"
)

// Subject identifies a template or client that a change touches.
type Subject struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the kind and name of the subject, such as "template katalog".
func (s Subject) String() string { return string(s.Kind) + " " + s.Name }

func joinSubjects(subjects []Subject) string {
	words := make([]string, len(subjects))
	for i, s := range subjects {
		words[i] = s.String()
	}
	return strings.Join(words, ", ")
}
