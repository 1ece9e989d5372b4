package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const hostName = "shop.example" // of all routes

// route returns a route of the manifest.
func route(name, kind, service string, timeoutMs int) any {
	return map[string]any{
		"name": "r-" + name, "host": hostName, "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
		"timeoutMs": timeoutMs, "targetLatencyMs": 800, "priority": 1, "maxAttempts": 2,
	}
}

// plainService returns a service without keys of the manifest.
func plainService(name string, maxConns int) any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": maxConns, "protocol": "h1", "tls": false}
}

// configure writes a manifest with the limits of the small deployments.
func (s *system) configure(routes, services []any) {
	s.store.Set("config/main", map[string]any{
		"version": "0000000c", "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// callers are ordinary clients, which send one request after the other.
type callers struct {
	name, method, path string
	record             *record
	timeBudget         time.Duration
	body               string
	kept               bool   // connections are kept open
	ip                 string // the clients' address; empty: any
	sent, served       atomic.Int64
	number             atomic.Int64
}

// send sends one request and returns its status, or the error.
func (c *callers) send(client *http.Client, h *host) string { return c.sendKey(client, h, -1) }

// sendKey is send for a request that carries a key, unless it is negative.
func (c *callers) sendKey(client *http.Client, h *host, key int) string {
	id := fmt.Sprintf("%s-%d", c.name, c.number.Add(1))
	req, err := http.NewRequest(c.method, "http://"+h.addr()+c.path, strings.NewReader(c.body))
	must(err)
	req.Host = hostName
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.timeBudget.Milliseconds()))
	if key >= 0 {
		req.Header.Set("Shard-Key", fmt.Sprint(key))
	}
	c.sent.Add(1)
	resp, err := client.Do(req)
	if err != nil {
		c.record.line("%s sent to %s: %v", id, h.name, err)
		return err.Error()
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.record.line("%s sent to %s: %d, then %v", id, h.name, resp.StatusCode, err)
		return err.Error()
	}
	c.record.line("%s sent to %s: %d, seal %q, Retry-After %q", id, h.name, resp.StatusCode, resp.Header.Get("Response-Seal"), resp.Header.Get("Retry-After"))
	if resp.StatusCode == http.StatusOK && resp.Header.Get("Response-Seal") != "" {
		c.served.Add(1)
	}
	return fmt.Sprint(resp.StatusCode)
}

// run lets count clients send to a machine, each gap after its last answer, until stop
// is closed.
func (c *callers) run(wg *sync.WaitGroup, h *host, count int, gap time.Duration, stop <-chan struct{}) {
	for i := range count {
		wg.Go(func() {
			client := c.client()
			time.Sleep(gap * time.Duration(i) / time.Duration(count))
			for !isClosed(stop) {
				c.send(client, h)
				select {
				case <-stop:
				case <-time.After(gap):
				}
			}
		})
	}
}

func (c *callers) client() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	if c.ip != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.ip)}
	}
	return &http.Client{Timeout: c.timeBudget + time.Second, Transport: &http.Transport{
		DisableKeepAlives: !c.kept, MaxIdleConnsPerHost: 100, DialContext: dialer.DialContext,
	}}
}

// load sends perSecond requests a second to a machine until stop is closed, whether or
// not earlier ones were answered.
func (c *callers) load(wg *sync.WaitGroup, h *host, perSecond int, stop <-chan struct{}) {
	wg.Go(func() {
		client := c.client()
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for !isClosed(stop) {
			<-ticker.C
			wg.Go(func() { c.send(client, h) })
		}
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
