// Package placer implements the control process of a host: it votes on leases, maintains
// its cell's record and the shard maps, and relays stored objects to other processes.
package placer

import (
	"cmp"
	"crypto/tls"
	"io"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// Config configures a placer.
type Config struct {
	Self       lease.Incarnation
	DataCentre string
	Region     string
	Cell       string
	Peers      string   // listen address for peers, IP and port
	Advertise  string   // address announced to peers; empty: Peers
	Operators  string   // listen address for operators' HTTP requests
	Seeds      []string // peer addresses of other placers
	Timing     lease.Timing
	ServerTLS  *tls.Config // nil: plain TCP
	ClientTLS  *tls.Config
	Record     io.Writer // trace of the lease state machine; nil: none
}

// advertisedAddr returns the address that is announced to peers.
func (c *Config) advertisedAddr() string { return cmp.Or(c.Advertise, c.Peers) }

// newStamp returns a unique stamp that identifies a conditional update of this process.
func (p *Placer) newStamp() ownership.Stamp {
	return ownership.Stamp{
		Host:        p.cfg.Self.Host,
		Incarnation: p.cfg.Self.Run,
		Write:       p.writeSeq.Add(1),
	}
}
