package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/finding/tomldoc"
)

// Allowed values of the log settings.
var (
	LogLevels  = []string{"trace", "debug", "info", "warn", "error"}
	LogFormats = []string{"json", "text"}
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// checker validates decoded settings. Every check runs, whatever the others
// found.
type checker struct {
	doc       *tomldoc.Document
	host      *Host
	listeners []listener
}

type listener struct {
	path string
	addr netip.AddrPort
}

func callersTablePath(i int) string { return fmt.Sprintf("callers[%d]", i) }

func (c *checker) checkAll() {
	c.checkIdentity()
	c.checkPlatform()
	for i := range c.host.Callers {
		c.checkCallers(i)
	}
	if len(c.host.Callers) == 0 {
		c.doc.Require("callers", "add a [[callers]] table with listen")
	}
	c.checkListen("router.peers", c.host.Router.Peers)
	c.checkListen("router.operators", c.host.Router.Operators)
	c.checkListen("placer.peers", c.host.Placer.Peers)
	c.checkListen("placer.operators", c.host.Placer.Operators)
	c.checkAdvertise("router", c.host.Router.Advertise)
	c.checkAdvertise("placer", c.host.Placer.Advertise)
	c.checkSeeds()
	c.checkPeerTLS()
	c.checkOneOf("log.level", c.host.Log.Level, LogLevels)
	c.checkOneOf("log.format", c.host.Log.Format, LogFormats)
	c.checkLimits()
}

func (c *checker) checkIdentity() {
	id := c.host.Identity
	c.checkName("host.name", id.Name)
	c.checkName("host.data_centre", id.DataCentre)
	c.checkName("host.region", id.Region)
	if c.doc.Has("host.cell") {
		c.checkName("host.cell", id.Cell)
	}
}

func (c *checker) checkName(path, value string) {
	c.doc.Require(path, "")
	if !c.doc.IsValid(path) {
		return
	}
	if len(value) > MaxNameBytes || !namePattern.MatchString(value) {
		c.doc.Add(path, fmt.Sprintf("1 to %d of a-z, 0-9, dot, dash and underscore", MaxNameBytes), "%q is not a name", value)
	}
}

func (c *checker) checkPlatform() {
	c.doc.Require("platform.addr", "")
	c.checkAddress("platform.addr", c.host.Platform.Addr)
	checkRange(c, "platform.timeout_ms", c.host.Platform.TimeoutMS, MinPlatformTimeoutMS, MaxPlatformTimeoutMS)
}

func (c *checker) checkCallers(i int) {
	path, l := callersTablePath(i), c.host.Callers[i]
	c.checkListen(path+".listen", l.Listen)
	checkRange(c, path+".max_header_bytes", l.MaxHeaderBytes, MinHeaderBytes, MaxHeaderBytes)
	checkRange(c, path+".max_body_bytes", l.MaxBodyBytes, MinBodyBytes, MaxBodyBytes)
	checkRange(c, path+".read_timeout_ms", l.ReadTimeoutMS, MinReadTimeoutMS, MaxReadTimeoutMS)
	checkRange(c, path+".max_connections", l.MaxConnections, 1, MaxMaxConnections)
	switch {
	case l.TrustClientHeader && l.Client != "":
		c.doc.Add(path+".client", "leave it out, or set trust_client_header = false", "has no effect on a listener that trusts the client header")
	case !l.TrustClientHeader && l.Client == "":
		c.doc.Require(path+".client", "name the client, or set trust_client_header = true")
	}
	if l.Client != "" {
		c.checkName(path+".client", l.Client)
	}
}

// checkListen checks the mandatory address of a listener of this host, and that no
// other listener uses it.
func (c *checker) checkListen(path, value string) {
	c.doc.Require(path, "")
	addr, ok := c.checkAddress(path, value)
	if !ok {
		return
	}
	for _, other := range c.listeners {
		if addressesOverlap(addr, other.addr) {
			c.doc.Add(path, "", "%s is also the address of %s", value, other.path)
			return
		}
	}
	c.listeners = append(c.listeners, listener{path: path, addr: addr})
}

// checkAdvertise checks the address that other hosts connect to. If the file has
// none, it is the address of the peers' listener.
func (c *checker) checkAdvertise(table, value string) {
	path := table + ".advertise"
	if c.doc.Has(path) {
		c.checkReachable(path, value)
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err == nil && c.doc.IsValid(table+".peers") && addr.Addr().Unmap().IsUnspecified() {
		c.doc.Require(path, "the address at which other hosts reach "+value)
	}
}

// checkReachable checks that other hosts can connect to an address.
func (c *checker) checkReachable(path, value string) {
	addr, ok := c.checkAddress(path, value)
	if ok && addr.Addr().IsUnspecified() {
		c.doc.Add(path, "the IP number at which other hosts reach this one", "%s is unspecified and cannot be reached by others", value)
	}
}

func addressesOverlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkAddress parses an IP address and port, and adds a finding if they are not
// valid.
func (c *checker) checkAddress(path, value string) (netip.AddrPort, bool) {
	if !c.doc.IsValid(path) {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.doc.Add(path, `an IP number and a port, such as "127.0.0.1:7101"`, "%q is not an address", value)
		return addr, false
	}
	if addr.Port() == 0 {
		c.doc.Add(path, "", "port 0 of %q cannot be reached by others", value)
		return addr, false
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()), true
}

func (c *checker) checkSeeds() {
	for i, seed := range c.host.Placer.Seeds {
		c.checkAddress(fmt.Sprintf("placer.seeds[%d]", i), seed)
	}
}

func (c *checker) checkPeerTLS() {
	t := c.host.PeerTLS
	files := map[string]string{"ca": t.CA, "cert": t.Cert, "key": t.Key}
	for _, name := range []string{"ca", "cert", "key"} {
		path := "peer_tls." + name
		switch {
		case t.Plain && files[name] != "":
			c.doc.Add(path, "leave it out, or set plain = false", "has no effect with plain = true")
		case !t.Plain && files[name] == "" && c.doc.Has(path):
			c.doc.Add(path, "", "must not be empty")
		case !t.Plain:
			c.doc.Require(path, "a PEM file; or set plain = true")
		}
	}
}

func (c *checker) checkOneOf(path, value string, allowed []string) {
	if !c.doc.IsValid(path) || slices.Contains(allowed, value) {
		return
	}
	hint := finding.DidYouMean(value, allowed)
	if hint == "" {
		hint = "one of " + strings.Join(allowed, ", ")
	}
	c.doc.Add(path, hint, "unknown value %q", value)
}

func (c *checker) checkLimits() {
	l := c.host.Limits
	checkRange(c, "limits.memory_bytes", l.MemoryBytes, MinMemoryBytes, MaxMemoryBytes)
	if c.doc.IsValid("limits.dedup_bytes") && l.DedupBytes > l.MemoryBytes/2 {
		c.doc.Add("limits.dedup_bytes", "", "%d is more than half of memory_bytes, %d", l.DedupBytes, l.MemoryBytes)
	}
	if l.MaxFiles != 0 {
		checkRange(c, "limits.max_files", l.MaxFiles, MinMaxFiles, MaxMaxFiles)
	}
	checkRange(c, "limits.dedup_bytes", l.DedupBytes, MinDedupBytes, MaxMemoryBytes)
}

func checkRange[T int | int64](c *checker, path string, value, low, high T) {
	if c.doc.IsValid(path) && (value < low || value > high) {
		c.doc.Add(path, "", "%d is not between %d and %d", value, low, high)
	}
}
