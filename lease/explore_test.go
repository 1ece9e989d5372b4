package lease_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/lease"
)

// checksVariable is the environment variable that sets the number of explorations.
const checksVariable = "MANGOPOST_CHECKS"

func TestMain(m *testing.M) {
	number := os.Getenv(checksVariable)
	if number == "" {
		number = "100"
	}
	for name, value := range map[string]string{"rapid.checks": number, "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// plan is the sequence of events of one exploration.
type plan struct {
	Seed   uint64
	Events []event
}

var plans = rapid.Custom(func(t *rapid.T) plan {
	events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			Wait: rapid.IntRange(0, 60).Draw(t, "wait"),
			Kind: rapid.IntRange(0, len(eventKinds)-1).Draw(t, "kind"),
			Host: rapid.IntRange(0, 2).Draw(t, "host"),
			Arg:  rapid.IntRange(0, 5).Draw(t, "arg"),
		}
	}), 5, 60)
	return plan{Seed: rapid.Uint64().Draw(t, "seed"), Events: events.Draw(t, "events")}
})

// maxRecoverySteps is the number of steps within which everything must be served again
// after the last failure ended.
const maxRecoverySteps = 1500

// run executes a plan, ends all failures and lets the model settle.
func (p plan) run(w *model) {
	for range 80 {
		w.step()
	}
	for _, e := range p.Events {
		for range e.Wait {
			w.step()
		}
		eventKinds[e.Kind](w, w.hosts[(e.Host+e.Arg*initialVoters)%len(w.hosts)], e.Arg)
		if w.violation != "" {
			return
		}
	}
	w.heal()
	for n := range maxRecoverySteps {
		w.step()
		if w.violation != "" || (n > maxRecoverySteps/10 && w.settled()) {
			return
		}
	}
}

// settled reports whether everything is served and no change is unfinished.
func (w *model) settled() bool {
	for _, s := range allShards(w.store.page) {
		if s.Move != nil {
			return false
		}
	}
	settled := w.store.record.Settled && (w.store.farRecord.Settled || w.store.farRecord.Number == 0)
	return settled && len(w.unserved()) == 0
}

// unserved returns the shards that nobody has run within the last half second.
func (w *model) unserved() []string {
	var missing []string
	for n, s := range allShards(w.store.page) {
		if s.Target == "" {
			continue
		}
		if w.now-w.lastStart[uint32(n)] > 500*time.Millisecond {
			missing = append(missing, fmt.Sprint("shard ", n))
		}
	}
	return missing
}

func TestExploration(t *testing.T) {
	t.Parallel()
	seen := explore(t, func(*model) {})
	assertReached(t, seen, "gateway takeovers", "lost moves", "planned moves", "next owners", "release calls", "floors", "voter restarts", "pins", "handovers", "lines that follow another", "renewals on requests", "lines that follow a move")
}

func TestExplorationOfTwoCells(t *testing.T) {
	t.Parallel()
	seen := explore(t, (*model).addFarCell)
	assertReached(t, seen, "gateway takeovers", "moves between cells", "lost moves", "planned moves")
}

// explore executes plans in prepared models and sums the events that they reached.
func explore(t *testing.T, prepare func(*model)) map[string]int {
	counts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		p := plans.Draw(rt, "plan")
		w := newModel(p.Seed, lease.NoFault)
		prepare(w)
		p.run(w)
		if w.violation != "" {
			rt.Fatal(w.violation)
		}
		if !w.settled() {
			rt.Fatalf("not settled after all failures ended; unserved: %v\n%s", w.unserved(), w.describe())
		}
		for what, n := range w.counts {
			counts[what] += n
		}
	})
	return counts
}

func assertReached(t *testing.T, seen map[string]int, events ...string) {
	t.Helper()
	t.Log(seen)
	for _, what := range events {
		assert.Assert(t, seen[what] > 0, "the exploration reached no %s: %v", what, seen)
	}
}

// describe formats the state of every process.
func (w *model) describe() string {
	out := fmt.Sprintf("record %+v\npage %+v\n", w.store.record, w.store.page)
	for _, h := range w.hosts {
		v, r := h.placer, h.router
		now := r.clock.read(w.now)
		out += fmt.Sprintf("%s: voter %v ready %v record %d settled %v needs floor %v\n", h.name, v.inc, v.voter.Ready(),
			v.voter.Record(), v.voter.Settled(), v.voter.NeedsFloor(v.clock.read(w.now)))
		for _, s := range r.holder.Targets(now) {
			out += fmt.Sprintf("  %+v\n", s)
		}
		for _, s := range r.holder.Shards(now) {
			out += fmt.Sprintf("  %+v\n", s)
		}
	}
	return out + fmt.Sprint(slices.Sorted(maps.Keys(w.cutLinks)))
}
