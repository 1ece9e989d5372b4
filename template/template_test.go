package template_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/template"
)

const libraryTOML = `
[[template]]
service = "katalog"
keyed = true
slots = 6
connections = 110
checks_grants = true
[[template.routes]]
method = "GET"
path = "/records"
idempotent = true
deadline_ms = 2000
[[template.routes]]
method = "POST"
path = "/records/merge"
deadline_ms = 5000
[[template.routes]]
method = "*"
path = "/"
deadline_ms = 1000

[[template]]
service = "bayaran"
slots = 6
connections = 110
[[template.routes]]
method = "POST"
path = "/charges"
deadline_ms = 3000

[[client]]
name = "desk-um"
phone = "+60 3 0000 0101"
services = ["katalog", "bayaran"]
weight = 3
stop_from = "22:00"
stop_until = "05:30"
zone = "Asia/Kuala_Lumpur"
`

var now = time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC)

func parseLibrary(t *testing.T) template.Request {
	t.Helper()
	templates, clients, findings := template.Parse("library.toml", []byte(libraryTOML))
	assert.Equal(t, len(findings), 0, "%v", findings)
	return template.Request{ID: "r1", Operator: "aina", PutTemplates: templates, PutClients: clients}
}

func initialConfig(t *testing.T) template.Config {
	t.Helper()
	cfg, findings, err := template.Apply(template.Config{}, parseLibrary(t), now)
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 0, "%v", findings)
	return cfg
}

func TestParseFillsDefaults(t *testing.T) {
	req := parseLibrary(t)
	assert.Equal(t, req.PutTemplates[0].Shards, uint32(template.DefaultShards))
	assert.Equal(t, req.PutTemplates[1].Shards, uint32(0))
	assert.Equal(t, req.PutTemplates[1].WhenCut, template.CutKeep)
	assert.Equal(t, req.PutClients[0].Weight, 3)
}

func TestParseReportsFindings(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`slots = 6`, `slotz = 6`, `x:2:3: template[0].slots: missing`},
		{`deadline_ms = 2000`, `deadline_ms = "2s"`, `x:12:1: template[0].routes[0].deadline_ms: must be a whole number, not a string (write the number of milliseconds without a unit)`},
		{`path = "/records"`, `path = "records"`, `x:10:1: template[0].routes[0].path: "records" does not start with /`},
		{`path = "/records/merge"`, "path = \"/records\"\nmethod = \"GET\"", `x:16:1: template[0].routes[1].method: set twice; first in line 14`},
		{`method = "POST"`, `method = "PSOT"`, `x:14:1: template[0].routes[1].method: unknown method "PSOT" (did you mean "POST"?)`},
		{`weight = 3`, `weight = 0`, `x:35:1: client[0].weight: 0 is not between 1 and 1000`},
		{`"22:00"`, `"24:00"`, `x:36:1: client[0].stop_from: "24:00" is not a time of day (HH:MM, such as "22:00")`},
		{`"22:00"`, `"9:00"`, `x:36:1: client[0].stop_from: "9:00" is not a time of day (HH:MM, such as "22:00")`},
		{`Asia/Kuala_Lumpur`, `Asia/Kuala`, `x:38:1: client[0].zone: unknown time zone "Asia/Kuala" (such as "Asia/Kuala_Lumpur")`},
		{`keyed = true`, "keyed = true\nshards = 300", `x:5:1: template[0].shards: 300 is not a power of two between 1 and 2048`},
		{`connections = 110`, `connections = 5`, `x:6:1: template[0].connections: 5 connections cannot fill 6 slots`},
	}
	for _, test := range tests {
		text := strings.Replace(libraryTOML, test.old, test.new, 1)
		_, _, findings := template.Parse("x", []byte(text))
		var lines []string
		for _, f := range findings {
			lines = append(lines, f.String())
		}
		assert.Assert(t, strings.Contains(strings.Join(lines, "\n"), test.want), "%s", strings.Join(lines, "\n"))
	}
}

func TestApplyRejectsInvalidChanges(t *testing.T) {
	cfg := initialConfig(t)
	katalog := cfg.Templates[1]
	assert.Equal(t, katalog.Service, "katalog")
	resharded, unkeyed := katalog, katalog
	resharded.Shards = 512
	unkeyed.Keyed, unkeyed.Shards = false, 0
	fresh := katalog
	fresh.Service = "arkib"
	client := cfg.Clients[0]
	client.Services = []string{"katalog", "katalok"}
	tests := []struct {
		name string
		req  template.Request
		want string
	}{
		{"removed template that a client reaches", template.Request{RemoveTemplates: []string{"bayaran"}}, `clients[desk-um].services[1]: client desk-um reaches service "bayaran", which has no template`},
		{"unknown service", template.Request{PutClients: []template.Client{client}}, `clients[desk-um].services[1]: client desk-um reaches service "katalok", which has no template (did you mean "katalog"?)`},
		{"shard count of a live service", template.Request{PutTemplates: []template.Template{resharded}}, `templates[katalog].shards: 256 cannot become 512 (a live service keeps its number of shards)`},
		{"keyed flag of a live service", template.Request{PutTemplates: []template.Template{unkeyed}}, `templates[katalog].keyed: true cannot become false (a live service keeps its number of shards)`},
		{"shard count differs from the shard map in the store", template.Request{PutTemplates: []template.Template{fresh}, Live: []template.LiveService{{Service: "arkib", Shards: 128}}}, `templates[arkib].shards: the shard map in the store has 128 shards (a live service keeps its number of shards)`},
		{"empty request", template.Request{}, `nothing to change`},
		{"unknown client", template.Request{RemoveClients: []string{"x"}}, `clients[x]: there is no such client`},
		{"template changed twice", template.Request{PutTemplates: []template.Template{fresh, fresh}}, `templates[arkib]: changed twice in one request`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.req.ID, test.req.Operator = "r2", "aina"
			got, findings, err := template.Apply(cfg, test.req, now)
			assert.NilError(t, err)
			assert.Assert(t, len(findings) > 0)
			assert.Equal(t, findings[0].String(), test.want)
			assert.DeepEqual(t, got, cfg)
		})
	}
}

func TestApplyRejectsOversizedConfig(t *testing.T) {
	cfg := initialConfig(t)
	for i := range 10_000 {
		c := cfg.Clients[0]
		c.Name = fmt.Sprintf("desk-%d", i)
		cfg.Clients = append(cfg.Clients, c)
	}
	req := template.Request{ID: "r2", Operator: "aina", RemoveClients: []string{"desk-um"}}
	_, findings, err := template.Apply(cfg, req, now)
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 1)
	assert.Assert(t, strings.Contains(findings[0].Message, "bytes, more than the store's limit of 1048576"))
}

func TestConcurrentChangesConflictOnSameClient(t *testing.T) {
	cfg := initialConfig(t)
	a, b := cfg.Clients[0], cfg.Clients[0]
	a.Weight, b.Weight = 5, 7
	other := cfg.Clients[0]
	other.Name = "desk-usm"

	byAina := template.Request{ID: "a", Operator: "aina", Base: 1, PutClients: []template.Client{a}}
	byBala := template.Request{ID: "b", Operator: "bala", Base: 1, PutClients: []template.Client{b}}
	byChong := template.Request{ID: "c", Operator: "chong", Base: 1, PutClients: []template.Client{other}}

	cfg, _, err := template.Apply(cfg, byAina, now)
	assert.NilError(t, err)
	_, _, err = template.Apply(cfg, byBala, now)
	var conflict *template.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.EarlierChange.Operator, "aina")
	assert.Equal(t, err.Error(), "version 2 by aina at 2026-12-04T11:00:00Z (changed client desk-um) came before this change, which was decided on version 1")

	cfg, findings, err := template.Apply(cfg, byChong, now) // changes a different client
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 0)
	assert.Equal(t, cfg.Version, uint64(3))
	_, ok := cfg.Find("b")
	assert.Assert(t, !ok)
	change, ok := cfg.Find("c")
	assert.Assert(t, ok)
	assert.Equal(t, change.Version, uint64(3))
}

func TestBaseOlderThanHistoryConflicts(t *testing.T) {
	cfg := initialConfig(t)
	for i := range template.MaxHistory + 1 {
		c := cfg.Clients[0]
		c.Weight = 1 + i%9
		var err error
		cfg, _, err = template.Apply(cfg, template.Request{ID: fmt.Sprint(i), Operator: "aina", PutClients: []template.Client{c}}, now)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(cfg.History), template.MaxHistory)
	err := template.CheckConflict(cfg, 1, nil)
	assert.Error(t, err, fmt.Sprintf("version 1 is no longer in the history of version %d", cfg.Version))
}

// TestAcceptedChangesAreNotLost applies changes with stale base versions. Every
// accepted change must get the next version, and each client must keep its newest
// accepted value.
func TestAcceptedChangesAreNotLost(t *testing.T) {
	start := initialConfig(t)
	rapid.Check(t, func(t *rapid.T) {
		cfg := start
		want := map[string]int{"desk-um": 3}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"desk-um", "desk-a", "desk-b"}).Draw(t, "client")
			c := start.Clients[0]
			c.Name, c.Weight = name, rapid.IntRange(0, 20).Draw(t, "weight")
			base := uint64(rapid.IntRange(1, int(cfg.Version)).Draw(t, "base"))
			req := template.Request{ID: fmt.Sprint(i), Operator: "aina", Base: base, PutClients: []template.Client{c}}
			next, findings, err := template.Apply(cfg, req, now)
			if err != nil || len(findings) > 0 {
				assert.DeepEqual(t, next, cfg)
				continue
			}
			assert.Equal(t, next.Version, cfg.Version+1)
			assert.Equal(t, next.History[len(next.History)-1].ID, req.ID)
			want[name] = c.Weight
			cfg = next
		}
		assert.Equal(t, len(template.Check(cfg)), 0)
		for _, c := range cfg.Clients {
			assert.Equal(t, c.Weight, want[c.Name])
		}
	})
}

func TestMayStop(t *testing.T) {
	night := template.Client{StopFrom: "22:00", StopUntil: "05:30", Zone: "Asia/Kuala_Lumpur"} // UTC+8
	tests := []struct {
		client template.Client
		utc    string
		want   bool
	}{
		{night, "13:59", false},
		{night, "14:00", true},
		{night, "21:29", true},
		{night, "21:30", false},
		{template.Client{}, "12:00", true},
		{template.Client{StopFrom: "09:00", StopUntil: "17:00", Zone: "UTC"}, "17:00", false},
		{template.Client{StopFrom: "09:00", StopUntil: "17:00", Zone: "Nowhere"}, "10:00", false},
	}
	for _, test := range tests {
		at, err := time.Parse("15:04", test.utc)
		assert.NilError(t, err)
		at = at.AddDate(2026, 0, 0)
		assert.Equal(t, test.client.MayStop(at), test.want, "%+v at %s", test.client, test.utc)
	}
}

func TestResolve(t *testing.T) {
	v := template.Compile(initialConfig(t))
	tests := []struct {
		client, service, method, path string
		deadline                      int64
		err                           error
	}{
		{"desk-um", "katalog", "GET", "/records/1", 2000, nil},
		{"desk-um", "katalog", "GET", "/recordsx", 1000, nil},
		{"desk-um", "katalog", "POST", "/records/merge", 5000, nil},
		{"desk-um", "katalog", "POST", "/records/merger", 1000, nil},
		{"desk-um", "bayaran", "POST", "/charges", 3000, nil},
		{"desk-um", "bayaran", "GET", "/charges", 0, template.ErrNoRoute},
		{"desk-um", "nowhere", "GET", "/", 0, template.ErrNoService},
		{"nobody", "katalog", "GET", "/", 0, template.ErrNoClient},
	}
	for _, test := range tests {
		m, err := v.Resolve(test.client, test.service, test.method, test.path)
		if test.err != nil {
			assert.ErrorIs(t, err, test.err)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, m.Route.DeadlineMS, test.deadline, "%s %s", test.method, test.path)
		assert.Equal(t, m.Weight, 3)
	}
}

func TestDiff(t *testing.T) {
	a := initialConfig(t)
	b := initialConfig(t)
	b.Templates = b.Templates[1:]
	c := b.Clients[0]
	c.Weight = 4
	more := c
	more.Name = "desk-usm"
	b.Clients = []template.Client{c, more}
	var lines []string
	for _, d := range template.Diff(a, b) {
		lines = append(lines, d.String())
	}
	assert.DeepEqual(t, lines, []string{"- template bayaran", "~ client desk-um.weight: 3 -> 4", "+ client desk-usm"})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(libraryTOML))
	f.Add([]byte("[[template]]\nroutes = [{method = 1}, 2]\n[[client]]\nservices = 'x'\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		templates, _, findings := template.Parse("x", data)
		if len(findings) > 0 {
			return
		}
		// Tables without findings may conflict with each other, but each one must
		// be valid on its own.
		for _, one := range templates {
			assert.Equal(t, len(template.Check(template.Config{Templates: []template.Template{one}})), 0)
		}
	})
}

func TestUnkeyedServiceWithShardMapCanBeChanged(t *testing.T) {
	cfg := initialConfig(t)
	bayaran := cfg.Templates[0]
	bayaran.Slots++
	req := template.Request{
		ID: "r2", Operator: "aina", PutTemplates: []template.Template{bayaran},
		Live: []template.LiveService{{Service: "bayaran", Shards: template.UnkeyedShards}},
	}
	_, findings, err := template.Apply(cfg, req, now)
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 0, "%v", findings)
}

func TestWhenCutOfLiveServiceCannotChange(t *testing.T) {
	cfg := initialConfig(t)
	moved := cfg.Templates[0]
	moved.WhenCut = template.CutMove
	_, findings, err := template.Apply(cfg, template.Request{ID: "r2", Operator: "aina", PutTemplates: []template.Template{moved}}, now)
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Message, `"keep" cannot become "move"`)
	moved.Service = "sewa"
	_, findings, err = template.Apply(cfg, template.Request{ID: "r3", Operator: "aina", PutTemplates: []template.Template{moved}}, now)
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 0, "%v", findings)
}
