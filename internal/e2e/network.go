package e2e

import (
	"net/netip"
	"sync"

	"github.com/mangopost/mangopost/internal/standin"
)

// hostIP returns the loopback IP address of a host. Relays identify hosts by
// it.
func hostIP(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 1, byte(number)})
}

// peersListener is the address on which a process listens for peers, and the
// relay in front of it.
type peersListener struct {
	listen string
	link   *standin.Link // nil if hosts are connected directly
}

func newPeersListener(name string, ip netip.Addr, linked bool) (peersListener, error) {
	listen, err := freeAddr(ip.String())
	if err != nil || !linked {
		return peersListener{listen: listen}, err
	}
	link, err := standin.NewLink(name, netip.AddrPortFrom(ip, 0).String(), listen)
	return peersListener{listen: listen, link: link}, err
}

// advertise returns the address under which peers reach the process.
func (l peersListener) advertise() string {
	if l.link == nil {
		return l.listen
	}
	return l.link.Addr()
}

func (l peersListener) close() {
	if l.link != nil {
		l.link.Close()
	}
}

// Direction is the traffic from one host to another, on connections opened by
// either.
type Direction struct{ From, To *Host }

// network records which directions between hosts are cut.
type network struct {
	mu  sync.Mutex
	cut map[Direction]bool
}

// Cut holds back the traffic in the given directions until they are healed.
// Held bytes are delivered then.
func (c *Cluster) Cut(directions ...Direction) { c.network.setCut(directions, true) }

// Heal ends the cuts of the given directions.
func (c *Cluster) Heal(directions ...Direction) { c.network.setCut(directions, false) }

func (n *network) setCut(directions []Direction, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[Direction]bool)
	}
	for _, d := range directions {
		n.cut[d] = isCut
	}
	for _, d := range directions {
		n.updateRelays(d)
		n.updateRelays(d.reverse())
	}
}

func (d Direction) reverse() Direction { return Direction{From: d.To, To: d.From} }

// updateRelays sets the faults of the relays in front of To for traffic from
// and to From.
func (n *network) updateRelays(d Direction) {
	faults := standin.SourceFaults{CutUp: n.cut[d], CutDown: n.cut[d.reverse()]}
	d.To.routerPeers.link.SetSourceFaults(d.From.ip, faults)
	d.To.placerPeers.link.SetSourceFaults(d.From.ip, faults)
}

// bothDirections returns the directions between two hosts.
func bothDirections(a, b *Host) []Direction { return []Direction{{a, b}, {b, a}} }

// otherHosts returns all hosts except h.
func (c *Cluster) otherHosts(h *Host) []*Host {
	var list []*Host
	for _, other := range c.Hosts {
		if other != h {
			list = append(list, other)
		}
	}
	return list
}

// directionsAround returns both directions between a host and every other host.
func (c *Cluster) directionsAround(h *Host) []Direction {
	var directions []Direction
	for _, other := range c.otherHosts(h) {
		directions = append(directions, bothDirections(h, other)...)
	}
	return directions
}
