package admission

import (
	"slices"
	"time"
)

// job is a request that holds a slot.
type job struct {
	entry     *entry
	class     Class
	started   time.Duration
	straggler bool
	preempted bool // its cancellation was requested
	abandoned bool // its caller has disconnected
	inherited bool // runs for the previous gateway; the slot counts as held until the deadline
}

func newJob(now time.Duration, e *entry) *job {
	return &job{entry: e, class: e.item.Class, started: now}
}

// runningSet holds the requests that have a slot, oldest first.
type runningSet struct {
	jobs       []*job
	long       int
	stragglers int
	cancelling int
}

// nonShort returns the number of slots that long requests and stragglers
// occupy.
func (r *runningSet) nonShort() int { return r.long + r.stragglers }

func (r *runningSet) add(j *job) {
	r.jobs = append(r.jobs, j)
	if j.class == Long {
		r.long++
	}
}

func (r *runningSet) index(id uint64) int {
	return slices.IndexFunc(r.jobs, func(j *job) bool { return j.entry.item.ID == id && !j.inherited })
}

// find returns the job with the given ID, or nil.
func (r *runningSet) find(id uint64) *job {
	if i := r.index(id); i >= 0 {
		return r.jobs[i]
	}
	return nil
}

// remove removes and returns the job with the given ID, or returns nil.
func (r *runningSet) remove(id uint64) *job {
	i := r.index(id)
	if i < 0 {
		return nil
	}
	return r.removeAt(i)
}

// removeAt removes and returns the job at an index.
func (r *runningSet) removeAt(i int) *job {
	j := r.jobs[i]
	r.jobs = slices.Delete(r.jobs, i, i+1)
	if j.class == Long {
		r.long--
	}
	if j.straggler {
		r.stragglers--
	}
	if j.preempted {
		r.cancelling--
	}
	return j
}

// markStraggler counts a short job as a straggler.
func (r *runningSet) markStraggler(j *job) {
	j.straggler = true
	r.stragglers++
}

// youngestPreemptible returns the most recently started straggler that may be
// run again, which loses the least work, or nil.
func (r *runningSet) youngestPreemptible() *job {
	for _, j := range slices.Backward(r.jobs) {
		if j.straggler && j.entry.idempotent && !j.entry.wasPreempted && !j.preempted {
			return j
		}
	}
	return nil
}

func (r *runningSet) markPreempted(j *job) {
	j.preempted = true
	r.cancelling++
}
