// Package memlimit bounds the memory and the descriptors that a process holds for its
// clients and targets. Whoever is about to hold bytes takes them from the Limit first.
// Near the bound, the holder that is slowest for what it holds gives way, not the newest
// one.
package memlimit

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// heldShare is the part of a process's memory that may be held for clients and
	// targets. The rest is for the program itself and for garbage: with 0.55, a request
	// of 64 MiB and an answer of 32 MiB fit together on a host of 184 MB.
	heldShare = 0.55
	// maxHeldShare is the share up to which the largest answer has room on processes with
	// little memory.
	maxHeldShare = 0.75
	// maxAnswerReserve is the most that only answers of targets may use: the largest
	// answer of a target, 32 MiB, and one part of the next.
	maxAnswerReserve = 32<<20 + 256<<10
	// answerReserveShare limits that part on processes with little memory.
	answerReserveShare = 0.35
	// answerShare is the part of the process's memory that answers may use, at least
	// maxAnswerReserve.
	answerShare = 0.25
	// smallBytes is what a holder of a small request holds at most. A part of the memory
	// is reserved for these: one in smallReserveDivisor bytes.
	smallBytes          = 64 << 10
	smallReserveDivisor = 32
	// grace is how long a holder may make no progress before it gives way to others. A
	// client on a link of 30 ms sends its next part well within it.
	grace = 200 * time.Millisecond
	// scanInterval is the least time between two searches for the slowest holder when many
	// wait: each looks at every holder.
	scanInterval = 5 * time.Millisecond
	// recheckInterval is how often a holder that waits for memory looks again for one
	// that has to give way.
	recheckInterval = 50 * time.Millisecond
)

// Reasons why a holder gives way, for metrics and logs.
const (
	ReasonMemory      = "memory"      // its bytes are needed for others
	ReasonDescriptors = "descriptors" // its connection is needed for others
	ReasonConnections = "connections" // it is a new connection, and no other gives way
)

// Reasons lists all of them.
var Reasons = []string{ReasonMemory, ReasonDescriptors, ReasonConnections}

// ErrRefused reports that there is no memory for the holder: it gives way to others.
var ErrRefused = errors.New("too many bytes are held for clients")

// Limit bounds the bytes of all holders together. The zero value is not usable.
type Limit struct {
	onRefusal func(reason string)

	mu         sync.Mutex
	total      int64 // bytes for all holders
	requests   int64 // bytes for holders that are no answers
	forAnswers int64 // bytes for answers
	used       int64
	answers    int64 // part of used
	ending     int64 // part of used, of holders that have been told to end
	holders    map[*Holder]struct{}
	scannedAt  time.Time     // when makeRoom last searched for the slowest
	freed      chan struct{} // closed when bytes are returned; nil if nobody waits
}

// New returns the limit of a process with the given memory in bytes, or one that has
// room for one answer if it is 0. onRefusal, if not
// nil, is called for each holder that gives way. It must not call the Limit.
func New(processBytes int64, onRefusal func(reason string)) *Limit {
	total := int64(heldShare * float64(processBytes))
	if processBytes > 0 {
		total = max(total, min(maxAnswerReserve, int64(maxHeldShare*float64(processBytes))))
	} else {
		total = maxAnswerReserve
	}
	reserve := min(maxAnswerReserve, int64(answerReserveShare*float64(total)))
	if onRefusal == nil {
		onRefusal = func(string) {}
	}
	return &Limit{
		total:      total,
		requests:   total - reserve,
		forAnswers: min(total, max(maxAnswerReserve, int64(answerShare*float64(processBytes)))),
		holders:    make(map[*Holder]struct{}),
		onRefusal:  onRefusal,
	}
}

// Total returns the bound in bytes.
func (l *Limit) Total() int64 { return l.total }

// AnswerTotal returns the bound on the bytes of all answers.
func (l *Limit) AnswerTotal() int64 { return l.forAnswers }

// Used returns the number of bytes held.
func (l *Limit) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Holder holds bytes for one client or for one answer of a target. The methods of a nil
// Holder do nothing, and it always gets what it takes.
type Holder struct {
	limit    *Limit
	isAnswer bool

	// All below are protected by limit.mu.
	held       int64
	wanted     int64     // by a Take that waits
	progressAt time.Time // when it last got further by a part
	end        func()    // ends what the holder waits for; nil: it cannot give way
	isEnded    bool
	isIdle     bool  // a connection between two requests
	hasServed  bool  // a connection that has carried a request
	conn       *Conn // nil for answers
}

// Request returns a holder for the bytes of a client. If the holder is chosen to give
// way, end is called once, in its own goroutine, and Take fails from then on.
func (l *Limit) Request(end func()) *Holder { return l.add(&Holder{limit: l, end: end}) }

// Answer returns a holder for the answer of a target. It does not give way until
// MayEnd is called.
func (l *Limit) Answer() *Holder { return l.add(&Holder{limit: l, isAnswer: true}) }

func (l *Limit) add(h *Holder) *Holder {
	h.progressAt = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders[h] = struct{}{}
	return h
}

// Take takes bytes and waits until there are some. It fails with ErrRefused if the
// holder has to give way to others, and when ctx ends.
func (h *Holder) Take(ctx context.Context, bytes int64) error {
	if h == nil {
		return nil
	}
	l := h.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		switch {
		case h.isEnded:
			return ErrRefused
		case l.fits(h, bytes):
			l.hold(h, bytes)
			h.progressAt = time.Now()
			return nil
		case h.held+bytes > l.ceiling(h, bytes):
			l.onRefusal(ReasonMemory) // it would not fit if it were alone
			return ErrRefused
		}
		h.wanted = bytes
		l.makeRoom(bytes)
		var err error
		if !h.isEnded {
			err = l.wait(ctx)
		}
		if h.wanted = 0; err != nil {
			return err
		}
	}
}

// wait releases mu until bytes are returned, recheckInterval passes or ctx ends.
func (l *Limit) wait(ctx context.Context) error {
	if l.freed == nil {
		l.freed = make(chan struct{})
	}
	freed := l.freed
	l.mu.Unlock()
	defer l.mu.Lock()
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-freed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for memory")
	}
}

// fits reports whether a holder may take bytes now.
func (l *Limit) fits(h *Holder, bytes int64) bool {
	if l.used+bytes > l.total {
		return false
	}
	if h.isAnswer {
		return l.answers+bytes <= l.forAnswers
	}
	return l.used-l.answers+bytes <= l.ceiling(h, bytes)
}

// ceiling returns how many bytes may be held by holders of the same kind.
func (l *Limit) ceiling(h *Holder, bytes int64) int64 {
	switch {
	case h.isAnswer:
		return l.forAnswers
	case h.held+bytes <= smallBytes:
		return l.requests
	default:
		return l.requests - l.total/smallReserveDivisor
	}
}

func (l *Limit) hold(h *Holder, bytes int64) {
	h.held += bytes
	l.used += bytes
	if h.isAnswer {
		l.answers += bytes
	}
	if h.isEnded {
		l.ending += bytes
	}
}

// makeRoom tells the slowest holder to end, unless holders that have been told to are
// about to return enough.
func (l *Limit) makeRoom(bytes int64) {
	if l.ending >= bytes {
		return
	}
	now := time.Now()
	if now.Sub(l.scannedAt) < scanInterval {
		return // the caller looks again after recheckInterval at the latest
	}
	l.scannedAt = now
	slowest := l.slowest(func(h *Holder) float64 { return float64(h.held+h.wanted) * now.Sub(h.progressAt).Seconds() })
	if slowest != nil && now.Sub(slowest.progressAt) >= grace {
		l.endHolder(slowest, ReasonMemory)
	}
}

// slowest returns the holder with the highest cost that may give way, or nil.
func (l *Limit) slowest(cost func(*Holder) float64) *Holder {
	var found *Holder
	highest := 0.0
	for h := range l.holders {
		if h.end == nil || h.isEnded {
			continue
		}
		if c := cost(h); c > highest {
			found, highest = h, c
		}
	}
	return found
}

func (l *Limit) endHolder(h *Holder, reason string) {
	h.isEnded = true
	l.ending += h.held
	l.onRefusal(reason)
	go h.end()
}

// Add counts bytes that are held already, whether or not there is room.
func (h *Holder) Add(bytes int64) {
	if h == nil {
		return
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.limit.hold(h, bytes)
}

// GiveBack returns some of the bytes.
func (h *Holder) GiveBack(bytes int64) {
	if h == nil {
		return
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.limit.notifyFreed()
	h.limit.hold(h, -min(bytes, h.held))
}

// Progress records that the holder got further.
func (h *Holder) Progress() {
	if h == nil {
		return
	}
	h.limit.mu.Lock()
	h.progressAt = time.Now()
	h.limit.mu.Unlock()
}

// Keep makes sure that the holder does not give way until MayEnd is called. It reports
// false if the holder has been told to end already.
func (h *Holder) Keep() bool {
	if h == nil {
		return true
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.end = nil
	return !h.isEnded
}

// MayEnd allows that the holder gives way. end is called in its own goroutine.
func (h *Holder) MayEnd(end func()) {
	if h == nil {
		return
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.end, h.progressAt = end, time.Now()
}

// IsEnded reports whether the holder has been told to end.
func (h *Holder) IsEnded() bool {
	if h == nil {
		return false
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	return h.isEnded
}

// Return returns all bytes. The holder can be used again.
func (h *Holder) Return() {
	if h == nil {
		return
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.returnAll()
}

func (h *Holder) returnAll() {
	if h.held == 0 {
		return
	}
	h.limit.notifyFreed()
	h.limit.hold(h, -h.held)
}

func (l *Limit) notifyFreed() {
	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// Close returns all bytes. The holder must not be used any more, except for Close.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.returnAll()
	delete(h.limit.holders, h)
}
