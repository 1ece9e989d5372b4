package template

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/mangopost/mangopost/finding"
)

// reportFunc adds a finding about a field of the item being checked.
type reportFunc func(field, hint, format string, args ...any)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	phonePattern  = regexp.MustCompile(`^\+?[0-9][0-9 ()/.-]+$`)
	pluginPattern = regexp.MustCompile(`^[a-z0-9_]+(\.[a-z0-9_]+)+$`)
)

// AnyMethod is the method of a route that matches every method.
const AnyMethod = "*"

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions, AnyMethod,
}

// Check returns all faults of a configuration. Paths identify templates and clients
// by name, such as clients[desk-um].weight.
func Check(cfg Config) []finding.Finding {
	var findings []finding.Finding
	reportUnder := func(path string) reportFunc {
		return func(field, hint, format string, args ...any) {
			findings = append(findings, finding.Finding{
				Path:    path + field,
				Message: fmt.Sprintf(format, args...),
				Hint:    hint,
			})
		}
	}
	for _, t := range cfg.Templates {
		checkTemplate(t, reportUnder(templatePath(t.Service)+"."))
	}
	for _, c := range cfg.Clients {
		checkClient(c, reportUnder(clientPath(c.Name)+"."))
	}
	checkDuplicates(cfg, reportUnder(""))
	checkClientServices(cfg, reportUnder(""))
	checkSize(cfg, reportUnder(""))
	return findings
}

func templatePath(service string) string { return "templates[" + service + "]" }
func clientPath(name string) string      { return "clients[" + name + "]" }

// checkDuplicates reports templates and clients that are defined twice.
func checkDuplicates(cfg Config, add reportFunc) {
	services := make(map[string]bool)
	for _, t := range cfg.Templates {
		if services[t.Service] {
			add(templatePath(t.Service), "", "service is defined twice")
		}
		services[t.Service] = true
	}
	clients := make(map[string]bool)
	for _, c := range cfg.Clients {
		if clients[c.Name] {
			add(clientPath(c.Name), "", "client is defined twice")
		}
		clients[c.Name] = true
	}
}

// checkClientServices reports clients that use a service without a template.
func checkClientServices(cfg Config, add reportFunc) {
	services := make([]string, len(cfg.Templates))
	for i, t := range cfg.Templates {
		services[i] = t.Service
	}
	for _, c := range cfg.Clients {
		for i, s := range c.Services {
			if !slices.Contains(services, s) {
				path := fmt.Sprintf("%s.services[%d]", clientPath(c.Name), i)
				add(path, finding.DidYouMean(s, services), "client %s reaches service %q, which has no template", c.Name, s)
			}
		}
	}
}

func checkSize(cfg Config, add reportFunc) {
	data, err := json.Marshal(cfg)
	if err != nil {
		add("", "", "cannot be written as JSON: %v", err)
		return
	}
	if len(data) > MaxConfigBytes {
		add("", "", "the configuration has %d bytes, more than the store's limit of %d", len(data), MaxConfigBytes)
	}
}

func checkTemplate(t Template, add reportFunc) {
	checkName("service", t.Service, add)
	switch {
	case t.Keyed && (t.Shards < 1 || t.Shards > MaxShards || t.Shards&(t.Shards-1) != 0):
		add("shards", "", "%d is not a power of two between 1 and %d", t.Shards, MaxShards)
	case !t.Keyed && t.Shards != 0:
		add("shards", "leave it out, or set keyed = true", "has no effect on a service that is not keyed")
	}
	checkRange("slots", t.Slots, 1, MaxSlots, add)
	checkRange("connections", t.Connections, 1, MaxConnections, add)
	if t.Connections >= 1 && t.Connections < t.Slots {
		add("connections", "", "%d connections cannot fill %d slots", t.Connections, t.Slots)
	}
	switch t.WhenCut {
	case CutKeep, CutMove:
	default:
		add("when_cut", `use "keep" or "move"`, "unknown value %q", t.WhenCut)
	}
	checkRange("queue_limit", t.QueueLimit, 0, MaxQueueLimit, add)
	checkPluginID("queue_order", "queue.", t.QueueOrder, add)
	checkPluginID("balancer", "balance.", t.Balancer, add)
	checkRange("retry_horizon_s", t.RetryHorizonS, 1, MaxRetryHorizonS, add)
	checkRange("clock_skew_ms", t.ClockSkewMS, 0, MaxClockSkewMS, add)
	checkRoutes(t.Routes, add)
}

func checkRoutes(routes []Route, add reportFunc) {
	if len(routes) < 1 || len(routes) > MaxRoutes {
		add("routes", "", "%d routes; a template has 1 to %d", len(routes), MaxRoutes)
	}
	type match struct{ method, path string }
	seen := make(map[match]int)
	for i, r := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		checkRoute(r, func(field, hint, format string, args ...any) {
			add(path+"."+field, hint, format, args...)
		})
		m := match{r.Method, r.Path}
		if first, dup := seen[m]; dup {
			add(path+".path", "", "%s %s is also routes[%d]", r.Method, r.Path, first)
			continue
		}
		seen[m] = i
	}
}

func checkRoute(r Route, add reportFunc) {
	if !slices.Contains(methods, r.Method) {
		add("method", finding.DidYouMean(strings.ToUpper(r.Method), methods), "unknown method %q", r.Method)
	}
	switch {
	case !strings.HasPrefix(r.Path, "/"):
		add("path", "", "%q does not start with /", r.Path)
	case len(r.Path) > MaxPathBytes:
		add("path", "", "longer than %d bytes", MaxPathBytes)
	case r.Path != "/" && strings.HasSuffix(r.Path, "/"):
		add("path", "leave the last / out", "ends with /")
	case strings.ContainsAny(r.Path, "?#* \t\r\n") || strings.Contains(r.Path, "//"):
		add("path", "a plain path prefix", "%q is not a path prefix", r.Path)
	}
	checkRange("deadline_ms", r.DeadlineMS, 1, MaxDeadlineMS, add)
}

func checkClient(c Client, add reportFunc) {
	checkName("name", c.Name, add)
	if len(c.Phone) > MaxPhoneBytes || !phonePattern.MatchString(c.Phone) {
		add("phone", "the number to call before a planned stop", "%q is not a telephone number", c.Phone)
	}
	if len(c.Services) < 1 || len(c.Services) > MaxServices {
		add("services", "", "%d services; a client reaches 1 to %d", len(c.Services), MaxServices)
	}
	for i, s := range c.Services {
		if slices.Index(c.Services, s) < i {
			add(fmt.Sprintf("services[%d]", i), "", "%q is listed twice", s)
		}
	}
	checkRange("weight", c.Weight, 1, MaxWeight, add)
	checkStopWindow(c, add)
}

func checkStopWindow(c Client, add reportFunc) {
	if (c.StopFrom == "") != (c.StopUntil == "") {
		add("stop_from", "give both, or neither for any time of day", "stop_from and stop_until belong together")
	}
	_, fromOK := parseTimeOfDay(c.StopFrom)
	_, untilOK := parseTimeOfDay(c.StopUntil)
	if c.StopFrom != "" && !fromOK {
		add("stop_from", `HH:MM, such as "22:00"`, "%q is not a time of day", c.StopFrom)
	}
	if c.StopUntil != "" && !untilOK {
		add("stop_until", `HH:MM, such as "05:00"`, "%q is not a time of day", c.StopUntil)
	}
	if fromOK && c.StopFrom == c.StopUntil {
		add("stop_until", "leave both out for any time of day", "equal to stop_from")
	}
	if _, err := time.LoadLocation(c.Zone); err != nil || c.Zone == "" || c.Zone == "Local" {
		add("zone", `such as "Asia/Kuala_Lumpur"`, "unknown time zone %q", c.Zone)
	}
}

func checkName(field, value string, add reportFunc) {
	if len(value) > MaxNameBytes || !namePattern.MatchString(value) {
		add(field, fmt.Sprintf("1 to %d of a-z, 0-9, dot, dash and underscore", MaxNameBytes), "%q is not a name", value)
	}
}

func checkPluginID(field, prefix, value string, add reportFunc) {
	if !strings.HasPrefix(value, prefix) || !pluginPattern.MatchString(value) {
		add(field, "", "%q is not the ID of a plug-in under %q", value, prefix)
	}
}

func checkRange[T int | int64](field string, value, low, high T, add reportFunc) {
	if value < low || value > high {
		add(field, "", "%d is not between %d and %d", value, low, high)
	}
}
