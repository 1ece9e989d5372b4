package routing

import (
	"container/list"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies a request by its content, that is service, client,
// method, path and body, and not by its ID.
type Fingerprint uint64

// String returns the fingerprint as used in object names.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	value, err := strconv.ParseUint(s, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "parse fingerprint %q", s)
	}
	return Fingerprint(value), nil
}

// PoisonConfig configures a quarantine.
type PoisonConfig struct {
	CrashThreshold int           // crashes after which a request is quarantined
	MaxEntries     int           // maximum number of recorded fingerprints
	Retention      time.Duration // how long a record is kept after the last crash
	// SuspectRetention replaces Retention for a request that is not quarantined; 0 means
	// no difference.
	SuspectRetention time.Duration
	// Probation is how long after the last crash a quarantined request may be
	// run once more, to show whether it is innocent.
	Probation time.Duration
	// ProbeDelays, if any, are how long after the last crash or probe each further probe
	// of a quarantined request is due (Check). A whole answer shortly before a crash, or at
	// any time after it, then clears it (RecordAnswer): a request that ends every target
	// that runs it is never answered.
	ProbeDelays []time.Duration
}

// DefaultPoison quarantines a request at its second crash.
var DefaultPoison = PoisonConfig{CrashThreshold: 2, MaxEntries: 4096, Retention: 24 * time.Hour, Probation: time.Hour}

// Suspect is the record of one fingerprint. It is an entry of the table, and
// the value of an object "mangopost/poison/FINGERPRINT" through which hosts
// share it.
type Suspect struct {
	Fingerprint string   `json:"fingerprint"`
	Service     string   `json:"service"`
	Crashes     []Crash  `json:"crashes"`
	Clients     []string `json:"clients,omitempty"`
	// ProbeMS is when a host took the last probe, in Unix milliseconds; 0 if
	// none did.
	ProbeMS int64 `json:"probe_ms,omitempty"`
	// Probes is the number of probes that hosts took, and ClearedProbes how many of them
	// do not count, since an answer came later. Both only rise.
	Probes        int `json:"probes,omitempty"`
	ClearedProbes int `json:"cleared_probes,omitempty"`

	// ClearedMS is when this table last learned of an answer, in Unix milliseconds.
	ClearedMS int64 `json:"-"`
}

// Crash is the end of a target's process while the request ran on it. Target
// and Run identify a crash, so that two hosts can report the same one.
type Crash struct {
	Target string `json:"target"`
	Run    uint64 `json:"run"`   // gateway epoch or incarnation at the target
	AtMS   int64  `json:"at_ms"` // Unix time in milliseconds
	// Cleared says that a target has answered the request shortly before the crash or
	// since it is known. It is never taken back.
	Cleared bool `json:"cleared,omitempty"`
}

// maxSuspectCrashes and maxSuspectClients bound the size of a record.
const (
	maxSuspectCrashes = 8
	maxSuspectClients = 8
)

// Poison counts, for each fingerprint, the crashes of targets that ran it. The
// records changed least recently are evicted first. It is not safe for
// concurrent use.
type Poison struct {
	cfg          PoisonConfig
	entries      map[Fingerprint]*list.Element // of *Suspect
	byLastChange *list.List                    // least recently changed first
	answers      *recentAnswers                // nil without ProbeDelays
}

// NewPoison returns an empty quarantine.
func NewPoison(cfg PoisonConfig) *Poison {
	p := &Poison{
		cfg:          cfg,
		entries:      make(map[Fingerprint]*list.Element),
		byLastChange: list.New(),
	}
	if len(cfg.ProbeDelays) > 0 {
		p.answers = &recentAnswers{}
	}
	return p
}

// RecordCrash records that a target's process ended while it ran the request.
// All requests that ran there are recorded, because the innocent ones are
// unlikely to run during a second crash as well. It returns the record and
// whether it changed and must be shared.
func (p *Poison) RecordCrash(fp Fingerprint, service, client string, c Crash) (Suspect, bool) {
	return p.Merge(Suspect{
		Fingerprint: fp.String(),
		Service:     service,
		Crashes:     []Crash{c},
		Clients:     clientList(client),
	})
}

func clientList(client string) []string {
	if client == "" {
		return nil
	}
	return []string{client}
}

// Merge adds another host's record. Records form a union, so the order and
// number of merges do not matter. It returns the merged record and whether it
// changed. A record with an invalid fingerprint is ignored.
func (p *Poison) Merge(s Suspect) (Suspect, bool) {
	fp, err := ParseFingerprint(s.Fingerprint)
	if err != nil {
		return Suspect{}, false
	}
	record := p.recordFor(fp, s.Service)
	changed := false
	for _, c := range s.Crashes {
		c.Cleared = c.Cleared || p.answers.since(fp, c.AtMS-answeredBefore.Milliseconds())
		changed = record.addCrash(c) || changed
	}
	for _, client := range s.Clients {
		changed = record.addClient(client) || changed
	}
	if s.ProbeMS > record.ProbeMS {
		record.ProbeMS = s.ProbeMS
		changed = true
	}
	if changed {
		record.ClearedMS = max(record.ClearedMS, s.ClearedMS)
	}
	if s.Probes > record.Probes || s.ClearedProbes > record.ClearedProbes {
		record.Probes, record.ClearedProbes = max(s.Probes, record.Probes), max(s.ClearedProbes, record.ClearedProbes)
		changed = true
	}
	p.byLastChange.MoveToBack(p.entries[fp])
	p.evictOldest()
	return record.clone(), changed
}

// Quarantined reports whether requests with this fingerprint must not run.
func (p *Poison) Quarantined(now time.Time, fp Fingerprint) bool {
	element := p.entries[fp]
	if element == nil {
		return false
	}
	s := element.Value.(*Suspect)
	if s.olderThan(now, p.retentionOf(s)) {
		p.remove(fp)
		return false
	}
	return s.Evidence() >= p.cfg.CrashThreshold
}

// retentionOf returns how long after its last crash a record is kept.
func (p *Poison) retentionOf(s *Suspect) time.Duration {
	switch evidence := s.Evidence(); {
	case evidence == 0:
		return clearedRetention
	case p.cfg.SuspectRetention > 0 && evidence < p.cfg.CrashThreshold:
		return p.cfg.SuspectRetention
	default:
		return p.cfg.Retention
	}
}

// Record returns a copy of the record of a fingerprint, empty if there is none.
func (p *Poison) Record(fp Fingerprint) Suspect {
	if element := p.entries[fp]; element != nil {
		return element.Value.(*Suspect).clone()
	}
	return Suspect{}
}

// RemoveOld removes the records that are older than their retention.
func (p *Poison) RemoveOld(now time.Time) {
	for e := p.byLastChange.Front(); e != nil; {
		s := e.Value.(*Suspect)
		e = e.Next()
		if s.olderThan(now, p.retentionOf(s)) {
			fp, _ := ParseFingerprint(s.Fingerprint) // the table has valid ones only
			p.remove(fp)
		}
	}
}

// ProbeDue reports whether a quarantined request may be run once more, by the
// host that claims the probe in the store: an innocent request may have run on
// two targets that were lost. A request that crashes a third target is not
// probed again.
func (p *Poison) ProbeDue(now time.Time, fp Fingerprint) bool {
	if !p.Quarantined(now, fp) {
		return false
	}
	s := p.entries[fp].Value.(*Suspect)
	return s.ProbeMS == 0 && len(s.Crashes) == p.cfg.CrashThreshold && s.olderThan(now, p.cfg.Probation)
}

// RecordRun records that a target ran the request without crashing. It clears a
// suspect that is not quarantined, so that a popular request is not quarantined
// because targets crash for other reasons. It reports whether a record was
// removed, so that its object must be deleted. With ProbeDelays, RecordAnswer takes its
// place.
func (p *Poison) RecordRun(fp Fingerprint) bool {
	element := p.entries[fp]
	if element == nil {
		return false
	}
	if len(element.Value.(*Suspect).Crashes) >= p.cfg.CrashThreshold {
		return false
	}
	p.remove(fp)
	return true
}

// Release removes the record of a fingerprint, after an operator released it or
// its object was deleted.
func (p *Poison) Release(fp Fingerprint) { p.remove(fp) }

// Export returns all records, least recently changed first.
func (p *Poison) Export() []Suspect {
	all := make([]Suspect, 0, p.byLastChange.Len())
	for e := p.byLastChange.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(*Suspect).clone())
	}
	return all
}

// Len returns the number of recorded fingerprints.
func (p *Poison) Len() int { return p.byLastChange.Len() }

func (p *Poison) recordFor(fp Fingerprint, service string) *Suspect {
	if element := p.entries[fp]; element != nil {
		return element.Value.(*Suspect)
	}
	s := &Suspect{Fingerprint: fp.String(), Service: service}
	p.entries[fp] = p.byLastChange.PushBack(s)
	return s
}

func (p *Poison) evictOldest() {
	for p.byLastChange.Len() > p.cfg.MaxEntries {
		oldest := p.byLastChange.Front().Value.(*Suspect)
		fp, _ := ParseFingerprint(oldest.Fingerprint)
		p.remove(fp)
	}
}

func (p *Poison) remove(fp Fingerprint) {
	if element := p.entries[fp]; element != nil {
		p.byLastChange.Remove(element)
		delete(p.entries, fp)
	}
}

func (s *Suspect) addCrash(c Crash) bool {
	for i := range s.Crashes {
		known := &s.Crashes[i]
		if known.Target == c.Target && known.Run == c.Run {
			changed := c.Cleared && !known.Cleared
			known.Cleared = known.Cleared || c.Cleared
			return changed
		}
	}
	if len(s.Crashes) >= maxSuspectCrashes {
		// Evidence that still counts takes the place of evidence that does not.
		i := slices.IndexFunc(s.Crashes, func(known Crash) bool { return known.Cleared })
		if i < 0 || c.Cleared {
			return false
		}
		s.Crashes = slices.Delete(s.Crashes, i, i+1)
	}
	s.Crashes = append(s.Crashes, c)
	return true
}

func (s *Suspect) addClient(client string) bool {
	for _, known := range s.Clients {
		if known == client {
			return false
		}
	}
	if len(s.Clients) >= maxSuspectClients {
		return false
	}
	s.Clients = append(s.Clients, client)
	return true
}

func (s *Suspect) olderThan(now time.Time, age time.Duration) bool {
	last := s.ClearedMS
	for _, c := range s.Crashes {
		last = max(last, c.AtMS)
	}
	return now.UnixMilli()-last > age.Milliseconds()
}

func (s *Suspect) clone() Suspect {
	copied := *s
	copied.Crashes = append([]Crash(nil), s.Crashes...)
	copied.Clients = append([]string(nil), s.Clients...)
	return copied
}
