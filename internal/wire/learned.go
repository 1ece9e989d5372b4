package wire

import (
	"time"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// RouteName identifies a route of a template.
type RouteName struct {
	Method string
	Path   string
}

// TargetLearned is the state that a gateway learned about a target, handed over to
// the next gateway. It identifies the routes of Learned.Routes by name, in the same
// order, as their numbers are not valid for the receiver.
type TargetLearned struct {
	Succession lease.Succession
	CapturedAt time.Time
	Learned    admission.Learned
	RouteNames []RouteName
}

// LearnedFrame encodes the learned state of a target.
func LearnedFrame(t TargetLearned) *pb.Frame {
	m := &pb.TargetLearned{
		Target:      t.Succession.Target,
		Before:      uint64(t.Succession.Before),
		After:       uint64(t.Succession.After),
		TakenUnixNs: t.CapturedAt.UnixNano(),
		Concurrency: uint32(t.Learned.Concurrency),
		Cold:        t.Learned.Cold,
		AllUs:       mapAll(t.Learned.All, time.Duration.Microseconds),
		StragglerUs: mapAll(t.Learned.Stragglers, time.Duration.Microseconds),
		Held:        mapAll(t.Learned.Held, toSlotHeld),
	}
	for i, r := range t.Learned.Routes {
		m.Routes = append(m.Routes, toRouteLearned(t.RouteNames[i], r))
	}
	return &pb.Frame{Body: &pb.Frame_TargetLearned{TargetLearned: m}}
}

// DecodeLearned decodes the learned state of a target; ok is false for a frame of
// another kind.
func DecodeLearned(f *pb.Frame) (t TargetLearned, ok bool) {
	m := f.GetTargetLearned()
	if m == nil {
		return t, false
	}
	t.Succession = lease.Succession{
		Target: m.GetTarget(),
		Before: lease.GatewayEpoch(m.GetBefore()),
		After:  lease.GatewayEpoch(m.GetAfter()),
	}
	t.CapturedAt = time.Unix(0, m.GetTakenUnixNs())
	t.Learned = admission.Learned{
		Concurrency: int(m.GetConcurrency()),
		Cold:        m.GetCold(),
		All:         mapAll(m.GetAllUs(), fromMicroseconds),
		Stragglers:  mapAll(m.GetStragglerUs(), fromMicroseconds),
		Held:        mapAll(m.GetHeld(), fromSlotHeld),
	}
	for _, r := range m.GetRoutes() {
		t.RouteNames = append(t.RouteNames, RouteName{Method: r.GetMethod(), Path: r.GetPath()})
		t.Learned.Routes = append(t.Learned.Routes, admission.LearnedRoute{
			Samples:  mapAll(r.GetSampleUs(), fromMicroseconds),
			Baseline: fromMicroseconds(r.GetUsualUs()),
			Arrivals: r.GetArrived(),
		})
	}
	return t, true
}

func toRouteLearned(name RouteName, r admission.LearnedRoute) *pb.RouteLearned {
	return &pb.RouteLearned{
		Method:   name.Method,
		Path:     name.Path,
		SampleUs: mapAll(r.Samples, time.Duration.Microseconds),
		UsualUs:  r.Baseline.Microseconds(),
		Arrived:  r.Arrivals,
	}
}

func toSlotHeld(h admission.HeldSlot) *pb.SlotHeld {
	return &pb.SlotHeld{LeftUs: h.Left.Microseconds(), Long: h.Long}
}

func fromSlotHeld(h *pb.SlotHeld) admission.HeldSlot {
	return admission.HeldSlot{Left: fromMicroseconds(h.GetLeftUs()), Long: h.GetLong()}
}

func fromMicroseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
