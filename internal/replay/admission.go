package replay

import (
	"time"

	"github.com/mangopost/mangopost/admission"
)

func init() {
	register("admission.new", func() step { return new(admissionNew) })
	register("admission.arrive", func() step { return new(admissionArrive) })
	register("admission.done", func() step { return new(admissionDone) })
	register("admission.cancel", func() step { return new(admissionCancel) })
	register("admission.tick", func() step { return new(admissionTick) })
	register("admission.drain", func() step { return new(admissionDrain) })
	register("admission.resume", func() step { return new(admissionResume) })
}

// admissionQueue is the queue of one target.
type admissionQueue struct{ *admission.Queue }

// queueAction is the JSON form of an admission.Action.
type queueAction struct {
	Do     string `json:"do"` // "start", "refuse" or "preempt"
	ID     uint64 `json:"id"`
	Reason string `json:"reason,omitempty"`
}

var actionNames = map[admission.ActionKind]string{
	admission.Start:   "start",
	admission.Refuse:  "refuse",
	admission.Preempt: "preempt",
}

func toQueueActions(actions []admission.Action) []queueAction {
	list := make([]queueAction, 0, len(actions))
	for _, a := range actions {
		list = append(list, queueAction{Do: actionNames[a.Kind], ID: a.ID, Reason: a.Reason.String()})
	}
	return list
}

type admissionNew struct {
	Target string `json:"target"`
	Slots  int    `json:"slots"`
	Limit  int    `json:"limit"`
	Fixed  bool   `json:"fixed"` // use all slots from the start
}

// maxQueueSlots limits the slots that a trace may request.
const maxQueueSlots = 1 << 16

func (s *admissionNew) apply(rs *replayState, _ traceTime) (any, error) {
	rs.queues[s.Target] = &admissionQueue{admission.New(admission.Config{
		Slots:            min(s.Slots, maxQueueSlots),
		Limit:            s.Limit,
		FixedConcurrency: s.Fixed,
	})}
	return nil, nil
}

type admissionArrive struct {
	Target     string `json:"target"`
	ID         uint64 `json:"id"`
	Client     string `json:"client"`
	Weight     int    `json:"weight"`
	Route      uint32 `json:"route"`
	DeadlineMS int64  `json:"deadline_ms"` // since the start of the trace; 0 means none
}

func (s *admissionArrive) apply(rs *replayState, at traceTime) (any, error) {
	q, err := findByName(rs.queues, "target", s.Target)
	if err != nil {
		return nil, err
	}
	return toQueueActions(q.Arrive(at.monotonic(), admission.Request{
		ID:       s.ID,
		Client:   s.Client,
		Weight:   s.Weight,
		Route:    admission.RouteID(s.Route),
		Deadline: time.Duration(s.DeadlineMS) * time.Millisecond,
	})), nil
}

type admissionDone struct {
	Target string `json:"target"`
	ID     uint64 `json:"id"`
	TookMS int64  `json:"took_ms"`
	Kind   string `json:"kind"` // "shed", "failed" or "cancelled"; empty means "completed"
}

var resultKinds = map[string]admission.ResultKind{
	"shed":      admission.Shed,
	"failed":    admission.Failed,
	"cancelled": admission.Cancelled,
}

func (s *admissionDone) apply(rs *replayState, at traceTime) (any, error) {
	q, err := findByName(rs.queues, "target", s.Target)
	if err != nil {
		return nil, err
	}
	result := admission.Result{Took: time.Duration(s.TookMS) * time.Millisecond, Kind: resultKinds[s.Kind]}
	return toQueueActions(q.Done(at.monotonic(), s.ID, result)), nil
}

type admissionCancel struct {
	Target string `json:"target"`
	ID     uint64 `json:"id"`
}

func (s *admissionCancel) apply(rs *replayState, at traceTime) (any, error) {
	q, err := findByName(rs.queues, "target", s.Target)
	if err != nil {
		return nil, err
	}
	return toQueueActions(q.Cancel(at.monotonic(), s.ID)), nil
}

type admissionTick struct {
	Target string `json:"target"`
}

func (s *admissionTick) apply(rs *replayState, at traceTime) (any, error) {
	q, err := findByName(rs.queues, "target", s.Target)
	if err != nil {
		return nil, err
	}
	return toQueueActions(q.Tick(at.monotonic())), nil
}

type admissionDrain struct {
	Target string `json:"target"`
}

func (s *admissionDrain) apply(rs *replayState, at traceTime) (any, error) {
	q, err := findByName(rs.queues, "target", s.Target)
	if err != nil {
		return nil, err
	}
	return toQueueActions(q.Drain(at.monotonic())), nil
}

type admissionResume struct {
	Target string `json:"target"`
}

func (s *admissionResume) apply(rs *replayState, at traceTime) (any, error) {
	q, err := findByName(rs.queues, "target", s.Target)
	if err != nil {
		return nil, err
	}
	return toQueueActions(q.Resume(at.monotonic())), nil
}
