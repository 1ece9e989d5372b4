package standin

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mangopost/mangopost/internal/platform"
)

// PlatformOptions configure a platform stand-in. A rate of 0 is unlimited.
type PlatformOptions struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	HostLag         time.Duration // until a change of the host list is visible
	Events          EventSink     // nil drops all events
}

// DefaultPlatformOptions are the rates that operators state for the platform.
var DefaultPlatformOptions = PlatformOptions{
	WritesPerSecond: 400,
	ReadsPerSecond:  2000,
	HostLag:         time.Second,
}

// burstWindow times the rate is the number of calls that may arrive at once.
const burstWindow = 250 * time.Millisecond

// Platform implements the platform's object API and host list in memory. Tests use
// it through View, other processes through Handler; both share the same objects,
// faults, rate limits and call counts. All methods are safe for concurrent use.
type Platform struct {
	objects    *objectStore
	hosts      *hostList
	writes     *rate.Limiter
	reads      *rate.Limiter
	counts     *callCounts
	events     EventSink
	writeCount atomic.Uint64

	mu     sync.Mutex
	faults PlatformFaults
}

// NewPlatform returns an empty platform.
func NewPlatform(opts PlatformOptions) *Platform {
	if opts.Events == nil {
		opts.Events = discardEvents{}
	}
	return &Platform{
		events:  opts.Events,
		objects: newObjectStore(),
		hosts:   &hostList{lag: opts.HostLag},
		writes:  newLimiter(opts.WritesPerSecond),
		reads:   newLimiter(opts.ReadsPerSecond),
		counts:  &callCounts{counts: make(map[countKey]CallCount)},
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(perSecond*burstWindow.Seconds()))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.events.Emit(eventPlatformFaults, "faults", faults)
}

// Faults returns the platform's current faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetHosts replaces the host list; the change becomes visible after the host lag.
func (p *Platform) SetHosts(hosts []platform.TargetHost) {
	p.hosts.set(hosts, time.Now())
	p.events.Emit(eventHostsChanged, "hosts", len(hosts))
}

// Compact drops the history of changes, so that watches from earlier revisions
// fail and their callers must list again.
func (p *Platform) Compact() {
	p.objects.compact()
	p.events.Emit(eventCompacted)
}

// Stats returns the current revision, the number of objects and the call counts.
func (p *Platform) Stats() Stats {
	batch := p.objects.list("")
	return Stats{Revision: batch.Revision, Objects: len(batch.Objects), Counts: p.counts.snapshot()}
}

// Peek returns an object for tests, without faults, rate limits and call counts.
func (p *Platform) Peek(name string) (platform.Object, error) { return p.objects.get(name) }

// View returns a store that calls the platform as caller, without HTTP.
func (p *Platform) View(caller string) platform.Store {
	return view{platform: p, caller: caller}
}

// errCut is returned for a call that is dropped before it takes effect.
var errCut = errors.New("link cut")

// errRateLimited is returned for a call above the rate limit.
var errRateLimited = errors.Wrap(platform.ErrUnavailable, "rate limit exceeded")

// admit counts a call and applies the faults that precede its effect.
func (p *Platform) admit(ctx context.Context, caller string, kind CallKind) error {
	err := p.checkCall(ctx, caller, kind)
	p.counts.add(caller, kind, err != nil)
	return err
}

func (p *Platform) checkCall(ctx context.Context, caller string, kind CallKind) error {
	faults := p.Faults()
	if faults.cutsCaller(caller) {
		if faults.Hang {
			<-ctx.Done()
		}
		return errCut
	}
	if err := sleep(ctx, faults.delay()); err != nil {
		return errCut
	}
	if faults.Down {
		return errors.Wrap(platform.ErrUnavailable, "down")
	}
	limiter := p.reads
	if kind.isWrite() {
		limiter = p.writes
	}
	if !limiter.Allow() {
		return errRateLimited
	}
	return nil
}

// shouldLoseAnswer counts a write and reports whether its answer is lost.
func (p *Platform) shouldLoseAnswer() bool {
	every := p.Faults().LoseAnswerEvery
	return every > 0 && p.writeCount.Add(1)%every == 0
}

func (p *Platform) put(ctx context.Context, caller, name string, expected uint64, value json.RawMessage) (uint64, error) {
	if err := p.admit(ctx, caller, CallPut); err != nil {
		return 0, err
	}
	version, err := p.objects.put(name, expected, value)
	return p.writeResult(version, err)
}

func (p *Platform) remove(ctx context.Context, caller, name string, expected uint64) (uint64, error) {
	if err := p.admit(ctx, caller, CallDelete); err != nil {
		return 0, err
	}
	version, err := p.objects.remove(name, expected)
	return p.writeResult(version, err)
}

func (p *Platform) writeResult(version uint64, err error) (uint64, error) {
	if p.shouldLoseAnswer() {
		return 0, errors.Wrap(platform.ErrUncertain, "answer lost")
	}
	return version, err
}

func (p *Platform) get(ctx context.Context, caller, name string) (platform.Object, error) {
	if err := p.admit(ctx, caller, CallGet); err != nil {
		return platform.Object{}, err
	}
	if stale := p.Faults().staleness(); stale > 0 {
		return p.objects.getAt(name, time.Now().Add(-stale))
	}
	return p.objects.get(name)
}

func (p *Platform) list(ctx context.Context, caller, prefix string) (platform.Batch, error) {
	if err := p.admit(ctx, caller, CallList); err != nil {
		return platform.Batch{}, err
	}
	if stale := p.Faults().staleness(); stale > 0 {
		return p.objects.listAt(prefix, time.Now().Add(-stale)), nil
	}
	return p.objects.list(prefix), nil
}

// watch returns the changes after revision, and waits for one for up to wait.
func (p *Platform) watch(ctx context.Context, caller, prefix string, revision uint64, wait time.Duration) (platform.Batch, error) {
	if err := p.admit(ctx, caller, CallWatch); err != nil {
		return platform.Batch{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	batch, err := p.objects.watch(ctx, prefix, revision)
	if faults := p.Faults(); faults.cutsCaller(caller) {
		return platform.Batch{}, errCut
	} else if faults.Down {
		return platform.Batch{}, errors.Wrap(platform.ErrUnavailable, "down")
	}
	return batch, err
}

func (p *Platform) listHosts(ctx context.Context, caller string) ([]platform.TargetHost, error) {
	if err := p.admit(ctx, caller, CallHosts); err != nil {
		return nil, err
	}
	return p.hosts.visibleAt(time.Now()), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
