package dedup_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

var (
	shard = ownership.ShardRef{Service: "pinjaman", Shard: 3}
	epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

const (
	horizon = time.Minute
	skew    = 200 * time.Millisecond
)

func newTable(bytes int64) *dedup.Table {
	t := dedup.New(dedup.Config{Bytes: bytes, Horizon: horizon, Skew: skew})
	t.Open(epoch, shard)
	return t
}

func request(key string, firstSent time.Time) dedup.Request {
	return dedup.Request{Shard: shard, Client: "uni", Key: key, FirstSent: firstSent, Fingerprint: 7}
}

func timeAt(d time.Duration) time.Time { return epoch.Add(d) }

func ranWith(body string) dedup.Result {
	return dedup.Result{Outcome: routing.OutcomeRan, Answer: &dedup.Answer{Status: 200, Body: []byte(body)}}
}

func TestRepeatVerdicts(t *testing.T) {
	now := timeAt(10 * time.Second)
	tests := []struct {
		name        string
		finish      *dedup.Result
		fingerprint uint64
		want        dedup.Kind
		reason      dedup.Reason
	}{
		{"while the first run is in progress", nil, 7, dedup.Join, dedup.ReasonNone},
		{"after the first run", pointerTo(ranWith("loan 1")), 7, dedup.Replay, dedup.ReasonNone},
		{"after an answer too long to keep", &dedup.Result{Outcome: routing.OutcomeRan}, 7, dedup.Unknown, dedup.ReasonAnswerDropped},
		{"after an unknown outcome", &dedup.Result{Outcome: routing.OutcomeUnknown}, 7, dedup.Unknown, dedup.ReasonOutcome},
		{"after a request that was not run", &dedup.Result{Outcome: routing.OutcomeNotRun}, 7, dedup.Run, dedup.ReasonNone},
		{"with the key of another request", pointerTo(ranWith("loan 1")), 8, dedup.Mismatch, dedup.ReasonNone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(1 << 20)
			first := table.Begin(now, request("k", now))
			assert.Equal(t, first.Kind, dedup.Run)
			if tt.finish != nil {
				assert.Assert(t, table.Finish(now, first.Ticket, *tt.finish))
			}
			repeat := request("k", now)
			repeat.Fingerprint = tt.fingerprint
			got := table.Begin(now.Add(time.Second), repeat)
			assert.Equal(t, got.Kind, tt.want)
			assert.Equal(t, got.Reason, tt.reason)
			if got.Kind == dedup.Replay {
				assert.Equal(t, string(got.Answer.Body), "loan 1")
			}
			if got.Kind == dedup.Join {
				assert.Equal(t, got.Ticket, first.Ticket)
			}
		})
	}
}

func pointerTo[T any](v T) *T { return &v }

func TestBeginChecksFirstSent(t *testing.T) {
	tests := []struct {
		name  string
		now   time.Duration // after the time since which the table is complete
		first time.Time
		want  dedup.Kind
	}{
		{"before the table was complete", time.Second, timeAt(-time.Second), dedup.Unknown},
		{"within the skew after the table was complete", time.Second, timeAt(skew), dedup.Unknown},
		{"after the skew", time.Second, timeAt(skew + 1), dedup.Run},
		{"unknown, young table", time.Second, time.Time{}, dedup.Unknown},
		{"unknown, old table", horizon + 2*skew, time.Time{}, dedup.Run},
		{"in the future within the skew", time.Second, timeAt(time.Second + skew), dedup.Run},
		{"in the future beyond the skew, young table", time.Second, timeAt(time.Second + skew + 1), dedup.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := newTable(1<<20).Begin(timeAt(tt.now), request("k", tt.first))
			assert.Equal(t, got.Kind, tt.want)
		})
	}
}

func TestRequestsWithoutKeyAlwaysRun(t *testing.T) {
	table := newTable(0)
	for range 3 {
		got := table.Begin(epoch, request("", time.Time{}))
		assert.Equal(t, got.Kind, dedup.Run)
		assert.Assert(t, !table.Finish(epoch, got.Ticket, ranWith("page")))
	}
	assert.Equal(t, table.Stats().Entries, 0)
}

func TestBeginOfShardNotOpenIsUnknown(t *testing.T) {
	table := dedup.New(dedup.Config{Bytes: 1 << 20, Horizon: horizon})
	got := table.Begin(epoch, request("k", epoch))
	assert.Equal(t, got.Kind, dedup.Unknown)
	assert.Equal(t, got.Reason, dedup.ReasonNotOpen)
}

func TestAnswersAreDroppedBeforeKeys(t *testing.T) {
	table := newTable(3000)
	at := func(i int) time.Time { return timeAt(time.Duration(i) * time.Second) }
	for i := 1; i <= 4; i++ {
		v := table.Begin(at(i), request(string(rune('a'+i)), at(i)))
		assert.Equal(t, v.Kind, dedup.Run)
		assert.Assert(t, table.Finish(at(i), v.Ticket, ranWith(string(make([]byte, 1000)))))
	}
	assert.Equal(t, table.Stats().DroppedKeys, uint64(0))
	assert.Equal(t, table.Begin(at(5), request("b", at(1))).Reason, dedup.ReasonAnswerDropped)
	assert.Equal(t, table.Begin(at(5), request("e", at(4))).Kind, dedup.Replay)

	for i := 6; i <= 12; i++ {
		v := table.Begin(at(i), request(string(rune('a'+i)), at(i)))
		assert.Assert(t, table.Finish(at(i), v.Ticket, dedup.Result{Outcome: routing.OutcomeUnknown}))
	}
	assert.Assert(t, table.Stats().DroppedKeys > 0)
	since, open := table.CompleteSince(shard)
	assert.Assert(t, open && since.After(epoch))
	assert.Equal(t, table.Begin(at(13), request("b", at(1))).Reason, dedup.ReasonBeforeTable)
}

func TestTableFullOfRunningKeysRefuses(t *testing.T) {
	table := newTable(700)
	now := timeAt(time.Second)
	assert.Equal(t, table.Begin(now, request("a", now)).Kind, dedup.Run)
	assert.Equal(t, table.Begin(now, request("b", now)).Kind, dedup.Run)
	assert.Equal(t, table.Begin(now, request("c", now)).Kind, dedup.Full)
}

func TestFinishAfterCloseAndReopenIsIgnored(t *testing.T) {
	table := newTable(1 << 20)
	now := timeAt(time.Second)
	first := table.Begin(now, request("k", now))
	table.Close(shard)
	assert.Equal(t, table.Stats().Running, 0)
	table.Open(now, shard)
	later := now.Add(time.Second)
	second := table.Begin(later, request("k", later))
	assert.Equal(t, second.Kind, dedup.Run)
	assert.Assert(t, !table.Finish(later, first.Ticket, ranWith("old")))
	assert.Equal(t, table.Begin(later, request("k", later)).Kind, dedup.Join)
}

func TestClockSetBackKeepsAnswers(t *testing.T) {
	table := newTable(1 << 20)
	v := table.Begin(timeAt(time.Hour), request("k", timeAt(time.Hour)))
	assert.Assert(t, table.Finish(timeAt(time.Hour), v.Ticket, ranWith("x")))
	assert.Equal(t, table.Begin(timeAt(time.Second), request("k", timeAt(time.Hour))).Kind, dedup.Replay)
}
