package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var probing = PoisonConfig{
	CrashThreshold: 3, MaxEntries: 2048, Retention: 24 * time.Hour, SuspectRetention: 10 * time.Minute,
	ProbeDelays: []time.Duration{time.Second, 30 * time.Second, 10 * time.Minute},
}

// withoutProbes is the rule of before: only a run before the quarantine clears a request.
var withoutProbes = PoisonConfig{CrashThreshold: 3, MaxEntries: 2048, Retention: 10 * time.Minute}

const (
	// stablePeriod is how long after its third crash a request may still reach targets
	// without limit, and maxLateArrivals how often after that.
	stablePeriod    = 4 * time.Second
	maxLateArrivals = 3

	simStep       = 10 * time.Millisecond
	simWork       = 180 * time.Millisecond // of a request that does not end its target
	simDown       = 3 * time.Second        // until a target that ended is back
	simReports    = 400 * time.Millisecond // between two exchanges of records
	simEndCheck   = 120 * time.Millisecond // longest time until a host knows that a target ended
	simLength     = 60 * time.Second
	poisonRequest = Fingerprint(1)
	firstInnocent = Fingerprint(100)
)

// simRun is a request that runs at a target.
type simRun struct {
	fp      Fingerprint
	host    int
	endsAt  time.Duration
	isCrash bool // the target ends with it
}

type simTarget struct {
	run    uint64
	upFrom time.Duration
	runs   []simRun
}

// simProbe is a probe that a host has taken.
type simProbe struct {
	host int
	fp   Fingerprint
}

// simReport is the end of a target as a host will learn it.
type simReport struct {
	at    time.Duration
	host  int
	fp    Fingerprint
	crash Crash
}

// quarantineSim plays hosts that share records of suspects through a coordinator, and
// targets that end with a request or for another cause.
type quarantineSim struct {
	random      *rand.Rand
	now         time.Duration
	tables      []*Poison // by host; the first is the coordinator's
	targets     []simTarget
	reports     []simReport
	probes      map[Fingerprint]int // taken, as the store has them
	unused      map[simProbe]bool   // probes that were taken while no target was up
	isCutOff    []bool              // by host
	poisonCrash time.Duration       // between the begin of the poison request and the end of its target
	poisonFrom  time.Duration       // until when the poison request is answered
	crashes     []time.Duration     // of the poison request
	arrivals    []time.Duration
	sent        map[Fingerprint]int
	refused     map[Fingerprint]int
	lastRefused map[Fingerprint]time.Duration
}

func newQuarantineSim(seed uint64, cfg PoisonConfig, hosts, targets int) *quarantineSim {
	w := &quarantineSim{
		random: rand.New(rand.NewPCG(seed, 36)), targets: make([]simTarget, targets), probes: make(map[Fingerprint]int), unused: make(map[simProbe]bool),
		isCutOff: make([]bool, hosts), sent: make(map[Fingerprint]int), refused: make(map[Fingerprint]int), lastRefused: make(map[Fingerprint]time.Duration),
	}
	w.poisonCrash = time.Duration(w.random.IntN(150)) * time.Millisecond
	for range hosts {
		w.tables = append(w.tables, NewPoison(cfg))
	}
	return w
}

func (w *quarantineSim) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

// send sends a request through a host to a target that is up, if there is one.
func (w *quarantineSim) send(fp Fingerprint, host int) {
	w.sent[fp]++
	v := w.tables[host].Check(w.clock(), fp)
	if v.Refused && !w.unused[simProbe{host, fp}] && !(v.ProbeDue && w.takeProbe(host, fp, v)) {
		w.refused[fp]++
		w.lastRefused[fp] = w.now
		return
	}
	var up []int
	for i, t := range w.targets {
		if w.now >= t.upFrom {
			up = append(up, i)
		}
	}
	w.unused[simProbe{host, fp}] = v.Refused && len(up) == 0
	if len(up) == 0 {
		return
	}
	t := &w.targets[up[w.random.IntN(len(up))]]
	r := simRun{fp: fp, host: host, endsAt: w.now + simWork}
	if fp == poisonRequest && w.now >= w.poisonFrom {
		w.arrivals = append(w.arrivals, w.now)
		r.isCrash, r.endsAt = true, w.now+w.poisonCrash
	}
	t.runs = append(t.runs, r)
}

// takeProbe takes the next probe if no other host has taken it. A host that is cut off
// does not reach the store.
func (w *quarantineSim) takeProbe(host int, fp Fingerprint, v Verdict) bool {
	table := w.tables[host]
	if w.isCutOff[host] {
		return false
	}
	if w.probes[fp] != v.Probes {
		table.RecordProbe(w.clock(), fp, w.probes[fp])
		return false
	}
	w.probes[fp]++
	table.RecordProbe(w.clock(), fp, w.probes[fp])
	return true
}

// end ends a target. Each host learns of it for each request that it had there.
func (w *quarantineSim) end(i int) {
	t := &w.targets[i]
	if w.now < t.upFrom {
		return
	}
	for _, r := range t.runs {
		if r.isCrash {
			w.crashes = append(w.crashes, w.now)
		}
		w.reports = append(w.reports, simReport{
			at: w.now + time.Duration(w.random.Int64N(int64(simEndCheck))), host: r.host, fp: r.fp,
			crash: Crash{Target: fmt.Sprint("t", i), Run: t.run, AtMS: w.clock().UnixMilli()},
		})
	}
	t.run++
	t.runs, t.upFrom = nil, w.now+simDown
}

// step plays what is due.
func (w *quarantineSim) step() {
	for i := range w.targets {
		t := &w.targets[i]
		kept := t.runs[:0]
		isEnd := false
		for _, r := range t.runs {
			switch {
			case w.now < r.endsAt:
				kept = append(kept, r)
			case r.isCrash:
				isEnd = true
				kept = append(kept, r)
			case len(w.tables[r.host].cfg.ProbeDelays) > 0:
				w.tables[r.host].RecordAnswer(w.clock(), r.fp)
			default:
				w.tables[r.host].RecordRun(r.fp)
			}
		}
		t.runs = kept
		if isEnd {
			w.end(i)
		}
	}
	kept := w.reports[:0]
	for _, r := range w.reports {
		if w.now < r.at {
			kept = append(kept, r)
			continue
		}
		w.tables[r.host].RecordCrash(r.fp, "", "", r.crash)
	}
	w.reports = kept
	if w.now%simReports == 0 {
		w.exchange()
	}
	w.now += simStep
}

// exchange passes records between the coordinator and the other hosts, some of which
// miss it.
func (w *quarantineSim) exchange() {
	for i, table := range w.tables {
		if i == 0 || w.isCutOff[i] || w.random.IntN(10) == 0 {
			continue
		}
		for _, s := range table.Export() {
			w.tables[0].Merge(s)
		}
		for _, s := range w.tables[0].Export() {
			table.Merge(s)
		}
	}
}

// lateArrivals returns how often the poison request reached a target later than
// stablePeriod after its third crash.
func (w *quarantineSim) lateArrivals() (count int) {
	if len(w.crashes) < 3 {
		return 0
	}
	for _, at := range w.arrivals {
		if at > w.crashes[2]+stablePeriod {
			count++
		}
	}
	return count
}

// play runs the simulation; traffic sends what is due at each step.
func (w *quarantineSim) play(traffic func(w *quarantineSim)) {
	for w.now < simLength {
		traffic(w)
		w.step()
	}
}

// every reports whether something that happens at a regular interval is due.
func (w *quarantineSim) every(interval time.Duration) bool { return w.now%interval < simStep }

func (w *quarantineSim) anyHost() int { return w.random.IntN(len(w.tables)) }

const (
	simSeeds = 100
	// maxRefusedTime is how long after its last loss of targets a request that ends none
	// may still be refused: targets are back, a probe is answered, and all hosts know.
	maxRefusedTime = simDown + 2*time.Second
)

// Guards against a request that goes on ending targets (review/7), however many copies
// of it come at once and whatever one host knows of another.
func TestPoisonIsStoppedOnAllHosts(t *testing.T) {
	for name, traffic := range map[string]func(w *quarantineSim){
		"one copy a second": func(w *quarantineSim) {
			if w.every(time.Second) {
				w.send(poisonRequest, w.anyHost())
			}
		},
		"80 a second": func(w *quarantineSim) {
			if w.every(10*time.Millisecond) && w.random.IntN(10) < 8 {
				w.send(poisonRequest, w.anyHost())
			}
		},
		"to all targets at one moment": func(w *quarantineSim) {
			for range 20 {
				if w.every(time.Second) {
					w.send(poisonRequest, w.anyHost())
				}
			}
		},
		"answered at first": func(w *quarantineSim) {
			w.poisonFrom = 10 * time.Second
			if w.every(20 * time.Millisecond) {
				w.send(poisonRequest, w.anyHost())
			}
		},
		"answered at first, one copy a second": func(w *quarantineSim) {
			w.poisonFrom = 10 * time.Second
			if w.every(time.Second) {
				w.send(poisonRequest, w.anyHost())
			}
		},
		"hosts cut off for a while": func(w *quarantineSim) {
			for i := range w.isCutOff {
				w.isCutOff[i] = i > 0 && w.now > 10*time.Second && w.now < 25*time.Second && i%2 == 0
			}
			if w.every(500 * time.Millisecond) {
				w.send(poisonRequest, w.anyHost())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(simSeeds) {
				w := newQuarantineSim(seed, probing, 4, 8)
				w.play(traffic)
				assert.Assert(t, len(w.crashes) >= 3)
				assert.Assert(t, w.lateArrivals() <= maxLateArrivals, "seed %d: %d arrivals later than %v after the third crash", seed, w.lateArrivals(), stablePeriod)
			}
		})
	}
}

// innocentTraffic are losses of targets under requests that end none. lossesUntil is when
// the last one is.
var innocentTraffic = map[string]struct {
	lossesUntil time.Duration
	play        func(w *quarantineSim)
}{
	"three targets end at one moment (review/10)": {10 * time.Second, func(w *quarantineSim) {
		if w.now == 10*time.Second {
			for i := range 3 {
				w.end(i)
			}
		}
		if w.every(10*time.Millisecond) && w.random.IntN(10) < 8 {
			w.send(firstInnocent, w.anyHost())
		}
	}},
	"all targets end at one moment": {10 * time.Second, func(w *quarantineSim) {
		if w.now == 10*time.Second {
			for i := range w.targets {
				w.end(i)
			}
		}
		if w.every(20 * time.Millisecond) {
			w.send(firstInnocent, w.anyHost())
		}
	}},
	"targets end one by one for a minute": {simLength, func(w *quarantineSim) {
		if w.every(4 * time.Second) {
			w.end(w.random.IntN(len(w.targets)))
		}
		if w.every(30 * time.Millisecond) {
			w.send(firstInnocent, w.anyHost())
		}
	}},
	"beside copies of a poison request, at one moment each second": {10 * time.Second, func(w *quarantineSim) {
		for range 20 {
			if w.every(time.Second) {
				w.send(poisonRequest, w.anyHost())
			}
		}
		if w.every(10 * time.Millisecond) {
			w.send(firstInnocent, w.anyHost())
		}
	}},
	"one of a hundred callers' requests is poison": {10 * time.Second, func(w *quarantineSim) {
		for i := range Fingerprint(100) {
			if w.random.IntN(100) > 0 { // each about once a second
				continue
			}
			if i == 0 {
				w.send(poisonRequest, w.anyHost())
			} else {
				w.send(firstInnocent+i, w.anyHost())
			}
		}
	}},
}

// refusedTooLong returns a request that ends no target and was refused later than
// maxRefusedTime after the last loss; where losses go on, one of which more than a
// twentieth was refused.
func (w *quarantineSim) refusedTooLong(lossesUntil time.Duration) (fp Fingerprint, found bool) {
	for fp := range w.sent {
		if fp == poisonRequest {
			continue
		}
		if w.lastRefused[fp] > lossesUntil+maxRefusedTime || lossesUntil == simLength && w.refused[fp]*20 > w.sent[fp] {
			return fp, true
		}
	}
	return 0, false
}

// Guards against requests that are refused for minutes because they ran at targets that
// ended for another cause (review/10).
func TestRequestThatEndsNoTargetIsServedAgain(t *testing.T) {
	for name, c := range innocentTraffic {
		t.Run(name, func(t *testing.T) {
			failed := 0
			for seed := range uint64(simSeeds) {
				w := newQuarantineSim(seed, probing, 4, 8)
				w.play(c.play)
				fp, found := w.refusedTooLong(c.lossesUntil)
				if found {
					failed++
					t.Logf("seed %d: request %v: %d of %d refused, the last at %v", seed, fp, w.refused[fp], w.sent[fp], w.lastRefused[fp])
				}
				assert.Assert(t, w.lateArrivals() <= maxLateArrivals, "seed %d", seed)
			}
			assert.Equal(t, failed, 0)
		})
	}
}

// The simulation is strong enough: it finds that requests were refused for good by the
// rule of before.
func TestSimulationFindsRequestsRefusedForGood(t *testing.T) {
	for name, c := range innocentTraffic {
		if name == "targets end one by one for a minute" || name == "one of a hundred callers' requests is poison" {
			continue // right before
		}
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(simSeeds) {
				w := newQuarantineSim(seed, withoutProbes, 4, 8)
				w.play(c.play)
				if _, found := w.refusedTooLong(c.lossesUntil); found {
					t.Logf("seed %d", seed)
					return
				}
			}
			t.Fatal("no request is refused for good")
		})
	}
}

// Records that are merged in any order and number lead to the same verdict on all hosts.
func TestMergedRecordsGiveSameVerdict(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Poison{NewPoison(probing), NewPoison(probing), NewPoison(probing)}
		const fp = Fingerprint(7)
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			table := rapid.SampledFrom(tables).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				target := rapid.IntRange(0, maxSuspectCrashes-1).Draw(t, "target")
				at := now.Add(-time.Duration(target) * time.Second)
				table.RecordCrash(fp, "s", "c", crash(fmt.Sprint("t", target), 1, at))
			case 2:
				table.RecordAnswer(now, fp)
			default:
				number := table.Record(fp).Probes + 1
				table.RecordProbe(now, fp, number)
			}
			if rapid.Bool().Draw(t, "exchange") {
				for _, s := range rapid.SampledFrom(tables).Draw(t, "from").Export() {
					rapid.SampledFrom(tables).Draw(t, "to").Merge(s)
				}
			}
		}
		for range 2 {
			for _, from := range rapid.Permutation(tables).Draw(t, "order") {
				for _, to := range tables {
					for _, s := range from.Export() {
						to.Merge(s)
					}
				}
			}
		}
		want := tables[0].Check(now, fp)
		for _, table := range tables[1:] {
			assert.DeepEqual(t, table.Check(now, fp), want)
		}
	})
}

// An answer that one host saw shortly before clears a crash that another host reports.
func TestAnswerClearsCrashOfOtherHost(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const fp = Fingerprint(1)
	a, b := NewPoison(probing), NewPoison(probing)
	a.RecordAnswer(now.Add(-time.Second), fp)
	for i := range 3 {
		record, _ := b.RecordCrash(fp, "", "", crash(fmt.Sprint("t", i), 1, now))
		a.Merge(record)
	}
	assert.Assert(t, b.Check(now, fp).Refused)
	assert.Assert(t, !a.Check(now, fp).Refused)
	b.Merge(a.Record(fp))
	assert.Assert(t, !b.Check(now, fp).Refused)
}

// A quarantined request is probed early if its targets ended at one moment, and later if
// they ended one after the other. Three probes are the most.
func TestProbesOfQuarantinedRequest(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }
	const fp = Fingerprint(1)
	atOnce, inTurn := NewPoison(probing), NewPoison(probing)
	for i := range 3 {
		atOnce.RecordCrash(fp, "", "", crash(fmt.Sprint("t", i), 1, at(time.Duration(i)*100*time.Millisecond)))
		inTurn.RecordCrash(fp, "", "", crash(fmt.Sprint("t", i), 1, at(time.Duration(i)*2*time.Second)))
	}
	v := atOnce.Check(at(700*time.Millisecond), fp)
	assert.DeepEqual(t, v, Verdict{Refused: true, HasProbe: true, ProbeIn: 500 * time.Millisecond})
	assert.Assert(t, atOnce.Check(at(1200*time.Millisecond), fp).ProbeDue)
	assert.Assert(t, !inTurn.Check(at(33*time.Second), fp).ProbeDue)
	assert.Assert(t, inTurn.Check(at(34*time.Second), fp).ProbeDue)

	now := time.Duration(0)
	for i, delay := range probing.ProbeDelays {
		now += delay + time.Second
		assert.Assert(t, atOnce.Check(at(now), fp).ProbeDue, "probe %d", i+1)
		_, changed := atOnce.RecordProbe(at(now), fp, i+1)
		assert.Assert(t, changed)
		v := atOnce.Check(at(now), fp)
		assert.Assert(t, !v.ProbeDue && v.IsProbed, "another host has taken it")
		atOnce.RecordCrash(fp, "", "", crash(fmt.Sprint("p", i), 1, at(now)))
	}
	v = atOnce.Check(at(now+20*time.Hour), fp)
	assert.DeepEqual(t, v, Verdict{Refused: true, Probes: 3})
	_, changed := atOnce.RecordAnswer(at(now), fp)
	assert.Assert(t, changed)
	assert.Assert(t, !atOnce.Check(at(now), fp).Refused)
}
