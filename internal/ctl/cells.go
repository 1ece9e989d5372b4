package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

func (a *App) readRecords(ctx context.Context) ([]membership.Record, error) {
	return list[membership.Record](ctx, a, platform.CellPrefix)
}

type hostList struct{ leafCommand }

// hostRow is a host of a cell's record, as listed.
type hostRow struct {
	membership.Host
	Cell       string `json:"cell"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

func (c *hostList) run(ctx context.Context, a *App) error {
	records, err := a.readRecords(ctx)
	if err != nil {
		return err
	}
	rows := []hostRow{}
	t := table{header: []string{"HOST", "CELL", "DATA CENTRE", "REGION", "PLACER", "ROUTER", "VOTER RUN"}}
	for _, r := range records {
		for _, h := range r.Hosts {
			rows = append(rows, hostRow{h, r.Cell, r.DataCentre, r.Region})
			t.add(h.Name, r.Cell, r.DataCentre, r.Region, h.PlacerAddr, orDash(h.RouterAddr), h.PlacerRun)
		}
	}
	t.items = rows
	return a.show(t)
}

type cellList struct{ leafCommand }

func (c *cellList) run(ctx context.Context, a *App) error {
	records, err := a.readRecords(ctx)
	if err != nil {
		return err
	}
	t := table{header: []string{"CELL", "DATA CENTRE", "RECORD", "SETTLED", "VOTERS", "WAITS FOR", "TARGETS"}, items: records}
	for _, r := range records {
		voters := hostNames(r.Hosts)
		if r.StoreVotes {
			voters += ", the store"
		}
		t.add(r.Cell, r.DataCentre, r.Number, r.Settled, voters, orDash(awaitedVoters(r)), len(r.Gateways))
	}
	return a.show(t)
}

// awaitedVoters returns the names of the old voters whose promises a change of
// voters may still need.
func awaitedVoters(r membership.Record) string {
	if r.Settled {
		return ""
	}
	awaited := slices.Clone(r.Old)
	return hostNames(slices.DeleteFunc(awaited, func(h membership.Host) bool { return containsHost(r.Gone, h.Name) }))
}

func hostNames(hosts []membership.Host) string {
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	return strings.Join(names, ", ")
}

type cellWriteOff struct {
	leafCommand
	Confirm bool `long:"hosts-are-gone" required:"true" description:"I have made sure that these hosts' processes have ended"`
	Args    struct {
		Cell  string   `positional-arg-name:"CELL"`
		Hosts []string `positional-arg-name:"HOST" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

func (c *cellWriteOff) run(ctx context.Context, a *App) error {
	stamp := a.newStamp()
	u := update[membership.Record]{
		name: platform.CellPrefix + c.Args.Cell,
		change: func(now object[membership.Record]) (membership.Record, error) {
			if now.Version == 0 {
				return now.Value, errors.Wrapf(errNotFound, "cell %s", c.Args.Cell)
			}
			return membership.WriteOff(now.Value, c.Args.Hosts, stamp)
		},
		isApplied: func(r membership.Record) bool { return r.Stamp == stamp || isWrittenOff(r, c.Args.Hosts) },
	}
	r, err := u.run(ctx, a)
	if err != nil {
		return err
	}
	return a.showResult(result{
		Done:    fmt.Sprintf("record %d of cell %s lists %s as permanently lost", r.Number, r.Cell, strings.Join(c.Args.Hosts, ", ")),
		Version: r.Number,
	})
}

// isWrittenOff reports whether the cell no longer waits for a promise of any of the
// hosts. This is also the case after another operator's write-off.
func isWrittenOff(r membership.Record, hosts []string) bool {
	return !slices.ContainsFunc(hosts, func(name string) bool {
		awaited := containsHost(r.Hosts, name) || containsHost(r.Old, name) && !containsHost(r.Gone, name)
		return awaited
	})
}

func containsHost(hosts []membership.Host, name string) bool {
	return slices.ContainsFunc(hosts, func(h membership.Host) bool { return h.Name == name })
}

type targetList struct {
	leafCommand
	Service    string `long:"service" value-name:"NAME" description:"only targets of this service"`
	DataCentre string `long:"data-centre" value-name:"NAME" description:"only targets of this data centre"`
}

// targetRow is a target with its gateway, as listed.
type targetRow struct {
	platform.TargetHost
	Cell         string `json:"cell,omitempty"`
	Gateway      string `json:"gateway,omitempty"` // host of the agreed gateway
	GatewayEpoch uint64 `json:"gateway_epoch,omitempty"`
	Successors   string `json:"successors,omitempty"` // names of the successors' hosts, in order
	Listed       bool   `json:"listed"`               // the host list has the target
}

func (c *targetList) run(ctx context.Context, a *App) error {
	hosts, err := a.Store.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "read the host list")
	}
	records, err := a.readRecords(ctx)
	if err != nil {
		return err
	}
	rows := targetRows(hosts, records)
	rows = slices.DeleteFunc(rows, func(r targetRow) bool {
		return c.Service != "" && r.Service != c.Service || c.DataCentre != "" && r.DataCentre != c.DataCentre
	})
	t := table{header: []string{"TARGET", "SERVICE", "DATA CENTRE", "ADDRESS", "STATE", "GATEWAY", "EPOCH", "SUCCESSORS"}, items: rows}
	for _, r := range rows {
		t.add(r.Name, r.Service, r.DataCentre, r.Addr, r.State, orDash(r.Gateway), r.GatewayEpoch, orDash(r.Successors))
	}
	return a.show(t)
}

// targetRows joins the host list with the cells' gateways. Targets that have a
// gateway but have left the host list come last.
func targetRows(hosts []platform.TargetHost, records []membership.Record) []targetRow {
	rows := make([]targetRow, len(hosts))
	at := make(map[string]int)
	for i, h := range hosts {
		rows[i] = targetRow{TargetHost: h, Listed: true}
		at[h.Name] = i
	}
	for _, r := range records {
		for _, g := range r.Gateways {
			i, listed := at[g.Target]
			if !listed {
				i = len(rows)
				rows = append(rows, targetRow{TargetHost: platform.TargetHost{
					Name: g.Target, Service: g.Service, DataCentre: r.DataCentre, Addr: g.Addr, State: "not listed",
				}})
			}
			fillGateway(&rows[i], r.Cell, g)
		}
	}
	return rows
}

func fillGateway(row *targetRow, cell string, g membership.Gateway) {
	row.Cell = cell
	row.GatewayEpoch = uint64(g.First)
	var successors []string
	for i, c := range g.Candidates {
		if i == 0 {
			row.Gateway = c.Host
			continue
		}
		successors = append(successors, c.Host)
	}
	row.Successors = strings.Join(successors, ", ")
}

type ownerShow struct {
	leafCommand
	Service string `long:"service" required:"true" value-name:"NAME" description:"the key's service"`
	Args    struct {
		Key string `positional-arg-name:"KEY"`
	} `positional-args:"yes" required:"yes"`
}

// ownerRow describes the owner of a key.
type ownerRow struct {
	Service      string                `json:"service"`
	Key          string                `json:"key"`
	Shard        uint32                `json:"shard"`
	Owner        ownership.Assignment  `json:"owner"`
	Since        string                `json:"since"`
	Reason       string                `json:"reason"`
	Pinned       bool                  `json:"pinned"`
	Move         *ownership.Move       `json:"move,omitempty"`
	Next         *ownership.Assignment `json:"next,omitempty"`
	Gateway      string                `json:"gateway,omitempty"`
	GatewayEpoch uint64                `json:"gateway_epoch,omitempty"`
}

func (c *ownerShow) run(ctx context.Context, a *App) error {
	got, err := read[ownership.Page](ctx, a, platform.OwnersPrefix+c.Service)
	if err != nil {
		return err
	}
	if got.Version == 0 {
		return errors.Wrapf(errNotFound, "shard map of service %s", c.Service)
	}
	n, shard := got.Value.Lookup(c.Args.Key)
	row := ownerRow{
		Service: c.Service, Key: c.Args.Key, Shard: n, Owner: shard.Assignment,
		Since: formatUnixMS(shard.SinceMS), Reason: shard.Reason, Pinned: shard.PinnedTo == c.Args.Key,
		Move: shard.Move, Next: shard.Next,
	}
	records, err := a.readRecords(ctx)
	if err != nil {
		return err
	}
	for _, t := range targetRows(nil, records) {
		if t.Name == shard.Target {
			row.Gateway, row.GatewayEpoch = t.Gateway, t.GatewayEpoch
		}
	}
	if a.JSON {
		return a.showJSON(row)
	}
	a.describeOwner(row)
	return nil
}

func (a *App) describeOwner(r ownerRow) {
	a.printf("key      %s of %s, shard %d%s", r.Key, r.Service, r.Shard, pinnedSuffix(r.Pinned))
	a.printf("owner    %s in cell %s at epoch %d", r.Owner.Target, r.Owner.Cell, r.Owner.Epoch)
	a.printf("since    %s: %s", r.Since, orDash(r.Reason))
	if r.Move != nil {
		a.printf("moving   from %s at epoch %d (%s)", r.Move.From.Target, r.Move.From.Epoch, r.Move.Kind)
	}
	if r.Next != nil {
		a.printf("next     %s in cell %s at epoch %d, if the owner is lost while the store is down", r.Next.Target, r.Next.Cell, r.Next.Epoch)
	}
	a.printf("gateway  %s at epoch %d", orDash(r.Gateway), r.GatewayEpoch)
}

func pinnedSuffix(isPinned bool) string {
	if isPinned {
		return ", pinned"
	}
	return ""
}
