package e2e

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/standin"
)

// flapHalfPeriod is the duration of each cut and of each pause between cuts
// while a cut flaps.
const flapHalfPeriod = 350 * time.Millisecond

// delayBeforePause is the time between a cut and the pause of a router. It is
// longer than hosts need to detect that a peer is unreachable.
const delayBeforePause = 500 * time.Millisecond

// gatewayAndPeer returns the gateway of the first key's owner and another host.
func (c *Cluster) gatewayAndPeer(keys []string) (gateway, peer *Host, err error) {
	gateway, err = c.gatewayOf(keys[0])
	if err != nil {
		return nil, nil, err
	}
	for _, h := range c.Hosts {
		if h != gateway {
			return gateway, h, nil
		}
	}
	return nil, nil, errors.New("the cluster has only one host")
}

// injectCut cuts the given directions until the failure is healed.
func (c *Cluster) injectCut(directions []Direction) Failure {
	at := time.Now().UnixNano()
	c.Cut(directions...)
	return Failure{At: at, Heal: func() error { c.Heal(directions...); return nil }}
}

// CutPair cuts the connection between the gateway of the first key's owner and
// another host. A third host still reaches both.
func (c *Cluster) CutPair(keys []string) (Failure, error) {
	gateway, peer, err := c.gatewayAndPeer(keys)
	if err != nil {
		return Failure{}, err
	}
	return c.injectCut(bothDirections(gateway, peer)), nil
}

// CutPairMeasuredAtPeer is like CutPair, but only callers of the other host are
// measured.
func (c *Cluster) CutPairMeasuredAtPeer(keys []string) (Failure, error) {
	gateway, peer, err := c.gatewayAndPeer(keys)
	if err != nil {
		return Failure{}, err
	}
	failure := c.injectCut(bothDirections(gateway, peer))
	failure.MeasuredHosts = []*Host{peer}
	return failure, nil
}

// CutPairAndPauseRouter is like CutPair, and pauses the gateway's router after
// delayBeforePause.
func (c *Cluster) CutPairAndPauseRouter(keys []string) (Failure, error) {
	gateway, peer, err := c.gatewayAndPeer(keys)
	if err != nil {
		return Failure{}, err
	}
	failure := c.injectCut(bothDirections(gateway, peer))
	healCut := failure.Heal
	failure.Heal = func() error {
		gateway.Router.Resume()
		return healCut()
	}
	time.Sleep(delayBeforePause)
	gateway.Router.Pause()
	return failure, nil
}

// CutFromGateway cuts the direction from the gateway of the first key's owner
// to another host.
func (c *Cluster) CutFromGateway(keys []string) (Failure, error) {
	gateway, peer, err := c.gatewayAndPeer(keys)
	if err != nil {
		return Failure{}, err
	}
	return c.injectCut([]Direction{{From: gateway, To: peer}}), nil
}

// CutToGateway cuts the direction from another host to the gateway of the first
// key's owner.
func (c *Cluster) CutToGateway(keys []string) (Failure, error) {
	gateway, peer, err := c.gatewayAndPeer(keys)
	if err != nil {
		return Failure{}, err
	}
	return c.injectCut([]Direction{{From: peer, To: gateway}}), nil
}

// IsolateHost cuts the gateway of the first key's owner off from all other
// hosts. The connections to the platform, the targets and the callers stay up.
func (c *Cluster) IsolateHost(keys []string) (Failure, error) {
	h, lost, err := c.gatewayAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	return c.isolate(h, lost), nil
}

func (c *Cluster) isolate(h *Host, lost []string) Failure {
	failure := c.injectCut(c.directionsAround(h))
	failure.LostKeys, failure.MeasuredHosts = lost, c.otherHosts(h)
	return failure
}

// IsolateHostAndCutPlatform is like IsolateHost, and cuts the host off from the
// platform too.
func (c *Cluster) IsolateHostAndCutPlatform(keys []string) (Failure, error) {
	h, lost, err := c.gatewayAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	failure := c.isolate(h, lost)
	healCut := failure.Heal
	failure.Heal = func() error {
		return errors.Join(healCut(), h.Platform.SetFaults(standin.LinkFaults{}))
	}
	return failure, h.Platform.SetFaults(standin.Blackhole)
}

// CutDataCentre cuts the n-th data centre off from the others and from the
// platform. Its targets and callers still reach its hosts.
func (c *Cluster) CutDataCentre(n int) (Failure, error) {
	members := c.HostsIn(n)
	var directions []Direction
	for _, h := range members {
		for _, other := range c.Hosts {
			if other.dataCentre != h.dataCentre {
				directions = append(directions, bothDirections(h, other)...)
			}
		}
	}
	failure := c.injectCut(directions)
	healCut := failure.Heal
	failure.Heal = func() error { return errors.Join(healCut(), setPlatformFaults(members, standin.LinkFaults{})) }
	return failure, setPlatformFaults(members, standin.Blackhole)
}

func setPlatformFaults(hosts []*Host, faults standin.LinkFaults) error {
	var failed []error
	for _, h := range hosts {
		failed = append(failed, h.Platform.SetFaults(faults))
	}
	return errors.Join(failed...)
}

// Flapping returns an injection that removes and restores the cut of inject
// repeatedly until it is healed.
func Flapping(inject Inject) Inject {
	return func(c *Cluster, keys []string) (Failure, error) {
		failure, err := inject(c, keys)
		if err != nil {
			return failure, err
		}
		f := &flapping{cluster: c, directions: c.network.cutDirections(), stop: make(chan struct{})}
		f.wg.Go(f.run)
		healCut := failure.Heal
		failure.Heal = func() error {
			close(f.stop)
			f.wg.Wait()
			return healCut()
		}
		return failure, nil
	}
}

// flapping alternates between healing and cutting some directions.
type flapping struct {
	cluster    *Cluster
	directions []Direction
	stop       chan struct{}
	wg         sync.WaitGroup
}

func (f *flapping) run() {
	ticker := time.NewTicker(flapHalfPeriod)
	defer ticker.Stop()
	for isCut := true; ; {
		select {
		case <-ticker.C:
		case <-f.stop:
			return
		}
		isCut = !isCut
		f.cluster.network.setCut(f.directions, isCut)
	}
}

// cutDirections returns the directions that are cut.
func (n *network) cutDirections() []Direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	var directions []Direction
	for d, isCut := range n.cut {
		if isCut {
			directions = append(directions, d)
		}
	}
	return directions
}
