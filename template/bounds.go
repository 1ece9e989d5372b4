package template

// Defaults of templates and clients.
const (
	DefaultShards        = 256
	UnkeyedShards        = 64 // of a service that is not keyed
	DefaultWhenCut       = CutKeep
	DefaultQueueLimit    = 64
	DefaultQueueOrder    = "queue.fair"
	DefaultBalancer      = "balance.locality"
	DefaultRetryHorizonS = 300
	DefaultClockSkewMS   = 250
	DefaultWeight        = 1
	DefaultZone          = "UTC"
)

// Bounds of templates and clients.
const (
	MaxNameBytes     = 64
	MaxShards        = 2_048 // a page of more shards would exceed the store's maximum value size
	MaxSlots         = 4_096
	MaxConnections   = 16_384
	MaxQueueLimit    = 100_000
	MaxRetryHorizonS = 86_400
	MaxClockSkewMS   = 60_000
	MaxDeadlineMS    = 600_000
	MaxRoutes        = 64
	MaxPathBytes     = 256
	MaxWeight        = 1_000
	MaxServices      = 256 // services that one client may use
	MaxPhoneBytes    = 32
)

const (
	// MaxConfigBytes is the maximum size of a Config encoded as JSON.
	MaxConfigBytes = 1 << 20
	// MaxHistory is the maximum number of changes in a Config's history.
	MaxHistory = 128
)
