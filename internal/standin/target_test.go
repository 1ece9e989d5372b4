package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

func startTarget(t *testing.T, opts TargetOptions) *Target {
	t.Helper()
	opts.Name, opts.Service = "katalog-1", "katalog"
	target, err := NewTarget(opts)
	assert.NilError(t, err)
	assert.NilError(t, target.Start())
	t.Cleanup(func() {
		target.opts.RestartMS = 0
		target.Crash()
	})
	return target
}

type response struct {
	status  int
	refused Refusal
	body    string
	err     error
}

// send sends a request. headers alternates header names and values.
func send(ctx context.Context, target *Target, method, path, body string, headers ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.Addr()+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, refused: Refusal(resp.Header.Get(refusedHeader)), body: string(data), err: err}
}

func waitForRuns(t *testing.T, target *Target, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(target.Runs()) >= n {
			return poll.Success()
		}
		return poll.Continue("%d runs", len(target.Runs()))
	})
}

func waitForRunEnd(t *testing.T, target *Target, number int) judge.Run {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if target.Runs()[number-1].Outcome != judge.RunOpen {
			return poll.Success()
		}
		return poll.Continue("open")
	})
	return target.Runs()[number-1]
}

func TestTargetRecordsCompletedRun(t *testing.T) {
	target := startTarget(t, TargetOptions{})
	got := send(t.Context(), target, "POST", "/holdings?work_ms=1", "x",
		requestIDHeader, "r1", keyHeader, "k1", clientHeader, "usm", idempotencyKeyHeader, "i1",
		shardHeader, "3", ownerEpochHeader, "7", gatewayEpochHeader, "2")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	var answer runResponse
	assert.NilError(t, json.Unmarshal([]byte(got.body), &answer))
	assert.DeepEqual(t, answer, runResponse{RequestID: "r1", Target: "katalog-1", Key: "k1", Run: 1})

	run := target.Runs()[0]
	assert.Assert(t, run.Start > 0 && run.End >= run.Start)
	run.Start, run.End = 0, 0
	assert.DeepEqual(t, run, judge.Run{
		Number: 1, RequestID: "r1", IdempotencyKey: "i1", Client: "usm", Service: "katalog",
		Method: "POST", Path: "/holdings", Key: "k1", Shard: 3, Target: "katalog-1",
		OwnerEpoch: 7, GatewayEpoch: 2, Outcome: judge.RunComplete,
	})
}

func TestTargetShedsWhenSlotsAreFull(t *testing.T) {
	target := startTarget(t, TargetOptions{Slots: 1})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan response)
	go func() { done <- send(ctx, target, "GET", "/?work_ms=60000", "") }()
	waitForRuns(t, target, 1)
	got := send(t.Context(), target, "GET", "/", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.refused, RefusedShedding)

	cancel()
	assert.ErrorIs(t, (<-done).err, context.Canceled)
	assert.Equal(t, waitForRunEnd(t, target, 1).Outcome, judge.RunCancelled)
	assert.Equal(t, len(target.Runs()), 1)
}

func TestRunIsCancelledAtDeadline(t *testing.T) {
	target := startTarget(t, TargetOptions{})
	got := send(t.Context(), target, "GET", "/?work_ms=60000", "", deadlineHeader, "20")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, waitForRunEnd(t, target, 1).Outcome, judge.RunCancelled)
}

func TestDrainingTargetRefusesNewRequests(t *testing.T) {
	target := startTarget(t, TargetOptions{Slots: 2})
	done := make(chan response)
	go func() { done <- send(t.Context(), target, "GET", "/?work_ms=100", "") }()
	waitForRuns(t, target, 1)
	assert.Equal(t, send(t.Context(), target, "POST", "/mangopost/drain", "").status, http.StatusNoContent)
	assert.Equal(t, send(t.Context(), target, "GET", "/", "").refused, RefusedDraining)
	assert.Equal(t, send(t.Context(), target, "GET", "/mangopost/health", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, (<-done).status, http.StatusOK)
}

func TestCrashRequestCrashesTargetAndItRestarts(t *testing.T) {
	target := startTarget(t, TargetOptions{RestartMS: 20})
	got := send(t.Context(), target, "GET", "/?work_ms=60000", "", CrashHeader, "1")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, waitForRunEnd(t, target, 1).Outcome, judge.RunCrashed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := send(t.Context(), target, "GET", "/?work_ms=0", ""); got.err != nil {
			return poll.Continue("%v", got.err)
		}
		return poll.Success()
	})
	assert.Equal(t, len(target.Runs()), 2)
}

func TestTargetFaults(t *testing.T) {
	target := startTarget(t, TargetOptions{})
	running := 99
	target.SetFaults(TargetFaults{Shed: true, Health: HealthUp, Running: &running})
	assert.Equal(t, send(t.Context(), target, "GET", "/", "").refused, RefusedShedding)
	assert.Equal(t, send(t.Context(), target, "GET", "/mangopost/health", "").status, http.StatusOK)
	assert.Assert(t, strings.Contains(send(t.Context(), target, "GET", "/mangopost/load", "").body, "99"))

	target.SetFaults(TargetFaults{LoseAnswerEvery: 1})
	assert.Assert(t, send(t.Context(), target, "GET", "/?work_ms=0", "").err != nil)
	target.SetFaults(TargetFaults{CutAnswerEvery: 1})
	assert.ErrorIs(t, send(t.Context(), target, "GET", "/?work_ms=0&bytes=1000", "").err, io.ErrUnexpectedEOF)
	target.SetFaults(TargetFaults{CrossAnswerEvery: 1})
	got := send(t.Context(), target, "GET", "/?work_ms=0", "", requestIDHeader, "r9")
	assert.Assert(t, strings.Contains(got.body, `"run":2`), got.body)
	assert.Equal(t, len(target.Runs()), 3)
}

func grantJSON(seq, acknowledges, gateway uint64, ttlMS, epoch int) string {
	return fmt.Sprintf(`{"gateway_epoch":%d,"acknowledges":%d,"ttl_ms":%d,"seq":%d,"shards":[{"service":"katalog","shard":3,"epoch":%d}]}`,
		gateway, acknowledges, ttlMS, seq, epoch)
}

func sendKeyed(t *testing.T, target *Target, owner, gateway string) response {
	t.Helper()
	return send(t.Context(), target, "GET", "/?work_ms=0", "", shardHeader, "3", ownerEpochHeader, owner, gatewayEpochHeader, gateway)
}

func TestRequestsAreCheckedAgainstGrants(t *testing.T) {
	target := startTarget(t, TargetOptions{ChecksGrants: true})
	grant := func(text string) response { return send(t.Context(), target, "POST", "/mangopost/grant", text) }

	assert.Equal(t, sendKeyed(t, target, "7", "2").refused, RefusedNoGrant)
	assert.Equal(t, strings.TrimSpace(grant(grantJSON(1, 0, 2, 30_000, 7)).body), `{"ack":1,"in_headers":true}`)
	assert.Equal(t, sendKeyed(t, target, "7", "2").refused, RefusedNoGrant)
	assert.Equal(t, grant(grantJSON(2, 1, 2, 30_000, 7)).status, http.StatusOK)
	assert.Equal(t, sendKeyed(t, target, "7", "2").status, http.StatusOK)
	assert.Equal(t, sendKeyed(t, target, "8", "2").refused, RefusedNoGrant)
	assert.Equal(t, sendKeyed(t, target, "7", "1").refused, RefusedGatewayEpoch)

	assert.Equal(t, grant(grantJSON(1, 0, 3, 30_000, 8)).status, http.StatusOK)
	assert.Equal(t, grant(grantJSON(2, 1, 3, 30_000, 8)).status, http.StatusOK)
	assert.Equal(t, sendKeyed(t, target, "7", "2").refused, RefusedGatewayEpoch)
	assert.Equal(t, sendKeyed(t, target, "7", "3").refused, RefusedOwnerEpoch)
	assert.Equal(t, grant(grantJSON(3, 2, 2, 30_000, 9)).status, http.StatusConflict)
	assert.Equal(t, grant(`{"seq":0}`).status, http.StatusBadRequest)
	assert.Equal(t, len(target.Runs()), 1)
}

func TestFrozenTargetRunsNothingAfterGrantExpires(t *testing.T) {
	target := startTarget(t, TargetOptions{ChecksGrants: true})
	send(t.Context(), target, "POST", "/mangopost/grant", grantJSON(1, 0, 2, 0, 7))
	send(t.Context(), target, "POST", "/mangopost/grant", grantJSON(2, 1, 2, 50, 7))
	target.SetFaults(TargetFaults{Freeze: true})
	done := make(chan response, 2)
	go func() { done <- sendKeyed(t, target, "7", "2") }()
	go func() { done <- send(t.Context(), target, "POST", "/mangopost/grant", grantJSON(3, 2, 2, 50, 7)) }()
	assert.NilError(t, sleep(t.Context(), milliseconds(120)))
	target.SetFaults(TargetFaults{})
	<-done
	<-done
	assert.Equal(t, sendKeyed(t, target, "7", "2").refused, RefusedNoGrant)
	assert.Equal(t, len(target.Runs()), 0)
}

func TestRunStopsWhenGrantExpires(t *testing.T) {
	target := startTarget(t, TargetOptions{ChecksGrants: true})
	send(t.Context(), target, "POST", "/mangopost/grant", grantJSON(1, 0, 2, 0, 7))
	send(t.Context(), target, "POST", "/mangopost/grant", grantJSON(2, 1, 2, 2000, 7))
	got := send(t.Context(), target, "GET", "/?work_ms=60000", "", shardHeader, "3", ownerEpochHeader, "7", gatewayEpochHeader, "2")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, waitForRunEnd(t, target, 1).Outcome, judge.RunLapsed)
}

func TestServiceTimesAreDeterminedBySeed(t *testing.T) {
	times := ServiceTime{MedianMS: 8, Sigma: 0.4, StragglerPercent: 2, StragglerFactor: 25}
	a, b := newSampler(5), newSampler(5)
	slow := 0
	for range 10_000 {
		ms := a.draw(times)
		assert.Equal(t, ms, b.draw(times))
		if ms > 60 {
			slow++
		}
	}
	assert.Assert(t, slow > 150 && slow < 250, slow)
}

func FuzzDecodeGrant(f *testing.F) {
	f.Add([]byte(grantJSON(2, 1, 3, 390, 7)))
	f.Add([]byte(`{"gateway_epoch":1,"seq":1,"shards":[{"service":"a","shard":1,"epoch":1},{"service":"a","shard":1,"epoch":2}]}`))
	f.Add([]byte(`{"target":"t","faults":{"freeze":true,"health":"up","running":3}}`))
	f.Add([]byte(`{"link":"a","faults":{"cut_up":true,"delay_ms":30}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if grant, err := DecodeGrant(body); err == nil {
			assert.Assert(t, grant.Seq > grant.Acknowledges)
			assert.Assert(t, milliseconds(grant.TTLMS) <= maxGrantTTL)
		}
		if change, err := DecodeTargetFaults(body); err == nil {
			assert.NilError(t, change.Check())
		}
		if change, err := DecodeLinkFaults(body); err == nil {
			assert.NilError(t, change.Check())
		}
	})
}

// TestRequestHeadersRenewGrants checks that a request's grant header renews the grant
// that the request runs under, and that a refused grant is not acknowledged.
func TestRequestHeadersRenewGrants(t *testing.T) {
	target := startTarget(t, TargetOptions{ChecksGrants: true})
	send(t.Context(), target, "POST", "/mangopost/grant", grantJSON(1, 0, 2, 0, 7))
	renew := func(path, value string) (status int, ack string) {
		request, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+target.Addr()+path, nil)
		assert.NilError(t, err)
		for name, value := range map[string]string{
			grantHeader: value, gatewayEpochHeader: "2", shardHeader: "3", ownerEpochHeader: "7", requestIDHeader: "r",
		} {
			request.Header.Set(name, value)
		}
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.StatusCode, response.Header.Get(grantHeader)
	}
	steps := []struct {
		name, path, value string
		status            int
		ack               string
	}{
		{"no grant in force yet", "/a", "", http.StatusConflict, ""},
		{"request renews its own grant", "/a", "2 2 1 30000", http.StatusOK, "2"},
		{"health check renews the grant", "/mangopost/health", "2 3 1 30000", http.StatusOK, "3"},
		{"stale sequence number changes nothing", "/a", "2 2 1 0", http.StatusOK, ""},
		{"grant of an older gateway epoch", "/a", "1 9 1 30000", http.StatusOK, ""},
		{"grant with a shard list that the target lacks", "/a", "2 9 9 30000", http.StatusOK, ""},
		{"malformed header", "/a", "2 9 1", http.StatusOK, ""},
		{"renewal with time to live 0 ends the grant", "/a", "2 4 1 0", http.StatusConflict, "4"},
	}
	for _, s := range steps {
		status, ack := renew(s.path, s.value)
		assert.Equal(t, status, s.status, s.name)
		assert.Equal(t, ack, s.ack, s.name)
	}
}

func FuzzDecodeRenewal(f *testing.F) {
	f.Add("2 18 1 390")
	f.Fuzz(func(t *testing.T, value string) {
		if grant, err := DecodeRenewal(value); err == nil {
			assert.Assert(t, grant.Seq > grant.Acknowledges && grant.SameAs == grant.Acknowledges && grant.SameAs > 0)
			assert.Assert(t, milliseconds(grant.TTLMS) <= maxGrantTTL)
		}
	})
}
