package ownership_test

import (
	"fmt"

	"github.com/mangopost/mangopost/ownership"
)

// Moves the shard of a lost target to another target. The new page takes effect
// when a conditional update of its object in the store succeeds.
func Example() {
	places := []ownership.Place{{Cell: "kl", Target: "katalog-1"}, {Cell: "kl", Target: "katalog-2"}}
	page, err := ownership.NewPage("katalog", 2, places, ownership.Change{Reason: "first page"})
	if err != nil {
		fmt.Println(err)
		return
	}
	page, err = ownership.BeginMove(page, 0, places[1], ownership.MoveLost, &places[0], ownership.Change{
		Reason: "katalog-1 is lost",
		Stamp:  ownership.Stamp{Host: "kl-1", Incarnation: 1, Write: 1},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	s := page.Shards[0]
	fmt.Printf("owner %s@%d, next %s@%d\n", s.Target, s.Epoch, s.Next.Target, s.Next.Epoch)
	fmt.Printf("stop every epoch up to %d in cell %s\n", s.Move.Stop, s.Move.From.Cell)
	// Output:
	// owner katalog-2@2, next katalog-1@3
	// stop every epoch up to 1 in cell kl
}
