package placement

import (
	"slices"

	"github.com/mangopost/mangopost/ownership"
)

// CorrectPinnedRates returns the shard rates of a page, corrected by the rates of
// pinned keys. After a key is pinned, the rate of its new shard starts at zero and
// the rate of its hash-range shard decays slowly, while the rate of the key itself
// continues. The missing part is moved from the hash-range shard to the pin.
func CorrectPinnedRates(page ownership.Page, rates []float64, ofKey func(string) float64) []float64 {
	rates = slices.Clone(rates)
	for i, pin := range page.Pins {
		if pin.PinnedTo == "" {
			continue
		}
		n := len(page.Shards) + i
		missing := ofKey(pin.PinnedTo) - rates[n]
		if missing <= 0 {
			continue
		}
		rates[n] += missing
		home := ownership.ShardOf(pin.PinnedTo, uint32(len(page.Shards)))
		rates[home] = max(rates[home]-missing, 0)
	}
	return rates
}
