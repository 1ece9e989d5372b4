package template

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mangopost/mangopost/finding"
)

// LiveService is a service whose shard map is in the store.
type LiveService struct {
	Service string
	Shards  uint32
}

// Request is a configuration change requested by an operator. The Put fields add or
// replace items, the Remove fields delete them. A request is applied as a whole or
// not at all.
type Request struct {
	ID       string // unique to this request
	Operator string
	What     string // the operator's description; if empty, a summary is generated
	Base     uint64 // version on which the change is based; 0 means the newest
	Live     []LiveService

	PutTemplates    []Template
	PutClients      []Client
	RemoveTemplates []string // by service
	RemoveClients   []string // by name
}

// Touched returns the subjects, templates and clients, that the request changes.
func (r Request) Touched() []Subject {
	var subjects []Subject
	for _, t := range r.PutTemplates {
		subjects = append(subjects, Subject{KindTemplate, t.Service})
	}
	for _, s := range r.RemoveTemplates {
		subjects = append(subjects, Subject{KindTemplate, s})
	}
	for _, c := range r.PutClients {
		subjects = append(subjects, Subject{KindClient, c.Name})
	}
	for _, c := range r.RemoveClients {
		subjects = append(subjects, Subject{KindClient, c})
	}
	return subjects
}

// ConflictError is the error of a change that conflicts with an earlier change,
// or whose base version is no longer in the history.
type ConflictError struct {
	Base          uint64  // version on which the refused change is based
	Version       uint64  // current version
	EarlierChange *Change // the earlier change; nil if it is no longer in the history
}

// Error returns the versions and the earlier change.
func (c *ConflictError) Error() string {
	if c.EarlierChange == nil {
		return fmt.Sprintf("version %d is no longer in the history of version %d", c.Base, c.Version)
	}
	at := time.UnixMilli(c.EarlierChange.AtMS).UTC().Format(time.RFC3339)
	return fmt.Sprintf("version %d by %s at %s (%s) came before this change, which was decided on version %d",
		c.EarlierChange.Version, c.EarlierChange.Operator, at, c.EarlierChange.What, c.Base)
}

// CheckConflict returns a conflict error if a change after version base touched
// any of the subjects, or if the history does not reach back to base.
func CheckConflict(cfg Config, base uint64, subjects []Subject) error {
	if base >= cfg.Version {
		return nil
	}
	conflict := &ConflictError{Base: base, Version: cfg.Version}
	if len(cfg.History) == 0 || cfg.History[0].Version > base+1 {
		return conflict
	}
	for _, c := range cfg.History {
		if c.Version > base && haveCommonSubject(c.Touched, subjects) {
			conflict.EarlierChange = &c
			return conflict
		}
	}
	return nil
}

func haveCommonSubject(a, b []Subject) bool {
	return slices.ContainsFunc(a, func(s Subject) bool { return slices.Contains(b, s) })
}

// Find returns the change with the given request ID. It shows whether an update
// whose answer was lost has been applied.
func (cfg Config) Find(id string) (Change, bool) {
	i := slices.IndexFunc(cfg.History, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return cfg.History[i], true
}

// Apply returns a new configuration with the request's changes and the next
// version. It does not modify cfg. If there is a conflict with an earlier change, or
// there are findings about the request or its result, it returns cfg unchanged.
func Apply(cfg Config, req Request, now time.Time) (Config, []finding.Finding, error) {
	if req.Base != 0 {
		if err := CheckConflict(cfg, req.Base, req.Touched()); err != nil {
			return cfg, nil, err
		}
	}
	findings := checkRequest(cfg, req)
	next := Config{
		Version:   cfg.Version + 1,
		Templates: applyTemplateChanges(cfg.Templates, req),
		Clients:   applyClientChanges(cfg.Clients, req),
	}
	next.History = appendHistory(cfg.History, Change{
		Version:  next.Version,
		ID:       req.ID,
		Operator: req.Operator,
		What:     describeChange(req),
		Touched:  req.Touched(),
		AtMS:     now.UnixMilli(),
	})
	findings = append(findings, Check(next)...)
	if len(findings) > 0 {
		return cfg, findings, nil
	}
	return next, nil, nil
}

func describeChange(req Request) string {
	if req.What != "" {
		return req.What
	}
	return "changed " + joinSubjects(req.Touched())
}

func appendHistory(history []Change, c Change) []Change {
	next := append(slices.Clone(history), c)
	if len(next) > MaxHistory {
		next = next[len(next)-MaxHistory:]
	}
	return next
}

func applyTemplateChanges(old []Template, req Request) []Template {
	next := slices.Clone(old)
	for _, t := range req.PutTemplates {
		i := slices.IndexFunc(next, func(o Template) bool { return o.Service == t.Service })
		if i < 0 {
			next = append(next, t)
			continue
		}
		next[i] = t
	}
	next = slices.DeleteFunc(next, func(t Template) bool { return slices.Contains(req.RemoveTemplates, t.Service) })
	slices.SortFunc(next, func(a, b Template) int { return strings.Compare(a.Service, b.Service) })
	return next
}

func applyClientChanges(old []Client, req Request) []Client {
	next := slices.Clone(old)
	for _, c := range req.PutClients {
		i := slices.IndexFunc(next, func(o Client) bool { return o.Name == c.Name })
		if i < 0 {
			next = append(next, c)
			continue
		}
		next[i] = c
	}
	next = slices.DeleteFunc(next, func(c Client) bool { return slices.Contains(req.RemoveClients, c.Name) })
	slices.SortFunc(next, func(a, b Client) int { return strings.Compare(a.Name, b.Name) })
	return next
}
