package coldstart_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/coldstart"
)

// limits are those of the swancoast deployment: 8.4*1.5 + 8 requests in a second.
var limits = coldstart.Limits{Rate: 8.4, Window: 20.6}

func TestShareOf(t *testing.T) {
	for _, c := range []struct {
		limits      coldstart.Limits
		hosts       int
		probability float64
		spacing     time.Duration
	}{
		{limits, 1, 1, 238 * time.Millisecond},
		{limits, 10, 1, 1428 * time.Millisecond},
		{limits, 16, 1, 2380 * time.Millisecond}, // 20 hosts with those that may join
		{limits, 17, 0.416, 1250 * time.Millisecond},
		{limits, 59, 0.0701, 1250 * time.Millisecond},
		{limits, 69, 0.0588, 1250 * time.Millisecond},
		{limits, coldstart.AssumedHosts, 0.0393, 1250 * time.Millisecond},
		{limits, 300, 0.0125, 1250 * time.Millisecond},
		{coldstart.Limits{Rate: 0.5, Window: 20.6}, 10, 1, 24 * time.Second},
		{coldstart.Limits{Rate: 0.5, Window: 0.9}, 10, 0, math.MaxInt64 / 4},
	} {
		s := coldstart.ShareOf(c.limits, c.hosts)
		assert.Assert(t, math.Abs(s.Probability-c.probability) < 0.001, "%d hosts: %v", c.hosts, s)
		assert.Equal(t, s.Spacing.Truncate(time.Millisecond), c.spacing.Truncate(time.Millisecond), "%d hosts", c.hosts)
	}
}

// TestSenderProbability compares the probability of too many senders with that of the
// distribution computed host by host.
func TestSenderProbability(t *testing.T) {
	for _, hosts := range []int{21, 24, 59, 71, 120, 360} {
		p := coldstart.SenderProbability(20, hosts)
		assert.Assert(t, tail(hosts, p, 21) <= 1.0001e-8, "%d hosts: %v", hosts, p)
		assert.Assert(t, tail(hosts, 1.02*p, 21) > 1e-8, "%d hosts: %v could be higher", hosts, p)
	}
}

func tail(hosts int, p float64, atLeast int) float64 {
	distribution := make([]float64, hosts+1)
	distribution[0] = 1
	for range hosts {
		for k := hosts; k > 0; k-- {
			distribution[k] = distribution[k]*(1-p) + distribution[k-1]*p
		}
		distribution[0] *= 1 - p
	}
	sum := 0.0
	for _, probability := range distribution[atLeast:] {
		sum += probability
	}
	return sum
}

// fleet simulates hosts that always have requests for one cold target.
type fleet struct {
	hosts   int
	known   int           // host count that the hosts know
	late    time.Duration // latest time at which a host learns that the target is cold
	restart bool          // all hosts restart once, at drawn times
}

// hostNames are the names of the hosts of the largest fleet.
var hostNames = func() []string {
	names := make([]string, 300)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	return names
}()

const coldTime = 20 * time.Second

// sends returns the sorted times of all sends of one cold phase.
func (f fleet) sends(seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d) + 1)) }
	share := coldstart.ShareOf(limits, f.known)
	target := fmt.Sprintf("target-%d", seed)
	var out []time.Duration
	for _, host := range hostNames[:f.hosts] {
		learnt := upTo(f.late)
		restart := coldTime
		if f.restart {
			restart = learnt + upTo(coldTime)
		}
		for _, life := range [][2]time.Duration{{learnt, min(restart, coldTime)}, {restart, coldTime}} {
			s := coldstart.NewSends(life[0], host, target, 7, share)
			for now := life[0]; s.IsSender(); s.Use(now) {
				if now += s.Wait(now, 0); now >= life[1] {
					break
				}
				out = append(out, now)
			}
		}
	}
	slices.Sort(out)
	return out
}

// mostInSecond returns the highest number of times in any one second.
func mostInSecond(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// seeds is the number of simulated cold phases of each fleet.
const seeds = 1000

// TestNoSecondExceedsLimit guards against hosts that learn together of a cold target and
// overload it together: the limit of any one second holds for fleets of several sizes,
// also while all hosts restart and with host counts that are too small.
func TestNoSecondExceedsLimit(t *testing.T) {
	for name, f := range map[string]fleet{
		"10 hosts":                  {hosts: 10, known: 10},
		"59 hosts":                  {hosts: 59, known: 59},
		"69 hosts":                  {hosts: 69, known: 69},
		"300 hosts":                 {hosts: 300, known: 300},
		"59 hosts learn late":       {hosts: 59, known: 59, late: 3 * time.Second},
		"59 hosts restart":          {hosts: 59, known: 59, restart: true},
		"10 hosts join 59":          {hosts: 69, known: 59},
		"count too small by 15 %":   {hosts: 59, known: 50, restart: true},
		"10 hosts join and restart": {hosts: 20, known: 10, restart: true},
		"count not known":           {hosts: 59, known: coldstart.AssumedHosts, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			total, most := 0, 0
			for seed := range uint64(seeds) {
				times := f.sends(seed)
				most = max(most, mostInSecond(times))
				total += len(times)
				if len(times) > 0 {
					assert.Assert(t, times[0] >= time.Second, "seed %d: a send after %s", seed, times[0])
				}
			}
			assert.Assert(t, float64(most) <= limits.Window, "%d in one second", most)
			t.Logf("%.2f sends per second, at most %d in one second", float64(total)/seeds/coldTime.Seconds(), most)
		})
	}
}

// TestCountChangesWhileCold: a host that learns of another count keeps the distance
// between its sends, and one that becomes a sender waits before its first send.
func TestCountChangesWhileCold(t *testing.T) {
	few, many := coldstart.ShareOf(limits, 10), coldstart.ShareOf(limits, 3000)
	for i := range 50 {
		s := coldstart.NewSends(0, fmt.Sprintf("entry-%d", i), "t", 1, many)
		if s.IsSender() {
			continue
		}
		assert.Equal(t, s.Rate(), 0.0)
		s.SetShare(time.Minute, few)
		assert.Assert(t, s.Wait(time.Minute, 0) >= time.Second)
		s.SetShare(time.Hour, many)
		assert.Assert(t, !s.IsOpen(2*time.Hour))
	}
	s := coldstart.NewSends(0, "h", "t", 1, few)
	s.Use(time.Minute)
	s.SetShare(time.Minute, coldstart.ShareOf(limits, 1))
	assert.Assert(t, s.Wait(time.Minute, 0) >= time.Second, "a send follows at once")
}

func TestPhase(t *testing.T) {
	const s = time.Second
	var p coldstart.Phase
	assert.Assert(t, !p.IsKnown())
	p.Observe(10*s, coldstart.Entry{Heartbeat: 5, ColdFor: 3 * s})
	assert.Equal(t, p.Until(), 13*s)
	p.Observe(12*s, coldstart.Entry{Heartbeat: 5, ColdFor: 3 * s})
	assert.Equal(t, p.Until(), 13*s, "the same entry prolongs the phase")
	p.Observe(12*s, coldstart.Entry{Heartbeat: 4})
	assert.Equal(t, p.Until(), 13*s, "an earlier entry ends the phase")
	p.Observe(12*s, coldstart.Entry{Heartbeat: 7})
	assert.Equal(t, p.Remaining(12*s), 0*s)
	p.Observe(12*s, coldstart.Entry{Heartbeat: 6, ColdFor: 2 * s})
	assert.Equal(t, p.Remaining(12*s), 0*s, "an earlier entry begins a phase")
	p.Observe(20*s, coldstart.Entry{Heartbeat: 8, ColdFor: s})
	assert.Equal(t, p.Until(), 21*s, "the target has turned cold again")

	p.Presume(30*s, 5*s, 2*s)
	p.Observe(31*s, coldstart.Entry{Heartbeat: 9})
	assert.Equal(t, p.Until(), 35*s, "an entry of before ends the phase")
	p.Observe(32*s, coldstart.Entry{Heartbeat: 10})
	assert.Equal(t, p.Remaining(32*s), 0*s)
}

// TestHostCount guards against counts of a coordinator that has just begun or is cut off
// from most hosts: more hosts than it knows send.
func TestHostCount(t *testing.T) {
	var h coldstart.HostCount
	assert.Equal(t, h.Count(0), coldstart.AssumedHosts)
	h.Record(time.Second, 3)
	assert.Equal(t, h.Count(time.Second), coldstart.AssumedHosts)
	h.Record(2*time.Second, 59)
	h.Record(3*time.Second, 0)
	assert.Equal(t, h.Count(11*time.Second), 59)
	h.Record(time.Minute, 15)
	assert.Equal(t, h.Count(time.Minute), 59)
	h.Record(12*time.Minute, 15)
	assert.Equal(t, h.Count(12*time.Minute), 59)
	h.Record(25*time.Minute, 15)
	assert.Equal(t, h.Count(25*time.Minute), 15)
	var large coldstart.HostCount
	large.Record(0, 300)
	assert.Equal(t, large.Count(0), 300)
}
