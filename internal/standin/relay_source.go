package standin

import (
	"net"
	"net/netip"
)

// sourceState holds the faults of a link's connections from one source IP.
type sourceState struct {
	upCut, downCut gate
	refused        bool
}

// SetSourceFaults replaces the faults of the connections from an IP, also on open
// connections.
func (l *Link) SetSourceFaults(ip netip.Addr, faults SourceFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sourceForIPLocked(ip)
	s.refused = faults.Refuse
	if s.refused {
		l.resetSourceLocked(ip)
	}
	s.upCut.setClosed(faults.CutUp)
	s.downCut.setClosed(faults.CutDown)
}

// resetSourceLocked resets the connections from an IP. The caller holds the lock.
func (l *Link) resetSourceLocked(ip netip.Addr) {
	for conn := range l.conns {
		if remoteIP(conn) == ip {
			reset(conn)
			delete(l.conns, conn)
		}
	}
}

// sourceForConn returns the source state of a connection.
func (l *Link) sourceForConn(conn net.Conn) *sourceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sourceForConnLocked(conn)
}

// sourceForConnLocked returns the source state of a connection. The caller holds
// the lock.
func (l *Link) sourceForConnLocked(conn net.Conn) *sourceState {
	return l.sourceForIPLocked(remoteIP(conn))
}

// sourceForIPLocked returns the state of a source IP, which it creates if needed.
// The caller holds the lock.
func (l *Link) sourceForIPLocked(ip netip.Addr) *sourceState {
	s := l.sources[ip]
	if s == nil {
		s = new(sourceState)
		l.sources[ip] = s
	}
	return s
}

// remoteIP returns the IP of a connection's peer.
func remoteIP(conn net.Conn) netip.Addr {
	addr, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}
