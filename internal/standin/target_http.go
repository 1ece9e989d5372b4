package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/standin/judge"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// Headers exchanged between gateways and targets.
const (
	requestIDHeader      = "Mangopost-Request-Id"
	clientHeader         = "Mangopost-Client"
	keyHeader            = "Mangopost-Key"
	idempotencyKeyHeader = "Idempotency-Key"
	shardHeader          = "Mangopost-Shard"
	ownerEpochHeader     = "Mangopost-Owner-Epoch"
	gatewayEpochHeader   = "Mangopost-Gateway-Epoch"
	deadlineHeader       = "Mangopost-Deadline-Ms"
	refusedHeader        = "Mangopost-Refused"
	grantHeader          = "Mangopost-Grant"
)

const maxRequestBytes = 64 << 20

func (t *Target) handler(p *process) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /mangopost/grant", func(w http.ResponseWriter, r *http.Request) { t.serveGrant(w, r, p) })
	mux.HandleFunc("POST /mangopost/drain", func(w http.ResponseWriter, r *http.Request) { t.serveDrain(w, r, p) })
	mux.HandleFunc("GET /mangopost/health", func(w http.ResponseWriter, r *http.Request) { t.serveHealth(w, r, p) })
	mux.HandleFunc("GET /mangopost/load", func(w http.ResponseWriter, r *http.Request) { t.serveLoad(w, r, p) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { t.serveRequest(w, r, p) })
	return mux
}

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request, p *process) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil || t.waitUnfrozen(p.ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	if !t.opts.ChecksGrants {
		writeJSON(w, http.StatusNotFound, errorResponse{"target does not check grants"})
		return
	}
	grant, err := DecodeGrant(body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	var refusal *lease.Refusal
	if errors.As(p.guard.accept(grant), &refusal) {
		writeJSON(w, http.StatusConflict, grantRefusal{Error: string(refusal.Reason), GatewayEpoch: uint64(refusal.Gateway)})
		return
	}
	if t.waitUnfrozen(p.ctx) == nil {
		writeJSON(w, http.StatusOK, grantAck{Ack: grant.Seq, InHeaders: true})
	}
}

// acceptRenewal records the grant in a request's header, if any, and acknowledges
// it in the response. A refused grant is not acknowledged and has no other effect on
// the request.
func (t *Target) acceptRenewal(w http.ResponseWriter, r *http.Request, p *process) {
	value := r.Header.Get(grantHeader)
	if value == "" || !t.opts.ChecksGrants {
		return
	}
	grant, err := DecodeRenewal(value)
	if err != nil || p.guard.accept(grant) != nil {
		return
	}
	w.Header().Set(grantHeader, strconv.FormatUint(grant.Seq, 10))
}

func (t *Target) serveDrain(w http.ResponseWriter, _ *http.Request, p *process) {
	t.drain(p)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request, p *process) {
	if t.waitUnfrozen(p.ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	t.acceptRenewal(w, r, p)
	healthy := !p.draining.Load()
	if claim := t.Faults().Health; claim != HealthActual {
		healthy = claim == HealthUp
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request, p *process) {
	if t.waitUnfrozen(p.ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	faults := t.Faults()
	load := loadResponse{Running: p.slots.running(), Slots: t.opts.Slots}
	load.Running = t.loads.recordAndGet(load.Running, time.Now(), milliseconds(faults.LagMS))
	if faults.Running != nil {
		load.Running = *faults.Running
	}
	writeJSON(w, http.StatusOK, load)
}

// runResponse is the response body of a request that ran.
type runResponse struct {
	RequestID string `json:"request_id"`
	Target    string `json:"target"`
	Key       string `json:"key,omitempty"`
	Run       uint64 `json:"run"`
	Padding   string `json:"padding,omitempty"`
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request, p *process) {
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBytes)); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := t.requestContext(r, p)
	defer cancel()
	if t.waitUnfrozen(ctx) != nil {
		panic(http.ErrAbortHandler)
	}
	t.acceptRenewal(w, r, p)
	claim := parseClaim(t.opts.Service, r.Header)
	if refusal := t.refusalFor(p, claim, time.Now()); refusal != RefusedNone {
		refuse(w, r, refusal)
		return
	}
	if !p.slots.acquire(ctx) {
		refuse(w, r, RefusedShedding)
		return
	}
	defer p.slots.release()
	// The grant may have expired during the wait for a slot.
	start := time.Now()
	if refusal := t.refusalFor(p, claim, start); refusal != RefusedNone {
		refuse(w, r, refusal)
		return
	}
	t.run(ctx, w, r, p, claim, start)
}

// requestContext returns a context that ends with the target's process and, unless
// the options say otherwise, with the connection or at the request's deadline.
func (t *Target) requestContext(r *http.Request, p *process) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(p.ctx)
	if !t.opts.KeepsCancelled {
		context.AfterFunc(r.Context(), cancel)
	}
	ms, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	if err != nil || t.opts.KeepsLate || ms <= 0 || ms > maxFaultMS {
		return ctx, cancel
	}
	deadlineCtx, stopDeadline := context.WithTimeout(ctx, milliseconds(ms))
	return deadlineCtx, func() { stopDeadline(); cancel() }
}

func parseClaim(service string, header http.Header) claim {
	shard, err := strconv.ParseUint(header.Get(shardHeader), 10, 32)
	owner, _ := strconv.ParseUint(header.Get(ownerEpochHeader), 10, 64)
	gateway, _ := strconv.ParseUint(header.Get(gatewayEpochHeader), 10, 64)
	return claim{
		keyed: err == nil,
		shard: lease.ShardEpoch{
			Shard: ownership.ShardRef{Service: service, Shard: uint32(shard)},
			Epoch: ownership.Epoch(owner),
		},
		gateway: lease.GatewayEpoch(gateway),
	}
}

func (t *Target) refusalFor(p *process, c claim, now time.Time) Refusal {
	if p.draining.Load() {
		return RefusedDraining
	}
	if t.Faults().Shed {
		return RefusedShedding
	}
	if t.opts.ChecksGrants {
		return p.guard.check(c, now)
	}
	return RefusedNone
}

func refuse(w http.ResponseWriter, r *http.Request, refusal Refusal) {
	status := http.StatusConflict
	if refusal == RefusedShedding || refusal == RefusedDraining {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set(refusedHeader, string(refusal))
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	w.WriteHeader(status)
}

// run runs a request and sends the response. The caller holds a slot. The run starts
// at the clock reading at which the grant was checked: a process that is paused after
// that continues only if the grant still covers the request.
func (t *Target) run(ctx context.Context, w http.ResponseWriter, r *http.Request, p *process, c claim, start time.Time) {
	record := judge.Run{
		RequestID:      r.Header.Get(requestIDHeader),
		IdempotencyKey: r.Header.Get(idempotencyKeyHeader),
		Client:         r.Header.Get(clientHeader),
		Service:        t.opts.Service,
		Method:         r.Method,
		Path:           r.URL.Path,
		Key:            r.Header.Get(keyHeader),
		Shard:          c.shard.Shard.Shard,
		Target:         t.opts.Name,
		OwnerEpoch:     uint64(c.shard.Epoch),
		GatewayEpoch:   uint64(c.gateway),
		Start:          start.UnixNano(),
	}
	number := t.runs.open(record)
	if wantsCrash(r) {
		time.AfterFunc(crashDelay, func() { t.crash(p) })
	}
	lastAdvance, done := t.doWork(ctx, start, t.serviceTime(r, p), func(now time.Time) bool { return t.mayContinue(p, c, now) })
	outcome := t.runOutcome(p, c, done)
	t.runs.close(number, outcome, lastAdvance.UnixNano())
	if outcome != judge.RunComplete {
		panic(http.ErrAbortHandler)
	}
	response := &runResponse{RequestID: record.RequestID, Target: t.opts.Name, Key: record.Key, Run: number}
	t.writeResponse(w, r, p, response)
}

// mayContinue reports whether a running request's grant still covers it.
func (t *Target) mayContinue(p *process, c claim, now time.Time) bool {
	return !t.opts.ChecksGrants || p.guard.mayContinue(c, now)
}

func (t *Target) runOutcome(p *process, c claim, done bool) judge.RunOutcome {
	switch {
	case p.ctx.Err() != nil:
		return judge.RunCrashed
	case done:
		return judge.RunComplete
	case !t.mayContinue(p, c, time.Now()):
		return judge.RunLapsed
	default:
		return judge.RunCancelled
	}
}

// writeResponse sends the response of a completed run, subject to the answer faults.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, p *process, response *runResponse) {
	faults, n := t.Faults(), t.completed.Add(1)
	previous := p.previousResponse.Swap(response)
	if isNth(faults.LoseAnswerEvery, n) {
		panic(http.ErrAbortHandler)
	}
	if isNth(faults.CrossAnswerEvery, n) && previous != nil {
		response = previous
	}
	response = response.withPadding(minResponseBytes(r))
	body, _ := json.Marshal(response)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(requestIDHeader, response.RequestID)
	if isNth(faults.CutAnswerEvery, n) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func isNth(every, n uint64) bool { return every > 0 && n%every == 0 }

func (r *runResponse) withPadding(n int) *runResponse {
	padded := *r
	padded.Padding = strings.Repeat("x", n)
	return &padded
}
