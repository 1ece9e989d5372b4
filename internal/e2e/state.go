package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// gatewayState is one entry of a router's GET /state.
type gatewayState struct {
	Target       string `json:"target"`
	GatewayEpoch uint64 `json:"gateway_epoch"`
	Gateway      bool   `json:"gateway"`
}

// Gateway returns the host that is the gateway of a target, or nil.
func (c *Cluster) Gateway(target string) *Host {
	for _, h := range c.Hosts {
		if h.Router == nil || !h.Router.Running() {
			continue
		}
		for _, g := range h.gateways() {
			if g.Target == target && g.Gateway {
				return h
			}
		}
	}
	return nil
}

const stateTimeout = 300 * time.Millisecond

func (h *Host) gateways() []gatewayState {
	var state struct {
		Targets []gatewayState `json:"targets"`
	}
	if getJSON("http://"+h.RouterOps+"/state", &state) != nil {
		return nil
	}
	return state.Targets
}

// IsStoreReachable reports whether the host's placer says that it reaches the
// store.
func (h *Host) IsStoreReachable() bool {
	var state struct {
		StoreHeard bool `json:"store_heard"`
	}
	return getJSON("http://"+h.PlacerOps+"/state", &state) == nil && state.StoreHeard
}

// IsActing reports whether the host's placer is the acting one of its cell.
func (h *Host) IsActing() bool {
	var state struct {
		Acting bool `json:"acting"`
	}
	return getJSON("http://"+h.PlacerOps+"/state", &state) == nil && state.Acting
}

// ActingPlacer returns the host of the acting placer, or nil.
func (c *Cluster) ActingPlacer() *Host {
	for _, h := range c.Hosts {
		if h.Placer.Running() && h.IsActing() {
			return h
		}
	}
	return nil
}

func getJSON(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(into), "decode response")
}

// WaitServing returns once a request for every key has run. If ctx ends first,
// it returns an error with the outcome for the first key that is not served.
func (c *Cluster) WaitServing(ctx context.Context, keys []string) error {
	return c.WaitServingAt(ctx, c.Hosts, keys)
}

// WaitServingAt is like WaitServing, but sends its requests only to the given
// hosts.
func (c *Cluster) WaitServingAt(ctx context.Context, hosts []*Host, keys []string) error {
	const pollInterval = 50 * time.Millisecond
	caller := newCaller(hosts)
	for _, key := range keys {
		for {
			result := caller.send(ctx, requestSpec{method: http.MethodGet, path: "/holdings?work_ms=0", key: key, idempotent: true})
			if result.Outcome == "ran" {
				break
			}
			if ctx.Err() != nil {
				return errors.Newf("key %s is not served: outcome %q, reason %q", key, result.Outcome, caller.lastReason())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
