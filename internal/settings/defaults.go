package settings

// Default values of the settings.
const (
	DefaultPlatformTimeoutMS = 2_000
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultMaxBodyBytes      = 1 << 20
	DefaultReadTimeoutMS     = 10_000
	DefaultMaxConnections    = 10_000
	DefaultLogLevel          = "info"
	DefaultLogFormat         = "json"
	DefaultMemoryBytes       = 256 << 20
	DefaultDedupBytes        = 64 << 20
)

// Bounds of the settings.
const (
	MinPlatformTimeoutMS = 50
	MaxPlatformTimeoutMS = 60_000
	MinHeaderBytes       = 1 << 10
	MaxHeaderBytes       = 1 << 20
	MinBodyBytes         = 0
	MaxBodyBytes         = 64 << 20
	MinReadTimeoutMS     = 10
	MaxReadTimeoutMS     = 600_000
	MaxMaxConnections    = 1_000_000
	MinMemoryBytes       = 32 << 20
	MaxMemoryBytes       = 1 << 40
	MinDedupBytes        = 1 << 20
	MinMaxFiles          = 256
	MaxMaxFiles          = 1 << 24
	MaxNameBytes         = 64
	MaxFileBytes         = 1 << 20
)

// defaults returns the settings used where the file has no value.
func defaults() *Host {
	return &Host{
		Platform: Platform{TimeoutMS: DefaultPlatformTimeoutMS},
		Log:      Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
		Limits:   Limits{MemoryBytes: DefaultMemoryBytes, DedupBytes: DefaultDedupBytes},
	}
}

// fillDefaults sets the defaults that depend on other settings or on the number of
// listeners.
func fillDefaults(h *Host, has func(path string) bool) {
	if h.Identity.Cell == "" {
		h.Identity.Cell = h.Identity.DataCentre
	}
	setDefault(&h.Router.Advertise, h.Router.Peers, has("router.advertise"))
	setDefault(&h.Placer.Advertise, h.Placer.Peers, has("placer.advertise"))
	for i := range h.Callers {
		c, path := &h.Callers[i], callersTablePath(i)
		setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes, has(path+".max_header_bytes"))
		setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes, has(path+".max_body_bytes"))
		setDefault(&c.ReadTimeoutMS, DefaultReadTimeoutMS, has(path+".read_timeout_ms"))
		setDefault(&c.MaxConnections, DefaultMaxConnections, has(path+".max_connections"))
	}
}

func setDefault[T any](field *T, value T, isSet bool) {
	if !isSet {
		*field = value
	}
}
