package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

// callerTimeout bounds one HTTP exchange of a caller. It is longer than the
// request deadline.
const callerTimeout = 5 * time.Second

// maxResponseBytes limits how much of a response body a caller reads.
const maxResponseBytes = 1 << 20

// requestSpec describes one attempt of a request.
type requestSpec struct {
	method, path   string
	key            string
	idempotent     bool
	idempotencyKey string
	firstSent      time.Time
	attempt        int
}

// caller sends requests to the hosts in rotation, like a load balancer without
// health checks, and records the results.
type caller struct {
	hosts    []*Host
	client   http.Client
	nextHost atomic.Uint64
	lastID   atomic.Uint64
	prefix   string

	mu      sync.Mutex
	results []judge.Response
	sent    map[string]sendRecord // by request ID
	reason  string
}

// sendRecord holds the host that an attempt was sent to and the time of
// sending.
type sendRecord struct {
	host   *Host
	sentAt int64 // Unix nanoseconds
}

var callerCount atomic.Uint64

func newCaller(hosts []*Host) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &caller{
		hosts:  hosts,
		client: http.Client{Transport: transport, Timeout: callerTimeout},
		prefix: fmt.Sprintf("c%d-", callerCount.Add(1)),
		sent:   make(map[string]sendRecord),
	}
}

// send makes one attempt and records its result.
func (c *caller) send(ctx context.Context, spec requestSpec) judge.Response {
	result := judge.Response{
		RequestID:      c.prefix + strconv.FormatUint(c.lastID.Add(1), 10),
		IdempotencyKey: spec.idempotencyKey,
		Client:         ClientName,
		Service:        Service,
		Idempotent:     spec.idempotent,
		Sent:           time.Now().UnixNano(),
	}
	reason := c.roundTrip(ctx, c.pickHost(result), spec, &result)
	result.Answered = time.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, result)
	c.reason = reason
	return result
}

// pickHost returns the next host in rotation and records that the request is
// sent to it.
func (c *caller) pickHost(result judge.Response) *Host {
	host := c.hosts[c.nextHost.Add(1)%uint64(len(c.hosts))]
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[result.RequestID] = sendRecord{host: host, sentAt: result.Sent}
	return host
}

func (c *caller) roundTrip(ctx context.Context, host *Host, spec requestSpec, result *judge.Response) string {
	req, err := http.NewRequestWithContext(ctx, spec.method, "http://"+host.Callers+"/"+Service+spec.path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Mangopost-Client", ClientName)
	req.Header.Set("Mangopost-Key", spec.key)
	req.Header.Set("Mangopost-Request-Id", result.RequestID)
	if spec.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", spec.idempotencyKey)
		req.Header.Set("Mangopost-First-Sent", strconv.FormatInt(spec.firstSent.UnixMilli(), 10))
		req.Header.Set("Mangopost-Attempt", strconv.Itoa(spec.attempt))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err.Error()
	}
	result.Outcome = judge.Outcome(resp.Header.Get("Mangopost-Outcome"))
	result.Replayed = resp.Header.Get("Mangopost-Replayed") == "true"
	var echo struct {
		RequestID string `json:"request_id"`
	}
	if result.Outcome == judge.OutcomeRan && json.Unmarshal(body, &echo) == nil {
		result.EchoedID = echo.RequestID
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Mangopost-Reason"))
}

func (c *caller) lastReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

func (c *caller) allResults() []judge.Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]judge.Response(nil), c.results...)
}
