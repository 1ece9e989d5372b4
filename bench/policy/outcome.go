package main

import (
	"math"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangopost/mangopost/admission"
)

// outcome holds the results of one run after its warm-up.
type outcome struct {
	short               *hdr.Histogram // latency of answered short work, in µs
	long                *hdr.Histogram
	straggler           *hdr.Histogram
	sent                int
	good                int // answered within the deadline
	goodShort           int // short work answered within the deadline
	sentShort           int // short work that arrived
	goodStragglers      int // stragglers answered within the deadline
	sentStragglers      int
	goodServiceTime     time.Duration  // service time of good answers
	goodByClient        map[string]int // good answers
	sentByClient        map[string]int
	refusals            map[admission.Reason]int
	shedCount           int
	joinedCount         int
	peakRunning         int           // maximum of requests that the target ran at once
	spikeGood           int           // good answers during the spike
	recovery            time.Duration // from the end of the spike to the last slow answer
	span                time.Duration
	maxShortServiceTime time.Duration // mean service time up to which a flow is short
}

// maxShortServiceTime is the mean service time up to which a flow counts as short work.
const maxShortServiceTime = 20 * time.Millisecond

const (
	lowestMicros       = 1
	highestMicros      = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

func newOutcome() *outcome {
	return &outcome{
		short:               hdr.New(lowestMicros, highestMicros, significantFigures),
		long:                hdr.New(lowestMicros, highestMicros, significantFigures),
		straggler:           hdr.New(lowestMicros, highestMicros, significantFigures),
		goodByClient:        make(map[string]int),
		sentByClient:        make(map[string]int),
		refusals:            make(map[admission.Reason]int),
		maxShortServiceTime: maxShortServiceTime,
	}
}

func (o *outcome) isMeasured(r *request) bool { return r.arrived >= warmUp }

func (o *outcome) isShort(r *request) bool {
	return !r.straggler && r.flow.meanServiceTime <= o.maxShortServiceTime
}

func (o *outcome) recordArrival(r *request) {
	if !o.isMeasured(r) {
		return
	}
	o.sent++
	o.sentByClient[r.flow.client]++
	if o.isShort(r) {
		o.sentShort++
	}
	if r.straggler {
		o.sentStragglers++
	}
}

func (o *outcome) recordRefusal(r *request, reason admission.Reason) {
	if o.isMeasured(r) {
		o.refusals[reason]++
	}
}

func (o *outcome) recordCompletion(now time.Duration, r *request) {
	if !o.isMeasured(r) {
		return
	}
	latency := now - r.arrived
	// Values are within the histogram's bounds, so recording cannot fail.
	_ = o.histogram(r).RecordValue(max(int64(latency/time.Microsecond), lowestMicros))
	if latency > r.flow.deadline {
		return
	}
	o.good++
	o.goodServiceTime += r.serviceTime
	o.goodByClient[r.flow.client]++
	if o.isShort(r) {
		o.goodShort++
	}
	if r.straggler {
		o.goodStragglers++
	}
}

func (o *outcome) histogram(r *request) *hdr.Histogram {
	switch {
	case r.straggler:
		return o.straggler
	case o.isShort(r):
		return o.short
	default:
		return o.long
	}
}

// refusalCount returns the number of refusals for all reasons.
func (o *outcome) refusalCount() int {
	sum := 0
	for _, n := range o.refusals {
		sum += n
	}
	return sum
}

// goodput returns the good answers per second.
func (o *outcome) goodput() float64 { return float64(o.good) / o.span.Seconds() }

// p99 returns the 99th percentile in milliseconds, or NaN if nothing was answered.
func p99(h *hdr.Histogram) float64 {
	if h.TotalCount() == 0 {
		return math.NaN()
	}
	micros := time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return float64(micros) / float64(time.Millisecond)
}
