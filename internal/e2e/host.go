package e2e

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"text/template"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/standin"
)

// Host is one host of a cell, with a router and a placer that share one
// settings file. Its peer connections use an IP address of its own.
type Host struct {
	Name      string
	Callers   string // addresses of its listeners
	RouterOps string
	PlacerOps string
	Platform  *standin.Link // link from the host to the platform

	Router *Process // nil until started
	Placer *Process

	dataCentre  dataCentre
	ip          netip.Addr
	routerPeers peersListener
	placerPeers peersListener
	settings    string
	cluster     *Cluster
}

var settingsText = template.Must(template.New("host.toml").Parse(`[host]
name = "{{.Name}}"
data_centre = "{{.DataCentre}}"
region = "{{.Region}}"

[platform]
addr = "{{.Platform.Addr}}"

[[callers]]
listen = "{{.Callers}}"
trust_client_header = true
{{with .MaxBodyBytes}}max_body_bytes = {{.}}
{{end}}
[router]
peers = "{{.RouterPeers}}"
advertise = "{{.RouterAdvertise}}"
operators = "{{.RouterOps}}"

[placer]
peers = "{{.PlacerPeers}}"
advertise = "{{.PlacerAdvertise}}"
operators = "{{.PlacerOps}}"
seeds = [{{range $i, $s := .Seeds}}{{if $i}}, {{end}}"{{$s}}"{{end}}]

[peer_tls]
plain = true

[log]
level = "debug"
{{with .MemoryBytes}}
[limits]
memory_bytes = {{.}}
dedup_bytes = 1048576
{{end}}`))

// DataCentre returns the name of the host's data centre.
func (h *Host) DataCentre() string { return h.dataCentre.name }

// Region returns the name of the host's region.
func (h *Host) Region() string { return h.dataCentre.region }

// MaxBodyBytes returns the limit on a caller's body, or 0 for the default.
func (h *Host) MaxBodyBytes() int64 { return h.cluster.opts.MaxBodyBytes }

// MemoryBytes returns the memory limit of the host's processes, or 0 for the default.
func (h *Host) MemoryBytes() int64 { return h.cluster.opts.MemoryBytes }

// RouterPeers returns the address of the router's peer listener.
func (h *Host) RouterPeers() string { return h.routerPeers.listen }

// RouterAdvertise returns the address at which peers reach the router.
func (h *Host) RouterAdvertise() string { return h.routerPeers.advertise() }

// PlacerPeers returns the address of the placer's peer listener.
func (h *Host) PlacerPeers() string { return h.placerPeers.listen }

// PlacerAdvertise returns the address at which peers reach the placer.
func (h *Host) PlacerAdvertise() string { return h.placerPeers.advertise() }

// Seeds returns the advertised placer addresses of the other hosts.
func (h *Host) Seeds() []string {
	var seeds []string
	for _, other := range h.cluster.Hosts {
		if other != h {
			seeds = append(seeds, other.PlacerAdvertise())
		}
	}
	return seeds
}

func newHost(c *Cluster, dc dataCentre, number int) (*Host, error) {
	addrs, err := freeAddrs(loopback, 3)
	if err != nil {
		return nil, err
	}
	h := &Host{
		Name: fmt.Sprintf("%s-%d", dc.prefix, number), cluster: c,
		dataCentre: dc, ip: hostIP(len(c.Hosts) + 1),
		Callers: addrs[0], RouterOps: addrs[1], PlacerOps: addrs[2],
	}
	h.Platform, err = standin.NewLink(h.Name+"-platform", loopback+":0", c.server.Addr)
	if err != nil {
		return h, err
	}
	return h, h.listenForPeers(c.opts.LinkHosts)
}

func (h *Host) listenForPeers(linked bool) error {
	var err error
	if h.routerPeers, err = newPeersListener(h.Name+"-router", h.ip, linked); err != nil {
		return err
	}
	h.placerPeers, err = newPeersListener(h.Name+"-placer", h.ip, linked)
	return err
}

func (h *Host) closeLinks() {
	h.Platform.Close()
	h.routerPeers.close()
	h.placerPeers.close()
}

func (h *Host) writeSettings() error {
	h.settings = filepath.Join(h.cluster.dir, h.Name+".toml")
	file, err := os.Create(h.settings)
	if err != nil {
		return errors.Wrap(err, "create settings file")
	}
	defer file.Close()
	return errors.Wrap(settingsText.Execute(file, h), "write settings")
}

// StartRouter starts the router process. It may be called again after the
// process was killed.
func (h *Host) StartRouter() error {
	var err error
	h.Router, err = h.start("router")
	return err
}

// StartPlacer starts the placer process. It may be called again after the
// process was killed.
func (h *Host) StartPlacer() error {
	var err error
	h.Placer, err = h.start("placer")
	return err
}

func (h *Host) start(role string) (*Process, error) {
	program := h.cluster.binaries.path("mangopost-" + role)
	if files := h.cluster.opts.RouterFiles; role == "router" && files > 0 {
		return start(h.cluster.dir, h.Name+"-"+role, "/bin/sh", "-c",
			fmt.Sprintf(`ulimit -n %d && exec "$0" --config "$1"`, files), program, h.settings)
	}
	return start(h.cluster.dir, h.Name+"-"+role, program, "--config", h.settings)
}
