package membership

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// Errors of changes that do not apply to a record.
var (
	// ErrUnsettled means that a majority of the voters has not yet taken over after
	// the last change of voters. Voters change one at a time.
	ErrUnsettled = errors.New("the last change of voters is not settled")
	// ErrOldRun means that the record already has the same or a later run of the
	// host.
	ErrOldRun = errors.New("the record knows a run that is not older")
	// ErrNoHost means that the record has no host with this name.
	ErrNoHost = errors.New("no such host")
	// ErrNoCandidate means that a target needs at least one host for its gateway.
	ErrNoCandidate = errors.New("no candidate for the gateway")
	// ErrNoGateway means that the target to change or remove has no gateway in the
	// record, or the target to add already has one.
	ErrNoGateway = errors.New("target is not listed or listed already")
)

// NewRecord returns the first record of a cell, with one host. It must be written
// on the condition that the cell has no record yet.
func NewRecord(cell, dataCentre, region string, host Host, stamp ownership.Stamp) Record {
	return Record{
		Cell:       cell,
		DataCentre: dataCentre,
		Region:     region,
		Number:     1,
		Hosts:      []Host{host},
		Settled:    true,
		Stamp:      stamp,
	}
}

// Join makes a host that has started a voter, in place of its earlier run if there
// is one. It fails with ErrUnsettled until the last change of voters is settled.
func Join(r Record, host Host, stamp ownership.Stamp) (Record, error) {
	if !r.Settled {
		return Record{}, errors.Wrapf(ErrUnsettled, "record %d", r.Number)
	}
	return ForceJoin(r, host, stamp)
}

// ForceJoin is like Join, but also changes an unsettled record, for the case that
// every voter that could settle it was restarted. The stopped epochs are then not
// handed over, so all epochs must be renewed. Call it only after the record has
// been unsettled for several seconds.
func ForceJoin(r Record, host Host, stamp ownership.Stamp) (Record, error) {
	i := r.hostIndex(host.Name)
	if i >= 0 && r.Hosts[i].PlacerRun >= host.PlacerRun {
		return Record{}, errors.Wrapf(ErrOldRun, "host %s", host.Name)
	}
	r = r.withNextNumber(stamp)
	if i >= 0 {
		r.Hosts[i] = host
	} else {
		r.Hosts = append(r.Hosts, host)
	}
	return r, nil
}

// Leave removes a host that shuts down as planned.
func Leave(r Record, name string, stamp ownership.Stamp) (Record, error) {
	i := r.hostIndex(name)
	if i < 0 {
		return Record{}, errors.Wrapf(ErrNoHost, "host %s", name)
	}
	if !r.Settled {
		return Record{}, errors.Wrapf(ErrUnsettled, "record %d", r.Number)
	}
	r = r.withNextNumber(stamp)
	r.Hosts = slices.Delete(r.Hosts, i, i+1)
	return r, nil
}

// withNextNumber returns an unsettled copy of the record with the next number,
// whose voters the caller may change.
func (r Record) withNextNumber(stamp ownership.Stamp) Record {
	if r.Settled {
		r.Older = nil
		r.Gone = nil
	} else {
		r.Older = append(slices.Clone(r.Older), r.Old)
	}
	r.Old = r.Hosts
	r.Hosts = slices.Clone(r.Hosts)
	r.Number++
	r.Settled = false
	r.Stamp = stamp
	return r
}

// Settle records that a majority of the voters of record number has taken over.
func Settle(r Record, number uint64, stamp ownership.Stamp) (Record, error) {
	if r.Number != number {
		return Record{}, errors.Wrapf(ErrUnsettled, "record %d is not %d", r.Number, number)
	}
	r.Settled = true
	r.Older = nil
	r.Stamp = stamp
	return r, nil
}

// WriteOff records an operator's statement that hosts are permanently lost: they
// count as having left the old record and need not hand over their promises. A
// settled record gets a successor without these hosts; from an unsettled one they
// are removed by the next change. If a host that was written off still runs,
// the guarantee of a single owner can be violated.
func WriteOff(r Record, names []string, stamp ownership.Stamp) (Record, error) {
	for _, name := range names {
		if r.hostIndex(name) < 0 && len(r.earlierRuns(name)) == 0 {
			return Record{}, errors.Wrapf(ErrNoHost, "host %s", name)
		}
	}
	if r.Settled {
		r = r.withNextNumber(stamp)
		r.Hosts = slices.DeleteFunc(r.Hosts, func(h Host) bool { return slices.Contains(names, h.Name) })
	}
	r.Gone = slices.Clone(r.Gone)
	for _, name := range names {
		for _, h := range r.earlierRuns(name) {
			if !slices.Contains(r.Gone, h) {
				r.Gone = append(r.Gone, h)
			}
		}
	}
	r.Stamp = stamp
	return r, nil
}

// SetRouter sets the current run and the address of a host's router.
func SetRouter(r Record, name string, run uint64, addr string, stamp ownership.Stamp) (Record, error) {
	i := r.hostIndex(name)
	if i < 0 {
		return Record{}, errors.Wrapf(ErrNoHost, "host %s", name)
	}
	r.Hosts = slices.Clone(r.Hosts)
	r.Hosts[i].RouterRun = run
	r.Hosts[i].RouterAddr = addr
	r.Stamp = stamp
	return r, nil
}

// AddGateway adds a target with the ordered candidates for its gateway.
func AddGateway(r Record, gateway Gateway, stamp ownership.Stamp) (Record, error) {
	if r.gatewayIndex(gateway.Target) >= 0 {
		return Record{}, errors.Wrapf(ErrNoGateway, "target %s", gateway.Target)
	}
	if len(gateway.Candidates) == 0 {
		return Record{}, errors.Wrapf(ErrNoCandidate, "target %s", gateway.Target)
	}
	gateway.First = r.Floor + 1
	r.Gateways = append(slices.Clone(r.Gateways), gateway)
	r.Stamp = stamp
	return r, nil
}

// RenewGateway replaces the candidates of a target. Their epochs are above all
// earlier ones.
func RenewGateway(r Record, target string, candidates []lease.Incarnation, stamp ownership.Stamp) (Record, error) {
	i := r.gatewayIndex(target)
	if i < 0 {
		return Record{}, errors.Wrapf(ErrNoGateway, "target %s", target)
	}
	if len(candidates) == 0 {
		return Record{}, errors.Wrapf(ErrNoCandidate, "target %s", target)
	}
	r.Gateways = slices.Clone(r.Gateways)
	r.Gateways[i].First = r.Gateways[i].LastEpoch() + 1
	r.Gateways[i].Candidates = slices.Clone(candidates)
	r.Stamp = stamp
	return r, nil
}

// RemoveGateway removes a target from the record.
func RemoveGateway(r Record, target string, stamp ownership.Stamp) (Record, error) {
	i := r.gatewayIndex(target)
	if i < 0 {
		return Record{}, errors.Wrapf(ErrNoGateway, "target %s", target)
	}
	r.Floor = max(r.Floor, r.Gateways[i].LastEpoch())
	r.Gateways = slices.Delete(slices.Clone(r.Gateways), i, i+1)
	r.Stamp = stamp
	return r, nil
}

// LastEpoch returns the highest epoch that the record assigns for the target.
func (g Gateway) LastEpoch() lease.GatewayEpoch {
	if len(g.Candidates) == 0 {
		return g.First
	}
	return g.First + lease.GatewayEpoch(len(g.Candidates)) - 1
}

// earlierRuns returns the runs of a host that are in Old or Older.
func (r Record) earlierRuns(name string) []Host {
	var runs []Host
	for _, hosts := range append([][]Host{r.Old}, r.Older...) {
		if i := hostIndex(hosts, name); i >= 0 {
			runs = append(runs, hosts[i])
		}
	}
	return runs
}

func (r Record) hostIndex(name string) int { return hostIndex(r.Hosts, name) }

func hostIndex(hosts []Host, name string) int {
	return slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name })
}

func (r Record) gatewayIndex(target string) int {
	return slices.IndexFunc(r.Gateways, func(g Gateway) bool { return g.Target == target })
}
