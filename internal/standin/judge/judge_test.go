package judge

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func newRun(id, idempotencyKey, key, target string, epoch uint64, start, end int64) Run {
	return Run{
		RequestID: id, IdempotencyKey: idempotencyKey, Client: "usm", Service: "pinjaman", Key: key,
		Target: target, OwnerEpoch: epoch, Start: start, End: end, Outcome: RunComplete,
	}
}

func newResponse(id, idempotencyKey string, outcome Outcome, echoedID string) Response {
	return Response{
		RequestID: id, IdempotencyKey: idempotencyKey, Client: "usm", Service: "pinjaman",
		Outcome: outcome, EchoedID: echoedID, Answered: 100,
	}
}

func withShard(shard uint32, r Run) Run {
	r.Shard = shard
	return r
}

func TestCheckFindsViolations(t *testing.T) {
	cases := []struct {
		name      string
		runs      []Run
		responses []Response
		want      [6]int // counts of duplicate runs, overlaps, not-run but ran, wrong answers, ran without run, refused repeats
	}{
		{
			name:      "no violation",
			runs:      []Run{newRun("r1", "i1", "k", "t1", 1, 0, 10), newRun("r2", "i2", "k", "t2", 2, 10, 20)},
			responses: []Response{newResponse("r1", "i1", OutcomeRan, "r1"), newResponse("r2", "i2", OutcomeRan, "r2"), newResponse("r3", "i3", OutcomeNotRun, "")},
		},
		{
			name: "two runs with the same idempotency key",
			runs: []Run{newRun("r1", "i1", "", "t1", 1, 0, 10), newRun("r2", "i1", "", "t1", 1, 20, 30)},
			want: [6]int{1},
		},
		{
			name:      "non-idempotent request without a key runs twice",
			runs:      []Run{newRun("r1", "", "", "t1", 1, 0, 10), newRun("r1", "", "", "t1", 1, 20, 30)},
			responses: []Response{newResponse("r1", "", OutcomeUnknown, "")},
			want:      [6]int{1},
		},
		{
			name:      "idempotent request runs twice",
			runs:      []Run{newRun("r1", "", "", "t1", 1, 0, 10), newRun("r1", "", "", "t1", 1, 20, 30)},
			responses: []Response{{RequestID: "r1", Client: "usm", Service: "pinjaman", Idempotent: true, Outcome: OutcomeRan, EchoedID: "r1"}},
		},
		{
			name: "runs of a key at two targets overlap",
			runs: []Run{newRun("r1", "", "k", "t1", 1, 0, 10), newRun("r2", "", "k", "t2", 2, 9, 20)},
			want: [6]int{0, 1},
		},
		{
			name: "second target starts while the first run is open",
			runs: []Run{newRun("r1", "", "k", "t1", 1, 0, 0), newRun("r2", "", "k", "t2", 2, 9, 20)},
			want: [6]int{0, 1},
		},
		{
			name: "overlap with a long run that a shorter run at the same target follows",
			runs: []Run{newRun("r1", "", "k", "t1", 1, 0, 50), newRun("r2", "", "k", "t1", 1, 1, 2), newRun("r3", "", "k", "t2", 2, 9, 20)},
			want: [6]int{0, 1},
		},
		{
			name: "earlier owner runs the key at an older epoch",
			runs: []Run{newRun("r1", "", "k", "t2", 2, 0, 10), newRun("r2", "", "k", "t1", 1, 20, 30)},
			want: [6]int{0, 1},
		},
		{
			name: "key is pinned at epoch 1 of the pin and unpinned at a higher epoch",
			runs: []Run{withShard(4, newRun("r1", "", "k", "t1", 3, 0, 10)), withShard(267, newRun("r2", "", "k", "t2", 1, 20, 30)), withShard(4, newRun("r3", "", "k", "t1", 5, 40, 50))},
		},
		{
			name: "shard that a pinned key left runs it at the same epoch",
			runs: []Run{withShard(4, newRun("r1", "", "k", "t1", 3, 0, 10)), withShard(267, newRun("r2", "", "k", "t2", 1, 20, 30)), withShard(4, newRun("r3", "", "k", "t1", 3, 40, 50))},
			want: [6]int{0, 1},
		},
		{
			name: "pin runs a key after it was unpinned",
			runs: []Run{withShard(267, newRun("r1", "", "k", "t2", 1, 0, 10)), withShard(4, newRun("r2", "", "k", "t1", 5, 20, 30)), withShard(267, newRun("r3", "", "k", "t2", 1, 40, 50))},
			want: [6]int{0, 1},
		},
		{
			name: "service that is not keyed",
			runs: []Run{newRun("r1", "", "", "t1", 0, 0, 10), newRun("r2", "", "", "t2", 0, 0, 10)},
		},
		{
			name:      "request answered not-run ran",
			runs:      []Run{newRun("r1", "i1", "", "t1", 1, 0, 10)},
			responses: []Response{newResponse("r1", "i1", OutcomeNotRun, "")},
			want:      [6]int{0, 0, 1},
		},
		{
			name:      "repeat refused after the first attempt ran",
			runs:      []Run{newRun("r1", "i1", "", "t1", 1, 0, 10)},
			responses: []Response{newResponse("r1", "i1", OutcomeUnknown, ""), newResponse("r2", "i1", OutcomeNotRun, "")},
			want:      [6]int{0, 0, 0, 0, 0, 1},
		},
		{
			name:      "response carries the answer of another request",
			runs:      []Run{newRun("r1", "i1", "", "t1", 1, 0, 10), newRun("r2", "i2", "", "t1", 1, 0, 10)},
			responses: []Response{newResponse("r1", "i1", OutcomeRan, "r2")},
			want:      [6]int{0, 0, 0, 1},
		},
		{
			name:      "repeat gets the replayed answer",
			runs:      []Run{newRun("r1", "i1", "", "t1", 1, 0, 10)},
			responses: []Response{newResponse("r2", "i1", OutcomeRan, "r1")},
		},
		{
			name:      "request answered ran has no run",
			responses: []Response{newResponse("r1", "i1", OutcomeRan, "r1")},
			want:      [6]int{0, 0, 0, 0, 1},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Check(c.runs, c.responses)
			got := [6]int{
				len(r.DuplicateRuns), len(r.Overlaps), len(r.NotRunButRan),
				len(r.WrongAnswers), len(r.RanWithoutRun), len(r.RefusedRepeats),
			}
			assert.Equal(t, got, c.want)
		})
	}
}

func TestReadRunsKeepsLastLineOfEachRun(t *testing.T) {
	text := `{"number":1,"target":"t1","outcome":"open","start_ns":5}
{"number":1,"target":"t2","outcome":"open","start_ns":6}
{"number":1,"target":"t1","outcome":"complete","start_ns":5,"end_ns":9}
`
	runs, err := ReadRuns(strings.NewReader(text + `{"number":2,"ta`))
	assert.NilError(t, err)
	MarkOpenCrashed(runs, 20)
	assert.DeepEqual(t, runs, []Run{
		{Number: 1, Target: "t1", Outcome: RunComplete, Start: 5, End: 9},
		{Number: 1, Target: "t2", Outcome: RunCrashed, Start: 6, End: 20},
	})
	_, err = ReadRuns(strings.NewReader("{\n" + text))
	assert.ErrorContains(t, err, "run 1")
}
