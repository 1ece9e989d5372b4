package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestClassify(t *testing.T) {
	tests := []struct {
		name  string
		reply Reply
		want  Outcome
	}{
		{"nothing sent", Reply{Failed: true}, OutcomeNotRun},
		{"no answer", Reply{Sent: true, Failed: true}, OutcomeUnknown},
		{"answer to another request", Reply{Sent: true, Status: 200}, OutcomeUnknown},
		{"answer", Reply{Sent: true, Status: 200, IDMatches: true}, OutcomeRan},
		{"error answer", Reply{Sent: true, Status: 500, IDMatches: true}, OutcomeRan},
		{"refused", Reply{Sent: true, Status: 409, Refused: RefusedNoGrant, IDMatches: true}, OutcomeNotRun},
		{"refusal of another request", Reply{Sent: true, Status: 409, Refused: RefusedNoGrant}, OutcomeUnknown},
		{"refused with 200", Reply{Sent: true, Status: 200, Refused: RefusedShedding, IDMatches: true}, OutcomeRan},
		{"refused for an unknown reason", Reply{Sent: true, Status: 409, Refused: "x", IDMatches: true}, OutcomeRan},
		{"503", Reply{Sent: true, Status: 503, IDMatches: true}, OutcomeRan},
		{"503 of a target that refuses first", Reply{Sent: true, Status: 503, IDMatches: true, RefusesFirst: true}, OutcomeNotRun},
		{"409 of a target that refuses first", Reply{Sent: true, Status: 409, IDMatches: true, RefusesFirst: true}, OutcomeRan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, Classify(tt.reply), tt.want) })
	}
}

func TestMayRetry(t *testing.T) {
	now := time.Second
	tests := []struct {
		name    string
		attempt Attempt
		want    RetryReason
	}{
		{"not run", Attempt{Outcome: OutcomeNotRun}, RetryAllowed},
		{"ran", Attempt{Outcome: OutcomeRan, Idempotent: true}, RetryRan},
		{"unknown", Attempt{Outcome: OutcomeUnknown}, RetryMayHaveRun},
		{"unknown, idempotent", Attempt{Outcome: OutcomeUnknown, Idempotent: true}, RetryAllowed},
		{"unspecified", Attempt{}, RetryMayHaveRun},
		{"poisoned", Attempt{Outcome: OutcomeNotRun, Poisoned: true}, RetryPoison},
		{"maximum tries reached", Attempt{Outcome: OutcomeNotRun, Tries: MaxTries}, RetryTries},
		{"deadline out of reach", Attempt{Outcome: OutcomeNotRun, Deadline: now + 5, Expected: 5}, RetryDeadline},
		{"deadline in reach", Attempt{Outcome: OutcomeNotRun, Deadline: now + 6, Expected: 5}, RetryAllowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			budget := NewBudget(BudgetConfig{Ratio: 0.1, Burst: 1})
			assert.Equal(t, MayRetry(now, tt.attempt, budget), tt.want)
			taken := tt.want == RetryAllowed
			assert.Equal(t, budget.Tokens() == 0, taken)
		})
	}
}

// TestBudgetLimitsRetriesToRatioAndBurst checks that retries add at most the
// ratio and the burst, however many requests fail.
func TestBudgetLimitsRetriesToRatioAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := BudgetConfig{
			Ratio: float64(rapid.IntRange(0, 10).Draw(t, "percent")) / 10,
			Burst: float64(rapid.IntRange(1, 20).Draw(t, "burst")),
		}
		budget := NewBudget(cfg)
		first, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				first++
				budget.RecordFirstTry()
			} else if MayRetry(0, Attempt{Outcome: OutcomeNotRun}, budget) == RetryAllowed {
				retries++
			}
			assert.Assert(t, float64(retries) <= cfg.Burst+cfg.Ratio*float64(first)+1e-6)
		}
	})
}

func crash(target string, run uint64, at time.Time) Crash {
	return Crash{Target: target, Run: run, AtMS: at.UnixMilli()}
}

func TestPoisonQuarantinesAtTheSecondCrash(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := NewPoison(DefaultPoison)
	_, changed := p.RecordCrash(1, "katalog", "uni", crash("t1", 4, now))
	assert.Assert(t, changed)
	_, changed = p.RecordCrash(1, "katalog", "uni", crash("t1", 4, now))
	assert.Assert(t, !changed, "the same crash reported twice")
	assert.Assert(t, !p.Quarantined(now, 1))
	s, _ := p.RecordCrash(1, "katalog", "uni", crash("t2", 9, now))
	assert.Assert(t, p.Quarantined(now, 1))
	assert.Equal(t, len(s.Crashes), 2)
	assert.Assert(t, !p.Quarantined(now.Add(DefaultPoison.Retention+time.Second), 1))
	assert.Equal(t, p.Len(), 0)
}

func TestPoisonClearsSuspectThatRanBeforeQuarantine(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := NewPoison(DefaultPoison)
	p.RecordCrash(1, "katalog", "uni", crash("t1", 1, now))
	assert.Assert(t, p.RecordRun(1))
	p.RecordCrash(1, "katalog", "uni", crash("t2", 1, now))
	assert.Assert(t, !p.Quarantined(now, 1))
	p.RecordCrash(1, "katalog", "uni", crash("t3", 1, now))
	assert.Assert(t, !p.RecordRun(1), "a run that began before the quarantine does not lift it")
	assert.Assert(t, p.Quarantined(now, 1))
	p.Release(1)
	assert.Assert(t, !p.Quarantined(now, 1))
}

func TestQuarantinedRequestGetsOneProbe(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	due := now.Add(DefaultPoison.Probation + time.Millisecond)
	p := NewPoison(DefaultPoison)
	p.RecordCrash(1, "katalog", "uni", crash("t1", 1, now))
	assert.Assert(t, !p.ProbeDue(due, 1), "not quarantined")
	s, _ := p.RecordCrash(1, "katalog", "uni", crash("t2", 1, now))
	assert.Assert(t, !p.ProbeDue(now.Add(DefaultPoison.Probation), 1))
	assert.Assert(t, p.ProbeDue(due, 1))
	s.ProbeMS = due.UnixMilli()
	_, changed := p.Merge(s)
	assert.Assert(t, changed)
	assert.Assert(t, !p.ProbeDue(due, 1), "another host took the probe")
	p.RecordCrash(2, "katalog", "uni", crash("t1", 1, now))
	p.RecordCrash(2, "katalog", "uni", crash("t2", 1, now))
	p.RecordCrash(2, "katalog", "uni", crash("t3", 1, now))
	assert.Assert(t, !p.ProbeDue(due, 2), "a third target was lost")
}

// TestPoisonMergeConvergesAndIsBounded checks that tables that exchange records
// in any order and number agree, and that their size is bounded.
func TestPoisonMergeConvergesAndIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewPoison(DefaultPoison), NewPoison(DefaultPoison)
		for range rapid.IntRange(0, 12).Draw(t, "crashes") {
			fp := Fingerprint(rapid.IntRange(1, 4).Draw(t, "fp"))
			c := crash(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target")), uint64(rapid.IntRange(1, 2).Draw(t, "run")), now)
			rapid.SampledFrom([]*Poison{a, b}).Draw(t, "host").RecordCrash(fp, "s", "c", c)
		}
		for range 2 {
			for _, s := range a.Export() {
				b.Merge(s)
			}
			for _, s := range b.Export() {
				a.Merge(s)
			}
		}
		for fp := Fingerprint(1); fp <= 4; fp++ {
			assert.Equal(t, a.Quarantined(now, fp), b.Quarantined(now, fp))
		}
	})
	small := NewPoison(PoisonConfig{CrashThreshold: 2, MaxEntries: 3, Retention: time.Hour})
	for fp := range Fingerprint(100) {
		small.RecordCrash(fp, "s", "c", crash("t", uint64(fp), now))
		assert.Assert(t, small.Len() <= 3)
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	fp, err := ParseFingerprint(Fingerprint(0xabc).String())
	assert.NilError(t, err)
	assert.Equal(t, fp, Fingerprint(0xabc))
	_, err = ParseFingerprint("no number")
	assert.ErrorContains(t, err, "fingerprint")
}

func TestLinkBudget(t *testing.T) {
	b := NewLinkBudget(0, LinkConfig{BytesPerSecond: 1000, Burst: time.Second, OptionalFraction: 0.5})
	assert.Assert(t, b.Allows(0, LinkOverflow, 500))
	b.RecordSent(0, LinkOverflow, 500)
	assert.Assert(t, !b.Allows(0, LinkRetries, 100), "the optional budget is used up")
	assert.Assert(t, b.Allows(0, LinkRequests, 5000), "traffic that must cross is always allowed")
	b.RecordSent(0, LinkRequests, 5000)
	assert.Assert(t, !b.Allows(time.Second, LinkOverflow, 100), "traffic that must cross used up the budget")
	assert.Assert(t, b.Allows(2*time.Second, LinkOverflow, 100))
	assert.Equal(t, b.Total(LinkRequests), uint64(5000))
	assert.Equal(t, b.Total(LinkOverflow), uint64(500))
}

func BenchmarkMayRetry(b *testing.B) {
	budget := NewBudget(DefaultBudget)
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordFirstTry()
		MayRetry(0, Attempt{Outcome: OutcomeNotRun}, budget)
	}
}
