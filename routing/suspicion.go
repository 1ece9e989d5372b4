package routing

import (
	"slices"
	"time"
)

// incidentGap is the longest time between the crashes of one incident: targets that end
// within moments of each other may share a cause outside of the requests that they ran.
const incidentGap = 500 * time.Millisecond

// clearedRetention is how long a record is kept that an answer has cleared, so that the
// other hosts learn of it.
const clearedRetention = 10 * time.Second

// answeredBefore is how long before a crash an answer still shows that the request does
// not end targets. A request that begins to end them at some time ends targets for that
// long before any of them counts.
const answeredBefore = 2 * time.Second

// recentAnswers remembers when requests were last answered. Each request has one place,
// which it shares with others: the last one of them is remembered.
type recentAnswers [4096]struct {
	fp   Fingerprint
	atMS int64
}

func (r *recentAnswers) record(fp Fingerprint, atMS int64) {
	if r != nil {
		place := &r[uint64(fp)%uint64(len(r))]
		place.fp, place.atMS = fp, atMS
	}
}

// since reports whether a request was answered at a time or later, as far as is known.
func (r *recentAnswers) since(fp Fingerprint, atMS int64) bool {
	if r == nil {
		return false
	}
	place := &r[uint64(fp)%uint64(len(r))]
	return place.fp == fp && place.atMS >= atMS
}

// probeResultTime is how long after a probe was taken its answer may still come: the
// targets may have to come back before it runs.
const probeResultTime = 10 * time.Second

// Verdict says whether a request may run.
type Verdict struct {
	// Refused means that the request must not run, other than as a probe.
	Refused bool
	// HasProbe means that a probe is left, ProbeDue that a host may take it now, and
	// ProbeIn how long it is until then.
	HasProbe bool
	ProbeDue bool
	ProbeIn  time.Duration
	// IsProbed means that a host took a probe of late, whose answer may clear the request
	// at any moment.
	IsProbed bool
	// Probes is the number of probes that are known to have been taken. The next one
	// must be taken under the next number.
	Probes int
}

// Check returns whether a request may run. A quarantined request is probed a few times:
// a host that takes the next probe may run the request once. It takes it by a conditional
// update of what all hosts share, so that the number of probes holds for all of them.
func (p *Poison) Check(now time.Time, fp Fingerprint) Verdict {
	if !p.Quarantined(now, fp) {
		return Verdict{}
	}
	s := p.entries[fp].Value.(*Suspect)
	next := s.probesUsed()
	v := Verdict{
		Refused: true, Probes: s.Probes,
		IsProbed: next > 0 && now.UnixMilli()-s.ProbeMS < probeResultTime.Milliseconds(),
	}
	if s.incidents() >= p.cfg.CrashThreshold {
		// Crashes one after the other, with no answer between them, are no coincidence.
		next = max(next, 1)
	}
	if next >= len(p.cfg.ProbeDelays) {
		return v
	}
	v.HasProbe = true
	v.ProbeIn = max(0, p.cfg.ProbeDelays[next]-time.Duration(now.UnixMilli()-s.lastEventMS())*time.Millisecond)
	v.ProbeDue = v.ProbeIn == 0
	return v
}

// RecordProbe records that a host took probe number, counted from 1, of a request. It
// returns the record and whether it changed and must be shared.
func (p *Poison) RecordProbe(now time.Time, fp Fingerprint, number int) (Suspect, bool) {
	element := p.entries[fp]
	if element == nil {
		return Suspect{}, false
	}
	s := element.Value.(*Suspect)
	if number <= s.Probes {
		return s.clone(), false
	}
	s.Probes, s.ProbeMS = number, max(s.ProbeMS, now.UnixMilli())
	return s.clone(), true
}

// RecordAnswer records that a target has answered the request in full. No crash that is
// known by now counts any more, also if the run began before it: what a target answers
// does not end every target that runs it. Nor does one that follows within answeredBefore.
// It returns the record and whether it changed and must be shared.
func (p *Poison) RecordAnswer(now time.Time, fp Fingerprint) (Suspect, bool) {
	p.answers.record(fp, now.UnixMilli())
	element := p.entries[fp]
	if element == nil {
		return Suspect{}, false
	}
	s := element.Value.(*Suspect)
	if s.Evidence() == 0 {
		return s.clone(), false
	}
	for i := range s.Crashes {
		s.Crashes[i].Cleared = true
	}
	s.ClearedProbes, s.ClearedMS = s.Probes, now.UnixMilli()
	return s.clone(), true
}

// Evidence returns the number of crashes that count: no target has answered the request
// since they are known.
func (s *Suspect) Evidence() int {
	count := 0
	for _, c := range s.Crashes {
		if !c.Cleared {
			count++
		}
	}
	return count
}

// probesUsed returns the number of probes that count.
func (s *Suspect) probesUsed() int { return max(0, s.Probes-s.ClearedProbes) }

// crashTimes returns the times of the crashes that count, in Unix milliseconds, in
// ascending order.
func (s *Suspect) crashTimes() []int64 {
	var times []int64
	for _, c := range s.Crashes {
		if !c.Cleared {
			times = append(times, c.AtMS)
		}
	}
	slices.Sort(times)
	return times
}

// incidents returns the number of groups of crashes that count, where each crash of a
// group follows the one before within incidentGap.
func (s *Suspect) incidents() int {
	times := s.crashTimes()
	count := min(1, len(times))
	for i := 1; i < len(times); i++ {
		if times[i]-times[i-1] > incidentGap.Milliseconds() {
			count++
		}
	}
	return count
}

// lastEventMS returns the time of the last crash that counts or of the last probe.
func (s *Suspect) lastEventMS() int64 {
	last := s.ProbeMS
	for _, at := range s.crashTimes() {
		last = max(last, at)
	}
	return last
}
