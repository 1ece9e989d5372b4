package e2e

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/standin"
)

// Inject causes a failure that affects the first of the keys.
type Inject func(c *Cluster, keys []string) (Failure, error)

// Failure is an active failure.
type Failure struct {
	At       int64    // start of the failure, in Unix nanoseconds
	LostKeys []string // keys given to Inject whose owner or gateway is lost
	// MeasuredHosts, if set, restricts measurements to requests sent through
	// these hosts. A host that is cut off may serve its own callers until its
	// votes expire.
	MeasuredHosts []*Host
	Heal          func() error
}

// ErrNoGateway is returned if no host reports that it is a target's gateway.
var ErrNoGateway = errors.New("no host is the gateway")

// affectedKeys returns the keys whose owner satisfies isAffected.
func (c *Cluster) affectedKeys(keys []string, isAffected func(target string) bool) ([]string, error) {
	var list []string
	for _, key := range keys {
		owner, err := c.Owner(key)
		if err != nil {
			return nil, err
		}
		if isAffected(owner) {
			list = append(list, key)
		}
	}
	return list, nil
}

// A target has no gateway while a planner moves it to another host, for example
// after an earlier failure. gatewayOf polls until then.
const (
	gatewayPollInterval = 50 * time.Millisecond
	gatewayPollAttempts = 100
)

// gatewayOf returns the host that is the gateway of a key's owner.
func (c *Cluster) gatewayOf(key string) (*Host, error) {
	var owner string
	for range gatewayPollAttempts {
		var err error
		if owner, err = c.Owner(key); err != nil {
			return nil, err
		}
		if h := c.Gateway(owner); h != nil {
			return h, nil
		}
		time.Sleep(gatewayPollInterval)
	}
	return nil, errors.Wrap(ErrNoGateway, owner)
}

func (c *Cluster) ownerOf(key string) (*Target, error) {
	owner, err := c.Owner(key)
	if err != nil {
		return nil, err
	}
	if t := c.targetByName(owner); t != nil {
		return t, nil
	}
	return nil, errors.Newf("target %q does not exist", owner)
}

// keysOfGateway returns the keys whose owner has its gateway on a host.
func (c *Cluster) keysOfGateway(h *Host, keys []string) ([]string, error) {
	hasGateway := make(map[string]bool)
	for _, g := range h.gateways() {
		hasGateway[g.Target] = g.Gateway
	}
	return c.affectedKeys(keys, func(target string) bool { return hasGateway[target] })
}

// gatewayAndKeys returns the gateway of the first key's owner and all keys that
// depend on this gateway.
func (c *Cluster) gatewayAndKeys(keys []string) (*Host, []string, error) {
	h, err := c.gatewayOf(keys[0])
	if err != nil {
		return nil, nil, err
	}
	lost, err := c.keysOfGateway(h, keys)
	return h, lost, err
}

// ownerAndKeys returns the first key's owner and all keys of this owner.
func (c *Cluster) ownerAndKeys(keys []string) (*Target, []string, error) {
	t, err := c.ownerOf(keys[0])
	if err != nil {
		return nil, nil, err
	}
	lost, err := c.affectedKeys(keys, func(target string) bool { return target == t.Name })
	return t, lost, err
}

// KillRouter kills the gateway of the first key's owner. Healing starts it
// again.
func (c *Cluster) KillRouter(keys []string) (Failure, error) {
	h, lost, err := c.gatewayAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	return Failure{At: h.Router.Kill(), LostKeys: lost, Heal: h.StartRouter}, nil
}

// PauseRouter pauses the gateway of the first key's owner with SIGSTOP. Healing
// resumes it with the state that it had.
func (c *Cluster) PauseRouter(keys []string) (Failure, error) {
	h, lost, err := c.gatewayAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	heal := func() error { h.Router.Resume(); return nil }
	return Failure{At: h.Router.Pause(), LostKeys: lost, Heal: heal}, nil
}

// KillActingPlacer kills the acting placer of the cell. Healing starts it
// again.
func (c *Cluster) KillActingPlacer([]string) (Failure, error) {
	h := c.ActingPlacer()
	if h == nil {
		return Failure{}, errors.New("no acting placer")
	}
	return Failure{At: h.Placer.Kill(), Heal: h.StartPlacer}, nil
}

// KillHost kills the router and the placer of the host that is the gateway of
// the first key's owner. Healing starts both again.
func (c *Cluster) KillHost(keys []string) (Failure, error) {
	h, lost, err := c.gatewayAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	at := h.Router.Kill()
	h.Placer.Kill()
	heal := func() error { return errors.Join(h.StartPlacer(), h.StartRouter()) }
	return Failure{At: at, LostKeys: lost, Heal: heal}, nil
}

// KillTarget kills the owner of the first key. Healing starts it again.
func (c *Cluster) KillTarget(keys []string) (Failure, error) {
	t, lost, err := c.ownerAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	return Failure{At: t.Kill(), LostKeys: lost, Heal: t.Start}, nil
}

// PauseTarget pauses the process of the first key's owner with SIGSTOP. Healing
// resumes it with the state that it had.
func (c *Cluster) PauseTarget(keys []string) (Failure, error) {
	t, lost, err := c.ownerAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	heal := func() error { t.Process.Resume(); return nil }
	return Failure{At: t.Process.Pause(), LostKeys: lost, Heal: heal}, nil
}

// CutTarget blocks all bytes between the gateways and the first key's owner.
func (c *Cluster) CutTarget(keys []string) (Failure, error) {
	t, lost, err := c.ownerAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	heal := func() error { return t.Link.SetFaults(standin.LinkFaults{}) }
	at := time.Now().UnixNano()
	return Failure{At: at, LostKeys: lost, Heal: heal}, t.Link.SetFaults(standin.Blackhole)
}

// CutPlatform blocks all bytes between the acting placer's host and the
// platform.
func (c *Cluster) CutPlatform([]string) (Failure, error) {
	h := c.ActingPlacer()
	if h == nil {
		return Failure{}, errors.New("no acting placer")
	}
	heal := func() error { return h.Platform.SetFaults(standin.LinkFaults{}) }
	at := time.Now().UnixNano()
	return Failure{At: at, Heal: heal}, h.Platform.SetFaults(standin.Blackhole)
}

// PlatformFaults returns an injection that sets faults at the platform.
func PlatformFaults(faults standin.PlatformFaults) Inject {
	return func(c *Cluster, _ []string) (Failure, error) {
		heal := func() error { c.Platform.SetFaults(standin.PlatformFaults{}); return nil }
		at := time.Now().UnixNano()
		c.Platform.SetFaults(faults)
		return Failure{At: at, Heal: heal}, nil
	}
}

// Combine returns an injection of two failures, the second after the first has
// lasted for delay. Time, lost keys and measured hosts are those of the second.
func Combine(first Inject, delay time.Duration, second Inject) Inject {
	return func(c *Cluster, keys []string) (Failure, error) {
		a, err := first(c, keys)
		if err != nil {
			return Failure{}, err
		}
		time.Sleep(delay)
		b, err := second(c, keys)
		if err != nil {
			return Failure{}, errors.Join(err, a.Heal())
		}
		heal := func() error { return errors.Join(b.Heal(), a.Heal()) }
		return Failure{At: b.At, LostKeys: b.LostKeys, MeasuredHosts: b.MeasuredHosts, Heal: heal}, nil
	}
}

// MarkLeaving marks the first key's owner as leaving in the host list.
func (c *Cluster) MarkLeaving(keys []string) (target string, at int64, err error) {
	t, err := c.ownerOf(keys[0])
	if err != nil {
		return "", 0, err
	}
	c.PublishTargets(map[string]bool{t.Name: true})
	return t.Name, time.Now().UnixNano(), nil
}

// MarkAllLive marks every target as live in the host list.
func (c *Cluster) MarkAllLive() { c.PublishTargets(nil) }
