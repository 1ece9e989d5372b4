package dedup_test

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/routing"
)

// A payment server consults the table before it runs a payment and records the
// result afterwards. A repeat receives the first answer.
func Example() {
	table := dedup.New(dedup.Config{Bytes: 1 << 20, Horizon: time.Minute, Skew: time.Second})
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	shard := ownership.ShardRef{Service: "checkout"}
	table.Open(now, shard)

	now = now.Add(time.Minute)
	payment := dedup.Request{Shard: shard, Client: "parish", Key: "order-17", FirstSent: now}
	verdict := table.Begin(now, payment)
	fmt.Println(verdict.Kind)
	table.Finish(now, verdict.Ticket, dedup.Result{
		Outcome: routing.OutcomeRan,
		Answer:  &dedup.Answer{Status: 201, Body: []byte("receipt 1")},
	})

	repeat := table.Begin(now.Add(time.Second), payment)
	fmt.Println(repeat.Kind, string(repeat.Answer.Body))

	lost := payment
	lost.Key, lost.FirstSent = "order-16", now.Add(-2*time.Minute)
	fmt.Println(table.Begin(now, lost).Kind)
	// Output:
	// run
	// replay receipt 1
	// unknown
}
