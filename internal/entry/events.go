package entry

import (
	"github.com/hashicorp/go-hclog"

	"github.com/mangopost/mangopost/kernel"
)

// Events of an entry process; docs/EVENTS.md lists them.
var (
	evStarted   = kernel.RegisterEvent(6000, hclog.Info, "process started")
	evStopping  = kernel.RegisterEvent(6001, hclog.Info, "process is stopping")
	evReloaded  = kernel.RegisterEvent(6002, hclog.Info, "settings reloaded")
	evBadReload = kernel.RegisterEvent(6003, hclog.Error, "settings rejected: the file has mistakes")
	evReady     = kernel.RegisterEvent(6004, hclog.Info, "readiness changed")
	evEnded     = kernel.RegisterEvent(6005, hclog.Info, "process exits")

	evPanic = kernel.RegisterEvent(6006, hclog.Error, "unexpected error: the duty goes on")

	evPeerDropped = kernel.RegisterEvent(6007, hclog.Warn, "session of another host ended: it sent what cannot be handled")

	evStoreLost     = kernel.RegisterEvent(6010, hclog.Warn, "no answer from the store")
	evStoreBack     = kernel.RegisterEvent(6011, hclog.Info, "the store answers again")
	evBadObject     = kernel.RegisterEvent(6012, hclog.Warn, "store object ignored: it cannot be decoded")
	evConfiguration = kernel.RegisterEvent(6013, hclog.Info, "configuration in force")
	evTargets       = kernel.RegisterEvent(6014, hclog.Info, "target changed")
	evOwners        = kernel.RegisterEvent(6015, hclog.Info, "owner map in force")

	evLeaving = kernel.RegisterEvent(6016, hclog.Info, "target says that it is leaving")

	evEvacuation       = kernel.RegisterEvent(6017, hclog.Info, "evacuation of a data centre begins or ends")
	evNoSuchDataCentre = kernel.RegisterEvent(6018, hclog.Warn, "evacuation has no effect: no such data centre is known")
	evCold             = kernel.RegisterEvent(6020, hclog.Info, "target counts as cold: its requests are limited")
	evWarm             = kernel.RegisterEvent(6021, hclog.Info, "target counts as warm again")
	evReserve          = kernel.RegisterEvent(6023, hclog.Info, "capacity reserved for more urgent requests begins or ends")

	evLoadReports = kernel.RegisterEvent(6024, hclog.Warn, "load reports of a target begin or cease to count")

	evHeld = kernel.RegisterEvent(6026, hclog.Warn, "clients had to give way: the process holds as much as it may")

	evEra      = kernel.RegisterEvent(6030, hclog.Warn, "the store came back from an older copy")
	evRefenced = kernel.RegisterEvent(6031, hclog.Warn, "owner map of an earlier era of the store put under new fences")

	evLeavingBegins = kernel.RegisterEvent(6034, hclog.Info, "requests of a route begin to leave the data centre")
	evLeavingEnds   = kernel.RegisterEvent(6035, hclog.Info, "requests of a route leave the data centre no more")

	evAnswered = kernel.RegisterEvent(6100, hclog.Info, "request answered by a target")
	evRefused  = kernel.RegisterEvent(6101, hclog.Info, "request refused: not run")
	evUnknown  = kernel.RegisterEvent(6102, hclog.Warn, "request ended without an answer: it may have run")
	evRetried  = kernel.RegisterEvent(6103, hclog.Info, "request retried")
	evLeft     = kernel.RegisterEvent(6104, hclog.Info, "caller disconnected")

	evPaused = kernel.RegisterEvent(6105, hclog.Info, "target asked for a pause")

	evSuspect       = kernel.RegisterEvent(6106, hclog.Warn, "target ended while it ran a request")
	evProbe         = kernel.RegisterEvent(6107, hclog.Warn, "quarantined request runs once as a probe")
	evProbeNotTaken = kernel.RegisterEvent(6108, hclog.Info, "probe of a quarantined request was not taken")
	evCleared       = kernel.RegisterEvent(6109, hclog.Info, "request that targets ended with was answered")

	evCoordinator    = kernel.RegisterEvent(6200, hclog.Info, "this host is the coordinator")
	evNoCoordinator  = kernel.RegisterEvent(6201, hclog.Warn, "this host is no longer the coordinator")
	evMove           = kernel.RegisterEvent(6202, hclog.Info, "key range assigned to a new owner")
	evReleased       = kernel.RegisterEvent(6203, hclog.Info, "key range released by its owner")
	evGranted        = kernel.RegisterEvent(6204, hclog.Info, "key range granted to its new owner")
	evGrantFailed    = kernel.RegisterEvent(6205, hclog.Warn, "grant failed")
	evTargetDown     = kernel.RegisterEvent(6206, hclog.Warn, "target is taken to have ended")
	evWriteFailed    = kernel.RegisterEvent(6207, hclog.Warn, "owner map not written")
	evLongGrants     = kernel.RegisterEvent(6208, hclog.Warn, "grant extended: the store does not answer")
	evReportFailed   = kernel.RegisterEvent(6209, hclog.Warn, "report to the coordinator failed")
	evAggregator     = kernel.RegisterEvent(6211, hclog.Info, "work as the data centre's aggregator begins or ends")
	evAggregatorLost = kernel.RegisterEvent(6212, hclog.Warn, "no answer from the data centre's aggregator")
	evFreed          = kernel.RegisterEvent(6213, hclog.Info, "previous owner holds the key range no more")
	evResigned       = kernel.RegisterEvent(6210, hclog.Info, "this host resigns as coordinator")
)
