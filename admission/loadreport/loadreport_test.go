package loadreport_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/loadreport"
)

const ms = time.Millisecond

const serviceTime = 200 * ms

// A host hears from a target every two seconds; by then the reported requests have ended
// and the target is no longer slow.
func TestReportCountsLessWithItsAge(t *testing.T) {
	var target loadreport.Target
	target.Record(time.Second, loadreport.Load{Running: 6, Waiting: 5, Slots: 6, Pace: 3}, 1)
	fresh := target.At(time.Second, 2, serviceTime)
	assert.DeepEqual(t, fresh, loadreport.Estimate{Others: 10, Pace: 3, Decides: true, Waiting: true})
	for i := range 20 {
		next := target.At(time.Second+time.Duration(i+1)*20*ms, 2, serviceTime)
		assert.Assert(t, next.Others < fresh.Others && next.Pace < fresh.Pace && next.Others > 2 && next.Pace > 1)
		fresh = next
	}
	assert.Assert(t, !fresh.Decides && !fresh.Waiting, "after twice the service time")
	old := target.At(3*time.Second, 2, serviceTime)
	assert.Assert(t, math.Abs(old.Others-2) < 0.01 && math.Abs(old.Pace-1) < 0.01, "%+v", old)
}

// Targets of other services report nothing, or something that is not a report.
func TestWithoutReportLateFiguresCount(t *testing.T) {
	var target loadreport.Target
	target.Record(time.Second, loadreport.Load{Running: 9}, 0)
	assert.Equal(t, target.Check(loadreport.Load{}, true, time.Second, ms), loadreport.Unchanged)
	assert.DeepEqual(t, target.At(time.Second, 2.5, serviceTime), loadreport.Estimate{Others: 2.5, Pace: 1})
}

// This host's own requests are known exactly, and a report may come before some of them
// have arrived.
func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	var target loadreport.Target
	target.Record(0, loadreport.Load{Running: 3, Slots: 6, Pace: 1}, 2)
	assert.Equal(t, target.At(0, 5, serviceTime).Others, 1.0)
	target.Record(0, loadreport.Load{Running: 1, Slots: 6, Pace: 1}, 2)
	assert.Equal(t, target.At(0, 5, serviceTime).Others, 0.0)
}

// A target always reports that it is idle, and sheds or is slow. Its reports stop
// counting, and count again once it answers as it says.
func TestContradictedReportsStopCounting(t *testing.T) {
	idle := loadreport.Load{Slots: 6, Pace: 1}
	for _, shed := range []bool{true, false} {
		var target loadreport.Target
		target.Record(0, idle, 0)
		answers := 0
		for target.Check(idle, shed, 4*serviceTime, serviceTime) != loadreport.Lost {
			answers++
			assert.Assert(t, answers < 10)
		}
		assert.DeepEqual(t, target.At(0, 5, serviceTime), loadreport.Estimate{Others: 5, Pace: 1})
		for target.Check(idle, false, serviceTime, serviceTime) != loadreport.Regained {
			answers++
			assert.Assert(t, answers < 20)
		}
	}
}

// A slow or full target says so: its long answers contradict nothing.
func TestTrueReportsKeepCounting(t *testing.T) {
	var target loadreport.Target
	for range 100 {
		for _, l := range []loadreport.Load{{Running: 6, Waiting: 9, Slots: 6, Pace: 1}, {Running: 2, Slots: 6, Pace: 3}} {
			assert.Equal(t, target.Check(l, l.Waiting > 0, 9*serviceTime, serviceTime), loadreport.Unchanged)
			target.Record(0, l, 0)
		}
	}
	assert.Equal(t, target.At(0, 5, serviceTime).Pace, 3.0)
}
