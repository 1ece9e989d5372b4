package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of a long body, below the manifest's maxBodyBytes.
	uploadBytes = 60_000_000
	// shortBytes is the length of a body without the disruption.
	shortBytes = 1800
	// uploads is the number of long bodies that are sent to a machine at once.
	uploads = 4
	// restartDelay is the pause after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

// link is a machine's link of linkMbps, which the uploads share.
type link struct {
	mu   sync.Mutex
	free time.Time // when the bytes sent so far have passed
}

// bytesPerSecond is 1,000 Mbit/s.
const bytesPerSecond = 125_000_000

// pass waits until a number of bytes has passed.
func (l *link) pass(bytes int) {
	l.mu.Lock()
	l.free = later(l.free, time.Now()).Add(time.Duration(bytes) * time.Second / bytesPerSecond)
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// zeros is a body of zeros that is sent over a link.
type zeros struct {
	left int64
	link *link
}

func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := int(min(int64(len(p)), z.left))
	clear(p[:n])
	z.left -= int64(n)
	z.link.pass(n)
	return n, nil
}

// residentBytes returns the memory that a process uses.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

// memoryLimit kills a process that exceeds memoryMb, as the platform does, and starts
// it again.
type memoryLimit struct {
	system *system
	mu     sync.Mutex
	kills  map[string]int
	peak   map[string]int64
	end    chan struct{}
	wait   sync.WaitGroup
}

func (l *memoryLimit) watch(m *machine) {
	defer l.wait.Done()
	for {
		select {
		case <-l.end:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := residentBytes(m.pid())
		l.mu.Lock()
		l.peak[m.name] = max(l.peak[m.name], used)
		l.mu.Unlock()
		if used <= memoryMb<<20 {
			continue
		}
		l.system.record.sayf("machine %s uses %d MB, its limit is %d: the platform kills the process", m.name, used>>20, memoryMb)
		m.kill()
		l.mu.Lock()
		l.kills[m.name]++
		l.mu.Unlock()
		time.Sleep(restartDelay)
		if err := m.start(l.system.record); err != nil {
			l.system.record.sayf("machine %s does not start: %v", m.name, err)
			return
		}
	}
}

// playMemory lets a few clients send long bodies that the manifest allows.
func playMemory(record *recorder, trouble bool) (bool, error) {
	zones = pinjamZones
	s, err := newSystem(record, 0)
	if err != nil {
		return false, err
	}
	defer s.stop()
	s.addService("bayaran", false)
	s.addService("pinjaman", false)
	s.addRoute("r-charge", "/puka111/", "unsafe", "bayaran", 2500)
	s.addRoute("r-request", "/33jv762ih/", "unsafe", "pinjaman", 2500)
	s.configure()
	for i := range 8 {
		if _, err := s.addServer(&server{service: "bayaran", zone: zones[i%len(zones)], slots: 6, work: 180 * time.Millisecond}); err != nil {
			return false, err
		}
		if _, err := s.addServer(&server{service: "pinjaman", zone: zones[i%len(zones)], slots: 6, work: 94 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := s.startMachines(3); err != nil {
		return false, err
	}
	l := &memoryLimit{system: s, kills: make(map[string]int), peak: make(map[string]int64), end: make(chan struct{})}
	for _, m := range s.machines {
		l.wait.Add(1)
		go l.watch(m)
	}
	time.Sleep(stablePeriod)
	t := &traffic{method: http.MethodPost, prefix: "/33jv762ih/", body: "request", perSecond: 25, budget: 3 * time.Second}
	t.start(s)
	c := newClient(record)
	for range 4 {
		time.Sleep(stablePeriod + time.Second)
		for _, m := range s.machines[:2] {
			var all sync.WaitGroup
			var shared link
			for range uploads {
				length := int64(uploadBytes)
				if !trouble {
					length = shortBytes
				}
				all.Go(func() {
					c.send(m, newID("u"), http.MethodPost, "/puka111/"+newID(""), -1, &zeros{length, &shared}, length, 5*time.Second)
				})
			}
			all.Wait()
		}
	}
	time.Sleep(2 * time.Second)
	all := t.stop()
	close(l.end)
	l.wait.Wait()
	return l.judge(all), nil
}

// judge counts the requests of the background traffic that ran at a sound server and
// whose connection ended without an answer.
func (l *memoryLimit) judge(all []sent) bool {
	record := l.system.record
	lost := 0
	for _, x := range all {
		if x.answer.err == nil || x.ended.Sub(x.at) > time.Second || len(record.runsOf(x.id)) == 0 {
			continue
		}
		lost++
		record.logf("request %s was passed on to a server, and its connection ended without an answer: %v", x.id, x.answer.err)
	}
	for name, peak := range l.peak {
		record.sayf("machine %s: at most %d MB, killed %d times for its memory", name, peak>>20, l.kills[name])
	}
	record.sayf("background: %d requests, %.3f served; %d were passed on to a sound server and closed without an answer (at most 3 are allowed)", len(all), servedShare(all), lost)
	return lost > 3
}
