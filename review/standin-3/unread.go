package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mangopost/mangopost/platform/standin"
)

const (
	crowdSize   = 1900  // clients that ask ahead and don't read
	crowdAnswer = 16000 // bytes of each answer
	crowdAhead  = 400   // requests that each sends ahead at once
	crowdPause  = time.Second
	// slowHeadCrowd clients send a byte of their heads each slowHeadGap.
	slowHeadCrowd = 1700
	slowHeadGap   = 100 * time.Millisecond
	// crowdTaken is the age from which a connection of the crowd counts as taken.
	crowdTaken = 500 * time.Millisecond
	// newConnectionLimit is stablePeriodMs, for which a ready machine may not go without
	// taking a new connection while minTrying clients or more try.
	newConnectionLimit = 4 * time.Second
	minTrying          = 7
	playTime           = 40 * time.Second
	ordinaryGap        = 50 * time.Millisecond
	ordinaryWait       = 3 * time.Second
)

// unread: a crowd of clients sends many requests ahead on each connection and doesn't read
// the answers; ordinary callers with a new connection for each request go on.
func unread(rec *record, dir string) int {
	return shutOut(rec, dir, crowdSize, time.Millisecond, crowdClient)
}

// slowHeads: a crowd of clients sends the heads of its requests a byte at a time.
func slowHeads(rec *record, dir string) int {
	return shutOut(rec, dir, slowHeadCrowd, time.Millisecond, slowHeadClient)
}

// shutOut plays a crowd of such clients beside ordinary callers, and looks for a time in
// which a machine that says it is ready takes no new connection.
func shutOut(rec *record, dir string, crowd int, step time.Duration, client func(*host, string, *atomic.Int64, *atomic.Int64, *gap)) int {
	store := standin.NewStore()
	configure(store, "catalog")
	addr := serveStore(store)
	for i := range 10 {
		startTarget(store, rec, "catalog", fmt.Sprintf("i-%d", i), 30, 5*time.Millisecond)
	}
	h := startHost(dir, "front-1", addr, "")
	h.awaitReady(20 * time.Second)
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var open, closed atomic.Int64
	var taken gap
	taken.take()
	if hasTrouble() {
		for i := range crowd {
			go func() {
				time.Sleep(time.Duration(i) * step)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					client(h, fmt.Sprintf("c%d-%d", i, n), &open, &closed, &taken)
					time.Sleep(crowdPause)
				}
			}()
		}
	}
	var mu sync.Mutex
	results := make(map[string]int)
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < playTime; i++ {
		time.Sleep(ordinaryGap)
		wg.Go(func() {
			at := time.Since(began)
			taken.try()
			result := ordinary(h, fmt.Sprintf("o%d", i))
			if result != "closed" && result != "no answer" {
				taken.take()
			}
			rec.add("ordinary o%d sent at %.2f s: %s", i, at.Seconds(), result)
			mu.Lock()
			results[result]++
			results["all"]++
			mu.Unlock()
		})
		if i%20 == 0 {
			if !h.isReady() {
				taken.take() // it says that it takes none
			}
			rec.add("crowd: %d open, %d ended; VmRSS %d KiB; ready %v", open.Load(), closed.Load(), h.memory("VmRSS"), h.isReady())
		}
	}
	wg.Wait()
	close(stop)
	rec.add("ordinary callers: %v; VmHWM %d KiB", results, h.memory("VmHWM"))
	rec.add("last log line on clients that gave way: %s", h.heldEvents())
	select {
	case err := <-h.ended:
		rec.add("the process ended: %v", err)
		return exitBroken
	default:
	}
	longest, trying := taken.result()
	rec.add("longest time in which a ready machine took no new connection: %v, while %d ordinary clients tried", longest, trying)
	if longest >= newConnectionLimit && trying >= minTrying {
		return exitBroken
	}
	return exitHeld
}

// crowdClient opens a connection, sends requests ahead and does not read.
func crowdClient(h *host, id string, open, closed *atomic.Int64, taken *gap) {
	d := slowReader()
	c, err := d.Dial("tcp", net.JoinHostPort(h.ip, fmt.Sprint(h.callers)))
	if err != nil {
		return
	}
	defer c.Close()
	open.Add(1)
	defer open.Add(-1)
	defer closed.Add(1)
	var b strings.Builder
	for k := range crowdAhead {
		fmt.Fprintf(&b, "GET /browse/%d HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s-%d\r\nDeadline-Ms: 1500\r\n\r\n", crowdAnswer, id, k)
	}
	text := []byte(b.String())
	timer := time.AfterFunc(crowdTaken, taken.take)
	defer timer.Stop()
	for {
		_ = c.SetWriteDeadline(time.Now().Add(15 * time.Second))
		if _, err := c.Write(text); err != nil {
			return
		}
	}
}

// ordinary sends one request on a new connection and tells what came of it.
func ordinary(h *host, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryWait)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/browse/1500", h.ip, h.callers), nil)
	must(err)
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "1500")
	resp, err := client.Do(r)
	if err != nil {
		if ctx.Err() != nil {
			return "no answer"
		}
		return "closed"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken"
	}
	return fmt.Sprint(resp.StatusCode)
}

// gap measures the longest time in which no new connection was taken.
type gap struct {
	mu              sync.Mutex
	last            time.Time
	tries, worstTry int
	worst           time.Duration
}

func (g *gap) try() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tries++
}

func (g *gap) take() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if d := now.Sub(g.last); !g.last.IsZero() && d > g.worst {
		g.worst, g.worstTry = d, g.tries
	}
	g.last, g.tries = now, 0
}

func (g *gap) result() (longest time.Duration, trying int) {
	g.take()
	return g.worst, g.worstTry
}

// slowReader dials connections on which little is received before it is read.
func slowReader() net.Dialer {
	return net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}
}

// heldEvents returns the last of the process's own log lines on clients that had to give way.
func (h *host) heldEvents() string {
	b, _ := os.ReadFile(h.logPath)
	last := "none"
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, "\"descriptors\":") {
			last = line
		}
	}
	return last
}

// slowHeadClient opens a connection and sends the head of a request a byte at a time.
func slowHeadClient(h *host, id string, open, closed *atomic.Int64, taken *gap) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", net.JoinHostPort(h.ip, fmt.Sprint(h.callers)))
	if err != nil {
		return
	}
	defer c.Close()
	open.Add(1)
	defer open.Add(-1)
	defer closed.Add(1)
	timer := time.AfterFunc(crowdTaken, taken.take)
	defer timer.Stop()
	go func() { // notices at once that the connection was closed
		_, _ = c.Read(make([]byte, 1))
		timer.Stop()
		_ = c.Close()
	}()
	head := fmt.Sprintf("GET /browse/1500 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\n", id)
	for i := 0; ; i++ {
		text := "x"
		if i < len(head) {
			text = head[i : i+1]
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		time.Sleep(slowHeadGap)
	}
}
