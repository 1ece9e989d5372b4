package e2e

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/standin/judge"
	"github.com/mangopost/mangopost/maintenance"
	"github.com/mangopost/mangopost/ownership"
)

// PauseActingPlacer pauses the acting placer of the cell with SIGSTOP. Healing
// resumes it with the state that it had.
func (c *Cluster) PauseActingPlacer([]string) (Failure, error) {
	h := c.awaitActingPlacer()
	if h == nil {
		return Failure{}, errors.New("no acting placer")
	}
	heal := func() error { h.Placer.Resume(); return nil }
	return Failure{At: h.Placer.Pause(), Heal: heal}, nil
}

// actingPlacerTimeout limits how long a cell may be without an acting placer
// that responds.
const actingPlacerTimeout = 5 * time.Second

func (c *Cluster) awaitActingPlacer() *Host {
	const pollInterval = 50 * time.Millisecond
	for began := time.Now(); time.Since(began) < actingPlacerTimeout; time.Sleep(pollInterval) {
		if h := c.ActingPlacer(); h != nil {
			return h
		}
	}
	return nil
}

// HasReleasedShards reports whether the shard map in the store assigns no shard
// to a target and contains no move away from it.
func (c *Cluster) HasReleasedShards(target string) (bool, error) {
	page, err := c.ShardMap()
	if err != nil {
		return false, err
	}
	for _, shard := range append(page.Shards, page.Pins...) {
		if involvesTarget(shard, target) {
			return false, nil
		}
	}
	return true, nil
}

func involvesTarget(shard ownership.Shard, target string) bool {
	return shard.Target == target || shard.Move != nil && shard.Move.From.Target == target
}

// Span is the interval during which a failure was active, in Unix nanoseconds.
type Span struct{ From, To int64 }

// InterruptedRuns returns the runs of a target that started at since or later
// and did not complete. It leaves out runs that overlap the failure and runs
// that were preempted by shorter work and completed on a later attempt.
func InterruptedRuns(runs []judge.Run, target string, since int64, failure Span) []judge.Run {
	complete := make(map[string]bool)
	for _, run := range runs {
		if run.Outcome == judge.RunComplete {
			complete[run.RequestID] = true
		}
	}
	var list []judge.Run
	for _, run := range runs {
		isBroken := run.Outcome != judge.RunComplete && !complete[run.RequestID]
		isDuringFailure := run.Start < failure.To && (run.End == 0 || run.End > failure.From)
		if run.Target == target && run.Start >= since && isBroken && !isDuringFailure {
			list = append(list, run)
		}
	}
	return list
}

// RunsInProgress returns the runs of a target that started before a time and
// ended after it.
func RunsInProgress(runs []judge.Run, target string, at time.Time) []judge.Run {
	var list []judge.Run
	for _, run := range runs {
		isOpen := run.End == 0 || run.End > at.UnixNano()
		if run.Target == target && run.Start < at.UnixNano() && isOpen {
			list = append(list, run)
		}
	}
	return list
}

// FinishStop finishes a planned stop, so that its targets get work again.
func (c *Cluster) FinishStop(id string) error {
	return c.applyStop(id, maintenance.Finish{Meta: maintenance.Meta{ID: "finish-" + id, By: operatorName}})
}
