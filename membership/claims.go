package membership

import (
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// Electorate returns the electorate that the record defines.
func (r Record) Electorate() lease.Electorate {
	var older [][]lease.Incarnation
	for _, hosts := range r.Older {
		older = append(older, incarnationsOf(hosts))
	}
	return lease.Electorate{
		Cell:       r.Cell,
		Record:     r.Number,
		Voters:     incarnationsOf(r.Hosts),
		Old:        incarnationsOf(r.Old),
		Older:      older,
		Gone:       incarnationsOf(r.Gone),
		StoreVotes: r.StoreVotes,
	}
}

func incarnationsOf(hosts []Host) []lease.Incarnation {
	var list []lease.Incarnation
	for _, h := range hosts {
		list = append(list, h.Voter())
	}
	return list
}

// Targets returns the names of the record's targets.
func (r Record) Targets() []string {
	names := make([]string, 0, len(r.Gateways))
	for _, g := range r.Gateways {
		names = append(names, g.Target)
	}
	return names
}

// Claims returns the record's gateways as the claims that a holder expects.
func (r Record) Claims() []lease.TargetClaim {
	claims := make([]lease.TargetClaim, 0, len(r.Gateways))
	for _, g := range r.Gateways {
		claims = append(claims, lease.TargetClaim{
			Target:     g.Target,
			Service:    g.Service,
			First:      g.First,
			Candidates: g.Candidates,
		})
	}
	return claims
}

// FloorStops returns stops for every epoch that the record and the pages assign,
// for a voter that lost its list of stopped epochs.
func FloorStops(r Record, pages []ownership.Page) lease.Stops {
	var stops lease.Stops
	for _, g := range r.Gateways {
		stops.Gateways = append(stops.Gateways, lease.GatewayStop{Target: g.Target, Epoch: g.LastEpoch()})
	}
	for _, page := range pages {
		for n := range uint32(len(page.Shards) + len(page.Pins)) {
			s, _ := page.Shard(n)
			ref := ownership.ShardRef{Service: page.Service, Shard: n}
			stops.Shards = append(stops.Shards, lease.ShardStop{Shard: ref, Epoch: s.HighestEpoch()})
		}
	}
	return stops
}
