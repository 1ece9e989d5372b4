// Package router is the data path of a host: the ingress, which receives callers'
// requests, and the gateway, through which all requests to a target go.
package router

import (
	"cmp"
	"crypto/tls"
	"io"
	"time"

	"github.com/mangopost/mangopost/lease"
)

// Listener configures one callers' listener.
type Listener struct {
	Addr              string
	TrustClientHeader bool
	Client            string // client of all requests if TrustClientHeader is false
	MaxHeaderBytes    int
	MaxBodyBytes      int64
	ReadTimeout       time.Duration
	MaxConnections    int // at once; 0 means 10,000
}

// Config configures a router.
type Config struct {
	Self       lease.Incarnation
	DataCentre string
	Region     string
	Cell       string
	Callers    []Listener
	Peers      string   // listen address for peers, IP and port
	Advertise  string   // address announced to peers; if empty, Peers
	Operators  string   // listen address for operators
	Placers    []string // peer addresses of placers; this host's placer is first
	DedupBytes int64
	Memory     int64 // of the process, in bytes; 0 means 256 MiB
	Files      int   // descriptors that the process may open; 0 means its resource limit
	Timing     lease.Timing
	ServerTLS  *tls.Config // if nil, plain TCP
	ClientTLS  *tls.Config
	Record     io.Writer // trace of the lease state machine; if nil, none is written
}

// advertised returns the address that is announced to peers.
func (c *Config) advertised() string { return cmp.Or(c.Advertise, c.Peers) }
