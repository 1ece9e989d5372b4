package main

import (
	"fmt"
	"time"
)

// shortLoad returns short work of two clients at a utilisation of the slots.
func shortLoad(slots int, utilisation, stragglers float64) load {
	rate := utilisation * float64(slots) / shortService.Seconds()
	flows := make([]flow, 2)
	for i := range flows {
		flows[i] = flow{
			client: fmt.Sprintf("c%d", i), weight: 1, route: 1,
			requestsPerSecond: rate / float64(len(flows)), meanServiceTime: shortService, sigma: serviceTimeSigma,
			deadline: 5 * time.Second,
		}
	}
	return load{flows: flows, stragglerShare: stragglers, stragglerFactor: 50, length: loadLength}
}

// blockingLoad returns short work in which one request in ten is on a long route.
func blockingLoad(slots int, utilisation float64) load {
	l := mixedLoad(slots, utilisation)
	for i := range l.flows {
		l.flows[i].deadline = 5 * time.Second
	}
	l.length = loadLength
	return l
}

// mixedLoad returns short and long work of four clients at a multiple of the
// capacity.
func mixedLoad(slots int, capacityFactor float64) load {
	const longShare = 0.1
	mean := (1-longShare)*shortService.Seconds() + longShare*longService.Seconds()
	rate := capacityFactor * float64(slots) / mean
	var flows []flow
	for i := range 4 {
		client := fmt.Sprintf("c%d", i)
		flows = append(flows,
			flow{
				client: client, weight: 1, route: 1, requestsPerSecond: rate * (1 - longShare) / 4,
				meanServiceTime: shortService, sigma: serviceTimeSigma, deadline: 250 * time.Millisecond,
			},
			flow{
				client: client, weight: 1, route: 2, requestsPerSecond: rate * longShare / 4,
				meanServiceTime: longService, sigma: serviceTimeSigma, deadline: time.Second,
			})
	}
	return load{flows: flows, length: 31 * time.Second}
}

// oneRouteLoad returns short work and work 15 times longer on one route, which the
// queue cannot distinguish before it runs.
func oneRouteLoad(slots int, capacityFactor float64) load {
	const longShare, longFactor = 0.2, 15
	mean := shortService.Seconds() * (1 - longShare + longShare*longFactor)
	rate := capacityFactor * float64(slots) / mean
	var flows []flow
	for i := range 4 {
		client := fmt.Sprintf("c%d", i)
		flows = append(flows,
			flow{
				client: client, weight: 1, route: 1, requestsPerSecond: rate * (1 - longShare) / 4,
				meanServiceTime: shortService, sigma: serviceTimeSigma, deadline: 250 * time.Millisecond,
			},
			flow{
				client: client, weight: 1, route: 1, requestsPerSecond: rate * longShare / 4,
				meanServiceTime: longFactor * shortService, sigma: serviceTimeSigma, deadline: 1500 * time.Millisecond,
			})
	}
	return load{flows: flows, length: 31 * time.Second}
}

// shortOverload returns short work only, at a multiple of the capacity.
func shortOverload(slots int, capacityFactor float64) load {
	l := shortLoad(slots, capacityFactor, 0)
	for i := range l.flows {
		l.flows[i].deadline = 250 * time.Millisecond
	}
	l.length = 31 * time.Second
	return l
}

// spikeLoad returns short work at half the capacity, with a spike of ten times that
// rate.
func spikeLoad(slots int) load {
	l := shortOverload(slots, 0.5)
	l.spikeFactor, l.spikeFrom, l.spikeUntil = 10, 11*time.Second, 16*time.Second
	return l
}

// heavyClientLoad returns the load of one client that sends four times the capacity
// and of three clients that send a fifth of it each.
func heavyClientLoad(slots int) load {
	capacity := float64(slots) / shortService.Seconds()
	flows := []flow{{
		client: "heavy", weight: 1, route: 1, requestsPerSecond: 4 * capacity,
		meanServiceTime: shortService, sigma: serviceTimeSigma, deadline: 250 * time.Millisecond,
	}}
	for i := range 3 {
		flows = append(flows, flow{
			client: fmt.Sprintf("light%d", i), weight: 1, route: 1, requestsPerSecond: capacity / 5,
			meanServiceTime: shortService, sigma: serviceTimeSigma, deadline: 250 * time.Millisecond,
		})
	}
	return load{flows: flows, length: 31 * time.Second}
}
