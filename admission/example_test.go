package admission_test

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/admission"
)

// A program that sends requests to one server keeps a Queue for it, reports
// events to the Queue and carries out the actions that it returns.
func Example() {
	queue := admission.New(admission.Config{Slots: 1, Limit: 1})
	var now time.Duration // read a monotonic clock here

	do := func(actions []admission.Action) {
		for _, a := range actions {
			switch a.Kind {
			case admission.Start:
				fmt.Println("start", a.ID)
			case admission.Refuse:
				fmt.Println("refuse", a.ID, a.Reason)
			}
		}
	}
	for id := uint64(1); id <= 3; id++ {
		do(queue.Arrive(now, admission.Request{ID: id, Client: "reading-room"}))
	}
	now += 5 * time.Millisecond
	do(queue.Done(now, 1, admission.Result{Took: now, Kind: admission.Completed}))
	// Output:
	// start 1
	// refuse 3 queue-full
	// start 2
}
