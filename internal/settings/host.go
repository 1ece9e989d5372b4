// Package settings reads a host's settings file, host.toml, which both daemons
// share. All mistakes in a file are reported together.
package settings

import "time"

// Host holds the settings of one host.
type Host struct {
	Identity Identity  `toml:"host"`
	Platform Platform  `toml:"platform"`
	Callers  []Callers `toml:"callers"`
	Router   Router    `toml:"router"`
	Placer   Placer    `toml:"placer"`
	PeerTLS  PeerTLS   `toml:"peer_tls"`
	Log      Log       `toml:"log"`
	Limits   Limits    `toml:"limits"`
}

// Identity names the host and its location.
type Identity struct {
	Name       string `toml:"name"`
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	Cell       string `toml:"cell"` // by default the data centre
}

// Platform holds the address of the platform's service and its timeout.
type Platform struct {
	Addr      string `toml:"addr"`       // IP and port
	TimeoutMS int64  `toml:"timeout_ms"` // of one call; watches are exempt
}

// Timeout returns the maximum duration of a call to the platform.
func (p Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMS) }

// Callers configures one listener for callers.
type Callers struct {
	Listen            string `toml:"listen"`              // IP and port
	TrustClientHeader bool   `toml:"trust_client_header"` // use the Mangopost-Client header without verification
	Client            string `toml:"client"`              // client of all requests, if the header is not trusted
	MaxHeaderBytes    int    `toml:"max_header_bytes"`
	MaxBodyBytes      int64  `toml:"max_body_bytes"`
	ReadTimeoutMS     int64  `toml:"read_timeout_ms"` // for a whole request, headers and body
	MaxConnections    int    `toml:"max_connections"` // at the same time
}

// ReadTimeout returns how long a caller may take to send a request.
func (c Callers) ReadTimeout() time.Duration { return milliseconds(c.ReadTimeoutMS) }

// Router configures the listeners of the router process.
type Router struct {
	Peers     string `toml:"peers"`     // IP and port
	Advertise string `toml:"advertise"` // IP and port that other hosts connect to; by default Peers
	Operators string `toml:"operators"` // IP and port
}

// Placer configures the listeners of the placer process.
type Placer struct {
	Peers     string   `toml:"peers"`     // IP and port
	Advertise string   `toml:"advertise"` // IP and port that other hosts connect to; by default Peers
	Operators string   `toml:"operators"` // IP and port
	Seeds     []string `toml:"seeds"`     // IP and port of the peer listeners of any placers
}

// PeerTLS configures the authentication between hosts: either Plain is set, or all
// three files are.
type PeerTLS struct {
	Plain bool   `toml:"plain"`
	CA    string `toml:"ca"`   // file of the certificate authority's certificate, PEM
	Cert  string `toml:"cert"` // file of this host's certificate, PEM
	Key   string `toml:"key"`  // file of the private key of Cert, PEM
}

// Log configures the log output.
type Log struct {
	Level  string `toml:"level"`  // trace, debug, info, warn or error
	Format string `toml:"format"` // json or text
}

// Limits bounds the memory and the descriptors of a process.
type Limits struct {
	MemoryBytes int64 `toml:"memory_bytes"`
	DedupBytes  int64 `toml:"dedup_bytes"`
	MaxFiles    int   `toml:"max_files"` // descriptors; 0: the process's resource limit
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
