package template

import (
	"fmt"
	"slices"

	"github.com/mangopost/mangopost/finding"
)

// checkRequest returns the faults of a request relative to the current
// configuration. Check validates the resulting configuration.
func checkRequest(cfg Config, req Request) []finding.Finding {
	var findings []finding.Finding
	add := func(path, hint, format string, args ...any) {
		findings = append(findings, finding.Finding{Path: path, Hint: hint, Message: fmt.Sprintf(format, args...)})
	}
	if req.ID == "" {
		add("", "", "the request has no ID")
	}
	if req.Operator == "" {
		add("", "", "the request names no operator")
	}
	subjects := req.Touched()
	if len(subjects) == 0 {
		add("", "", "nothing to change")
	}
	for i, s := range subjects {
		if slices.Index(subjects, s) < i {
			add(subjectPath(s), "", "changed twice in one request")
		}
	}
	checkRemovals(cfg, req, add)
	for _, t := range req.PutTemplates {
		checkLiveService(cfg, req, t, add)
	}
	return findings
}

func subjectPath(s Subject) string {
	if s.Kind == KindClient {
		return clientPath(s.Name)
	}
	return templatePath(s.Name)
}

func checkRemovals(cfg Config, req Request, add reportFunc) {
	for _, name := range req.RemoveTemplates {
		if _, ok := findTemplate(cfg.Templates, name); !ok {
			add(templatePath(name), "", "there is no such template")
		}
	}
	for _, name := range req.RemoveClients {
		if !slices.ContainsFunc(cfg.Clients, func(c Client) bool { return c.Name == name }) {
			add(clientPath(name), "", "there is no such client")
		}
	}
}

// checkLiveService rejects two kinds of change to a live service. Its division into
// shards must stay, as keys would change owners without a change of the shard map.
// Its cut policy must stay, as a data centre that is cut off would not receive the
// change.
func checkLiveService(cfg Config, req Request, t Template, add reportFunc) {
	const hint = "a live service keeps its number of shards"
	path := templatePath(t.Service)
	if old, ok := findTemplate(cfg.Templates, t.Service); ok {
		if old.Keyed != t.Keyed {
			add(path+".keyed", hint, "%v cannot become %v", old.Keyed, t.Keyed)
			return
		}
		if old.Shards != t.Shards {
			add(path+".shards", hint, "%d cannot become %d", old.Shards, t.Shards)
			return
		}
		if old.WhenCut != t.WhenCut {
			add(path+".when_cut", "a live service keeps its cut policy", "%q cannot become %q", old.WhenCut, t.WhenCut)
		}
	}
	for _, live := range req.Live {
		if live.Service == t.Service && live.Shards != t.ShardCount() {
			add(path+".shards", hint, "the shard map in the store has %d shards", live.Shards)
		}
	}
}

func findTemplate(templates []Template, service string) (Template, bool) {
	i := slices.IndexFunc(templates, func(t Template) bool { return t.Service == service })
	if i < 0 {
		return Template{}, false
	}
	return templates[i], true
}
