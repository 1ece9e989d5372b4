package wire

import (
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

// TestSessionsUseSourceAddress checks that a session's local IP is that of the host's
// listeners, by which network equipment between the hosts identifies them.
func TestSessionsUseSourceAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialer := &Dialer{Self: alice, Source: netip.MustParseAddr("127.0.1.7")}
	defer dialer.Close()
	go func() { _, _ = dialer.Open(t.Context(), l.Addr().String(), pb.StreamKind_STREAM_KIND_LEASE) }()
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	assert.Equal(t, conn.RemoteAddr().(*net.TCPAddr).IP.String(), "127.0.1.7")
}

func TestSourceOf(t *testing.T) {
	for listen, want := range map[string]netip.Addr{
		"10.0.0.1:7102":         netip.MustParseAddr("10.0.0.1"),
		"[2001:db8::1]:7102":    netip.MustParseAddr("2001:db8::1"),
		"[::ffff:10.0.0.1]:710": netip.MustParseAddr("10.0.0.1"),
		"0.0.0.0:7102":          {},
		"[::]:7102":             {},
		"[::ffff:0.0.0.0]:7102": {},
		"":                      {},
	} {
		assert.Equal(t, SourceOf(listen), want, listen)
	}
}

// TestLocalAddrIsOmittedForUnreachablePeers checks that the source address is not used
// for peers that cannot be reached from it.
func TestLocalAddrIsOmittedForUnreachablePeers(t *testing.T) {
	for _, c := range []struct {
		source, peer string
		used         bool
	}{
		{"10.0.0.1:1", "10.0.0.2:7102", true},
		{"10.0.0.1:1", "[::ffff:10.0.0.2]:7102", true},
		{"127.0.1.1:1", "127.0.0.1:7102", true},
		{"[2001:db8::1]:1", "[2001:db8::2]:7102", true},
		{"10.0.0.1:1", "[2001:db8::2]:7102", false},
		{"10.0.0.1:1", "127.0.0.1:7102", false},
		{"127.0.0.1:1", "10.0.0.2:7102", false},
		{"0.0.0.0:1", "10.0.0.2:7102", false},
	} {
		dialer := &Dialer{Source: SourceOf(c.source)}
		assert.Equal(t, dialer.localAddr(c.peer) != nil, c.used, "%s to %s", c.source, c.peer)
	}
}
