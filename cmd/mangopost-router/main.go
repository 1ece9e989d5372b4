// Command mangopost-router is the data path process of a host. It accepts
// callers' requests and is the gateway of targets.
package main

import (
	"context"
	"os"

	"github.com/mangopost/mangopost/internal/daemon"
	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/router"
	"github.com/mangopost/mangopost/lease"

	_ "github.com/mangopost/mangopost/plugin/balance"
	_ "github.com/mangopost/mangopost/plugin/queue"
)

func main() {
	os.Exit(daemon.Main("mangopost-router", run))
}

func run(ctx context.Context, env daemon.Env) error {
	h := env.Host
	store := platform.NewClient(platform.Options{
		Addr:        h.Platform.Addr,
		Caller:      h.Identity.Name,
		CallTimeout: h.Platform.Timeout(),
	})
	return router.New(routerConfig(env), store, env.Logger).Run(ctx)
}

func routerConfig(env daemon.Env) router.Config {
	h := env.Host
	cfg := router.Config{
		Self:       lease.Incarnation{Host: h.Identity.Name, Run: env.Run},
		DataCentre: h.Identity.DataCentre,
		Region:     h.Identity.Region,
		Cell:       h.Identity.Cell,
		Peers:      h.Router.Peers,
		Advertise:  h.Router.Advertise,
		Operators:  h.Router.Operators,
		Placers:    append([]string{h.Placer.Peers}, h.Placer.Seeds...),
		DedupBytes: h.Limits.DedupBytes,
		Memory:     h.Limits.MemoryBytes,
		Files:      h.Limits.MaxFiles,
		Timing:     lease.DefaultTiming,
		ServerTLS:  env.ServerTLS,
		ClientTLS:  env.ClientTLS,
		Record:     env.Record,
	}
	for _, c := range h.Callers {
		cfg.Callers = append(cfg.Callers, router.Listener{
			Addr:              c.Listen,
			TrustClientHeader: c.TrustClientHeader,
			Client:            c.Client,
			MaxHeaderBytes:    c.MaxHeaderBytes,
			MaxBodyBytes:      c.MaxBodyBytes,
			ReadTimeout:       c.ReadTimeout(),
			MaxConnections:    c.MaxConnections,
		})
	}
	return cfg
}
