package coldstart

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sends are the sends of one host to one run of a cold target.
type Sends struct {
	seed  uint64 // hash of the host and the run
	share Share
	next  time.Duration // earliest time of the next send
}

// NewSends returns the sends of a host that learns now that the run of a target is cold.
// The first send is made between one and two spacings from now: a send of the host's
// previous process, or one from before the target was cold, may have been made just now.
func NewSends(now time.Duration, host, target string, run int64, share Share) Sends {
	s := Sends{seed: hash(host, target, run), share: share}
	s.delayFirst(now)
	return s
}

// hash returns a number that does not depend on the time, so that a host that restarts has
// the same rank.
func hash(host, target string, run int64) uint64 {
	b := make([]byte, 0, 128)
	b = append(b, host...)
	b = append(b, 0) // not part of a name
	b = append(b, target...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(run)))
}

// fraction returns a hash as a number of at least 0 and below 1.
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// rank returns the host's place, from 0 to 1, in the order in which hosts are senders.
func (s *Sends) rank() float64 { return fraction(s.seed) }

// delayFirst makes the next send the first one of a host that becomes a sender now.
func (s *Sends) delayFirst(now time.Duration) {
	if !s.IsSender() {
		return
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], s.seed)
	binary.BigEndian.PutUint64(b[8:], uint64(now))
	phase := fraction(xxhash.Sum64(b[:]))
	s.next = max(s.next, now+s.share.Spacing+time.Duration(phase*float64(s.share.Spacing)))
}

// SetShare changes the host's share. A host that becomes a sender waits as for its first
// send; a pending send is not made sooner.
func (s *Sends) SetShare(now time.Duration, share Share) {
	wasSender, last := s.IsSender(), s.next-s.share.Spacing
	s.share = share
	if wasSender {
		s.next = max(s.next, last+share.Spacing)
	} else {
		s.delayFirst(now)
	}
}

// IsSender reports whether the host may send at all.
func (s *Sends) IsSender() bool { return s.rank() < s.share.Probability }

// IsOpen reports whether a request may be sent now.
func (s *Sends) IsOpen(now time.Duration) bool { return s.IsSender() && now >= s.next }

// Use records a send. Sends that were possible earlier and were not made are lost.
func (s *Sends) Use(now time.Duration) { s.next = now + s.share.Spacing }

// Wait returns the time until the send after the given number of others.
func (s *Sends) Wait(now time.Duration, others int) time.Duration {
	if !s.IsSender() {
		return never
	}
	return min(never, max(0, s.next-now)+time.Duration(min(float64(others)*float64(s.share.Spacing), float64(never))))
}

// Rate returns the number of requests per second that the host may send.
func (s *Sends) Rate() float64 {
	if !s.IsSender() {
		return 0
	}
	return 1 / s.share.Spacing.Seconds()
}
