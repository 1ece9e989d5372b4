package e2e

import "time"

// StopRouter stops the gateway of the first key's owner with SIGTERM, as an
// operator does. Healing waits for its end and starts it again.
func (c *Cluster) StopRouter(keys []string) (Failure, error) {
	h, lost, err := c.gatewayAndKeys(keys)
	if err != nil {
		return Failure{}, err
	}
	heal := func() error {
		h.Router.Wait()
		return h.StartRouter()
	}
	return Failure{At: h.Router.Terminate(), LostKeys: lost, Heal: heal}, nil
}

// RestartRouter stops the gateway of the first key's owner with SIGTERM and
// starts it again at once. It then gets its share of the targets back.
func (c *Cluster) RestartRouter(keys []string) (Failure, error) {
	stopped, err := c.StopRouter(keys)
	if err != nil {
		return Failure{}, err
	}
	if err := stopped.Heal(); err != nil {
		return Failure{}, err
	}
	return Failure{At: time.Now().UnixNano(), Heal: func() error { return nil }}, nil
}
