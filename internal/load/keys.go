package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// keySource generates the keys of one service.
type keySource struct {
	keys         Keys
	seed         uint64
	serviceIndex uint64
	zipf         *rand.Zipf
}

func newKeySource(keys Keys, seed, serviceIndex uint64) *keySource {
	s := &keySource{keys: keys, seed: seed, serviceIndex: serviceIndex}
	if keys.Zipf > 1 && keys.Count > 0 {
		rng := rand.New(rand.NewPCG(seed, 1000+serviceIndex))
		s.zipf = rand.NewZipf(rng, keys.Zipf, 1, keys.Count-1)
	}
	return s
}

// draw returns the key of a request that is sent at a time of the run.
func (s *keySource) draw(rng *rand.Rand, at time.Duration) string {
	if s.keys.Count == 0 {
		return ""
	}
	if s.keys.Hot > 0 && rng.Float64() < s.keys.HotShare {
		return keyName(s.hotKey(rng.IntN(s.keys.Hot), at))
	}
	if s.zipf != nil {
		return keyName(s.zipf.Uint64())
	}
	return keyName(rng.Uint64N(s.keys.Count))
}

// hotKey returns the i-th hot key of the HotMoveMS period that contains at.
func (s *keySource) hotKey(i int, at time.Duration) uint64 {
	var period uint64
	if s.keys.HotMoveMS > 0 {
		period = uint64(at / (time.Duration(s.keys.HotMoveMS) * time.Millisecond))
	}
	rng := rand.New(rand.NewPCG(s.seed^period<<20, s.serviceIndex<<32|uint64(i)))
	return rng.Uint64N(s.keys.Count)
}

func keyName(n uint64) string { return fmt.Sprintf("key-%d", n) }
