package entry

import (
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
	// quarantineRetryAfter is the Retry-After of a quarantined request.
	quarantineRetryAfter = 10 * time.Second
)

// suspects limits what a host remembers of requests that targets ended with: a request
// is quarantined from the third target on, until no target has ended with it for ten
// minutes.
var suspects = routing.PoisonConfig{CrashThreshold: 3, MaxEntries: 2048, Retention: 10 * time.Minute, Probation: 10 * time.Minute}

// quarantine keeps requests from targets that ended with each target that ran them. What
// one host learns reaches the others with the reports to the coordinator and their
// replies. A request that only happened to run when its target ended is cleared by its
// next run that comes to an answer.
type quarantine struct {
	mu        sync.Mutex
	table     *routing.Poison
	changedAt map[routing.Fingerprint]time.Duration // records changed of late
	survived  map[routing.Fingerprint]time.Duration // cleared of late
	endChecks map[keyrange.Owner]*endCheck
}

func newQuarantine() *quarantine {
	return &quarantine{
		table: routing.NewPoison(suspects), changedAt: make(map[routing.Fingerprint]time.Duration),
		survived: make(map[routing.Fingerprint]time.Duration), endChecks: make(map[keyrange.Owner]*endCheck),
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

// holds reports whether a request is quarantined.
func (q *quarantine) holds(fp routing.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined(timeOf(steadyClock()), fp)
}

// recordEnd records that a target ended while it ran a request, and returns the number
// of targets that have.
func (q *quarantine) recordEnd(fp routing.Fingerprint, owner keyrange.Owner) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	record, changed := q.table.RecordCrash(fp, "", "", routing.Crash{Target: owner.Target, Run: uint64(owner.Run), AtMS: timeOf(now).UnixMilli()})
	if changed {
		q.changedAt[fp] = now
		delete(q.survived, fp)
	}
	return len(record.Crashes)
}

// recordRun records that a request ran to an answer.
func (q *quarantine) recordRun(fp routing.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.RecordRun(fp) {
		delete(q.changedAt, fp)
		q.survived[fp] = steadyClock()
	}
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
	for fp, at := range q.survived {
		if now >= at+suspectSpreadTime {
			delete(q.survived, fp)
		}
	}
	for owner, check := range q.endChecks {
		if now >= check.began+endCheckInterval {
			delete(q.endChecks, owner)
		}
	}
}

// addToReport adds what this host has learned of late to its report.
func (q *quarantine) addToReport(out *pb.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := steadyClock()
	for _, s := range q.table.Export() {
		fp, _ := routing.ParseFingerprint(s.Fingerprint) // the table has valid ones only
		if len(s.Crashes) >= sharedEnds {
			out.KnownSuspects++
		}
		if at, ok := q.changedAt[fp]; ok && now < at+suspectSpreadTime {
			out.Suspects = append(out.Suspects, encodeSuspect(fp, s, now))
		}
	}
	for fp, at := range q.survived {
		if now < at+suspectSpreadTime {
			out.Survived = append(out.Survived, uint64(fp))
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
		all = append(all, encoded)
		if at, ok := q.changedAt[fp]; ok && now < at+suspectSpreadTime {
			out = append(out, encoded)
		}
	}
	if int(known) < len(all) {
		return all
	}
	return out
}

// merge adds what another host told: records, and requests that ran to an answer there.
func (q *quarantine) merge(records []*pb.Suspect, survived []uint64) {
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
	for _, fp := range survived {
		if q.table.RecordRun(routing.Fingerprint(fp)) {
			delete(q.changedAt, routing.Fingerprint(fp))
		}
	}
}

func encodeSuspect(fp routing.Fingerprint, s routing.Suspect, now time.Duration) *pb.Suspect {
	out := &pb.Suspect{Fingerprint: uint64(fp)}
	last := int64(0)
	for _, c := range s.Crashes {
		out.Ends = append(out.Ends, &pb.TargetRun{Target: c.Target, Run: int64(c.Run)})
		last = max(last, c.AtMS)
	}
	out.AgeMs = uint64(max(0, timeOf(now).UnixMilli()-last))
	return out
}

// decodeSuspect returns the record, or an empty one if it is older than its retention.
func decodeSuspect(in *pb.Suspect, now time.Duration) routing.Suspect {
	if in.AgeMs > uint64(suspects.Retention.Milliseconds()) {
		return routing.Suspect{}
	}
	out := routing.Suspect{Fingerprint: routing.Fingerprint(in.Fingerprint).String()}
	for _, e := range in.Ends {
		out.Crashes = append(out.Crashes, routing.Crash{
			Target: e.Target, Run: uint64(e.Run), AtMS: timeOf(now).UnixMilli() - int64(in.AgeMs),
		})
	}
	return out
}
