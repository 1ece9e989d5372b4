package standin

import (
	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/kernel"
)

// Events logged by the stand-ins.
var (
	eventPlatformFaults = kernel.RegisterEvent(3001, hclog.Info, "platform faults set")
	eventHostsChanged   = kernel.RegisterEvent(3002, hclog.Info, "host list changed")
	eventCompacted      = kernel.RegisterEvent(3003, hclog.Info, "platform history compacted")
	eventTargetStarted  = kernel.RegisterEvent(3101, hclog.Info, "target started")
	eventTargetCrashed  = kernel.RegisterEvent(3102, hclog.Warn, "target crashed")
	eventTargetDrains   = kernel.RegisterEvent(3103, hclog.Info, "target draining")
	eventTargetFaults   = kernel.RegisterEvent(3104, hclog.Info, "target faults set")
	eventLinkFaults     = kernel.RegisterEvent(3201, hclog.Info, "link faults set")
)

// EventSink receives numbered events; *kernel.EventLog implements it.
type EventSink interface {
	Emit(id kernel.EventID, args ...any)
}

// discardEvents drops every event.
type discardEvents struct{}

// Emit implements EventSink.
func (discardEvents) Emit(kernel.EventID, ...any) {}
