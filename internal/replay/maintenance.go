package replay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/maintenance"
)

func init() {
	register("stop.announce", func() step { return new(stopAnnounce) })
	register("stop.event", func() step { return new(stopEvent) })
	register("stop.effects", func() step { return new(stopEffects) })
}

// stopResult is the outcome of an event of a planned stop.
type stopResult struct {
	State    maintenance.State `json:"state,omitempty"`
	Uncalled []string          `json:"uncalled,omitempty"`
	Refused  bool              `json:"refused,omitempty"`
	Findings int               `json:"findings,omitempty"`
}

func newStopResult(s maintenance.Stop) stopResult {
	out := stopResult{State: s.State}
	for _, c := range s.UncalledClients() {
		out.Uncalled = append(out.Uncalled, c.Client)
	}
	return out
}

// stopAnnounce announces a stop based on the newest configuration.
type stopAnnounce struct {
	Stop    string               `json:"stop"`
	Scope   maintenance.Scope    `json:"scope"`
	StartMS int64                `json:"start_ms"` // since the start of the trace
	Targets []maintenance.Target `json:"targets"`  // the host list
}

func (s *stopAnnounce) apply(rs *replayState, at traceTime) (any, error) {
	rs.hostListTargets = s.Targets
	snapshot, err := rs.snapshot()
	if err != nil {
		return nil, err
	}
	var others []maintenance.Stop
	for _, other := range rs.stops {
		others = append(others, other)
	}
	stop, findings := maintenance.Announce(maintenance.Announcement{
		Meta:   maintenance.Meta{ID: s.Stop, By: "trace"},
		StopID: s.Stop,
		Scope:  s.Scope,
		Start:  traceEpoch.Add(time.Duration(s.StartMS) * time.Millisecond),
	}, snapshot, others, at.wallClock())
	if len(findings) > 0 {
		return stopResult{Findings: len(findings)}, nil
	}
	rs.stops[s.Stop] = stop
	return newStopResult(stop), nil
}

func (rs *replayState) snapshot() (maintenance.Snapshot, error) {
	if len(rs.configs) == 0 {
		return maintenance.Snapshot{}, errors.New("there is no configuration yet")
	}
	return maintenance.Snapshot{Config: rs.configs[len(rs.configs)-1].config, Targets: rs.hostListTargets}, nil
}

// stopEvent is one event of a stop. Only the events "called" and "drained" have
// parameters.
type stopEvent struct {
	Stop    string   `json:"stop"`
	Event   string   `json:"event"`
	ID      string   `json:"id"`
	Client  string   `json:"client"`  // only for "called"
	Targets []string `json:"targets"` // only for "drained"
}

func (s *stopEvent) apply(rs *replayState, at traceTime) (any, error) {
	stop, err := findByName(rs.stops, "stop", s.Stop)
	if err != nil {
		return nil, err
	}
	event, err := s.event(rs, at)
	if err != nil {
		return nil, err
	}
	next, err := maintenance.Apply(stop, event, at.wallClock())
	if err != nil {
		out := newStopResult(stop)
		out.Refused = true
		return out, nil
	}
	rs.stops[s.Stop] = next
	return newStopResult(next), nil
}

func (s *stopEvent) event(rs *replayState, at traceTime) (maintenance.Event, error) {
	snapshot, err := rs.snapshot()
	if err != nil {
		return nil, err
	}
	meta := maintenance.Meta{ID: s.ID, By: "trace"}
	switch s.Event {
	case "called":
		return maintenance.Called{Meta: meta, Client: s.Client, AtMS: at.wallClock().UnixMilli()}, nil
	case "refresh":
		return maintenance.Refresh{Meta: meta, Snapshot: snapshot}, nil
	case "begin":
		return maintenance.Begin{Meta: meta, Snapshot: snapshot}, nil
	case "confirm":
		return maintenance.Confirm{Meta: meta, Snapshot: snapshot}, nil
	case "drained":
		return maintenance.Drained{Meta: meta, Targets: s.Targets}, nil
	case "cancel":
		return maintenance.Cancel{Meta: meta, Reason: "trace"}, nil
	case "finish":
		return maintenance.Finish{Meta: meta}, nil
	default:
		return nil, errors.Newf("unknown stop event %q", s.Event)
	}
}

// stopEffects lists the targets that a stop currently drains.
type stopEffects struct {
	Stop string `json:"stop"`
}

func (s *stopEffects) apply(rs *replayState, _ traceTime) (any, error) {
	stop, err := findByName(rs.stops, "stop", s.Stop)
	if err != nil {
		return nil, err
	}
	names := []string{}
	for _, e := range maintenance.Effects(stop) {
		names = append(names, e.Target.Name)
	}
	return names, nil
}
