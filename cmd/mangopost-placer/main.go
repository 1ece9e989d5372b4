// Command mangopost-placer is the control process of a host. It votes on leases,
// maintains its cell's membership record and the shard maps, and distributes
// stored objects.
package main

import (
	"context"
	"os"
	"runtime"

	"github.com/mangopost/mangopost/internal/daemon"
	"github.com/mangopost/mangopost/internal/placer"
	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
)

// maxProcessors limits how many threads of a placer run Go code at once. With
// more, an idle process spends its time waking threads.
const maxProcessors = 2

func main() {
	limitProcessors()
	os.Exit(daemon.Main("mangopost-placer", run))
}

// limitProcessors applies maxProcessors unless GOMAXPROCS is set in the
// environment.
func limitProcessors() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(maxProcessors, runtime.GOMAXPROCS(0)))
	}
}

func run(ctx context.Context, env daemon.Env) error {
	h := env.Host
	store := platform.NewClient(platform.Options{
		Addr:        h.Platform.Addr,
		Caller:      h.Identity.Name,
		CallTimeout: h.Platform.Timeout(),
		WatchWait:   placer.WatchWait,
	})
	cfg := placer.Config{
		Self:       lease.Incarnation{Host: h.Identity.Name, Run: env.Run},
		DataCentre: h.Identity.DataCentre,
		Region:     h.Identity.Region,
		Cell:       h.Identity.Cell,
		Peers:      h.Placer.Peers,
		Advertise:  h.Placer.Advertise,
		Operators:  h.Placer.Operators,
		Seeds:      h.Placer.Seeds,
		Timing:     lease.DefaultTiming,
		ServerTLS:  env.ServerTLS,
		ClientTLS:  env.ClientTLS,
		Record:     env.Record,
	}
	return placer.New(cfg, store, env.Logger).Run(ctx)
}
