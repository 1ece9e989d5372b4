package entry

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/routing"
)

const (
	// suspectSpreadTime is how long a changed record is told to other hosts: several
	// reports.
	suspectSpreadTime = 3 * time.Second
	// sharedEnds is the number of targets that ended with a request from which all hosts
	// are told of it, so that the first of them that sees it run to an answer clears it.
	sharedEnds = 2
	// minQuarantineRetryAfter and maxQuarantineRetryAfter bound the Retry-After of a
	// quarantined request: the caller is to be there when a probe is due or answered, and
	// not to ask for nothing all the time.
	minQuarantineRetryAfter = time.Second
	maxQuarantineRetryAfter = 10 * time.Second
)

// suspects limits what a host remembers of requests that targets ended with: a request
// is quarantined from the third target on, until a target answers it. docs/design/012 has
// the reasons for the probes.
var suspects = routing.PoisonConfig{
	CrashThreshold: 3, MaxEntries: 2048, Retention: 24 * time.Hour, SuspectRetention: 10 * time.Minute,
	ProbeDelays: []time.Duration{time.Second, 30 * time.Second, 10 * time.Minute},
}

// quarantine keeps requests from targets that ended with each target that ran them. What
// one host learns reaches the others with the reports to the coordinator and their
// replies. A request that only happened to run when its targets ended is cleared by any
// answer, which a few probes may bring about once it is quarantined.
type quarantine struct {
	mu        sync.Mutex
	table     *routing.Poison
	changedAt map[routing.Fingerprint]time.Duration // records changed of late
	endChecks map[keyrange.Owner]*endCheck
	claims    map[routing.Fingerprint]*probeClaim
}

func newQuarantine() *quarantine {
	return &quarantine{
		table: routing.NewPoison(suspects), changedAt: make(map[routing.Fingerprint]time.Duration),
		endChecks: make(map[keyrange.Owner]*endCheck), claims: make(map[routing.Fingerprint]*probeClaim),
	}
}

// timeOf converts a reading of steadyClock into the time of a record. The time of day
// may jump, so records use it only as it was when the process started.
func timeOf(now time.Duration) time.Time { return processStart.Add(now) }

// isEmpty reports whether no request is under suspicion, which is the usual case.
func (q *quarantine) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len() == 0
}

// check returns whether a request may run.
func (q *quarantine) check(fp routing.Fingerprint) routing.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Check(timeOf(steadyClock()), fp)
}

// recordEnd records that a target ended while it ran a request, and returns the record.
func (q *quarantine) recordEnd(fp routing.Fingerprint, owner keyrange.Owner) routing.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	record, changed := q.table.RecordCrash(fp, "", "", routing.Crash{Target: owner.Target, Run: uint64(owner.Run), AtMS: timeOf(now).UnixMilli()})
	if changed {
		q.changedAt[fp] = now
	}
	return record
}

// recordAnswer records that a target answered a request. If that cleared a record, it
// returns the record.
func (q *quarantine) recordAnswer(fp routing.Fingerprint) (record routing.Suspect, cleared bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	record, cleared = q.table.RecordAnswer(timeOf(now), fp)
	if cleared {
		q.changedAt[fp] = now
	}
	return record, cleared
}

// forgetOld drops records that are older than their retention.
func (q *quarantine) forgetOld() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	q.table.RemoveOld(timeOf(now))
	for fp, at := range q.changedAt {
		if now >= at+suspectSpreadTime {
			delete(q.changedAt, fp)
		}
	}
	for owner, check := range q.endChecks {
		if now >= check.began+endCheckInterval {
			delete(q.endChecks, owner)
		}
	}
	q.forgetOldClaims(now)
}

// addToReport adds what this host has learned of late to its report.
func (q *quarantine) addToReport(out *pb.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	for _, s := range q.table.Export() {
		fp, _ := routing.ParseFingerprint(s.Fingerprint) // the table has valid ones only
		if s.Evidence() >= sharedEnds {
			out.KnownSuspects++
		}
		if at, ok := q.changedAt[fp]; ok && now < at+suspectSpreadTime {
			out.Suspects = append(out.Suspects, encodeSuspect(fp, s, now))
		}
	}
}

// sharedWith returns the suspects for the reply to a host that knows the given number:
// those that changed of late, or all if the host lacks some.
func (q *quarantine) sharedWith(known uint32) (out []*pb.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	var all []*pb.Suspect
	for _, s := range q.table.Export() {
		if len(s.Crashes) < sharedEnds {
			continue
		}
		fp, _ := routing.ParseFingerprint(s.Fingerprint)
		encoded := encodeSuspect(fp, s, now)
		if s.Evidence() >= sharedEnds {
			all = append(all, encoded)
		}
		if at, ok := q.changedAt[fp]; ok && now < at+suspectSpreadTime {
			out = append(out, encoded)
		}
	}
	if int(known) < len(all) {
		return all
	}
	return out
}

// merge adds the records that another host told.
func (q *quarantine) merge(records []*pb.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	for _, s := range records[:min(len(records), suspects.MaxEntries)] {
		if decoded := decodeSuspect(s, now); decoded.Fingerprint != "" {
			if _, changed := q.table.Merge(decoded); changed {
				q.changedAt[routing.Fingerprint(s.Fingerprint)] = now
			}
		}
	}
}

func encodeSuspect(fp routing.Fingerprint, s routing.Suspect, now time.Duration) *pb.Suspect {
	out := &pb.Suspect{Fingerprint: uint64(fp), Probes: uint32(s.Probes), ClearedProbes: uint32(s.ClearedProbes)}
	age := func(atMS int64) uint64 { return uint64(max(0, timeOf(now).UnixMilli()-atMS)) }
	last := int64(0)
	for _, c := range s.Crashes {
		out.Ends = append(out.Ends, &pb.TargetRun{Target: c.Target, Run: int64(c.Run)})
		out.EndAgesMs = append(out.EndAgesMs, age(c.AtMS))
		out.Cleared = append(out.Cleared, c.Cleared)
		last = max(last, c.AtMS)
	}
	out.AgeMs = age(last)
	if s.ProbeMS > 0 {
		out.ProbeAgeMs = age(s.ProbeMS)
	}
	return out
}

// maxProbesTaken limits the number of probes that another host may claim.
const maxProbesTaken = 1 << 20

// decodeSuspect returns the record, or an empty one if it is older than its retention.
func decodeSuspect(in *pb.Suspect, now time.Duration) routing.Suspect {
	maxAge := uint64(suspects.Retention.Milliseconds())
	if in.AgeMs > maxAge {
		return routing.Suspect{}
	}
	at := func(ageMS uint64) int64 { return timeOf(now).UnixMilli() - int64(min(ageMS, maxAge)) }
	out := routing.Suspect{
		Fingerprint: routing.Fingerprint(in.Fingerprint).String(),
		Probes:      int(min(in.Probes, maxProbesTaken)), ClearedProbes: int(min(in.ClearedProbes, maxProbesTaken)),
	}
	if in.Probes > 0 {
		out.ProbeMS = at(in.ProbeAgeMs)
	}
	for i, e := range in.Ends {
		c := routing.Crash{Target: e.Target, Run: uint64(e.Run), AtMS: at(in.AgeMs)}
		if i < len(in.EndAgesMs) {
			c.AtMS = at(in.EndAgesMs[i])
		}
		if i < len(in.Cleared) && in.Cleared[i] {
			c.Cleared = true
			out.ClearedMS = timeOf(now).UnixMilli()
		}
		out.Crashes = append(out.Crashes, c)
	}
	return out
}

// evidenceText describes the ends of a record for the log: the target and run of each, how
// long ago it was, and whether the request was answered shortly before or since.
func evidenceText(s routing.Suspect, now time.Duration) string {
	var parts []string
	for _, c := range s.Crashes {
		answered := ""
		if c.Cleared {
			answered = " answered"
		}
		parts = append(parts, fmt.Sprintf("%s/%d %dms%s", c.Target, c.Run, timeOf(now).UnixMilli()-c.AtMS, answered))
	}
	return strings.Join(parts, ", ")
}
