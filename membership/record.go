// Package membership implements the record of a cell: its voters and the gateways
// of its targets. It does no I/O; a record takes effect only when a conditional
// update of its object in the platform's store succeeds.
package membership

import (
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// Host is a host of a cell, with a placer process that votes and a router process
// that may be a gateway.
type Host struct {
	Name       string `json:"name"`
	PlacerRun  uint64 `json:"placer_run"`            // incarnation of the voter
	RouterRun  uint64 `json:"router_run,omitempty"`  // incarnation of the router, 0 if unknown
	PlacerAddr string `json:"placer_addr"`           // IP and port for peers
	RouterAddr string `json:"router_addr,omitempty"` // IP and port for peers
}

// Voter returns the incarnation of the host's placer process, which votes.
func (h Host) Voter() lease.Incarnation {
	return lease.Incarnation{Host: h.Name, Run: h.PlacerRun}
}

// Router returns the incarnation of the host's router process.
func (h Host) Router() lease.Incarnation {
	return lease.Incarnation{Host: h.Name, Run: h.RouterRun}
}

// Gateway lists the routers that may be the gateway of a target. Candidates[i] has
// epoch First+i; a later candidate may take over without the store after a
// majority of the voters stopped every earlier epoch.
type Gateway struct {
	Target     string              `json:"target"`
	Service    string              `json:"service"`
	Addr       string              `json:"addr"` // the target's IP and port
	First      lease.GatewayEpoch  `json:"first"`
	Candidates []lease.Incarnation `json:"candidates"`
	Draining   bool                `json:"draining,omitempty"` // the target gets no new requests
}

// Record is the store object of one cell. Voters change one at a time. Old holds
// the voters of the previous record, from which each new voter collects the
// promises that they made; it is kept until the next change of voters. Settled
// says that a majority of Hosts has collected these promises. Older holds the
// voters of every record that was superseded before it was settled. Gone holds
// earlier voters that an operator declared permanently lost.
type Record struct {
	Cell       string          `json:"cell"`
	DataCentre string          `json:"data_centre"`
	Region     string          `json:"region"`
	Number     uint64          `json:"number"` // rises with each change of voters
	Hosts      []Host          `json:"hosts"`
	Old        []Host          `json:"old,omitempty"`
	Older      [][]Host        `json:"older,omitempty"`
	Settled    bool            `json:"settled,omitempty"`
	Gone       []Host          `json:"gone,omitempty"`
	StoreVotes bool            `json:"store_votes,omitempty"`
	Gateways   []Gateway       `json:"gateways"`
	Stamp      ownership.Stamp `json:"stamp"`

	// Floor is the highest gateway epoch of targets that were removed. Added
	// targets start above it.
	Floor lease.GatewayEpoch `json:"floor,omitempty"`
}
