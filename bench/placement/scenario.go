package main

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/placement"
)

// site describes a keyed service of one of the users.
type site struct {
	name              string
	service           string
	cells             []string // the cell of each target
	requestsPerSecond float64  // outside of swings
	slots             int
}

// shardCount is the number of shards of each site's service.
const shardCount = 256

// usualUtilisation is the share of all slots that requestsPerSecond keeps busy.
const usualUtilisation = 0.3

func librarySite() site {
	return site{
		name: "library", service: "katalog", requestsPerSecond: 600, slots: 6,
		cells: assignCells([]string{"kl-utama", "penang", "kuching", "kota-kinabalu"}, 15),
	}
}

func magnoliaSite() site {
	return site{
		name: "magnolia", service: "catalog", requestsPerSecond: 400, slots: 3,
		cells: assignCells([]string{"gulf-a", "gulf-b", "pied-a", "pied-b"}, 20),
	}
}

func assignCells(names []string, targets int) []string {
	assigned := make([]string, targets)
	for i := range assigned {
		assigned[i] = names[i%len(names)]
	}
	return assigned
}

func (s site) targets() []placement.Target {
	all := make([]placement.Target, len(s.cells))
	for i, cell := range s.cells {
		all[i] = placement.Target{
			Name: fmt.Sprintf("%s-%02d", s.service, i+1), Cell: cell,
			State: placement.Live, Capacity: s.slots,
		}
	}
	return all
}

// capacity returns the requests per second that one target can run.
func (s site) capacity() float64 {
	return s.requestsPerSecond / usualUtilisation / float64(len(s.cells))
}

// stateChange sets a target's state. A target with an empty state is not in the list
// of targets.
type stateChange struct {
	second int // of the scenario, from 0
	target int
	state  placement.TargetState
}

// scenario is a load over time with changes of the targets' states.
type scenario struct {
	name                 string
	title                string
	site                 site
	lengthSeconds        int
	rateScale            float64 // factor of the site's rate
	zipfSkew             float64 // exponent of the key distribution, above 1
	hotKeys              int     // number of hot keys, drawn at random
	hotKeysShare         float64 // share of the requests for the hot keys
	hotMoveSeconds       int     // until a hot key is replaced by another; 0: never
	swingFactor          float64 // factor of the rate during a swing
	swingIntervalSeconds int     // from the start of a swing to that of the next; 0: no swings
	swingSeconds         int
	stateChanges         []stateChange
}

// keyCount is the number of distinct keys that requests use.
const keyCount = 20_000

// scenarioSeconds is the length of a scenario.
const scenarioSeconds = int(10 * time.Minute / time.Second)

func scenarios() []scenario {
	var all []scenario
	for _, s := range []site{librarySite(), magnoliaSite()} {
		all = append(all, siteScenarios(s)...)
	}
	return all
}

func siteScenarios(s site) []scenario {
	base := scenario{site: s, lengthSeconds: scenarioSeconds, rateScale: 1, zipfSkew: 1.1}
	variant := func(name, title string, change func(*scenario)) scenario {
		one := base
		one.name, one.title = s.name+"-"+name, title
		change(&one)
		return one
	}
	stableHotKeys := func(c *scenario) { c.hotKeys, c.hotKeysShare = 4, 0.2 }
	movingHotKeys := func(c *scenario) { c.hotKeys, c.hotKeysShare, c.hotMoveSeconds = 8, 0.35, 150 }
	loadSwings := func(c *scenario) { c.swingFactor, c.swingIntervalSeconds, c.swingSeconds = 2.5, 20, 3 }
	return []scenario{
		variant("calm", "skewed keys without additional hot keys", func(*scenario) {}),
		variant("quiet", "skewed keys at a sixth of the rate", func(c *scenario) { c.rateScale = 1.0 / 6 }),
		variant("stay", "4 constant hot keys with a fifth of the load", stableHotKeys),
		variant("move", "8 hot keys with 35 % of the load, each replaced after 150 s", movingHotKeys),
		variant("swing", "4 constant hot keys; 2.5 times the rate for 3 s of every 20 s", func(c *scenario) { stableHotKeys(c); loadSwings(c) }),
		variant("turns", "targets leave, are lost, return and are added", func(c *scenario) { stableHotKeys(c); c.stateChanges = targetStateChanges() }),
		variant("all", "changing hot keys, swings and changes of targets", func(c *scenario) { movingHotKeys(c); loadSwings(c); c.stateChanges = targetStateChanges() }),
	}
}

func targetStateChanges() []stateChange {
	return []stateChange{
		{0, 5, ""},
		{60, 1, placement.Leaving},
		{70, 1, ""},
		{130, 1, placement.Live},
		{200, 2, placement.Lost},
		{215, 2, placement.Live},
		{300, 5, placement.Live},
		{400, 3, placement.Stopping},
		{460, 3, placement.Live},
		{500, 0, placement.Lost},
	}
}
