package placer

import (
	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/kernel"
)

// Events of the placer; docs/EVENTS.md explains them.
var (
	evStarted        = kernel.RegisterEvent(2000, hclog.Info, "placer started")
	evStopping       = kernel.RegisterEvent(2001, hclog.Info, "placer stopping")
	evJoined         = kernel.RegisterEvent(2010, hclog.Info, "host joined its cell's record")
	evVoterReady     = kernel.RegisterEvent(2011, hclog.Info, "voter is ready under a new record")
	evSettled        = kernel.RegisterEvent(2012, hclog.Info, "change of voters completed")
	evStopsLost      = kernel.RegisterEvent(2013, hclog.Warn, "voters lost the stopped epochs; new epochs are agreed")
	evRouterRecorded = kernel.RegisterEvent(2014, hclog.Info, "router recorded in the cell's record")
	evRouterGone     = kernel.RegisterEvent(2015, hclog.Info, "router's process has ended; its targets are vacant")
	evGatewayPlaced  = kernel.RegisterEvent(2020, hclog.Info, "gateway placed")
	evShardPlaced    = kernel.RegisterEvent(2021, hclog.Info, "shard placed")
	evMoveCompleted  = kernel.RegisterEvent(2022, hclog.Info, "move of a shard completed")
	evPageCreated    = kernel.RegisterEvent(2023, hclog.Info, "shard map created")
	evMoveForced     = kernel.RegisterEvent(2024, hclog.Warn, "planned move forced")
	evEpochRenewed   = kernel.RegisterEvent(2026, hclog.Warn, "shard's epoch was stopped; the shard moves to a higher one")
	evTargetDraining = kernel.RegisterEvent(2025, hclog.Info, "target's draining state changed")
	evStoreLeaseHeld = kernel.RegisterEvent(2060, hclog.Info, "store lease of the cell held")
	evStoreLeaseLost = kernel.RegisterEvent(2061, hclog.Warn, "store lease of the cell not renewed")
	evCellTaken      = kernel.RegisterEvent(2062, hclog.Warn, "store lease of another cell taken")
	evShardTaken     = kernel.RegisterEvent(2063, hclog.Warn, "shard taken over from a cell that is cut off")
	evCellReturned   = kernel.RegisterEvent(2064, hclog.Warn, "store lease of the cell was taken; the cell returns")
	evStopAdvanced   = kernel.RegisterEvent(2040, hclog.Info, "planned stop advanced")
	evUpdateFailed   = kernel.RegisterEvent(2030, hclog.Warn, "update not accepted")
	evReadBack       = kernel.RegisterEvent(2031, hclog.Warn, "update with a lost answer read back")
	evStoreLost      = kernel.RegisterEvent(2032, hclog.Warn, "store does not answer")
	evStoreAnswers   = kernel.RegisterEvent(2033, hclog.Info, "store answers")
	evPeerDropped    = kernel.RegisterEvent(2034, hclog.Warn, "peer dropped")
	evRecordEnded    = kernel.RegisterEvent(2050, hclog.Warn, "recording ended")
)
