package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mangopost/mangopost/bench/table"
	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

// repeatLoad describes requests with idempotency keys, some of which are repeated.
type repeatLoad struct {
	tableBytes    int64
	keysPerSecond int
	answerBytes   int
	repeatShare   float64
	meanDelay     time.Duration // mean time until the repeat
	answerShare   float64       // dedup.Config.AnswerShare
}

const (
	repeatHorizon    = time.Hour
	repeatSkew       = 250 * time.Millisecond
	warmUpRequests   = 60_000 // requests that fill the table before repeats are counted
	measuredRequests = 200_000
)

// replayedPercent returns the percentage of the repeats that get the first answer.
func replayedPercent(seed uint64, l repeatLoad) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	shard := ownership.ShardRef{Service: "pinjaman"}
	table := dedup.New(dedup.Config{Bytes: l.tableBytes, Horizon: repeatHorizon, Skew: repeatSkew, AnswerShare: l.answerShare})
	now := time.Unix(1_700_000_000, 0)
	table.Open(now, shard)
	now = now.Add(repeatHorizon)

	gap := time.Second / time.Duration(l.keysPerSecond)
	dueRepeats := make(map[int][]dedup.Request) // repeats, by the index of the request that they follow
	body := make([]byte, l.answerBytes)
	replayed, total := 0, 0
	for i := range warmUpRequests + measuredRequests {
		now = now.Add(gap)
		r := dedup.Request{Shard: shard, Client: "uni", Key: fmt.Sprintf("loan-%012d", i), FirstSent: now}
		v := table.Begin(now, r)
		table.Finish(now, v.Ticket, dedup.Result{
			Outcome: routing.OutcomeRan,
			Answer:  &dedup.Answer{Status: 200, Body: body},
		})
		if random.Float64() < l.repeatShare {
			dueAt := i + 1 + int(random.ExpFloat64()*float64(l.meanDelay/gap))
			dueRepeats[dueAt] = append(dueRepeats[dueAt], r)
		}
		for _, repeat := range dueRepeats[i] {
			if i < warmUpRequests {
				continue
			}
			total++
			if table.Begin(now, repeat).Kind == dedup.Replay {
				replayed++
			}
		}
		delete(dueRepeats, i)
	}
	return 100 * float64(replayed) / float64(max(total, 1))
}

func runRepeats(seeds int) []table.Row {
	shares := []struct {
		name string
		part float64
	}{{"answers first", -1}, {"a quarter for answers", 0.25}, {"half for answers", dedup.DefaultAnswerShare}}
	var rows []table.Row
	for _, rate := range []int{100, 1000, 5000} {
		for _, share := range shares {
			l := repeatLoad{
				tableBytes: 16 << 20, keysPerSecond: rate, answerBytes: 1024, repeatShare: 0.02,
				meanDelay: 2 * time.Second, answerShare: share.part,
			}
			percentages := perSeed(seeds, func(seed uint64) float64 { return replayedPercent(seed, l) })
			setting := fmt.Sprintf("16 MiB, %d keys/s, answers of 1 KiB", rate)
			rows = append(rows, table.Row{Experiment: "repeats", Setting: setting, Policy: share.name, Metric: "repeats that get the first answer, %", Samples: percentages})
		}
	}
	return rows
}
