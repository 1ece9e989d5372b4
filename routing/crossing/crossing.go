// Package crossing decides whether a request leaves the data centre of its host, and
// which share of a route's requests does. It is pure: observations and the current time
// go in, decisions come out. Its types other than Link are not safe for concurrent use.
//
// The rule is one comparison. A request may leave if the marginal gain to its caller
// exceeds the marginal cost:
//
//	V(there) - V(here) + TimeWeight x (E(here) - E(there)) / goal
//	    >  bytes x price x (1 + pressure of the link)
//
// V is the probability that the answer comes within the latency goal times the value of
// that, which is 1, with LateValue for an answer between the goal and the deadline; E is
// the expected time to the answer, with the wait.
package crossing

import (
	"math"
	"time"
)

// Place is where a target is, seen from this host.
type Place uint8

const (
	// Home is the host's data centre.
	Home Place = iota
	// Region is another data centre of the host's region.
	Region
	// Far is another region.
	Far

	// NumPlaces is the number of places.
	NumPlaces = 3
)

// String returns the name of the place in metrics and logs.
func (p Place) String() string {
	switch p {
	case Home:
		return "data-centre"
	case Region:
		return "region"
	case Far:
		return "far"
	default:
		return "invalid"
	}
}

const (
	// LateValue is the value of an answer between its goal and its deadline, as a
	// fraction of the value of one within its goal.
	LateValue = 0.25
	// TimeWeight is the value of a whole goal's time saved for an answer that comes
	// within its goal in any case. It is small, so that differences of the expected time
	// alone, which are mostly noise, make no request leave: with the fixed penalties
	// about 40 % of the requests of unkeyed services left for these.
	TimeWeight = 0.1
	// ReferenceGoal is the goal for which prices are given. Work with a later goal needs
	// a proportionally larger gain, because it can wait longer.
	ReferenceGoal = 250 * time.Millisecond
	// estimateError is the difference of two values below which it is no gain: the best of
	// several uncertain expected times looks better than it is.
	estimateError = 0.1
	// ageSpread is the standard deviation that is added to an expected time for each
	// second of the age of what is known about the place: loads change within a second.
	ageSpread = 0.1
	// knowledgeAge is the age after which free capacity counts by a factor of 1/e. Reports
	// are 0.4 to 0.8 s old.
	knowledgeAge = 2 * time.Second
	// fewSamples is the number of samples that the assumed deviation counts for.
	fewSamples = 3
	// assumedDeviation is the assumed deviation as a fraction of the expected time: about
	// that of exponentially distributed work.
	assumedDeviation = 0.5
	// logisticScale makes the logistic function approximate the normal distribution.
	logisticScale = 1.702
)

// Prices are the prices of 1,000 bytes by place, in the time that a caller with a goal of
// ReferenceGoal must gain.
type Prices [NumPlaces]time.Duration

// DefaultPrices are the prices without configuration. A crossing to another region moves
// 1.5 kB to 5 kB and takes 60 ms longer; its bytes are priced as the same time for 3 kB. A
// crossing within a region takes 3 ms longer, and is priced by the same rule.
var DefaultPrices = Prices{Home: 0, Region: time.Millisecond, Far: 20 * time.Millisecond}

// Offer is what a request can expect at a place.
type Offer struct {
	Expected  time.Duration // to the answer of the best target, with the path and the wait
	Deviation time.Duration // standard deviation of the samples
	Samples   int           // samples that Deviation is of
	Free      float64       // requests that the place can take now, as known; for Home without room: 0, with the wait in Expected
	Age       time.Duration // of what is known about Free
}

// Work is a request as far as the decision depends on it.
type Work struct {
	Goal     time.Duration // whole latency goal; the whole time if it had passed on arrival
	UntilEnd time.Duration // time left until the deadline
	UntilAim time.Duration // time left until the goal; negative if it has passed
	Bytes    float64       // of the request and its answer
}

// Verdict is the comparison for one request and one place.
type Verdict struct {
	Gain float64 // to the caller; 1 is the value of an answer within its goal
	Cost float64 // in the same unit
}

// Net returns the gain minus the cost.
func (v Verdict) Net() float64 { return v.Gain - v.Cost }

// Compare compares running a request at a place with running it here. pressure is
// Link.Pressure for Far, and 0 for places without a link of their own.
func Compare(w Work, here, there Offer, price time.Duration, pressure float64) Verdict {
	goal := max(w.Goal, time.Millisecond).Seconds()
	room := min(1, there.Free*math.Exp(-there.Age.Seconds()/knowledgeAge.Seconds()))
	gain := room*value(w, there) - value(w, here) - estimateError
	gain += TimeWeight * max(-1, min(1, (here.Expected-there.Expected).Seconds()/goal))
	return Verdict{Gain: gain, Cost: w.Bytes / 1000 * price.Seconds() / ReferenceGoal.Seconds() * (1 + pressure)}
}

// value returns the expected value of an answer from a place.
func value(w Work, o Offer) float64 {
	deviation := o.deviation()
	return (1-LateValue)*within(w.UntilAim, o.Expected, deviation) + LateValue*within(w.UntilEnd, o.Expected, deviation)
}

// InTime returns the probability that an answer comes within the goal.
func InTime(w Work, o Offer) float64 { return within(w.UntilAim, o.Expected, o.deviation()) }

// deviation returns the standard deviation of the time to an answer, in seconds, with few
// samples and the age of what is known.
func (o Offer) deviation() float64 {
	assumed, sampled := assumedDeviation*o.Expected.Seconds(), o.Deviation.Seconds()
	variance := (fewSamples*assumed*assumed + float64(o.Samples)*sampled*sampled) / (fewSamples + float64(o.Samples))
	aged := ageSpread * o.Age.Seconds()
	return math.Sqrt(variance + aged*aged)
}

func within(limit, expected time.Duration, deviation float64) float64 {
	if limit <= 0 {
		return 0
	}
	z := (limit - expected).Seconds() / max(deviation, 0.001)
	return 1 / (1 + math.Exp(-logisticScale*z))
}
