package replay

import (
	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/record"
	"github.com/mangopost/mangopost/lease"
)

func init() {
	registerRecorded(record.KindGap, func(m *recordedMachines, in record.Gap) (any, error) {
		m.lostEvents += in.Lost
		return nil, nil
	})
	registerHolderEvents()
	registerVoterEvents()
}

// recordedMachines holds the state machines of the recorded daemon and the number of
// events missing from the trace.
type recordedMachines struct {
	holder     *lease.Holder
	voter      *lease.Voter
	lostEvents uint64
}

// recordedStep is one event of a recorded daemon.
type recordedStep[T any] struct {
	input  T
	replay func(m *recordedMachines, in T) (any, error)
}

// UnmarshalJSON decodes the event's input; unknown fields are errors.
func (s *recordedStep[T]) UnmarshalJSON(data []byte) error { return decodeStrict(data, &s.input) }

func (s *recordedStep[T]) apply(rs *replayState, _ traceTime) (any, error) {
	return s.replay(&rs.recorded, s.input)
}

// markRecorded marks the step as an event of a recorded daemon; see isRecorded.
func (s *recordedStep[T]) markRecorded() {}

// isRecorded reports whether a step is an event of a recorded daemon. Such steps are
// not replayed after a gap.
func isRecorded(s step) bool {
	_, ok := s.(interface{ markRecorded() })
	return ok
}

// registerRecorded registers an event of a recorded daemon.
func registerRecorded[T any](kind string, replay func(*recordedMachines, T) (any, error)) {
	register(kind, func() step { return &recordedStep[T]{replay: replay} })
}

// registerHolderEvent registers an event of the recorded router's holder.
func registerHolderEvent[T any](kind string, replay func(*lease.Holder, T) (any, error)) {
	registerRecorded(kind, func(m *recordedMachines, in T) (any, error) {
		if m.holder == nil {
			return nil, errors.New("event of a holder before any holder was started")
		}
		return replay(m.holder, in)
	})
}

// registerVoterEvent registers an event of the recorded placer's voter.
func registerVoterEvent[T any](kind string, replay func(*lease.Voter, T) (any, error)) {
	registerRecorded(kind, func(m *recordedMachines, in T) (any, error) {
		if m.voter == nil {
			return nil, errors.New("event of a voter before any voter was started")
		}
		return replay(m.voter, in)
	})
}

func registerHolderEvents() {
	registerRecorded(record.KindHolderStart, func(m *recordedMachines, in record.Start) (any, error) {
		m.holder = lease.NewHolder(lease.HolderConfig{Cell: in.Cell, Self: in.Self, Timing: in.Timing})
		return nil, nil
	})
	registerHolderEvent(record.KindHolderElectorate, func(h *lease.Holder, in record.Electorate) (any, error) {
		h.SetElectorate(in.Now, in.Electorate)
		return nil, nil
	})
	registerHolderEvent(record.KindHolderTargets, func(h *lease.Holder, in record.TargetClaims) (any, error) {
		h.SetTargets(in.Now, in.Claims)
		return nil, nil
	})
	registerHolderEvent(record.KindHolderShards, func(h *lease.Holder, in record.ShardClaims) (any, error) {
		h.SetShards(in.Now, in.Claims)
		return nil, nil
	})
	registerHolderEvent(record.KindHolderAlive, func(h *lease.Holder, in record.Alive) (any, error) {
		h.SetAlive(in.Target, in.Alive, in.Load)
		return nil, nil
	})
	registerHolderEvent(record.KindHolderDrained, func(h *lease.Holder, in record.Drained) (any, error) {
		h.SetDrained(in.Target, in.Drained)
		return nil, nil
	})
	registerHolderEvent(record.KindHolderStore, func(h *lease.Holder, in record.Store) (any, error) {
		h.SetStoreDown(in.Down)
		return nil, nil
	})
	registerHolderEvent(record.KindHolderTick, func(h *lease.Holder, in record.At) (any, error) {
		return record.NewSentList(h.Tick(in.Now)), nil
	})
	registerHolderEvent(record.KindHolderStep, func(h *lease.Holder, in record.Step) (any, error) {
		msg, err := in.LeaseMessage()
		if err != nil {
			return nil, err
		}
		return record.NewSentList(h.Step(in.Now, in.From, msg)), nil
	})
	registerHolderEvent(record.KindHolderRelease, func(h *lease.Holder, in record.Release) (any, error) {
		return record.NewRefusal(h.Release(in.Now, in.Shard, in.Epoch, in.To)), nil
	})
	registerHolderEvent(record.KindHolderHandover, func(h *lease.Holder, in record.Handover) (any, error) {
		return record.NewRefusal(h.ReleaseTarget(in.Now, in.Target)), nil
	})
	registerHolderEvent(record.KindHolderLeaving, func(h *lease.Holder, _ record.At) (any, error) {
		h.SetLeaving()
		return nil, nil
	})
}

func registerVoterEvents() {
	registerRecorded(record.KindVoterStart, func(m *recordedMachines, in record.Start) (any, error) {
		m.voter = lease.NewVoter(lease.VoterConfig{Cell: in.Cell, Self: in.Self, Timing: in.Timing})
		return nil, nil
	})
	registerVoterEvent(record.KindVoterElectorate, func(v *lease.Voter, in record.Electorate) (any, error) {
		v.SetElectorate(in.Now, in.Electorate)
		return nil, nil
	})
	registerVoterEvent(record.KindVoterTargets, func(v *lease.Voter, in record.Targets) (any, error) {
		v.SetTargets(in.Now, in.Targets)
		return nil, nil
	})
	registerVoterEvent(record.KindVoterFloor, func(v *lease.Voter, in record.Floor) (any, error) {
		v.SetFloor(in.Now, in.Record, in.Floor)
		return nil, nil
	})
	registerVoterEvent(record.KindVoterGone, func(v *lease.Voter, in record.Gone) (any, error) {
		v.SetGone(in.Now, in.Holder)
		return nil, nil
	})
	registerVoterEvent(record.KindVoterTick, func(v *lease.Voter, in record.At) (any, error) {
		return record.NewSentList(v.Tick(in.Now)), nil
	})
	registerVoterEvent(record.KindVoterStep, func(v *lease.Voter, in record.Step) (any, error) {
		msg, err := in.LeaseMessage()
		if err != nil {
			return nil, err
		}
		return record.NewSentList(v.Step(in.Now, in.From, msg)), nil
	})
}
