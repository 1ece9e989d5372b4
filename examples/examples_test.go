// Package examples_test checks that the programs accept the files of the example
// deployments.
package examples_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/settings"
	"github.com/mangopost/mangopost/template"
)

type deployment struct {
	Platform    string       `toml:"platform"`
	DataCentres []dataCentre `toml:"data_centre"`
}

type dataCentre struct {
	Name         string         `toml:"name"`
	Region       string         `toml:"region"`
	Targets      string         `toml:"targets"`
	Hosts        []host         `toml:"hosts"`
	TargetCounts map[string]int `toml:"target_counts"`
}

type host struct {
	Name            string `toml:"name"`
	Settings        string `toml:"settings"`
	Callers         string `toml:"callers"`
	RouterOperators string `toml:"router_operators"`
	PlacerOperators string `toml:"placer_operators"`
}

type targetFile struct {
	Targets []target `toml:"target"`
}

type target struct {
	Name         string `toml:"name"`
	Service      string `toml:"service"`
	DataCentre   string `toml:"data_centre"`
	Listen       string `toml:"listen"`
	Slots        int    `toml:"slots"`
	Connections  int    `toml:"connections"`
	ChecksGrants bool   `toml:"checks_grants"`
}

func readTOML(t *testing.T, path string, into any) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, toml.Unmarshal(data, into), path)
}

func loadConfig(t *testing.T, dir string) template.Config {
	t.Helper()
	req := template.Request{ID: "r1", Operator: "test"}
	var allFindings []finding.Finding
	for _, name := range []string{"templates.toml", "clients.toml"} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		assert.NilError(t, err)
		templates, clients, findings := template.Parse(name, data)
		allFindings = append(allFindings, findings...)
		req.PutTemplates = append(req.PutTemplates, templates...)
		req.PutClients = append(req.PutClients, clients...)
	}
	assert.Equal(t, len(allFindings), 0, "%v", allFindings)
	cfg, findings, err := template.Apply(template.Config{}, req, time.Unix(0, 0))
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 0, "%v", findings)
	return cfg
}

func TestExampleDeploymentsAreValid(t *testing.T) {
	targetCounts := map[string]map[string]int{ // number of targets by service
		"library":  {"katalog": 15, "bayaran": 8, "pinjaman": 8, "hantaran": 8},
		"magnolia": {"catalog": 20, "proofline": 10, "checkout": 8, "refunds": 8},
	}
	for dir, want := range targetCounts {
		t.Run(dir, func(t *testing.T) {
			cfg := loadConfig(t, dir)
			var d deployment
			readTOML(t, filepath.Join(dir, "places.toml"), &d)
			used := map[string]bool{d.Platform: true}
			total := map[string]int{}
			hosts := 0
			for _, dc := range d.DataCentres {
				hosts += len(dc.Hosts)
				checkHosts(t, dir, d, dc, used)
				for service, n := range checkTargets(t, dir, dc, cfg, used) {
					total[service] += n
				}
			}
			assert.DeepEqual(t, total, want)
			assert.Assert(t, hosts >= 9 && hosts <= 12)
		})
	}
}

func checkHosts(t *testing.T, dir string, d deployment, dc dataCentre, used map[string]bool) {
	t.Helper()
	for _, h := range dc.Hosts {
		s, findings := settings.Load(filepath.Join(dir, h.Settings))
		assert.Equal(t, len(findings), 0, "%v", findings)
		assert.Equal(t, s.Identity.Name, h.Name)
		assert.Equal(t, s.Identity.DataCentre, dc.Name)
		assert.Equal(t, s.Identity.Region, dc.Region)
		assert.Equal(t, s.Platform.Addr, d.Platform)
		assert.Equal(t, s.Callers[0].Listen, h.Callers)
		assert.Equal(t, s.Router.Operators, h.RouterOperators)
		assert.Equal(t, s.Placer.Operators, h.PlacerOperators)
		for _, addr := range []string{h.Callers, s.Router.Peers, h.RouterOperators, s.Placer.Peers, h.PlacerOperators} {
			assert.Assert(t, !used[addr], "address %s of %s is used twice", addr, h.Name)
			used[addr] = true
		}
	}
}

func checkTargets(t *testing.T, dir string, dc dataCentre, cfg template.Config, used map[string]bool) map[string]int {
	t.Helper()
	var file targetFile
	readTOML(t, filepath.Join(dir, dc.Targets), &file)
	counts := map[string]int{}
	view := template.Compile(cfg)
	for _, target := range file.Targets {
		assert.Assert(t, !used[target.Listen], "address %s of %s is used twice", target.Listen, target.Name)
		assert.Assert(t, !used[target.Name], "target name %s is used twice", target.Name)
		used[target.Listen], used[target.Name] = true, true
		assert.Equal(t, target.DataCentre, dc.Name)
		tpl, ok := view.Template(target.Service)
		assert.Assert(t, ok, target.Service)
		assert.Equal(t, target.Slots, tpl.Slots)
		assert.Equal(t, target.Connections, tpl.Connections)
		assert.Equal(t, target.ChecksGrants, tpl.ChecksGrants)
		counts[target.Service]++
	}
	assert.DeepEqual(t, counts, dc.TargetCounts)
	return counts
}
