package crossing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/routing/crossing"
)

const ms = time.Millisecond

var (
	urgent  = crossing.Work{Goal: 250 * ms, UntilAim: 250 * ms, UntilEnd: time.Second, Bytes: 3000}
	patient = crossing.Work{Goal: 2500 * ms, UntilAim: 2500 * ms, UntilEnd: 8 * time.Second, Bytes: 3000}
	idleFar = crossing.Offer{Expected: 130 * ms, Deviation: 30 * ms, Samples: 50, Free: 40, Age: 600 * ms}
)

func home(expected time.Duration) crossing.Offer {
	return crossing.Offer{Expected: expected, Deviation: 30 * ms, Samples: 50}
}

func leavesFar(w crossing.Work, here, there crossing.Offer) bool {
	v := crossing.Compare(w, here, there, crossing.DefaultPrices[crossing.Far], 0)
	return v.Gain > v.Cost
}

// Guards against crossing for a small difference of the expected time, and against
// staying where the goal would be missed.
func TestOverloadInOneDataCentre(t *testing.T) {
	assert.Assert(t, !leavesFar(urgent, home(70*ms), idleFar))
	assert.Assert(t, !leavesFar(urgent, home(150*ms), idleFar), "a short wait at home")
	assert.Assert(t, leavesFar(urgent, home(350*ms), idleFar))
	near := idleFar
	near.Expected = 73 * ms
	v := crossing.Compare(urgent, home(85*ms), near, crossing.DefaultPrices[crossing.Region], 0)
	assert.Assert(t, v.Gain < v.Cost, "12 ms do not pay for leaving the data centre: %+v", v)
	v = crossing.Compare(urgent, home(300*ms), near, crossing.DefaultPrices[crossing.Region], 0)
	assert.Assert(t, v.Gain > v.Cost, "%+v", v)
}

// Guards against moving work between places that are all full.
func TestOverloadInAllDataCentres(t *testing.T) {
	full := idleFar
	full.Expected = 500 * ms
	assert.Assert(t, !leavesFar(urgent, home(450*ms), full))
	noRoom := idleFar
	noRoom.Free = 0
	assert.Assert(t, !leavesFar(urgent, home(450*ms), noRoom))
}

// Guards against refusing what could wait, and against crossing for work that can wait.
func TestFarGoalWaitsAndNearGoalCrosses(t *testing.T) {
	far := idleFar
	far.Expected = 480 * ms
	assert.Assert(t, !leavesFar(patient, home(420*ms+600*ms), far))
	assert.Assert(t, leavesFar(urgent, home(350*ms), idleFar))
	waited := patient
	waited.UntilAim, waited.UntilEnd = 650*ms, 6*time.Second
	assert.Assert(t, leavesFar(waited, home(420*ms+600*ms), far), "it has waited until its goal is near")
}

// Guards against sending over a link that is slow although targets beyond it are free.
func TestSlowLink(t *testing.T) {
	slow := idleFar
	slow.Expected = 130*ms + 300*ms
	assert.Assert(t, !leavesFar(urgent, home(350*ms), slow))
}

// Guards against optional bytes on a link that what must cross needs: the price rises with
// the use of the link, and ordinary gains stop first.
func TestFullLink(t *testing.T) {
	var link crossing.Link
	link.SetRate(60e6/8, 59)
	now, previous := time.Duration(0), -1.0
	stoppedAt := -1.0
	for percent := 10; percent <= 100; percent += 10 {
		for link.Sent(now) < float64(percent)/100*60e6/8/59 {
			link.Record(now, 1000)
		}
		pressure, ok := link.Pressure(now)
		assert.Assert(t, pressure >= previous, "the price never falls with more use")
		previous = pressure
		v := crossing.Compare(urgent, home(350*ms), idleFar, crossing.DefaultPrices[crossing.Far], pressure)
		if stoppedAt < 0 && (!ok || v.Gain <= v.Cost) {
			stoppedAt = float64(percent)
		}
	}
	assert.Assert(t, stoppedAt > 30 && stoppedAt < 80, "stopped at %.0f %%", stoppedAt)
	_, ok := link.Pressure(now)
	assert.Assert(t, !ok)
	pressure, ok := link.Pressure(now + 10*time.Second)
	assert.Assert(t, ok && pressure < 0.01, "it recovers: %v", pressure)
}

// Guards against a rate that no deployment has as the only one, and against a rate of 0.
func TestLinkRate(t *testing.T) {
	use := func(rate float64) float64 {
		var link crossing.Link
		link.SetRate(rate, 10)
		link.Record(0, 100_000)
		pressure, _ := link.Pressure(0)
		return pressure
	}
	assert.Assert(t, use(60e6/8) < use(0))
	assert.Equal(t, use(30e6/8), use(0))
}

// Guards against the first moment after a return, when all would come back at once.
func TestDataCentreThatHasJustComeBack(t *testing.T) {
	var r crossing.Return
	assert.Assert(t, r.Take(0), "a place that was never away takes all")
	r.Begin(0)
	previous := 0
	for second := range 8 {
		taken := 0
		for i := range 100 {
			if r.Take(time.Duration(second)*time.Second + time.Duration(i)*10*ms) {
				taken++
			}
		}
		assert.Assert(t, taken > previous && taken <= 13*(second+1), "second %d: %d", second, taken)
		previous = taken
	}
	assert.Equal(t, r.Share(8*time.Second), 1.0)
}

// Guards against trust in capacity that was free seconds ago.
func TestOldReports(t *testing.T) {
	fresh, old := idleFar, idleFar
	fresh.Free, old.Free = 3, 3
	old.Age = 6 * time.Second
	assert.Assert(t, leavesFar(urgent, home(350*ms), fresh))
	assert.Assert(t, !leavesFar(urgent, home(350*ms), old))
	vague := fresh
	vague.Samples, vague.Deviation = 0, 0
	assert.Assert(t, crossing.InTime(urgent, vague) < crossing.InTime(urgent, fresh), "few samples count less")
}

// Guards against a share that follows each request: it must rise and fall within its
// bounds, differ between hosts, and end.
func TestShareChangesSlowly(t *testing.T) {
	run := func(phase float64) (after [3]float64) {
		s := crossing.NewShare(phase)
		for i := range 2000 {
			now := time.Duration(i) * 10 * ms
			s.Arrive(now)
			if i < 1000 {
				s.CountWanting(now)
			}
			switch i {
			case 50:
				after[0] = s.Value(now)
			case 999:
				after[1] = s.Value(now)
			case 1100:
				after[2] = s.Value(now)
			}
		}
		assert.Equal(t, s.Value(40*time.Second), 0.0)
		return after
	}
	low, high := run(0), run(0.9)
	assert.Assert(t, low[0] > 0.2 && low[0] < high[0] && high[0] < 0.65, "%v %v", low, high)
	assert.Equal(t, low[1], 1.0)
	assert.Assert(t, low[2] > 0.6, "%v", low)
}

// Guards against a share above the part that should leave.
func TestShareInProportionToTheLack(t *testing.T) {
	s := crossing.NewShare(0.5)
	left := 0
	for i := range 4000 {
		now := time.Duration(i) * 10 * ms
		s.Arrive(now)
		if i%4 == 0 {
			s.CountWanting(now)
			if s.Take(now) && i >= 2000 {
				left++
			}
		}
	}
	assert.Assert(t, s.Value(40*time.Second) < 0.32, "%v", s.Value(40*time.Second))
	assert.Assert(t, left > 480, "%d of 500 that should leave do", left)
}

// Guards against hosts whose part at home is taken by what other data centres send there.
func TestPartIsAtLeastEven(t *testing.T) {
	p := crossing.NewPart(0)
	assert.Assert(t, p.Allows(1000), "without reports there is no limit")
	for range 20 {
		p.Report(1, 35, 40, 10)
	}
	assert.Assert(t, p.IsScarce() && p.Allows(3) && !p.Allows(4), "%v", p.Limit())
	for range 60 {
		p.Report(10, 28, 40, 10)
	}
	assert.Assert(t, p.Allows(9) && !p.Allows(10), "%v", p.Limit())
	for range 20 {
		p.Report(10, 5, 40, 10)
	}
	assert.Assert(t, !p.IsScarce() && p.Allows(30))
}
