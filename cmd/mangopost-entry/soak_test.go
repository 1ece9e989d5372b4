package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	links "github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/platform/standin"
)

// soakSeeds are run in CI: seeds that failed once stay, with their cause.
var soakSeeds = []uint64{1}

// TestSoak plays faults in series against real processes, stand-ins of the store
// and of targets, and judges by what callers and targets saw.
// MANGOPOST_SOAK_SEEDS=FROM-TO runs others, MANGOPOST_SOAK_SECONDS each for
// longer; MANGOPOST_SOAK_LOGS names a directory for the logs of failed ones.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if text := os.Getenv("MANGOPOST_SOAK_SEEDS"); text != "" {
		seeds = seedRange(t, text)
	}
	length := 10 * time.Second
	if text := os.Getenv("MANGOPOST_SOAK_SECONDS"); text != "" {
		seconds, err := strconv.Atoi(text)
		assert.NilError(t, err)
		length = time.Duration(seconds) * time.Second
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, seed, length) })
	}
}

func seedRange(t *testing.T, text string) (seeds []uint64) {
	t.Helper()
	first, last, _ := strings.Cut(text, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	assert.NilError(t, err)
	to, err := strconv.ParseUint(last, 10, 64)
	assert.NilError(t, err)
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

func soak(t *testing.T, seed uint64, length time.Duration) {
	w := newSoakWorld(t, seed)
	w.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { w.calling(i, stop) })
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		w.injectFault()
		time.Sleep(time.Duration(100+w.rand.IntN(400)) * time.Millisecond)
	}
	w.heal()
	w.awaitReady()
	w.awaitService()
	close(stop)
	callers.Wait()
	time.Sleep(300 * time.Millisecond) // what still runs at targets
	w.check()
	if t.Failed() {
		t.Logf("seed %d, faults:\n%s", seed, strings.Join(w.notes, "\n"))
		w.keepLogs(seed)
	}
}

func (w *soakWorld) keepLogs(seed uint64) {
	dir := os.Getenv("MANGOPOST_SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, h := range w.hosts {
		data, err := os.ReadFile(h.log.Name())
		assert.Check(w.t, err)
		assert.Check(w.t, os.WriteFile(fmt.Sprintf("%s/seed-%d-%s.log", dir, seed, h.name), data, 0o600))
	}
}

// awaitReady waits until every host says that it is ready.
func (w *soakWorld) awaitReady() {
	w.t.Helper()
	w.await("every host is ready", func() bool {
		for _, h := range w.hosts {
			if !h.ready() {
				return false
			}
		}
		return true
	})
}

// awaitService waits until each host serves all kinds of requests.
func (w *soakWorld) awaitService() {
	w.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	round := 0
	w.await("every host serves", func() bool {
		round++
		first := len(w.callsNow())
		for i, h := range w.hosts {
			for key := 0; key < 65536; key += 16384 {
				w.call(client, h, fmt.Sprintf("end-%d-%d-%d", round, i, key), "search", key)
			}
			w.call(client, h, fmt.Sprintf("end-%d-%d", round, i), "charge", 0)
		}
		for _, c := range w.callsNow()[first:] {
			if strings.HasPrefix(c.id, "end-") && c.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// awaitLimit is a limit for a hung test, far above what is needed: its verdict
// does not depend on the machine's speed.
const awaitLimit = 90 * time.Second

func (w *soakWorld) await(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(awaitLimit); !f(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Errorf("not so in %v: %s", awaitLimit, what)
			return
		}
	}
}

func (w *soakWorld) callsNow() []*soakCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*soakCall(nil), w.calls...)
}

// calling sends requests of all kinds until stop.
func (w *soakWorld) calling(caller int, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(uint64(caller), 2))
	client := &http.Client{Timeout: 3 * time.Second}
	kinds := []string{"search", "order", "charge"}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+r.IntN(60)) * time.Millisecond):
		}
		h := w.hosts[r.IntN(len(w.hosts))]
		w.call(client, h, fmt.Sprintf("c%d-%d", caller, i), kinds[r.IntN(len(kinds))], r.IntN(1024)*64)
	}
}

// injectFault brings one fault about. Faults overlap: each ends on its own.
func (w *soakWorld) injectFault() {
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	for_ := time.Duration(300+w.rand.IntN(3000)) * time.Millisecond
	kinds := []func(){
		func() { w.note("kill %s", h.name); h.stop(syscall.SIGKILL); w.later(for_/4, func() { w.restart(h) }) },
		func() {
			w.note("freeze %s for %v", h.name, for_)
			h.signal(syscall.SIGSTOP)
			w.later(for_, func() { h.signal(syscall.SIGCONT) })
		},
		func() { w.note("terminate %s", h.name); go func() { h.stop(syscall.SIGTERM); w.restart(h) }() },
		func() { w.note("hangup %s", h.name); h.signal(syscall.SIGHUP) },
		func() { w.storeFault(for_) },
		func() { w.linkFault(h, for_) },
		func() { w.note("compact"); w.store.Compact() },
		func() { w.note("configure"); w.configure() },
		func() { w.replaceTarget(true) },
		func() { w.replaceTarget(false) },
		func() {
			w.note("late grants for %v", for_)
			w.behaviour.LateGrants.Store(true)
			w.later(for_, func() { w.behaviour.LateGrants.Store(false) })
		},
		func() {
			w.note("lost answers for %v", for_)
			w.behaviour.LoseAnswer.Store(true)
			w.later(for_, func() { w.behaviour.LoseAnswer.Store(false) })
		},
		func() {
			w.note("extra answers for %v", for_)
			w.behaviour.Extra.Store(true)
			w.later(for_, func() { w.behaviour.Extra.Store(false) })
		},
	}
	kinds[w.rand.IntN(len(kinds))]()
}

func (w *soakWorld) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *soakWorld) later(d time.Duration, f func()) { time.AfterFunc(d, f) }

func (w *soakWorld) restart(h *soakHost) {
	h.mu.Lock()
	up := h.up
	h.mu.Unlock()
	if up {
		return
	}
	if err := h.start(); err != nil {
		w.t.Errorf("start %s: %v", h.name, err)
	}
}

func (w *soakWorld) storeFault(for_ time.Duration) {
	fault := standin.Fault(1 + w.rand.IntN(6))
	w.note("store fault %d for %v", fault, for_)
	w.fault.Store(int64(fault))
	w.later(for_, func() { w.fault.CompareAndSwap(int64(fault), int64(standin.None)) })
}

func (w *soakWorld) linkFault(h *soakHost, for_ time.Duration) {
	faults := []links.LinkFaults{{CutUp: true, CutDown: true}, {CutDown: true}, {CutUp: true}, {Refuse: true}, {DelayMS: 120}}
	f := faults[w.rand.IntN(len(faults))]
	w.note("link of %s: %+v for %v", h.name, f, for_)
	assert.Check(w.t, h.link.SetFaults(f))
	w.later(for_, func() { _ = h.link.SetFaults(links.LinkFaults{}) }) // closed at the end
}

// replaceTarget stops one target, with or without notice, and starts another one
// or the same again.
func (w *soakWorld) replaceTarget(planned bool) {
	w.mu.Lock()
	i := w.rand.IntN(len(w.targets))
	old := w.targets[i]
	w.targets = append(w.targets[:i:i], w.targets[i+1:]...)
	name := old.Name
	if w.rand.IntN(2) == 0 {
		name = fmt.Sprintf("%s+", name)
	}
	w.mu.Unlock()
	w.note("replace %s by %s, planned %v", old.Name, name, planned)
	if !planned {
		old.Stop()
		w.later(200*time.Millisecond, func() { w.startTarget(old.Service, name) })
		return
	}
	if name == old.Name {
		name += "'"
	}
	w.startTarget(old.Service, name)
	old.Leave()
	w.later(soakDrain+time.Second, old.Stop)
}

// heal ends all faults and starts what is down.
func (w *soakWorld) heal() {
	w.note("all faults end")
	time.Sleep(3500 * time.Millisecond) // the longest fault ends on its own
	w.fault.Store(int64(standin.None))
	for _, h := range w.hosts {
		assert.Check(w.t, h.link.SetFaults(links.LinkFaults{}))
		h.signal(syscall.SIGCONT)
	}
	w.await("every process runs", func() bool {
		for _, h := range w.hosts {
			h.mu.Lock()
			up := h.up
			h.mu.Unlock()
			if !up {
				return false
			}
		}
		return true
	})
}

// check judges all requests.
func (w *soakWorld) check() {
	for _, fault := range w.judge.Faults() {
		w.t.Errorf("two owners: %s", fault)
	}
	for _, h := range w.hosts {
		assert.Check(w.t, len(h.ownExits) == 0, "%s ended by itself: %v", h.name, h.ownExits)
	}
	served := 0
	for _, c := range w.callsNow() {
		runs := w.judge.Runs(c.id)
		unsafe := c.kind == "order" || c.kind == "charge"
		if unsafe && len(runs) > 1 {
			w.t.Errorf("%s %s ran %d times: %+v", c.kind, c.id, len(runs), runs)
		}
		switch c.status {
		case http.StatusOK:
			served++
			w.checkAnswer(c, runs)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
			if unsafe && len(runs) > 0 {
				w.t.Errorf("%s %s was refused and ran: %+v", c.kind, c.id, runs)
			}
		case http.StatusNotFound, http.StatusBadRequest:
			w.t.Errorf("%s %s: status %d", c.kind, c.id, c.status)
		}
	}
	w.t.Logf("%d requests, %d served, %d faults", len(w.callsNow()), served, len(w.notes))
	assert.Check(w.t, served > 0)
}

// checkAnswer: the answer is the whole one that a target which ran the request
// made for it.
func (w *soakWorld) checkAnswer(c *soakCall, runs []standin.Run) {
	body := ""
	if c.kind == "order" || c.kind == "charge" {
		body = "body-" + c.id
	}
	for _, r := range runs {
		if c.body == fmt.Sprintf("%s %s %s", r.Target, c.path, body) {
			return
		}
	}
	w.t.Errorf("%s %s: answer %q is of none of its runs %+v", c.kind, c.id, c.body, runs)
}
