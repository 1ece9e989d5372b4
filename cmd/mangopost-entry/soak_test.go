package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/platform"

	links "github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/platform/standin"
)

// soakSeeds are the seeds that CI runs. A seed that once failed is kept, with the
// cause of its failure.
var soakSeeds = []uint64{1}

// TestSoak injects faults into real processes that use stand-ins of the store and
// of targets, and checks what callers and targets observed.
// MANGOPOST_SOAK_SEEDS=FROM-TO runs other seeds, MANGOPOST_SOAK_SECONDS sets the
// duration of each, and MANGOPOST_SOAK_LOGS names a directory for the logs of
// failed ones.
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
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed, length) })
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

func runSoak(t *testing.T, seed uint64, length time.Duration) {
	s := newSoakSystem(t, seed)
	s.awaitReady()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { s.sendRequests(i, stop) })
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		s.injectFault()
		time.Sleep(time.Duration(100+s.rand.IntN(400)) * time.Millisecond)
	}
	s.endFaults()
	s.awaitReady()
	s.awaitService()
	close(stop)
	callers.Wait()
	time.Sleep(300 * time.Millisecond) // lets requests still running at targets end
	s.checkResults()
	if t.Failed() {
		t.Logf("seed %d, faults:\n%s", seed, strings.Join(s.events, "\n"))
		s.keepLogs(seed)
	}
}

func (s *soakSystem) keepLogs(seed uint64) {
	dir := os.Getenv("MANGOPOST_SOAK_LOGS")
	if dir == "" {
		return
	}
	for _, h := range s.hosts {
		data, err := os.ReadFile(h.log.Name())
		assert.Check(s.t, err)
		assert.Check(s.t, os.WriteFile(fmt.Sprintf("%s/seed-%d-%s.log", dir, seed, h.name), data, 0o600))
	}
}

// awaitReady waits until every host reports that it is ready.
func (s *soakSystem) awaitReady() {
	s.t.Helper()
	s.await("every host is ready", func() bool {
		for _, h := range s.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
}

// awaitService waits until each host serves all kinds of requests.
func (s *soakSystem) awaitService() {
	s.t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	round := 0
	s.await("every host serves", func() bool {
		round++
		first := len(s.callsSnapshot())
		for i, h := range s.hosts {
			for key := 0; key < 65536; key += 16384 {
				s.sendRequest(client, h, fmt.Sprintf("end-%d-%d-%d", round, i, key), "search", key)
			}
			s.sendRequest(client, h, fmt.Sprintf("end-%d-%d", round, i), "charge", 0)
		}
		for _, c := range s.callsSnapshot()[first:] {
			if strings.HasPrefix(c.id, "end-") && c.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// awaitLimit bounds the wait of a test that hangs. It is far above the time
// needed, so that the result does not depend on the machine's speed.
const awaitLimit = 90 * time.Second

func (s *soakSystem) await(condition string, isMet func() bool) {
	s.t.Helper()
	for end := time.Now().Add(awaitLimit); !isMet(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Errorf("not reached within %v: %s", awaitLimit, condition)
			return
		}
	}
}

func (s *soakSystem) callsSnapshot() []*soakCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*soakCall(nil), s.calls...)
}

// sendRequests sends requests of all kinds until stop is closed.
func (s *soakSystem) sendRequests(caller int, stop <-chan struct{}) {
	r := rand.New(rand.NewPCG(uint64(caller), 2))
	client := &http.Client{Timeout: 3 * time.Second}
	kinds := []string{"search", "order", "charge"}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+r.IntN(60)) * time.Millisecond):
		}
		h := s.hosts[r.IntN(len(s.hosts))]
		s.sendRequest(client, h, fmt.Sprintf("c%d-%d", caller, i), kinds[r.IntN(len(kinds))], r.IntN(1024)*64)
	}
}

// injectFault injects one random fault. Faults may overlap: each ends
// independently.
func (s *soakSystem) injectFault() {
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	duration := time.Duration(300+s.rand.IntN(3000)) * time.Millisecond
	faults := []func(){
		func() {
			s.logEvent("kill %s", h.name)
			h.stop(syscall.SIGKILL)
			s.after(duration/4, func() { s.restart(h) })
		},
		func() {
			s.logEvent("freeze %s for %v", h.name, duration)
			h.signal(syscall.SIGSTOP)
			s.after(duration, func() { h.signal(syscall.SIGCONT) })
		},
		func() { s.logEvent("terminate %s", h.name); go func() { h.stop(syscall.SIGTERM); s.restart(h) }() },
		func() { s.logEvent("hangup %s", h.name); h.signal(syscall.SIGHUP) },
		func() { s.injectStoreFault(duration) },
		func() { s.injectLinkFault(h, duration) },
		func() { s.logEvent("compact"); s.store.Compact() },
		func() { s.logEvent("configure"); s.configure() },
		func() { s.restoreStore(duration / 2) },
		func() { s.replaceTarget(true) },
		func() { s.replaceTarget(false) },
		func() {
			s.logEvent("late grants for %v", duration)
			s.behaviour.LateGrants.Store(true)
			s.after(duration, func() { s.behaviour.LateGrants.Store(false) })
		},
		func() {
			s.logEvent("lost answers for %v", duration)
			s.behaviour.LoseAnswer.Store(true)
			s.after(duration, func() { s.behaviour.LoseAnswer.Store(false) })
		},
		func() {
			s.logEvent("extra answers for %v", duration)
			s.behaviour.ExtraAnswer.Store(true)
			s.after(duration, func() { s.behaviour.ExtraAnswer.Store(false) })
		},
	}
	faults[s.rand.IntN(len(faults))]()
}

// restoreStore lets the store come back from a copy that is as old as the duration. The
// operator writes its newest configuration again, targets write their entries again, and
// those of targets that have ended lapse.
func (s *soakSystem) restoreStore(age time.Duration) {
	s.logEvent("copy of the store, restored after %v", age)
	copied := s.store.Copy()
	s.after(age, func() {
		s.store.Restore(copied)
		s.configure()
		for _, name := range s.endedTargets() {
			s.store.Remove(platform.TargetPrefix + name)
		}
	})
}

// endedTargets returns the names under which no target runs any more.
func (s *soakSystem) endedTargets() (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.names {
		if !slices.ContainsFunc(s.targets, func(t *standin.Target) bool { return t.Name == name }) {
			names = append(names, name)
		}
	}
	return names
}

func (s *soakSystem) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (s *soakSystem) after(d time.Duration, f func()) { time.AfterFunc(d, f) }

func (s *soakSystem) restart(h *soakHost) {
	h.mu.Lock()
	up := h.isUp
	h.mu.Unlock()
	if up {
		return
	}
	if err := h.start(); err != nil {
		s.t.Errorf("start %s: %v", h.name, err)
	}
}

func (s *soakSystem) injectStoreFault(duration time.Duration) {
	fault := standin.Fault(1 + s.rand.IntN(6))
	s.logEvent("store fault %d for %v", fault, duration)
	s.fault.Store(int64(fault))
	s.after(duration, func() { s.fault.CompareAndSwap(int64(fault), int64(standin.None)) })
}

func (s *soakSystem) injectLinkFault(h *soakHost, duration time.Duration) {
	faults := []links.LinkFaults{{CutUp: true, CutDown: true}, {CutDown: true}, {CutUp: true}, {Refuse: true}, {DelayMS: 120}}
	f := faults[s.rand.IntN(len(faults))]
	s.logEvent("link of %s: %+v for %v", h.name, f, duration)
	assert.Check(s.t, h.link.SetFaults(f))
	s.after(duration, func() { _ = h.link.SetFaults(links.LinkFaults{}) }) // the link may be closed at the end of the test
}

// replaceTarget stops one target, with or without notice, and starts another or
// the same one again.
func (s *soakSystem) replaceTarget(planned bool) {
	s.mu.Lock()
	i := s.rand.IntN(len(s.targets))
	old := s.targets[i]
	s.targets = append(s.targets[:i:i], s.targets[i+1:]...)
	name := old.Name
	if s.rand.IntN(2) == 0 {
		name = fmt.Sprintf("%s+", name)
	}
	s.mu.Unlock()
	s.logEvent("replace %s by %s, planned %v", old.Name, name, planned)
	if !planned {
		old.Stop()
		s.after(200*time.Millisecond, func() { s.startTarget(old.Service, name) })
		return
	}
	if name == old.Name {
		name += "'"
	}
	s.startTarget(old.Service, name)
	old.Leave()
	s.after(soakDrainBound+time.Second, old.Stop)
}

// endFaults ends all faults and waits until every process runs again.
func (s *soakSystem) endFaults() {
	s.logEvent("all faults end")
	time.Sleep(3500 * time.Millisecond) // the longest fault ends by itself in this time
	s.fault.Store(int64(standin.None))
	for _, h := range s.hosts {
		assert.Check(s.t, h.link.SetFaults(links.LinkFaults{}))
		h.signal(syscall.SIGCONT)
	}
	s.await("every process runs", func() bool {
		for _, h := range s.hosts {
			h.mu.Lock()
			up := h.isUp
			h.mu.Unlock()
			if !up {
				return false
			}
		}
		return true
	})
}

// checkResults checks the answers and runs of all requests.
func (s *soakSystem) checkResults() {
	for _, fault := range s.recorder.Violations() {
		s.t.Errorf("two owners: %s", fault)
	}
	for _, h := range s.hosts {
		assert.Check(s.t, len(h.unexpectedExits) == 0, "%s exited unexpectedly: %v", h.name, h.unexpectedExits)
	}
	served := 0
	for _, c := range s.callsSnapshot() {
		runs := s.recorder.Runs(c.id)
		unsafe := c.kind == "order" || c.kind == "charge"
		if unsafe && len(runs) > 1 {
			s.t.Errorf("%s %s ran %d times: %+v", c.kind, c.id, len(runs), runs)
		}
		switch c.status {
		case http.StatusOK:
			served++
			s.checkAnswer(c, runs)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
			if unsafe && len(runs) > 0 {
				s.t.Errorf("%s %s was refused and ran: %+v", c.kind, c.id, runs)
			}
		case http.StatusNotFound, http.StatusBadRequest:
			s.t.Errorf("%s %s: status %d", c.kind, c.id, c.status)
		}
	}
	s.t.Logf("%d requests, %d served, %d faults", len(s.callsSnapshot()), served, len(s.events))
	assert.Check(s.t, served > 0)
}

// checkAnswer checks that an answer is the complete answer that a target which ran
// the request made for it.
func (s *soakSystem) checkAnswer(c *soakCall, runs []standin.Run) {
	body := ""
	if c.kind == "order" || c.kind == "charge" {
		body = "body-" + c.id
	}
	for _, r := range runs {
		if c.body == fmt.Sprintf("%s %s %s", r.Target, c.path, body) {
			return
		}
	}
	s.t.Errorf("%s %s: answer %q matches none of its runs %+v", c.kind, c.id, c.body, runs)
}
