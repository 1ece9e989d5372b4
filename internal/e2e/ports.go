package e2e

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are below the kernel's range of ephemeral ports, so that no outgoing
// connection takes the port of a killed process. Each test process reserves a
// block of ports, so that concurrent test processes do not take each other's
// ports while a process of a cluster is not listening.
const (
	firstPort      = 20_000
	portsPerBlock  = 500
	portBlockCount = 24
)

// portBlock allocates the ports of one block in rotation. A listener on its
// first port reserves the block.
type portBlock struct {
	mu          sync.Mutex
	reservation net.Listener
	first       int
	next        int // offset from first, starting at 1
}

// loopback is the IP address of all listeners other than those for peers.
const loopback = "127.0.0.1"

var errNoPort = errors.New("no free port")

// reserveBlock reserves the first free block, starting the search at the
// preferred one.
func reserveBlock(preferred int) (*portBlock, error) {
	for i := range portBlockCount {
		first := firstPort + (preferred+i)%portBlockCount*portsPerBlock
		reservation, err := net.Listen("tcp", addrOf(loopback, first))
		if err == nil {
			return &portBlock{reservation: reservation, first: first}, nil
		}
	}
	return nil, errors.Wrap(errNoPort, "all port blocks are reserved")
}

func addrOf(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// nextFreeAddr returns an address on a loopback IP whose port nobody listens
// on.
func (b *portBlock) nextFreeAddr(ip string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range portsPerBlock {
		b.next = b.next%(portsPerBlock-1) + 1
		addr := addrOf(ip, b.first+b.next)
		listener, err := net.Listen("tcp", addr)
		if err == nil {
			listener.Close()
			return addr, nil
		}
	}
	return "", errNoPort
}

// processBlock returns the port block of this test process and reserves it on
// first use.
var processBlock = sync.OnceValues(func() (*portBlock, error) { return reserveBlock(os.Getpid()) })

// freeAddr returns an address on a loopback IP whose port nobody listens on.
func freeAddr(ip string) (string, error) {
	block, err := processBlock()
	if err != nil {
		return "", err
	}
	return block.nextFreeAddr(ip)
}

// freeAddrs returns n addresses on a loopback IP whose ports nobody listens on.
func freeAddrs(ip string, n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		addr, err := freeAddr(ip)
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	return addrs, nil
}
