package main

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/bench/table"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/plugin/queue"
)

// policy is a configuration of the queue. All policies use the same slots.
type policy struct {
	name      string
	id        kernel.PluginID
	configure func(*admission.Config)
}

func policies() []policy {
	return []policy{
		{"fifo", queue.FIFO, queue.Plain},
		{"lifo", queue.LIFO, queue.Plain},
		{"short-first", queue.ShortFirst, queue.Plain},
		{"fair", queue.Fair, func(*admission.Config) {}},
		{"short-first+preempt", queue.ShortFirst, enablePreemption},
		{"fair+preempt", queue.Fair, enablePreemption},
	}
}

// enablePreemption configures the queue of a gateway that can cancel running requests.
func enablePreemption(c *admission.Config) { c.Preempt = true }

// queueLimit is the number of requests that may wait for a target.
const queueLimit = 256

func (p policy) config(slots int) admission.Config {
	order, ok := queue.New(p.id)
	if !ok {
		panic(fmt.Sprintf("unknown queue order %q", p.id))
	}
	cfg := admission.Config{Slots: slots, Limit: queueLimit, Order: order}
	p.configure(&cfg)
	return cfg
}

// experiment measures one property of the queue policies.
type experiment struct {
	name  string
	title string
	run   func(seeds int) []table.Row
}

func experiments() []experiment {
	return []experiment{
		{"stragglers", "p99 of short work with 2 % of stragglers, 50 times longer, divided by that without", runStragglers},
		{"blocking", "short work together with a known long route (one request in ten, 10 times longer)", runBlocking},
		{"one-route", "short work (80 %) and work 15 times longer on one route", runOneRoute},
		{"goodput", "answers within the deadline at 1, 2 and 5 times the capacity", runGoodput},
		{"spike", "short work at half the capacity with a spike of 5 times the capacity for 5 s", runSpike},
		{"shares", "answers to three light clients while a heavy client sends most requests", runShares},
		{"sheds", "a target that uses 2 of its 6 slots for 10 s and sheds other requests", runSheds},
		{"score", "service at load peaks and blocking of short work, with the weights of the site's owner", runScores},
		{"identical", "one run for all identical waiting reads, 100 000 pages with Zipf distribution", runIdentical},
		{"repeats", "repeats sent 2 s (mean) after the first attempt that get its answer", runRepeats},
	}
}

const (
	shortService     = 10 * time.Millisecond
	longService      = 100 * time.Millisecond
	serviceTimeSigma = 0.5
	loadLength       = 121 * time.Second
)

// site describes the targets of one of the users.
type site struct {
	name  string
	slots int
}

func sites() []site { return []site{{"library", 6}, {"magnolia", 3}} }

func perSeed(seeds int, measure func(seed uint64) float64) []float64 {
	var samples []float64
	for seed := range seeds {
		samples = append(samples, measure(uint64(seed+1)))
	}
	return samples
}

func runStragglers(seeds int) []table.Row {
	var rows []table.Row
	for _, s := range sites() {
		for _, utilisation := range []float64{0.2, 0.3, 0.4} {
			for _, p := range policies() {
				rows = append(rows, stragglerRows(seeds, s, utilisation, p)...)
			}
		}
	}
	return rows
}

func stragglerRows(seeds int, s site, utilisation float64, p policy) []table.Row {
	setting := fmt.Sprintf("%s %d slots, short work fills %.0f %%", s.name, s.slots, 100*utilisation)
	var p99Without, p99With, shortAnswered, stragglerP99, stragglersAnswered []float64
	for seed := range uint64(seeds) {
		withoutStragglers := newDriver(seed+1, p.config(s.slots), shortLoad(s.slots, utilisation, 0)).run()
		withStragglers := newDriver(seed+1, p.config(s.slots), shortLoad(s.slots, utilisation, 0.02)).run()
		p99Without = append(p99Without, p99(withoutStragglers.short))
		p99With = append(p99With, p99(withStragglers.short))
		shortAnswered = append(shortAnswered, 100*float64(withStragglers.goodShort)/float64(withStragglers.sentShort))
		stragglerP99 = append(stragglerP99, p99(withStragglers.straggler))
		stragglersAnswered = append(stragglersAnswered, 100*float64(withStragglers.goodStragglers)/float64(withStragglers.sentStragglers))
	}
	ratio := make([]float64, seeds)
	for i := range ratio {
		ratio[i] = p99With[i] / p99Without[i]
	}
	return []table.Row{
		{Experiment: "stragglers", Setting: setting, Policy: p.name, Metric: "p99 without, ms", Samples: p99Without},
		{Experiment: "stragglers", Setting: setting, Policy: p.name, Metric: "p99 with, ms", Samples: p99With},
		{Experiment: "stragglers", Setting: setting, Policy: p.name, Metric: "ratio", Samples: ratio},
		{Experiment: "stragglers", Setting: setting, Policy: p.name, Metric: "short work answered, %", Samples: shortAnswered},
		{Experiment: "stragglers", Setting: setting, Policy: p.name, Metric: "stragglers answered, %", Samples: stragglersAnswered},
		{Experiment: "stragglers", Setting: setting, Policy: p.name, Metric: "p99 of stragglers, ms", Samples: stragglerP99},
	}
}

func runBlocking(seeds int) []table.Row {
	var rows []table.Row
	for _, s := range sites() {
		for _, utilisation := range []float64{0.6, 0.9} {
			for _, p := range policies() {
				rows = append(rows, blockingRows(seeds, s, utilisation, p)...)
			}
		}
	}
	return rows
}

func blockingRows(seeds int, s site, utilisation float64, p policy) []table.Row {
	setting := fmt.Sprintf("%s %d slots, %.0f %% busy", s.name, s.slots, 100*utilisation)
	var short, long []float64
	for seed := range uint64(seeds) {
		o := newDriver(seed+1, p.config(s.slots), blockingLoad(s.slots, utilisation)).run()
		short = append(short, p99(o.short))
		long = append(long, p99(o.long))
	}
	return []table.Row{
		{Experiment: "blocking", Setting: setting, Policy: p.name, Metric: "p99 short, ms", Samples: short},
		{Experiment: "blocking", Setting: setting, Policy: p.name, Metric: "p99 long, ms", Samples: long},
	}
}

func runGoodput(seeds int) []table.Row {
	var rows []table.Row
	for _, s := range sites() {
		for _, p := range policies() {
			rows = append(rows, goodputRows(seeds, s, p, "short work only", shortOverload)...)
			rows = append(rows, goodputRows(seeds, s, p, "short and long", mixedLoad)...)
		}
	}
	return rows
}

func goodputRows(seeds int, s site, p policy, workload string, newLoad func(int, float64) load) []table.Row {
	var rows []table.Row
	var atCapacity []float64
	for _, capacityFactor := range []float64{1, 2, 5} {
		setting := fmt.Sprintf("%s %d slots, %s, %.0fx", s.name, s.slots, workload, capacityFactor)
		var goodput, percentOfCapacity, slotTimePercent, latency []float64
		for seed := range uint64(seeds) {
			o := newDriver(seed+1, p.config(s.slots), newLoad(s.slots, capacityFactor)).run()
			goodput = append(goodput, o.goodput())
			slotTimePercent = append(slotTimePercent, 100*o.goodServiceTime.Seconds()/(float64(s.slots)*o.span.Seconds()))
			latency = append(latency, p99(o.short))
		}
		if capacityFactor == 1 {
			atCapacity = goodput
		}
		for i := range goodput {
			percentOfCapacity = append(percentOfCapacity, 100*goodput[i]/atCapacity[i])
		}
		rows = append(rows,
			table.Row{Experiment: "goodput", Setting: setting, Policy: p.name, Metric: "goodput, answers/s", Samples: goodput},
			table.Row{Experiment: "goodput", Setting: setting, Policy: p.name, Metric: "of 1x, %", Samples: percentOfCapacity},
			table.Row{Experiment: "goodput", Setting: setting, Policy: p.name, Metric: "slot time in good answers, %", Samples: slotTimePercent},
			table.Row{Experiment: "goodput", Setting: setting, Policy: p.name, Metric: "p99 short, ms", Samples: latency})
	}
	return rows
}

func runSpike(seeds int) []table.Row {
	var rows []table.Row
	for _, s := range sites() {
		for _, p := range policies() {
			var good, recovery []float64
			for seed := range uint64(seeds) {
				l := spikeLoad(s.slots)
				o := newDriver(seed+1, p.config(s.slots), l).run()
				capacity := float64(s.slots) / shortService.Seconds()
				good = append(good, 100*float64(o.spikeGood)/(capacity*(l.spikeUntil-l.spikeFrom).Seconds()))
				recovery = append(recovery, float64(o.recovery)/float64(time.Millisecond))
			}
			setting := fmt.Sprintf("%s %d slots", s.name, s.slots)
			rows = append(rows,
				table.Row{Experiment: "spike", Setting: setting, Policy: p.name, Metric: "goodput in the spike, % of capacity", Samples: good},
				table.Row{Experiment: "spike", Setting: setting, Policy: p.name, Metric: "slow answers after the spike for, ms", Samples: recovery})
		}
	}
	return rows
}

func runShares(seeds int) []table.Row {
	var rows []table.Row
	for _, s := range sites() {
		for _, p := range policies() {
			answered := perSeed(seeds, func(seed uint64) float64 { return lightAnsweredPercent(seed, s, p) })
			setting := fmt.Sprintf("%s %d slots", s.name, s.slots)
			rows = append(rows, table.Row{Experiment: "shares", Setting: setting, Policy: p.name, Metric: "light clients answered, %", Samples: answered})
		}
	}
	return rows
}

// lightAnsweredPercent returns the percentage of the light clients' requests that are
// answered within the deadline.
func lightAnsweredPercent(seed uint64, s site, p policy) float64 {
	o := newDriver(seed, p.config(s.slots), heavyClientLoad(s.slots)).run()
	light, sent := 0, 0
	for client, n := range o.sentByClient {
		if client != "heavy" {
			light += o.goodByClient[client]
			sent += n
		}
	}
	return 100 * float64(light) / float64(sent)
}

func runSheds(seeds int) []table.Row {
	var rows []table.Row
	for _, p := range policies() {
		var sheds, good []float64
		for seed := range uint64(seeds) {
			l := shortLoad(6, 0.3, 0)
			l.length = 31 * time.Second
			l.shedAboveRunning, l.shedFrom, l.shedUntil = 2, 11*time.Second, 21*time.Second
			l.shedLatency = time.Millisecond
			o := newDriver(seed+1, p.config(6), l).run()
			sheds = append(sheds, float64(o.shedCount))
			good = append(good, 100*float64(o.good)/float64(o.sent))
		}
		rows = append(rows,
			table.Row{Experiment: "sheds", Setting: "library 6 slots", Policy: p.name, Metric: "requests shed", Samples: sheds},
			table.Row{Experiment: "sheds", Setting: "library 6 slots", Policy: p.name, Metric: "answered in time, %", Samples: good})
	}
	return rows
}

// runIdentical measures the gain of joining identical waiting reads.
func runIdentical(seeds int) []table.Row {
	p := policies()[len(policies())-1]
	var rows []table.Row
	for _, skew := range []float64{1.01, 1.3} {
		for _, capacityFactor := range []float64{0.9, 2, 5} {
			for _, join := range []bool{false, true} {
				setting := fmt.Sprintf("library 6 slots, Zipf %.2f, %.1fx", skew, capacityFactor)
				name := map[bool]string{false: "each runs", true: "one runs for all"}[join]
				var good, joined []float64
				for seed := range uint64(seeds) {
					l := shortOverload(6, capacityFactor)
					l.zipfSkew, l.joinIdentical = skew, join
					o := newDriver(seed+1, p.config(6), l).run()
					good = append(good, o.goodput())
					joined = append(joined, 100*float64(o.joinedCount)/float64(o.sent))
				}
				rows = append(rows,
					table.Row{Experiment: "identical", Setting: setting, Policy: name, Metric: "goodput, answers/s", Samples: good},
					table.Row{Experiment: "identical", Setting: setting, Policy: name, Metric: "joined, % of arrivals", Samples: joined})
			}
		}
	}
	return rows
}
