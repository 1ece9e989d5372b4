package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

const examples = "../../examples/library/"

// harness runs commands against a fake store.
type harness struct {
	t        *testing.T
	store    *fakeStore
	now      time.Time
	runCount int
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, store: newFakeStore(), now: time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)}
	b.store.hosts = []platform.TargetHost{
		{Name: "katalog-1", Service: "katalog", DataCentre: "kl-utama", Addr: "127.0.0.1:8101", State: platform.HostLive},
		{Name: "bayaran-1", Service: "bayaran", DataCentre: "kl-utama", Addr: "127.0.0.1:8105", State: platform.HostLeaving},
	}
	return b
}

func (b *harness) run(args ...string) (code int, out, errOut string) {
	b.runCount++
	var stdout, stderr strings.Builder
	code = runMain(append([]string{"--operator", "aina"}, args...), &stdout, &stderr, func(o options) *App {
		return &App{
			Store: b.store, Operator: o.Operator, HTTP: http.DefaultClient,
			Now:       func() time.Time { return b.now },
			Sleep:     func(context.Context, time.Duration) {},
			RequestID: fmt.Sprintf("req-%d", b.runCount),
		}
	})
	return code, stdout.String(), stderr.String()
}

// mustRun runs a command that must succeed and returns its output.
func (b *harness) mustRun(args ...string) string {
	b.t.Helper()
	code, out, errOut := b.run(args...)
	assert.Equal(b.t, code, ExitOK, "%v: %s", args, errOut)
	return out
}

// mustFail runs a command that must end with the exit code want and an error that
// contains message.
func (b *harness) mustFail(want int, message string, args ...string) {
	b.t.Helper()
	code, out, errOut := b.run(args...)
	assert.Equal(b.t, code, want, "%v: %s%s", args, out, errOut)
	assert.Assert(b.t, strings.Contains(errOut, message), "%q", errOut)
}

func (b *harness) applyExamples() *harness {
	b.t.Helper()
	b.mustRun("template", "apply", examples+"templates.toml")
	b.mustRun("client", "apply", examples+"clients.toml")
	return b
}

func (b *harness) putObject(name string, value any) {
	b.t.Helper()
	raw, err := json.Marshal(value)
	assert.NilError(b.t, err)
	b.store.set(name, raw)
}

func getObject[T any](b *harness, name string) T {
	b.t.Helper()
	var value T
	assert.NilError(b.t, json.Unmarshal(b.store.objects[name].Value, &value))
	return value
}

func (b *harness) writeFile(text string) string {
	b.t.Helper()
	path := filepath.Join(b.t.TempDir(), "file.toml")
	assert.NilError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const heavierClient = `
[[client]]
name = "desk-um"
phone = "+60 3 0000 0101"
services = ["katalog"]
weight = 9
`

func TestTemplateAndClientCommands(t *testing.T) {
	b := newHarness(t).applyExamples()
	assert.Assert(t, strings.Contains(b.mustRun("template", "list"), "katalog"))
	var clients []template.Client
	assert.NilError(t, json.Unmarshal([]byte(b.mustRun("client", "list", "--json")), &clients))
	assert.Equal(t, len(clients), 6)

	text := b.mustRun("template", "get", "katalog") // in the format that apply reads
	assert.Equal(t, b.mustRun("template", "diff", b.writeFile(text)), "no difference from configuration 2\n")
	diff := b.mustRun("client", "apply", "--dry-run", b.writeFile(heavierClient))
	assert.Assert(t, strings.Contains(diff, "~ client desk-um.weight: 3 -> 9"), diff)
	assert.Equal(t, getObject[template.Config](b, platform.ConfigObject).Version, uint64(2))

	b.mustFail(ExitRefused, "template x: not found", "template", "get", "x")
	b.mustFail(ExitBadInput, `client desk-um reaches service "bayaran", which has no template`, "template", "remove", "bayaran")
	b.mustFail(ExitBadInput, "file.toml:6:1: client[0].weight: 0 is not between 1 and 1000", "client", "apply", b.writeFile(strings.Replace(heavierClient, "9", "0", 1)))
	b.mustFail(ExitBadInput, "belong to client apply", "template", "apply", examples+"clients.toml")
	b.mustFail(ExitBadInput, "unknown flag", "template", "list", "--what")
}

func TestUpdateAfterLostAnswer(t *testing.T) {
	tests := []struct {
		name        string
		fault       func(s *fakeStore)
		code        int
		wantApplied bool
	}{
		{"answer lost after the write", func(s *fakeStore) { s.loseAnswers = 1 }, ExitOK, true},
		{"write lost", func(s *fakeStore) { s.loseWrites = 1 }, ExitOK, true},
		{"write lost, then answer lost", func(s *fakeStore) { s.loseWrites, s.loseAnswers = 1, 1 }, ExitOK, true},
		{"answer lost, then the store goes down", func(s *fakeStore) { s.loseAnswers, s.downAfterLoss = 1, true }, ExitUnknown, true},
		{"write lost, then the store goes down", func(s *fakeStore) { s.loseWrites, s.downAfterLoss = 1, true }, ExitUnknown, false},
		{"store down", func(s *fakeStore) { s.down = true }, ExitUnavailable, false},
		{"store down before the write", func(s *fakeStore) { s.beforePut = func() { s.down = true } }, ExitUnavailable, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t).applyExamples()
			path := b.writeFile(heavierClient)
			test.fault(b.store)
			code, _, errOut := b.run("client", "apply", path)
			assert.Equal(t, code, test.code, errOut)
			cfg := getObject[template.Config](b, platform.ConfigObject)
			changes := 0
			for _, c := range cfg.History {
				if c.ID == "req-3" {
					changes++
				}
			}
			assert.Equal(t, changes == 1, test.wantApplied)
			assert.Assert(t, changes <= 1)
			if code == ExitUnknown {
				assert.Assert(t, strings.Contains(errOut, "names request req-3"), errOut)
			}
		})
	}
}

// TestRefusalAfterLostWriteIsUnknown checks that the outcome is unknown if the repeat of
// a lost write is refused: the lost write may still arrive and take effect.
func TestRefusalAfterLostWriteIsUnknown(t *testing.T) {
	b := newHarness(t).applyExamples()
	b.now = time.Date(2026, 12, 4, 15, 0, 0, 0, time.UTC)
	b.store.loseWrites = 1
	b.store.beforePut = func() { b.now = b.now.Add(time.Hour) } // the start time passes before the repeat
	b.mustFail(ExitUnknown, "has passed", "stop", "announce", "disks", "--service", "bayaran", "--start", "2026-12-04T15:30:00Z")
}

func TestConcurrentChangeOfSameClientConflicts(t *testing.T) {
	b := newHarness(t).applyExamples()
	path := b.writeFile(heavierClient)
	applyAsOther := func(text string) func() {
		other := b.writeFile(text)
		return func() { b.mustRun("client", "apply", "--operator", "bala", other) }
	}
	b.store.beforePut = applyAsOther(strings.Replace(heavierClient, "9", "7", 1))
	b.mustFail(ExitConflict, "version 3 by bala at 2026-12-04T04:00:00Z (changed client desk-um) came before this change, which was decided on version 2", "client", "apply", path)
	cfg := getObject[template.Config](b, platform.ConfigObject)
	assert.Equal(t, cfg.Version, uint64(3))

	b.store.beforePut = applyAsOther(strings.Replace(heavierClient, "desk-um", "desk-new", 1)) // another client
	b.mustRun("client", "apply", path)
	assert.Equal(t, getObject[template.Config](b, platform.ConfigObject).Version, uint64(5))
	b.mustFail(ExitConflict, "version 3 by bala", "client", "apply", "--base", "2", path)
}

func TestStopFromAnnouncementToFinish(t *testing.T) {
	b := newHarness(t).applyExamples()
	announce := []string{"stop", "announce", "disks", "--service", "bayaran", "--start", "2026-12-04T23:00:00+08:00"}
	b.store.loseAnswers = 1
	out := b.mustRun(announce...)
	assert.Assert(t, strings.Contains(out, "call desk-um on +60 3 0000 0101, then: mangopostctl stop called disks desk-um"), out)
	b.mustFail(ExitConflict, "stop disks was already announced by aina", announce...)
	b.mustFail(ExitBadInput, "already part of stop disks", "stop", "announce", "more", "--target", "bayaran-1", "--start", "2026-12-04T23:00:00+08:00")
	b.mustFail(ExitBadInput, "takes a planned stop from 22:00 to 06:00", "stop", "announce", "noon", "--service", "katalog", "--start", "2026-12-05T12:00:00+08:00")

	b.now = b.now.Add(time.Minute)
	for _, client := range []string{"desk-um", "desk-usm", "desk-unimas", "desk-ums"} {
		b.mustRun("stop", "called", "disks", client, "--note", "agreed")
	}
	b.mustFail(ExitRefused, "desk-um was already called by aina", "stop", "called", "disks", "desk-um")
	stop := getObject[maintenance.Stop](b, "mangopost/stops/disks")
	assert.Equal(t, stop.State, maintenance.Cleared)
	assert.Assert(t, strings.Contains(b.mustRun("stop", "status", "disks"), "desk-um +60 3 0000 0101: called 2026-12-04T04:01:00Z by aina agreed"))

	newDesk := strings.NewReplacer("desk-um", "desk-new", `"katalog"`, `"bayaran"`).Replace(heavierClient)
	out = b.mustRun("client", "apply", b.writeFile(newDesk))
	assert.Assert(t, strings.Contains(out, "warning: call desk-new (+60 3 0000 0101): stop disks is cleared and starts 2026-12-04T15:00:00Z"), out)
	stop.State = maintenance.Draining
	b.putObject("mangopost/stops/disks", stop)
	b.mustFail(ExitBadInput, "stop disks drains a service of this client, which was not called", "client", "apply", b.writeFile(newDesk))

	stop.State = maintenance.Stopped
	b.putObject("mangopost/stops/disks", stop)
	b.mustFail(ExitRefused, "can no longer be cancelled", "stop", "cancel", "disks")
	b.mustRun("stop", "finish", "disks")
	var active []maintenance.Stop
	assert.NilError(t, json.Unmarshal([]byte(b.mustRun("stop", "list", "--json")), &active))
	assert.Equal(t, len(active), 0)
	assert.Assert(t, strings.Contains(b.mustRun("stop", "list", "--all"), "stopped, finished"))
}

// TestLaterConcurrentAnnouncementIsWithdrawn checks that, if two operators concurrently
// announce stops of the same target under different names, the later one is withdrawn,
// whether or not the earlier one has changed since.
func TestLaterConcurrentAnnouncementIsWithdrawn(t *testing.T) {
	announce := func(id string) []string {
		return []string{"stop", "announce", id, "--service", "bayaran", "--start", "2026-12-04T23:00:00+08:00"}
	}
	for _, called := range []bool{false, true} {
		b := newHarness(t).applyExamples()
		b.store.beforePut = func() {
			b.mustRun(append(announce("first"), "--operator", "bala")...)
			b.store.afterPut = func() {
				if called {
					b.mustRun("stop", "called", "first", "desk-um")
				}
			}
		}
		b.mustFail(ExitConflict, "target bayaran-1 is already part of stop first, announced by bala; stop second was withdrawn", announce("second")...)
		assert.Equal(t, getObject[maintenance.Stop](b, "mangopost/stops/second").State, maintenance.Cancelled)
		assert.Assert(t, getObject[maintenance.Stop](b, "mangopost/stops/first").Active())
		b.mustRun("stop", "cancel", "first")
		b.mustRun(announce("third")...)
	}
}

// TestEarlierConcurrentAnnouncementStands checks that the earlier of two concurrent
// announcements stays active when it reads the later one.
func TestEarlierConcurrentAnnouncementStands(t *testing.T) {
	b := newHarness(t).applyExamples()
	b.store.afterPut = func() {
		later := getObject[maintenance.Stop](b, "mangopost/stops/first")
		later.ID, later.AnnouncedBy = "later", "bala"
		b.putObject("mangopost/stops/later", later)
	}
	b.mustRun("stop", "announce", "first", "--service", "bayaran", "--start", "2026-12-04T23:00:00+08:00")
	assert.Assert(t, getObject[maintenance.Stop](b, "mangopost/stops/first").Active())
}

func (b *harness) putCell() {
	run := func(host string, n uint64) lease.Incarnation { return lease.Incarnation{Host: host, Run: n} }
	b.putObject("mangopost/cells/kl-utama", membership.Record{
		Cell: "kl-utama", DataCentre: "kl-utama", Region: "semenanjung", Number: 4, Settled: true,
		Hosts: []membership.Host{{Name: "kl-1", PlacerRun: 1, PlacerAddr: "127.0.0.1:7114"}, {Name: "kl-2", PlacerRun: 2}, {Name: "kl-3", PlacerRun: 3}},
		Gateways: []membership.Gateway{
			{Target: "katalog-1", Service: "katalog", First: 5, Candidates: []lease.Incarnation{run("kl-2", 9), run("kl-3", 8)}},
			{Target: "katalog-9", Service: "katalog", First: 2, Candidates: []lease.Incarnation{run("kl-1", 7)}},
		},
	})
	shard := ownership.Shard{
		Assignment: ownership.Assignment{Cell: "kl-utama", Target: "katalog-1", Epoch: 7},
		SinceMS:    b.now.UnixMilli(), Reason: "target katalog-9 lost",
	}
	b.putObject("mangopost/owners/katalog", ownership.Page{Service: "katalog", Shards: []ownership.Shard{shard, shard}})
}

func TestOwnerTargetAndCellCommands(t *testing.T) {
	b := newHarness(t).applyExamples()
	b.putCell()
	out := b.mustRun("owner", "show", "--service", "katalog", "9789839317114")
	for _, want := range []string{"katalog-1 in cell kl-utama at epoch 7", "since    2026-12-04T04:00:00Z: target katalog-9 lost", "gateway  kl-2 at epoch 5"} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
	b.mustFail(ExitRefused, "shard map of service x: not found", "owner", "show", "--service", "x", "k")

	var targets []targetRow
	assert.NilError(t, json.Unmarshal([]byte(b.mustRun("target", "list", "--json", "--service", "katalog")), &targets))
	assert.Equal(t, len(targets), 2)
	assert.Equal(t, targets[0].Successors, "kl-3")
	assert.Assert(t, targets[0].Listed && !targets[1].Listed)
	assert.Assert(t, strings.Contains(b.mustRun("host", "list"), "127.0.0.1:7114"))

	b.mustFail(ExitBadInput, "hosts-are-gone", "cell", "write-off", "kl-utama", "kl-3")
	b.store.loseAnswers = 1
	b.mustRun("cell", "write-off", "--hosts-are-gone", "kl-utama", "kl-3")
	assert.Assert(t, isWrittenOff(getObject[membership.Record](b, "mangopost/cells/kl-utama"), []string{"kl-3"}))
	assert.Assert(t, strings.Contains(b.mustRun("cell", "list"), "kl-1, kl-2"))

	// The number of shards of a live service cannot change.
	small := strings.Replace(b.mustRun("template", "get", "katalog"), "service = 'katalog'", "service = 'katalog'\n", 1)
	small = strings.Replace(small, "256", "128", 1)
	b.mustFail(ExitBadInput, "256 cannot become 128", "template", "apply", b.writeFile(small))
}

func TestStatusAndExplainQueryHosts(t *testing.T) {
	b := newHarness(t).applyExamples()
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/state" {
			fmt.Fprint(w, `{"host":"kl-1","config_version":2}`)
			return
		}
		fmt.Fprint(w, `[{"stage":"gateway","host":"kl-1","target":"katalog-1","outcome":"ran","took_us":2500},{"stage":"ingress","host":"kl-1","outcome":"ran"}]`)
	}))
	defer router.Close()
	placer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"host":"kl-1","config_version":1}`)
	}))
	defer placer.Close()
	text, err := os.ReadFile(examples + "hosts/kl-1.toml")
	assert.NilError(t, err)
	settings := strings.NewReplacer("127.0.0.1:7113", router.Listener.Addr().String(), "127.0.0.1:7115", placer.Listener.Addr().String()).Replace(string(text))
	hosts := b.writeFile(settings)

	code, out, errOut := b.run("config", "status", "--json", "--hosts", hosts)
	assert.Equal(t, code, ExitRefused)
	assert.Assert(t, strings.Contains(errOut, "1 of 2 processes do not have configuration 2 in force"), errOut)
	var rows []statusRow
	assert.NilError(t, json.Unmarshal([]byte(out), &rows))
	assert.Equal(t, rows[0].Behind, uint64(0))
	assert.Equal(t, rows[1].Behind, uint64(1))
	assert.Equal(t, rows[1].Role, "placer")

	out = b.mustRun("explain", "r-1", "--hosts", hosts)
	assert.Assert(t, strings.Index(out, "ingress") < strings.Index(out, "gateway"), out)
	assert.Assert(t, strings.Contains(out, "2.500ms"), out)
	router.Close()
	b.mustFail(ExitRefused, "has a record of request r-1", "explain", "r-1", "--hosts", hosts)
	b.mustFail(ExitBadInput, "no hosts to query", "config", "status")
}

func TestEveryCommandHasHelp(t *testing.T) {
	parser := flags.NewNamedParser("mangopostctl", flags.None)
	addCommands(parser)
	var visit func(c *flags.Command)
	visit = func(c *flags.Command) {
		for _, sub := range c.Commands() {
			visit(sub)
		}
		if len(c.Commands()) == 0 {
			assert.Assert(t, strings.Contains(c.LongDescription, "Examples:\nmangopostctl "), c.Name)
			assert.Assert(t, strings.Contains(c.LongDescription, "Exit codes:"), c.Name)
		}
	}
	for _, c := range parser.Commands() {
		visit(c)
	}
	code, out, _ := newHarness(t).run("stop", "announce", "--help")
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "Exit codes:"))
}
