package replay

import (
	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

func init() {
	register("record.new", func() step { return new(recordNew) })
	register("record.join", func() step { return new(recordJoin) })
	register("record.settle", func() step { return new(recordSettle) })
	register("record.gateway", func() step { return new(recordGateway) })
	register("page.new", func() step { return new(pageNew) })
	register("page.move", func() step { return new(pageMove) })
	register("page.complete", func() step { return new(pageComplete) })
	register("page.next", func() step { return new(pageNext) })
	register("update.confirm", func() step { return new(updateConfirm) })
}

// cellName is the name of the only cell in a trace.
const cellName = "cell"

// storeObjects holds the objects in the store.
type storeObjects struct {
	record membership.Record
	pages  map[string]ownership.Page
}

// refusalResult is the outcome of an event that may be refused.
type refusalResult struct {
	Refused string `json:"refused,omitempty"`
}

func newRefusalResult(err error) refusalResult {
	if err == nil {
		return refusalResult{}
	}
	return refusalResult{Refused: err.Error()}
}

// newHost returns the membership entry for a run of a host. Run is the placer's run;
// the router's run is one higher.
func newHost(name string, run uint64) membership.Host {
	return membership.Host{Name: name, PlacerRun: run, RouterRun: run + 1, PlacerAddr: name + ":4", RouterAddr: name + ":2"}
}

type recordNew struct {
	Host string `json:"host"`
	Run  uint64 `json:"run"`
}

func (s *recordNew) apply(rs *replayState, _ traceTime) (any, error) {
	rs.objects.record = membership.NewRecord(cellName, "dc", "region", newHost(s.Host, s.Run), ownership.Stamp{})
	return nil, nil
}

type recordJoin struct {
	Host string `json:"host"`
	Run  uint64 `json:"run"`
}

func (s *recordJoin) apply(rs *replayState, _ traceTime) (any, error) {
	next, err := membership.Join(rs.objects.record, newHost(s.Host, s.Run), ownership.Stamp{})
	if err == nil {
		rs.objects.record = next
	}
	return newRefusalResult(err), nil
}

// recordSettle settles the membership record, as after a majority of voters has
// answered under it.
type recordSettle struct{}

func (s *recordSettle) apply(rs *replayState, _ traceTime) (any, error) {
	next, err := membership.Settle(rs.objects.record, rs.objects.record.Number, ownership.Stamp{})
	if err == nil {
		rs.objects.record = next
	}
	return newRefusalResult(err), nil
}

type recordGateway struct {
	Target  string   `json:"target"`
	Service string   `json:"service"`
	Hosts   []string `json:"hosts"` // the gateway followed by its successors
}

func (s *recordGateway) apply(rs *replayState, _ traceTime) (any, error) {
	var candidates []lease.Incarnation
	for _, name := range s.Hosts {
		host, known := rs.objects.findHost(name)
		if !known {
			return nil, errors.Newf("the membership record has no host %q", name)
		}
		candidates = append(candidates, host.Router())
	}
	gateway := membership.Gateway{Target: s.Target, Service: s.Service, Addr: "127.0.0.1:1", First: 1, Candidates: candidates}
	next, err := membership.AddGateway(rs.objects.record, gateway, ownership.Stamp{})
	if err == nil {
		rs.objects.record = next
	}
	return newRefusalResult(err), nil
}

func (o *storeObjects) findHost(name string) (membership.Host, bool) {
	for _, h := range o.record.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return membership.Host{}, false
}

type pageNew struct {
	Service string   `json:"service"`
	Shards  uint32   `json:"shards"`
	Targets []string `json:"targets"`
}

// maxPageShards limits the shards of a page in a trace.
const maxPageShards = 1 << 12

func (s *pageNew) apply(rs *replayState, at traceTime) (any, error) {
	if s.Shards > maxPageShards {
		return nil, errors.Newf("page has %d shards, more than %d", s.Shards, maxPageShards)
	}
	var places []ownership.Place
	for _, t := range s.Targets {
		places = append(places, newPlace(t))
	}
	page, err := ownership.NewPage(s.Service, s.Shards, places, newChange(at, "initial"))
	if err == nil {
		rs.objects.pages[s.Service] = page
	}
	return newRefusalResult(err), nil
}

func newPlace(target string) ownership.Place { return ownership.Place{Cell: cellName, Target: target} }

func newChange(at traceTime, reason string) ownership.Change {
	return ownership.Change{NowMS: at.wallClock().UnixMilli(), Reason: reason}
}

// updatePage replaces a page by the result of edit, unless edit refuses.
func (o *storeObjects) updatePage(service string, edit func(ownership.Page) (ownership.Page, error)) (any, error) {
	page, err := findByName(o.pages, "page", service)
	if err != nil {
		return nil, err
	}
	next, err := edit(page)
	if err != nil {
		return newRefusalResult(err), nil
	}
	if findings := ownership.CheckStep(page, next); len(findings) > 0 {
		return nil, errors.Newf("the change makes the page of %q invalid: %v", service, findings)
	}
	o.pages[service] = next
	return refusalResult{}, nil
}

type pageMove struct {
	Service string             `json:"service"`
	Shard   uint32             `json:"shard"`
	To      string             `json:"to"`
	Kind    ownership.MoveKind `json:"kind"`
}

func (s *pageMove) apply(rs *replayState, at traceTime) (any, error) {
	return rs.objects.updatePage(s.Service, func(p ownership.Page) (ownership.Page, error) {
		return ownership.BeginMove(p, s.Shard, newPlace(s.To), s.Kind, nil, newChange(at, string(s.Kind)))
	})
}

type pageComplete struct {
	Service string          `json:"service"`
	Shard   uint32          `json:"shard"`
	Epoch   ownership.Epoch `json:"epoch"`
}

func (s *pageComplete) apply(rs *replayState, at traceTime) (any, error) {
	return rs.objects.updatePage(s.Service, func(p ownership.Page) (ownership.Page, error) {
		return ownership.CompleteMove(p, s.Shard, s.Epoch, newChange(at, "complete"))
	})
}

type pageNext struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Next    string `json:"next"`
}

func (s *pageNext) apply(rs *replayState, at traceTime) (any, error) {
	return rs.objects.updatePage(s.Service, func(p ownership.Page) (ownership.Page, error) {
		return ownership.SetNext(p, s.Shard, newPlace(s.Next), newChange(at, "successor"))
	})
}

// updateConfirm checks by a read whether an update whose answer was lost was
// applied.
type updateConfirm struct {
	Own      ownership.Stamp `json:"own"`
	Expected uint64          `json:"expected"`
	Read     ownership.Stamp `json:"read"`
	Version  uint64          `json:"version"`
}

func (s *updateConfirm) apply(*replayState, traceTime) (any, error) {
	return ownership.Confirm(s.Own, s.Expected, s.Read, s.Version), nil
}
