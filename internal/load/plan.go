package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Arrival processes.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsUniform = "uniform"
)

// Request is one planned request. Its fields are determined by the mix, the run's
// name and the number of entry hosts.
type Request struct {
	ID             string        // echoed in the answer's body by the target stand-in
	At             time.Duration // intended send time since the start of the run
	Service        string
	Client         string
	Key            string
	Route          Route
	WorkMS         int64
	Straggler      bool
	Entry          int  // index of the entry host of the first attempt
	RepeatIfFailed bool // the caller repeats it if it was not served
	RepeatIfServed bool // the caller repeats it although it was served
}

// IdempotencyKey returns the idempotency key of a request that must not run
// twice, and "" for an idempotent one.
func (r Request) IdempotencyKey() string {
	if r.Route.Idempotent {
		return ""
	}
	return "k-" + r.ID
}

// Plan generates the requests of a run in the order of their intended send times.
type Plan struct {
	mix        Mix
	run        string
	entries    int
	rng        *rand.Rand
	keySources []*keySource
	at         time.Duration
	count      int
}

// NewPlan returns the plan of a run against a number of entry hosts. Request
// IDs start with run, so that the requests of two runs can be told apart.
func NewPlan(mix Mix, run string, entries int) *Plan {
	p := &Plan{mix: mix, run: run, entries: entries, rng: rand.New(rand.NewPCG(mix.Seed, 1))}
	for i, s := range mix.Services {
		p.keySources = append(p.keySources, newKeySource(s.Keys, mix.Seed, uint64(i)))
	}
	return p
}

// Next returns the next request, or false at the end of the run.
func (p *Plan) Next() (Request, bool) {
	p.at += p.interarrivalTime()
	if p.at >= time.Duration(p.mix.DurationMS)*time.Millisecond {
		return Request{}, false
	}
	if p.mix.Requests > 0 && p.count >= p.mix.Requests {
		return Request{}, false
	}
	p.count++
	return p.drawRequest(), true
}

// interarrivalTime returns the time from the previous request to the next one.
func (p *Plan) interarrivalTime() time.Duration {
	mean := float64(time.Second) / p.mix.rateAt(p.at)
	if p.mix.Arrivals == ArrivalsUniform {
		return time.Duration(mean)
	}
	return time.Duration(mean * p.rng.ExpFloat64())
}

func (p *Plan) drawRequest() Request {
	s := p.pickService()
	service := p.mix.Services[s]
	route := p.pickRoute(service.Routes)
	r := Request{
		ID:             fmt.Sprintf("%s-%08d", p.run, p.count),
		At:             p.at,
		Service:        service.Name,
		Client:         service.Clients[p.rng.IntN(len(service.Clients))],
		Key:            p.keySources[s].draw(p.rng, p.at),
		Route:          route,
		WorkMS:         p.drawWorkMS(route),
		Entry:          p.rng.IntN(p.entries),
		RepeatIfFailed: p.rng.Float64() < p.mix.Repeat.FailedShare,
		RepeatIfServed: p.rng.Float64() < p.mix.Repeat.ServedShare,
	}
	if p.rng.Float64() < route.StragglerShare {
		r.Straggler = true
		r.WorkMS = route.StragglerMS
	}
	return r
}

// drawWorkMS draws a service time from a lognormal distribution with mean WorkMS,
// in milliseconds and at least 1. Without WorkSigma it returns WorkMS.
func (p *Plan) drawWorkMS(r Route) int64 {
	if r.WorkSigma == 0 {
		return r.WorkMS
	}
	factor := math.Exp(r.WorkSigma*p.rng.NormFloat64() - r.WorkSigma*r.WorkSigma/2)
	return max(1, int64(math.Round(float64(r.WorkMS)*factor)))
}

func (p *Plan) pickService() int {
	weights := make([]float64, len(p.mix.Services))
	for i, s := range p.mix.Services {
		weights[i] = s.Weight
	}
	return pickWeighted(p.rng, weights)
}

func (p *Plan) pickRoute(routes []Route) Route {
	weights := make([]float64, len(routes))
	for i, r := range routes {
		weights[i] = r.Weight
	}
	return routes[pickWeighted(p.rng, weights)]
}

// pickWeighted returns an index with a probability proportional to its weight.
func pickWeighted(rng *rand.Rand, weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}
