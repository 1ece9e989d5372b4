package crossing

import (
	"math"
	"time"
)

const (
	// learnWeight is the weight of a sample: about the last twenty count.
	learnWeight = 0.05
	// minBytes and maxBytes bound what one request and its answer count for, so that a few
	// very large ones do not keep all others of their route here.
	minBytes, maxBytes = 500, 64 << 10
	// assumedBytes is the size before any was observed: the middle of 1.5 kB to 5 kB.
	assumedBytes = 3000
)

// AssumedPath is the time that a request takes longer at a place, before any was
// observed: the round trips of 1.4 ms and 30 ms one way.
var AssumedPath = [NumPlaces]time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond}

// Times is the smoothed mean and variance of times.
type Times struct {
	mean, variance float64 // seconds
	samples        int
}

// Add adds a sample.
func (t *Times) Add(took time.Duration) {
	weight := max(learnWeight, 1/float64(t.samples+1))
	t.samples++
	difference := took.Seconds() - t.mean
	t.mean += weight * difference
	t.variance = (1 - weight) * (t.variance + weight*difference*difference)
}

// Mean returns the mean; 0 without samples.
func (t *Times) Mean() time.Duration { return time.Duration(t.mean * float64(time.Second)) }

// Deviation returns the standard deviation.
func (t *Times) Deviation() time.Duration {
	return time.Duration(math.Sqrt(t.variance) * float64(time.Second))
}

// Samples returns the number of samples.
func (t *Times) Samples() int { return t.samples }

// Bytes is the learned size of a route's requests with their answers.
type Bytes struct {
	mean    float64
	samples int
}

// Add adds a sample, bounded on both sides.
func (b *Bytes) Add(bytes int) {
	b.samples++
	weight := max(learnWeight, 1/float64(b.samples))
	b.mean += weight * (min(max(float64(bytes), minBytes), maxBytes) - b.mean)
}

// Mean returns the expected size in bytes.
func (b *Bytes) Mean() float64 {
	if b.samples == 0 {
		return assumedBytes
	}
	return b.mean
}
