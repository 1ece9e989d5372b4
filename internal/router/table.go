package router

import (
	"slices"
	"sort"

	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// target is the routing state of one target.
type target struct {
	name       string
	service    string
	addr       string
	cell       string
	dataCentre string
	region     string
	firstEpoch lease.GatewayEpoch
	candidates []lease.Incarnation
	draining   bool
}

// serviceTable is the routing state of one service.
type serviceTable struct {
	template template.Template
	page     ownership.Page
	hasPage  bool
	targets  []*target // sorted by name
}

// table is the compiled routing table: one immutable snapshot of the view.
type table struct {
	configVersion uint64
	services      map[string]*serviceTable
	targets       map[string]*target
	config        *template.View
	peers         map[string]string // router peer address by host
	regions       map[string]string // region by host
	hostCounts    map[string]int    // number of hosts by region
	records       []membership.Record
}

func compileTable(v *state.View) *table {
	t := &table{
		configVersion: v.Config.Value.Version,
		services:      make(map[string]*serviceTable),
		targets:       make(map[string]*target),
		config:        template.Compile(v.Config.Value),
		peers:         make(map[string]string),
		regions:       make(map[string]string),
		hostCounts:    make(map[string]int),
	}
	for _, tmpl := range v.Config.Value.Templates {
		t.services[tmpl.Service] = &serviceTable{template: tmpl}
	}
	for service, page := range v.Pages {
		if s := t.services[service]; s != nil {
			s.page = page.Value
			s.hasPage = len(page.Value.Shards) > 0
		}
	}
	for _, record := range v.Records {
		t.addRecord(record.Value)
	}
	t.sortTargets()
	return t
}

func (t *table) addRecord(r membership.Record) {
	t.records = append(t.records, r)
	for _, h := range r.Hosts {
		t.peers[h.Name] = h.RouterAddr
		t.regions[h.Name] = r.Region
		t.hostCounts[r.Region]++
	}
	for _, g := range r.Gateways {
		entry := &target{
			name:       g.Target,
			service:    g.Service,
			addr:       g.Addr,
			cell:       r.Cell,
			dataCentre: r.DataCentre,
			region:     r.Region,
			firstEpoch: g.First,
			candidates: g.Candidates,
			draining:   g.Draining,
		}
		t.targets[g.Target] = entry
		if s := t.services[g.Service]; s != nil {
			s.targets = append(s.targets, entry)
		}
	}
}

func (t *table) sortTargets() {
	for _, s := range t.services {
		sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].name < s.targets[j].name })
	}
	sort.Slice(t.records, func(i, j int) bool { return t.records[i].Cell < t.records[j].Cell })
}

// isCandidate reports whether a router is a candidate for the target's gateway.
func (t *target) isCandidate(run lease.Incarnation) bool {
	return slices.Contains(t.candidates, run)
}
