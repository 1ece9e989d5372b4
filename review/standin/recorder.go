package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// run is one execution of a request that began at a server.
type run struct {
	id, server string
	born       int64
	at         time.Time
	method     string
	uri, path  string
	host       string
	bodyBytes  int
	key        int
}

// recorder writes down what was sent, answered and run.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	out     *bufio.Writer
	runs    []run
	done    map[string]bool // by request
	servers []*server
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, out: bufio.NewWriter(file), done: make(map[string]bool)}, nil
}

// logf writes one line with the seconds since the start.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes a line to the record and to standard output.
func (r *recorder) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func (r *recorder) seconds(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *recorder) addServer(s *server) {
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	r.logf("server %s (born %d) of %s starts at %s", s.id, s.born, s.service, s.addr)
}

func (r *recorder) addRun(x run) {
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.logf("server %s (born %d) runs %s: %s %s host %s, body of %d bytes, key %d", x.server, x.born, x.id, x.method, x.uri, x.host, x.bodyBytes, x.key)
}

func (r *recorder) markDone(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done[id] = true
}

func (r *recorder) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}

// overlap is a time in which two lives of servers that were up held the same key.
type overlap struct {
	key         int
	a, b        *server
	from, until time.Time
	fences      [2]uint64
}

// overlaps returns the overlaps of at least the given length, the longest of each pair
// of servers.
func (r *recorder) overlaps(atLeast time.Duration) []overlap {
	r.mu.Lock()
	servers := slices.Clone(r.servers)
	r.mu.Unlock()
	now := time.Now()
	var out []overlap
	for i, a := range servers {
		for _, b := range servers[:i] {
			if a.service != b.service {
				continue
			}
			longest := overlap{}
			for key := 0; key < keyCount; key += keyStep {
				for _, x := range a.holdsOf(key, now) {
					for _, y := range b.holdsOf(key, now) {
						from, until := later(x.from, y.from), earlier(x.until, y.until)
						if until.Sub(from) > longest.until.Sub(longest.from) {
							longest = overlap{key, a, b, from, until, [2]uint64{x.fence, y.fence}}
						}
					}
				}
			}
			if longest.a != nil && longest.until.Sub(longest.from) >= atLeast {
				out = append(out, longest)
			}
		}
	}
	return out
}

// holdsOf returns the times in which this life held a key while it was up.
func (s *server) holdsOf(key int, now time.Time) []hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keys[key]
	if k == nil {
		return nil
	}
	end := now
	if !s.endedAt.IsZero() {
		end = s.endedAt
	}
	var out []hold
	for _, h := range k.holds {
		h.until = earlier(h.until, end)
		if h.from.Before(h.until) {
			out = append(out, h)
		}
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
