package crossing_test

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/routing/crossing"
)

// A request whose goal would be missed at home pays for the crossing, one that can wait
// does not.
func ExampleCompare() {
	here := crossing.Offer{Expected: 350 * time.Millisecond}
	there := crossing.Offer{Expected: 130 * time.Millisecond, Free: 20}
	for _, goal := range []time.Duration{250 * time.Millisecond, 2500 * time.Millisecond} {
		w := crossing.Work{Goal: goal, UntilAim: goal, UntilEnd: 4 * goal, Bytes: 3000}
		v := crossing.Compare(w, here, there, crossing.DefaultPrices[crossing.Far], 0)
		fmt.Println(goal, v.Gain > v.Cost)
	}
	// Output:
	// 250ms true
	// 2.5s false
}
