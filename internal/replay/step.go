package replay

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/ownership"
)

// step is the typed input of one event. apply passes it to its state machine and
// returns the outcome, which is encoded as JSON.
type step interface {
	apply(rs *replayState, at traceTime) (any, error)
}

// traceTime is the time of an event since the start of the trace.
type traceTime time.Duration

// traceEpoch is the wall-clock time at the start of every trace.
var traceEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (t traceTime) monotonic() time.Duration { return time.Duration(t) }
func (t traceTime) wallClock() time.Time     { return traceEpoch.Add(time.Duration(t)) }

// stepFactories holds, for each kind of event, a function that returns an empty
// step.
var stepFactories = map[string]func() step{}

// register adds a kind of event. Files of this package call it from init.
func register(kind string, newStep func() step) {
	if _, taken := stepFactories[kind]; taken {
		panic("replay: event kind registered twice: " + kind)
	}
	stepFactories[kind] = newStep
}

func decodeStep(kind string, in json.RawMessage) (step, error) {
	newStep, known := stepFactories[kind]
	if !known {
		return nil, errors.Newf("unknown event kind %q", kind)
	}
	s := newStep()
	if len(in) == 0 {
		return s, nil
	}
	return s, errors.Wrapf(decodeStrict(in, s), "decoding the input of %s", kind)
}

// replayState holds the state machines of one replay, keyed by name.
type replayState struct {
	dedupTables  map[string]*dedupTable
	queues       map[string]*admissionQueue
	poisonTables map[string]*poisonTable

	objects storeObjects
	cell    leaseCell

	recorded recordedMachines

	configs         []acceptedConfig // oldest first
	caches          map[string]*state.Cache
	stops           map[string]maintenance.Stop
	hostListTargets []maintenance.Target
}

func newReplayState() *replayState {
	return &replayState{
		dedupTables:  make(map[string]*dedupTable),
		queues:       make(map[string]*admissionQueue),
		poisonTables: make(map[string]*poisonTable),

		objects: storeObjects{pages: make(map[string]ownership.Page)},
		cell:    leaseCell{hosts: make(map[string]*leaseHost)},

		caches: make(map[string]*state.Cache),
		stops:  make(map[string]maintenance.Stop),
	}
}

// findByName returns a state machine that an earlier event created.
func findByName[M any](byName map[string]M, kind, name string) (M, error) {
	m, found := byName[name]
	if !found {
		return m, errors.Newf("no %s named %q", kind, name)
	}
	return m, nil
}
